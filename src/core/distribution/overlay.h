/// \file
/// Maintains control links to a bounded number of neighbours.
#ifndef DANDELIONFALL_CORE_DISTRIBUTION_OVERLAY_H
#define DANDELIONFALL_CORE_DISTRIBUTION_OVERLAY_H

#include "core/distribution/blackboard.h"
#include "core/distribution/neighbour_rings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::core {

/// Maintains links to the neighbours chosen by the rings, replaces failed,
/// silent and leaving neighbours, and queries peers for their held versions
/// when the node starts.
///
/// Sources of information about a host, most trusted first: the state of a link
/// to it, the peer's own statement on that link, the platform's host list, the
/// seeds.
class Overlay : public Controller {
public:
  static constexpr std::size_t MaxInboundLinks = 24;
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
  /// A peer that sends nothing for this long is replaced.
  static constexpr Duration SilenceLimit = std::chrono::seconds(3);
  /// Time limit from the request to open a link to the peer's hello.
  static constexpr Duration OpenTimeout = std::chrono::seconds(2);
  /// Time that a node waits after its start for its peers to report what they
  /// hold. Restarts when the list of possible neighbours changes.
  static constexpr Duration QueryTimeout = std::chrono::seconds(3);

  void run(Blackboard &Board) override;
  TimePoint wakeUp(const Blackboard &Board) const override;

  void onOpened(Blackboard &Board, LinkId Id, bool Inbound);
  void onClosed(Blackboard &Board, LinkId Id);
  void onHello(Blackboard &Board, ControlLink &Link, const ControlHello &Hello);
  void onHeartbeat(Blackboard &Board, ControlLink &Link,
                   const Heartbeat &Beat) const;
  void onGoAway(Blackboard &Board, ControlLink &Link);
  /// Makes the next run check for missing links.
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
  /// Closes a link from this side.
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
