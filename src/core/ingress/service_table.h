/// \file
/// The services that callers of this ingress use, with the gates of their
/// targets.
#ifndef DANDELIONFALL_CORE_INGRESS_SERVICE_TABLE_H
#define DANDELIONFALL_CORE_INGRESS_SERVICE_TABLE_H

#include "core/ingress/gate_links.h"
#include "core/ingress/retry_budget.h"
#include "core/ingress/target_choice.h"
#include "dandelionfall/core/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// A service in use.
struct ServiceView {
  /// Null once the service is no longer published.
  std::shared_ptr<const Service> m_Service;
  Profile m_Profile;
  std::vector<Candidate> m_Candidates;
  RetryBudget m_Budget;
  TimePoint m_LastUsed;
};

/// Services in use by name; others are added when first asked for.
class ServiceTable {
public:
  /// \param Options the node's own identity; must outlive this object.
  /// \param Links where gates are looked up; must outlive this object.
  ServiceTable(const IngressOptions &Options, GateLinks &Links)
      : m_Options(Options), m_Links(Links) {}

  /// Takes a new version: services unused for long are forgotten, the others
  /// get its targets and profiles.
  void setConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Takes the hosts whose targets get no new work.
  /// \returns whether that changed the candidates of a service.
  bool setLeavingHosts(HostNames Hosts, TimePoint Now);
  /// \returns the version in force, or null.
  const Configuration *configuration() const { return m_Config.get(); }
  /// \returns the service of that name; it has no candidates if it is not
  /// published.
  ServiceView &findOrAdd(const std::string &Name, TimePoint Now);
  /// Tells whether a gate still serves the service in an availability zone that
  /// is in.
  bool isCandidate(const std::string &Name, const GatePeer &Peer) const;

private:
  void rebuild(const std::string &Name, ServiceView &View, TimePoint Now);
  Distance distanceTo(const std::string &ZoneName) const;
  std::uint64_t rank(const Candidate &Of) const;
  void preopenLinks(ServiceView &View, TimePoint Now);

  const IngressOptions &m_Options;
  GateLinks &m_Links;
  ConfigurationPtr m_Config;
  HostNames m_LeavingHosts;
  std::map<std::string, ServiceView> m_Views;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_SERVICE_TABLE_H
