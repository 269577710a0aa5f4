/// \file
/// The platform's lagging list of live and leaving hosts.
#ifndef DANDELIONFALL_CORE_HOST_LIST_H
#define DANDELIONFALL_CORE_HOST_LIST_H

#include "dandelionfall/core/configuration_reader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// What the platform says of a host.
enum class HostState : std::uint8_t { Live, Leaving };

/// One listed host.
struct HostEntry {
  std::string m_Name;
  std::string m_Zone;
  /// Link address of the node on the host, `IP:PORT`.
  std::string m_Address;
  HostState m_State = HostState::Live;
  friend bool operator==(const HostEntry &, const HostEntry &) = default;
};

/// One revision of the list, in ascending order of host name.
struct HostList {
  Version m_Revision = 0;
  std::vector<HostEntry> m_Hosts;
  friend bool operator==(const HostList &, const HostList &) = default;
};

/// Names of hosts.
using HostNames = std::set<std::string, std::less<>>;

/// Shared ownership of a list that never changes again.
using HostListPtr = std::shared_ptr<const HostList>;

/// Reads a host list.
/// \param Text the list as published: `[hosts]` with `revision` and
/// `count`, then a section `[host NAME]` with `zone`, `address` and `state` for
/// each host. \returns the list. \throws Error of kind BadConfiguration for any
/// fault; nothing of the list is used then.
HostList readHostList(std::string_view Text);

/// Finds the hosts that the platform is about to take away.
/// \param List the list.
/// \returns the names of the hosts in state Leaving.
HostNames leavingHosts(const HostList &List);

/// Writes a host list in the published form.
/// \param List the list.
/// \returns the text, the same for equal input.
std::string writeHostList(const HostList &List);

/// Cuts a host list into one part a host, so that a change of the list travels
/// as the changed hosts only.
/// \param List the list.
/// \param Previous parts of an earlier list; equal parts are taken from it.
/// \returns the parts.
PartMap splitHostList(const HostList &List, const PartMap &Previous);

/// Joins the parts of a host list.
/// \param Revision the list's revision.
/// \param Parts the parts, as `splitHostList` made them.
/// \param Previous an earlier list and \p PreviousParts its parts; unchanged
/// hosts are taken from it.
/// \param PreviousParts the parts of \p Previous.
/// \returns the list.
/// \throws Error of kind BadConfiguration if a part does not hold one host.
HostList joinHostList(Version Revision, const PartMap &Parts,
                      const HostList &Previous, const PartMap &PreviousParts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_HOST_LIST_H
