/// \file
/// Compares the admission strategies of a gate in virtual time: one target with
/// a fixed number of slots, Poisson arrivals at several loads, deadlines of
/// many lengths. Deterministic; prints a table and one line of key=value pairs.
#include "dandelionfall/core/gate.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace dandelionfall::core;

namespace {

constexpr std::uint32_t Slots = 12;
constexpr std::uint32_t QueueLimit = 64;
constexpr Duration MeanServiceTime = std::chrono::milliseconds(20);
constexpr Duration ShortestDeadline = std::chrono::milliseconds(60);
constexpr Duration LongestDeadline = std::chrono::milliseconds(300);
constexpr Duration RunTime = std::chrono::seconds(30);
constexpr std::uint64_t Seed = 20;
constexpr Incarnation GateStart{1, 1};
constexpr Incarnation IngressStart{2, 2};
constexpr LinkId Link = 1;

/// Random numbers that are the same with every standard library.
class Draws {
public:
  explicit Draws(std::uint64_t Start) : m_Engine(Start) {}
  double uniform() {
    constexpr double Scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(m_Engine() >> 11U) * Scale;
  }
  Duration exponential(Duration Mean) {
    const double Factor = -std::log(1.0 - uniform());
    return Duration(static_cast<std::int64_t>(
        std::ceil(Factor * static_cast<double>(Mean.count()))));
  }

private:
  std::mt19937_64 m_Engine;
};

/// A distribution of service times with the mean `MeanServiceTime`.
struct ServiceMix {
  const char *m_Name;
  Duration (*m_Draw)(Draws &);
};

constexpr std::array Mixes = {
    ServiceMix{
        "exponential",
        [](Draws &Random) { return Random.exponential(MeanServiceTime); }},
    ServiceMix{"bimodal", [](Draws &Random) {
                 constexpr double LongShare = 0.1;
                 constexpr Duration Short = std::chrono::milliseconds(10);
                 constexpr Duration Long = std::chrono::milliseconds(110);
                 return Random.uniform() < LongShare ? Long : Short;
               }}};

/// What a refused caller does.
enum class Comeback : std::uint8_t {
  Never, ///< Goes elsewhere.
  Blind, ///< Tries once more after a fixed pause.
  Told,  ///< Tries once more after the time that the refusal states.
};

struct Trial {
  std::string m_Strategy;
  const ServiceMix *m_Mix = nullptr;
  double m_Load = 1;
  Comeback m_Comeback = Comeback::Never;
  /// Pause of a caller that comes back blindly.
  Duration m_BlindPause{0};
};

struct Counts {
  std::uint64_t m_Offered = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_RefusedAtOnce = 0;
  std::uint64_t m_RefusedLate = 0;
  std::uint64_t m_MayHaveRun = 0;
  std::uint64_t m_Returned = 0;
  std::uint64_t m_ReturnedInTime = 0;
  Duration m_Paused{0};
  std::uint32_t m_PeakAtTarget = 0;

  static double percent(std::uint64_t Part, std::uint64_t Whole) {
    return Whole == 0
               ? 0
               : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
  }
};

ConfigurationPtr makeConfiguration() {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp = {1, 1};
  Config->m_Zones["sindos"] = {"sindos", "gr-north", ZoneState::In};
  Profile Policy;
  Policy.m_Name = "measured";
  Policy.m_QueueLimit = QueueLimit;
  Policy.m_ColdStartLimit = Slots;
  Config->m_Profiles[Policy.m_Name] = Policy;
  auto Measured = std::make_shared<Service>();
  Measured->m_Name = "slotboard";
  Measured->m_Profile = Policy.m_Name;
  Measured->m_Targets.push_back(
      {"slotboard-1", "host-1", "sindos", "127.0.0.1:1", Slots, 10 * Slots});
  Config->m_Services["slotboard"] = Measured;
  return Config;
}

/// One run: callers, a gate and its target on one virtual clock. The target
/// works on after a cancellation.
class Simulation {
public:
  explicit Simulation(const Trial &Setup)
      : m_Setup(Setup), m_Random(Seed),
        m_Gate(
            {"host-1", "sindos", "slotboard-1", GateStart, Setup.m_Strategy}) {}

  Counts run() {
    m_Gate.onConfiguration(makeConfiguration(), m_Now);
    m_Gate.onMessage(Link, TrafficHello{"ingress", IngressStart, 1, 1}, m_Now);
    perform();
    scheduleArrival();
    while (!m_Due.empty()) {
      const auto WakeUp = m_Gate.nextWakeUp();
      if (WakeUp && *WakeUp < m_Due.top().m_At) {
        m_Now = std::max(m_Now + Duration{1}, *WakeUp);
        m_Gate.onTick(m_Now);
      } else {
        const Due Next = m_Due.top();
        m_Due.pop();
        m_Now = std::max(m_Now, Next.m_At);
        Next.m_Do();
      }
      perform();
    }
    return m_Counts;
  }

private:
  struct Due {
    TimePoint m_At;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Do;
    bool operator<(const Due &Other) const {
      return std::pair(Other.m_At, Other.m_Order) < std::pair(m_At, m_Order);
    }
  };

  struct Caller {
    TimePoint m_Sent;
    Duration m_Deadline{0};
    bool m_Returned = false;
  };

  void at(TimePoint Time, std::function<void()> Do) {
    m_Due.push({Time, ++m_LastOrder, std::move(Do)});
  }

  void scheduleArrival() {
    const auto Gap = Duration(static_cast<std::int64_t>(
        static_cast<double>(MeanServiceTime.count()) / Slots / m_Setup.m_Load));
    const TimePoint Next = m_Now + m_Random.exponential(Gap);
    if (Next > TimePoint{} + RunTime)
      return;
    at(Next, [this] {
      const double Place = m_Random.uniform();
      const auto Range = LongestDeadline - ShortestDeadline;
      ++m_Counts.m_Offered;
      dispatch(ShortestDeadline +
                   Duration(static_cast<std::int64_t>(
                       Place * static_cast<double>(Range.count()))),
               false);
      scheduleArrival();
    });
  }

  void dispatch(Duration Deadline, bool Returned) {
    Dispatch Message;
    Message.m_Id = {IngressStart, ++m_LastSequence};
    Message.m_Epoch = 1;
    Message.m_Gate = GateStart;
    Message.m_Remaining = Deadline;
    Message.m_Version = 1;
    Message.m_Service = "slotboard";
    Message.m_Target = "slotboard-1";
    m_Callers[Message.m_Id] = {m_Now, Deadline, Returned};
    m_Counts.m_Returned += Returned ? 1 : 0;
    m_Gate.onMessage(Link, Message, m_Now);
  }

  void perform() {
    for (const GateCommand &Command : m_Gate.takeCommands()) {
      if (const auto *Start = std::get_if<StartTarget>(&Command))
        startTarget(Start->m_Id);
      const auto *Send = std::get_if<SendTraffic>(&Command);
      if (Send == nullptr)
        continue;
      if (const auto *Reply = std::get_if<Answer>(&Send->m_Message))
        onAnswer(Reply->m_Id);
      if (const auto *Reply = std::get_if<Refusal>(&Send->m_Message))
        onRefusal(*Reply);
      if (const auto *Reply = std::get_if<Failure>(&Send->m_Message))
        onFailure(Reply->m_Id);
    }
  }

  void startTarget(const RequestId &Id) {
    ++m_AtTarget;
    m_Counts.m_PeakAtTarget = std::max(m_Counts.m_PeakAtTarget, m_AtTarget);
    at(m_Now + m_Setup.m_Mix->m_Draw(m_Random), [this, Id] {
      --m_AtTarget;
      m_Gate.onTargetAnswer(Id, std::make_shared<const HttpResponse>(), m_Now);
    });
  }

  void onAnswer(const RequestId &Id) {
    const Caller Asked = settle(Id);
    if (m_Now > Asked.m_Sent + Asked.m_Deadline)
      return;
    ++m_Counts.m_InTime;
    m_Counts.m_ReturnedInTime += Asked.m_Returned ? 1 : 0;
  }

  void onFailure(const RequestId &Id) {
    settle(Id);
    ++m_Counts.m_MayHaveRun;
  }

  void onRefusal(const Refusal &Reply) {
    const Caller Asked = m_Callers.at(Reply.m_Id);
    m_Callers.erase(Reply.m_Id);
    const bool AtOnce = m_Now == Asked.m_Sent;
    m_Counts.m_RefusedAtOnce += AtOnce ? 1 : 0;
    m_Counts.m_RefusedLate += AtOnce ? 0 : 1;
    if (Asked.m_Returned || m_Setup.m_Comeback == Comeback::Never)
      return;
    const Duration Pause = m_Setup.m_Comeback == Comeback::Told
                               ? Reply.m_RetryAfter
                               : m_Setup.m_BlindPause;
    const Duration Deadline = Asked.m_Deadline;
    m_Counts.m_Paused += Pause;
    at(m_Now + std::max(Pause, Duration{1}),
       [this, Deadline] { dispatch(Deadline, true); });
  }

  Caller settle(const RequestId &Id) {
    const Caller Asked = m_Callers.at(Id);
    m_Callers.erase(Id);
    at(m_Now, [this, Id] { m_Gate.onMessage(Link, Settled{{Id}}, m_Now); });
    return Asked;
  }

  Trial m_Setup;
  Draws m_Random;
  Gate m_Gate;
  TimePoint m_Now;
  Counts m_Counts;
  std::priority_queue<Due> m_Due;
  std::uint64_t m_LastOrder = 0;
  std::uint64_t m_LastSequence = 0;
  std::uint32_t m_AtTarget = 0;
  std::unordered_map<RequestId, Caller> m_Callers;
};

void printRow(const Trial &Setup, const Counts &Result) {
  const auto Share = [&](std::uint64_t Part) {
    return Counts::percent(Part, Result.m_Offered);
  };
  std::printf("%-12s %4.1f %-9s %8.2f %8.2f %8.2f %8.2f %6u\n",
              Setup.m_Mix->m_Name, Setup.m_Load, Setup.m_Strategy.c_str(),
              Share(Result.m_InTime), Share(Result.m_RefusedAtOnce),
              Share(Result.m_RefusedLate), Share(Result.m_MayHaveRun),
              Result.m_PeakAtTarget);
}

/// Compares the strategies for callers that don't come back.
/// \returns the key=value pairs of the exponential mix.
std::string compareStrategies() {
  std::string Summary;
  std::printf("%-12s %4s %-9s %8s %8s %8s %8s %6s\n", "service", "load",
              "strategy", "in_time%", "refused%", "late_ref%", "unknown%",
              "peak");
  for (const ServiceMix &Mix : Mixes) {
    for (const double Load : {0.8, 1.3, 1.6}) {
      for (const char *Strategy : {"fcfs", "bounded", "deadline"}) {
        const Trial Setup{Strategy, &Mix, Load, Comeback::Never, Duration{0}};
        const Counts Result = Simulation(Setup).run();
        printRow(Setup, Result);
        if (&Mix != &Mixes.front())
          continue;
        std::array<char, 128> Pairs{};
        std::snprintf(
            Pairs.data(), Pairs.size(),
            "%s_%.1f_in_time_pct=%.2f %s_%.1f_unknown_pct=%.2f ", Strategy,
            Load, Counts::percent(Result.m_InTime, Result.m_Offered), Strategy,
            Load, Counts::percent(Result.m_MayHaveRun, Result.m_Offered));
        Summary += Pairs.data();
      }
    }
  }
  return Summary;
}

Duration meanPause(const Counts &Result) {
  if (Result.m_Returned == 0)
    return Duration{0};
  return Result.m_Paused / static_cast<std::int64_t>(Result.m_Returned);
}

std::string reportFeedback(const char *Name, double Load,
                           const Counts &Result) {
  const double Share =
      Counts::percent(Result.m_ReturnedInTime, Result.m_Returned);
  std::printf("%-12s %4.1f %-9s %10llu %10lld %16.2f\n", Mixes.front().m_Name,
              Load, Name, static_cast<unsigned long long>(Result.m_Returned),
              static_cast<long long>(meanPause(Result).count()), Share);
  std::array<char, 64> Pairs{};
  std::snprintf(Pairs.data(), Pairs.size(), "%s_%.1f_in_time_pct=%.2f ", Name,
                Load, Share);
  return Pairs.data();
}

/// Compares refused callers that come back when told with those that all come
/// back after the mean of these times.
std::string compareFeedback() {
  std::string Summary;
  std::printf("\n%-12s %4s %-9s %10s %10s %16s\n", "service", "load",
              "comeback", "came_back", "pause_us", "then_in_time%");
  for (const double Load : {0.8, 1.3, 1.6}) {
    Trial Setup{"deadline", &Mixes.front(), Load, Comeback::Told, Duration{0}};
    const Counts Told = Simulation(Setup).run();
    Summary += reportFeedback("told", Load, Told);
    Setup.m_Comeback = Comeback::Blind;
    Setup.m_BlindPause = meanPause(Told);
    Summary += reportFeedback("blind", Load, Simulation(Setup).run());
  }
  return Summary;
}

} // namespace

int main() {
  std::string Summary = compareStrategies();
  Summary += compareFeedback();
  std::printf("%sseed=%llu\n", Summary.c_str(),
              static_cast<unsigned long long>(Seed));
  return 0;
}
