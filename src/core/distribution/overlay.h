/// \file
/// Control links to a bounded number of neighbours.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_OVERLAY_H
#define DANDELIONFALL_CORE_DISTRIBUTION_OVERLAY_H

#include "core/distribution/blackboard.h"
#include "core/distribution/neighbour_rings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// Keeps links to the neighbours that the rings give, replaces the dead, silent
/// and leaving ones, and asks peers what they hold when the node starts.
///
/// Order of trust about a host: the state of a link to it, then the peer's own
/// word on that link, then the platform's list, then the seeds.
class Overlay : public Controller {
public:
  static constexpr std::size_t MaxInboundLinks = 24;
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
  /// A peer that is silent for this long is replaced.
  static constexpr Duration SilenceLimit = std::chrono::seconds(3);
  /// Limit for opening a link and for the peer's introduction.
  static constexpr Duration OpenTimeout = std::chrono::seconds(2);
  /// Time a started node gives its peers to say what they hold.
  static constexpr Duration QueryTimeout = std::chrono::seconds(3);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

  void onOpened(Blackboard &Board, LinkId Id, bool Inbound);
  void onClosed(Blackboard &Board, LinkId Id);
  void onHello(Blackboard &Board, ControlLink &Link, const ControlHello &Hello);
  void onHeartbeat(Blackboard &Board, ControlLink &Link,
                   const Heartbeat &Beat) const;
  void onGoAway(Blackboard &Board, ControlLink &Link);
  /// Looks for missing links at the next run.
  void requestAdjustment() { m_MustAdjust = true; }

private:
  struct Failure {
    unsigned m_Count = 0;
    TimePoint m_Until;
  };

  void extendDeadlinesAfterPause(Blackboard &Board);
  void closeSilent(Blackboard &Board);
  void sendHeartbeats(Blackboard &Board);
  void adjustLinks(Blackboard &Board);
  void updatePeersQueried(Blackboard &Board);
  std::vector<std::string> desiredAddresses(Blackboard &Board);
  void addSeeds(Blackboard &Board, std::vector<std::string> &Desired);
  void closeSurplus(Blackboard &Board, const std::vector<std::string> &Desired);
  void open(Blackboard &Board, const std::string &Address);
  /// Ends a link from this side.
  void close(Blackboard &Board, LinkId Id, std::string_view Reason,
             bool IsFailure);
  void recordFailure(Blackboard &Board, const std::string &Address);
  bool isBackedOff(const Blackboard &Board, const std::string &Address) const;

  NeighbourRings m_Rings;
  HostListPtr m_RingsList;
  std::map<std::string, Failure, std::less<>> m_Failures;
  std::vector<std::string> m_Seeds;
  std::size_t m_DesiredCount = 0;
  LinkId m_LastLink = 0;
  std::uint64_t m_LastHeartbeat = 0;
  TimePoint m_LastRun;
  TimePoint m_QuerySince;
  TimePoint m_NextAdjustment;
  bool m_MustAdjust = true;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_DISTRIBUTION_OVERLAY_H
