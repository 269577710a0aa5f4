/// \file
/// Callers of an emulated deployment and the outcomes of their calls.
#ifndef DANDELIONFALL_EMULATOR_CALLERS_H
#define DANDELIONFALL_EMULATOR_CALLERS_H

#include "emulator/world.h"

#include <string>
#include <vector>

namespace dandelionfall::emulator {

/// A class of requests with common properties.
struct RequestKind {
  std::string m_Path;
  std::string m_Method = "GET";
  /// Calls per second; arrivals are a Poisson process.
  double m_PerSecond = 1;
  /// Mean service time on an unloaded target.
  Duration m_MeanServiceTime = 20ms;
  /// Whether the service time is exponentially distributed; otherwise it is
  /// uniform from half to one and a half times the mean.
  bool m_ExponentialServiceTime = false;
  /// Time from the first attempt after which a response counts as late.
  Duration m_TargetLatency = 500ms;
  /// Time from the first attempt until a caller stops waiting.
  Duration m_Deadline = 500ms;
  /// Shortest deadline; if set, deadlines are uniform between it and
  /// `m_Deadline`.
  std::optional<Duration> m_ShortestDeadline;
  /// Attempts after the first.
  unsigned m_Retries = 0;
};

/// When a refused caller retries.
enum class RetryTiming : std::uint8_t {
  Advised,    ///< After the retry delay stated in the refusal.
  FixedPause, ///< After a fixed pause.
};

/// How callers retry and when they disconnect.
struct CallerBehaviour {
  RetryTiming m_RetryTiming = RetryTiming::Advised;
  /// Retry delay for `RetryTiming::FixedPause`.
  Duration m_FixedRetryPause{0};
  /// Share of the callers that disconnect before their deadline.
  double m_DisconnectShare = 0;
  /// Share of the callers that retry immediately, whatever delay the refusal
  /// states, with twice as many retries.
  double m_ImpatientShare = 0;
};

/// Outcomes of calls. A call is counted once, however many attempts it made.
struct Tally {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Disconnected = 0;

  void add(const Tally &Other);
  /// \returns the share of complete responses in time among the callers that
  /// did not disconnect, from 0 to 1.
  double inTimeShare() const;
  friend bool operator==(const Tally &, const Tally &) = default;
};

/// Violations of the guarantees given to callers.
struct Breaches {
  std::uint64_t m_RanTwice = 0;
  std::uint64_t m_FalseNotRun = 0;
  std::uint64_t m_WrongResponse = 0;

  std::uint64_t total() const {
    return m_RanTwice + m_FalseNotRun + m_WrongResponse;
  }
  friend bool operator==(const Breaches &, const Breaches &) = default;
};

/// Generates calls of several kinds and counts their outcomes.
class Callers {
public:
  /// Sends one call; the handler receives its outcome.
  using Send = std::function<core::CallId(NodeId From, CallOptions Options,
                                          World::AnswerHandler Done)>;

  /// \param Emulated the deployment; must outlive the callers.
  /// \param EntryNodes nodes that receive the calls; each call picks one at
  /// random.
  /// \param SendCall sends one call.
  Callers(World &Emulated, std::vector<RequestKind> Kinds,
          std::vector<NodeId> EntryNodes, Send SendCall, std::uint64_t Seed);

  /// Generates calls from now until a time after the start of virtual time.
  /// \param CountFrom time after the start from which calls are counted.
  void start(Duration Until, Duration CountFrom);
  /// Sets a factor on the rate of all kinds.
  void setRate(double Factor) { m_Rate = Factor; }
  void setCallerBehaviour(const CallerBehaviour &Changed) {
    m_CallerBehaviour = Changed;
  }

  /// \returns the tally of a kind.
  const Tally &tally(std::size_t Kind) const { return m_Tallies[Kind]; }
  /// \returns the tally of all kinds.
  Tally total() const;
  /// \returns the lowest share of calls in time in any second with enough
  /// calls, from 0 to 1.
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
