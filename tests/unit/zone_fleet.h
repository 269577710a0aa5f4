/// \file
/// Ingresses and targets of three availability zones in one process, with
/// simulated time: routers choose, and targets run what they are given.
#ifndef DANDELIONFALL_TESTS_UNIT_ZONE_FLEET_H
#define DANDELIONFALL_TESTS_UNIT_ZONE_FLEET_H

#include "core/ingress/router.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

using namespace std::chrono_literals;

/// What a run of the fleet is given.
struct FleetPlan {
  std::string m_Strategy;
  /// Arrivals in zone a and in each of the others, as a share of what the
  /// targets of the zone can run.
  double m_HomeDemand = 0.75;
  double m_OtherDemand = 0.3;
  /// Speeds of the targets of each zone.
  std::vector<double> m_Speeds = {1, 1, 1};
  /// Zone whose gates the other zones don't reach.
  std::string m_CutZone;
  Duration m_Length = 20s;
  Duration m_SoftDeadline = 500ms;
  std::uint64_t m_Seed = 42;
};

/// What became of the requests of zone a, after the time to settle.
struct FleetResult {
  unsigned m_Calls = 0;
  unsigned m_InTime = 0;
  unsigned m_Sent = 0;
  unsigned m_SentToCut = 0;
  /// Share that left in each half second.
  std::vector<double> m_Shares;

  double inTimeShare() const { return double(m_InTime) / m_Calls; }
  double sentShare() const { return double(m_Sent) / m_Calls; }
  double largestChange() const {
    double Largest = 0;
    for (std::size_t Next = 1; Next < m_Shares.size(); ++Next)
      Largest =
          std::max(Largest, std::abs(m_Shares[Next] - m_Shares[Next - 1]));
    return Largest;
  }
};

class ZoneFleet {
public:
  static constexpr unsigned Slots = 4;
  static constexpr Duration Step = 1ms;
  static constexpr Duration ServiceTime = 100ms;
  static constexpr Duration ReportInterval = 300ms;
  static constexpr Duration SettleTime = 5s;
  static constexpr std::size_t IngressesPerZone = 4;

  explicit ZoneFleet(FleetPlan Plan) : m_Plan(std::move(Plan)) {
    for (const char *Zone : {"a", "b", "c"}) {
      for (const double Speed : m_Plan.m_Speeds)
        addTarget(Zone, Speed);
    }
    std::uint64_t Seed = 1;
    for (const char *Zone : {"a", "b", "c"}) {
      for (std::size_t Count = 0; Count < IngressesPerZone; ++Count)
        m_Nodes.push_back(std::make_unique<Node>(*this, Zone, ++Seed));
    }
  }

  FleetResult run() {
    double Capacity = 0;
    for (const double Speed : m_Plan.m_Speeds)
      Capacity += Speed * Slots / seconds(ServiceTime);
    const TimePoint Start = m_Now;
    unsigned Calls = 0;
    unsigned Sent = 0;
    for (; m_Now < Start + m_Plan.m_Length; m_Now += Step) {
      m_Counting = m_Now >= Start + SettleTime &&
                   m_Now < Start + m_Plan.m_Length - m_Plan.m_SoftDeadline;
      endRuns();
      report();
      for (const auto &Each : m_Nodes) {
        const double Demand =
            Each->m_Zone == "a" ? m_Plan.m_HomeDemand : m_Plan.m_OtherDemand;
        if (draw() < Demand * Capacity / IngressesPerZone * seconds(Step))
          arrive(*Each);
      }
      if (!m_Counting || (m_Now - Start) % 500ms != 0ms)
        continue;
      if (m_Now > Start + SettleTime)
        m_Result.m_Shares.push_back(double(m_Result.m_Sent - Sent) /
                                    (m_Result.m_Calls - Calls));
      Calls = m_Result.m_Calls;
      Sent = m_Result.m_Sent;
    }
    return m_Result;
  }

private:
  struct Job {
    TimePoint m_Due;
    std::size_t m_Node = 0;
    bool m_Counts = false;
    bool m_IsAway = false;
  };
  struct Run {
    TimePoint m_End;
    Job m_Job;
  };
  struct FakeTarget {
    Target m_Entry;
    double m_Speed = 1;
    std::deque<Job> m_Queue;
    std::vector<Run> m_Runs;
    TimePoint m_NextReport;

    Duration serviceTime() const {
      return Duration(
          static_cast<Duration::rep>(ServiceTime.count() / m_Speed));
    }
    Capacity capacity() const {
      return {static_cast<std::uint32_t>(m_Runs.size()),
              static_cast<std::uint32_t>(m_Queue.size()), Slots, serviceTime()};
    }
  };

  struct Node {
    Node(ZoneFleet &Fleet, std::string Zone, std::uint64_t Seed)
        : m_Zone(std::move(Zone)),
          m_Options({"h", m_Zone, {7, Seed}, Seed, Fleet.m_Plan.m_Strategy}) {
      m_Options.m_LeavingTargets = std::make_shared<LeavingTargets>();
      m_Options.m_ZonePrices = {0.02, 0.001};
      m_Router = std::make_unique<Router>(m_Options);
      for (const auto &Each : Fleet.m_Targets) {
        GatePeer &Peer = m_Peers[Each->m_Entry.m_Name];
        Peer.m_Address = Each->m_Entry.m_Name;
        Peer.m_State = LinkState::Ready;
        const bool IsHome = Each->m_Entry.m_Zone == m_Zone;
        Peer.m_Load.recordRoundTrip(IsHome ? 500us : 3ms);
        if (!IsHome && Each->m_Entry.m_Zone == Fleet.m_Plan.m_CutZone)
          Peer.m_FailedOpens = 1;
        m_View.m_Candidates.push_back(
            {&Each->m_Entry, &Peer,
             IsHome ? Distance::SameZone : Distance::SameRegion});
      }
    }
    std::string m_Zone;
    IngressOptions m_Options;
    std::unique_ptr<Router> m_Router;
    std::map<std::string, GatePeer> m_Peers;
    ServiceView m_View;
  };

  static double seconds(Duration Value) {
    return std::chrono::duration<double>(Value).count();
  }

  double draw() {
    return static_cast<double>(m_Random() >> 11U) / 9007199254740992.0;
  }

  void addTarget(const std::string &Zone, double Speed) {
    auto Added = std::make_unique<FakeTarget>();
    const std::string Name = Zone + std::to_string(m_Targets.size());
    Added->m_Entry = {Name, Name, Zone, Name, Slots, Slots};
    Added->m_Speed = Speed;
    Added->m_NextReport = m_Now + m_Targets.size() * 30ms;
    m_Targets.push_back(std::move(Added));
  }

  void endRuns() {
    for (const auto &Each : m_Targets) {
      std::erase_if(Each->m_Runs, [&](const Run &Next) {
        if (Next.m_End > m_Now)
          return false;
        const Job &Done = Next.m_Job;
        m_Nodes[Done.m_Node]
            ->m_Peers.at(Each->m_Entry.m_Name)
            .m_Load.recordEnded();
        const Duration Way = Done.m_IsAway ? 3ms : 500us;
        if (Done.m_Counts && m_Now + Way <= Done.m_Due)
          ++m_Result.m_InTime;
        return true;
      });
      startRuns(*Each);
    }
  }

  void startRuns(FakeTarget &At) {
    while (At.m_Runs.size() < Slots && !At.m_Queue.empty()) {
      const double Time = seconds(At.serviceTime()) * (0.5 + draw());
      At.m_Runs.push_back(
          {m_Now + Duration(static_cast<Duration::rep>(Time * 1e6)),
           At.m_Queue.front()});
      At.m_Queue.pop_front();
    }
  }

  void report() {
    for (const auto &Each : m_Targets) {
      if (m_Now < Each->m_NextReport)
        continue;
      Each->m_NextReport += ReportInterval;
      for (const auto &Reader : m_Nodes)
        Reader->m_Peers.at(Each->m_Entry.m_Name)
            .m_Load.recordReport(Each->capacity(), m_Now);
    }
  }

  void arrive(Node &At) {
    const bool Counts = m_Counting && At.m_Zone == "a";
    m_Result.m_Calls += Counts ? 1 : 0;
    Call Entry;
    Entry.m_Kind = "/desk";
    Entry.m_SoftDeadline = m_Now + m_Plan.m_SoftDeadline;
    Entry.m_Deadline = m_Now + 2s;
    while (Entry.m_TriedGates.size() < MaxGatesPerCall) {
      const Candidate *Chosen =
          At.m_Router->choose(At.m_View, Entry, 1, {}, m_Now);
      if (Chosen == nullptr)
        return;
      const std::string &Name = Chosen->m_Target->m_Name;
      Entry.m_TriedGates.push_back(Name);
      FakeTarget &Receiver = **std::find_if(
          m_Targets.begin(), m_Targets.end(),
          [&](const auto &Each) { return Each->m_Entry.m_Name == Name; });
      const bool IsAway = Chosen->m_Distance != Distance::SameZone;
      if (IsAway && Receiver.m_Entry.m_Zone == m_Plan.m_CutZone)
        ++m_Result.m_SentToCut;
      // A gate refuses what it expects to be late.
      const double Expected = seconds(Receiver.serviceTime()) *
                              (1 + double(Receiver.m_Queue.size() + 1) / Slots);
      LoadView &Load = At.m_Peers.at(Name).m_Load;
      if (Receiver.m_Runs.size() >= Slots &&
          Expected > seconds(m_Plan.m_SoftDeadline)) {
        Load.recordReport(Receiver.capacity(), m_Now);
        continue;
      }
      Load.recordSent();
      m_Result.m_Sent += Counts && IsAway ? 1 : 0;
      const auto Index =
          std::find_if(m_Nodes.begin(), m_Nodes.end(),
                       [&](const auto &Each) { return Each.get() == &At; }) -
          m_Nodes.begin();
      Receiver.m_Queue.push_back({Entry.m_SoftDeadline,
                                  static_cast<std::size_t>(Index), Counts,
                                  IsAway});
      startRuns(Receiver);
      return;
    }
  }

  FleetPlan m_Plan;
  TimePoint m_Now{1s};
  std::mt19937_64 m_Random{m_Plan.m_Seed};
  std::vector<std::unique_ptr<FakeTarget>> m_Targets;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  bool m_Counting = false;
  FleetResult m_Result;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_TESTS_UNIT_ZONE_FLEET_H
