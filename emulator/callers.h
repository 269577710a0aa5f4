/// \file
/// Callers of an emulated deployment, and what they get.
#ifndef DANDELIONFALL_EMULATOR_CALLERS_H
#define DANDELIONFALL_EMULATOR_CALLERS_H

#include "emulator/world.h"

#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// Requests that resemble each other.
struct RequestKind {
  std::string m_Path;
  std::string m_Method = "GET";
  /// Calls a second, as a Poisson process.
  double m_PerSecond = 1;
  /// Mean time that they take on an unloaded target.
  Duration m_MeanServiceTime = 20ms;
  /// Whether the time is distributed exponentially; else it is uniform, from
  /// half to one and a half of the mean.
  bool m_ExponentialServiceTime = false;
  /// Time within which an answer is wanted, counted from the first try.
  Duration m_TargetLatency = 500ms;
  /// Time that callers wait.
  Duration m_Deadline = 500ms;
  /// Shortest time that a caller waits, if not all wait the same; in between it
  /// is uniform.
  std::optional<Duration> m_ShortestDeadline;
  /// Tries after the first.
  unsigned m_Retries = 0;
};

/// When a refused caller tries again.
enum class RetryTiming : std::uint8_t {
  Advised,    ///< After the time that the refusal states.
  FixedPause, ///< After a fixed pause.
};

/// What callers do beside asking.
struct CallerBehaviour {
  RetryTiming m_RetryTiming = RetryTiming::Advised;
  /// Pause of callers that come back blindly.
  Duration m_FixedRetryPause{0};
  /// Share of the callers that leave before their deadline.
  double m_DisconnectShare = 0;
  /// Share of the callers that try again at once, whatever they were told, and
  /// twice as often.
  double m_ImpatientShare = 0;
};

/// What callers got; each is counted once, however often it tried.
struct Tally {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Disconnected = 0;

  void add(const Tally &Other);
  /// \returns the share of the callers that stayed and got a whole answer in
  /// time, from 0 to 1.
  double inTimeShare() const;
  friend bool operator==(const Tally &, const Tally &) = default;
};

/// Promises that were not kept.
struct Breaches {
  std::uint64_t m_RanTwice = 0;
  std::uint64_t m_FalseNotRun = 0;
  std::uint64_t m_WrongResponse = 0;

  std::uint64_t total() const {
    return m_RanTwice + m_FalseNotRun + m_WrongResponse;
  }
  friend bool operator==(const Breaches &, const Breaches &) = default;
};

/// Makes calls by kind and counts what becomes of them.
class Callers {
public:
  /// Makes one call; the handler gets its end.
  using Send = std::function<core::CallId(NodeId From, CallOptions Options,
                                          World::AnswerHandler Done)>;

  /// \param On the deployment; outlives the callers.
  /// \param Entries the nodes that they call.
  /// \param How how they call.
  Callers(World &Emulated, std::vector<RequestKind> Kinds,
          std::vector<NodeId> EntryNodes, Send SendCall, std::uint64_t Seed);

  /// Has them call from now until a time after the start.
  /// \param CountFrom time after the start from which calls count.
  void start(Duration Until, Duration CountFrom);
  /// Changes how often they call, as a factor.
  void setRate(double Factor) { m_Rate = Factor; }
  void setCallerBehaviour(const CallerBehaviour &Changed) {
    m_CallerBehaviour = Changed;
  }

  /// \returns the tally of a kind.
  const Tally &tally(std::size_t Kind) const { return m_Tallies[Kind]; }
  /// \returns the tally of all kinds.
  Tally total() const;
  /// \returns the least share of calls in time of any second with enough of
  /// them, from 0 to 1.
  double worstSecond() const;
  Breaches breaches() const;

private:
  struct Caller {
    std::size_t m_Kind = 0;
    NodeId m_EntryNode = 0;
    Duration m_ServiceTime{0};
    TimePoint m_First;
    TimePoint m_Deadline;
    unsigned m_RetriesLeft = 0;
    bool m_IsCounted = false;
    bool m_Impatient = false;
    bool m_Ended = false;
    core::CallId m_Call = 0;
  };

  void scheduleNext(std::size_t Kind);
  void startCall(std::size_t Kind);
  void sendAttempt(std::size_t Number);
  void onAnswer(std::size_t Number, const core::AnswerCaller &Answer);
  bool scheduleRetry(std::size_t Number, Duration RetryAfter);
  void finishCall(std::size_t Number, std::uint64_t Tally::*Outcome);
  bool draw(double Share);
  Duration drawDeadline(const RequestKind &TheKind);

  World &m_World;
  std::vector<RequestKind> m_Kinds;
  std::vector<NodeId> m_EntryNodes;
  Send m_Send;
  std::mt19937_64 m_Random;
  CallerBehaviour m_CallerBehaviour;
  double m_Rate = 1;
  Duration m_Until{0};
  Duration m_CountFrom{0};
  std::vector<Caller> m_Callers;
  std::vector<Tally> m_Tallies;
  std::vector<Tally> m_Seconds;
};

} // namespace dandelionfall::emulator

#endif // DANDELIONFALL_EMULATOR_CALLERS_H
