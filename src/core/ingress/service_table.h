/// \file
/// Services that are called through this ingress, with the gates of their
/// targets.
#ifndef DANDELIONFALL_CORE_INGRESS_SERVICE_TABLE_H
#define DANDELIONFALL_CORE_INGRESS_SERVICE_TABLE_H

#include "core/ingress/gate_links.h"
#include "core/ingress/retry_budget.h"
#include "core/ingress/target_choice.h"
#include "core/ingress/zone_spill.h"
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
  ZoneSpill m_Spill;
  TimePoint m_LastUsed;
};

/// Services in use, by name; added on first use.
class ServiceTable {
public:
  /// \param Options identity of the node; must outlive this object.
  /// \param Links provides the gates; must outlive this object.
  ServiceTable(const IngressOptions &Options, GateLinks &Links)
      : m_Options(Options), m_Links(Links) {}

  /// Applies a new version. Services that have not been used for long are
  /// dropped, the others get the new targets and profiles.
  void setConfiguration(ConfigurationPtr Config, TimePoint Now);
  /// Sets the hosts whose targets get no new requests.
  /// \returns whether the candidates of services were rebuilt.
  bool setLeavingHosts(HostNames Hosts, TimePoint Now);
  /// \returns the applied version, or null.
  const Configuration *configuration() const { return m_Config.get(); }
  /// \returns the service of that name; it has no candidates if it is not
  /// published.
  ServiceView &findOrAdd(const std::string &Name, TimePoint Now);
  /// Checks whether a gate still serves the service, in an availability zone
  /// that is in.
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
