/// \file
/// The platform's list of live and leaving hosts, which lags behind their
/// actual state.
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

/// State of a host as stated by the platform.
enum class HostState : std::uint8_t { Live, Leaving };

/// A listed host.
struct HostEntry {
  std::string m_Name;
  std::string m_Zone;
  /// Link address of the node on the host, `IP:PORT`.
  std::string m_Address;
  HostState m_State = HostState::Live;
  friend bool operator==(const HostEntry &, const HostEntry &) = default;
};

/// A revision of the list, sorted by host name.
struct HostList {
  Version m_Revision = 0;
  std::vector<HostEntry> m_Hosts;
  friend bool operator==(const HostList &, const HostList &) = default;
};

/// Names of hosts.
using HostNames = std::set<std::string, std::less<>>;

/// Shared ownership of an immutable list.
using HostListPtr = std::shared_ptr<const HostList>;

/// Parses a host list.
/// \param Text the list as published: `[hosts]` with `revision` and `count`,
/// then a section `[host NAME]` with `zone`, `address` and `state` for each
/// host.
/// \throws Error of kind BadConfiguration for any fault, so that a faulty list
/// is never used in part.
HostList readHostList(std::string_view Text);

/// \returns the names of the hosts in state Leaving, which the platform is
/// about to remove.
HostNames leavingHosts(const HostList &List);

/// Formats a host list as it is published; equal lists give equal text.
std::string writeHostList(const HostList &List);

/// Splits a host list into one part per host, so that only the changed hosts
/// are sent when the list changes.
/// \param List the list.
/// \param Previous the parts of an earlier list; equal parts are reused.
PartMap splitHostList(const HostList &List, const PartMap &Previous);

/// Joins the parts of a host list.
/// \param Revision the list's revision.
/// \param Parts the parts, as returned by `splitHostList`.
/// \param Previous an earlier list from which unchanged hosts are reused.
/// \param PreviousParts the parts of \p Previous.
/// \throws Error of kind BadConfiguration if a part does not contain exactly
/// the host that it is named after.
HostList joinHostList(Version Revision, const PartMap &Parts,
                      const HostList &Previous, const PartMap &PreviousParts);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_HOST_LIST_H
