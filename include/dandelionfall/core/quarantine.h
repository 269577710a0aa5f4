/// \file
/// Keeps requests that crash targets away from all targets.
#ifndef DANDELIONFALL_CORE_QUARANTINE_H
#define DANDELIONFALL_CORE_QUARANTINE_H

#include "dandelionfall/core/event.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/recent_answers.h"
#include "dandelionfall/core/request_fingerprint.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dandelionfall::core {

/// A target ended while it ran a request, or a later answer to the request
/// shows that this was not its fault.
struct CrashEvidence {
  RequestFingerprint m_Request;
  /// Whether the request was answered since.
  bool m_Cleared = false;
  /// Identifies the end of the target: the gate that saw it, and a number.
  RequestId m_End;
  /// Time since a node last saw the request.
  Duration m_SeenAgo{0};
  /// Whether the request was suspect already when it began at the target.
  bool m_AsSuspect = false;
  /// Whether targets answered the request shortly before the first end.
  bool m_WasAnswered = false;
  friend bool operator==(const CrashEvidence &,
                         const CrashEvidence &) = default;
};

/// A request that ran at a target when it ended.
struct EndedRequest {
  RequestFingerprint m_Request;
  /// Whether it was suspect already when it began there.
  bool m_AsSuspect = false;
};

/// Evidence against requests under which targets ended. All nodes exchange
/// what their gates see, so each of them comes to the same verdict.
///
/// A target that ends takes innocent requests with it. All that ran there are
/// suspect; a gate runs no two suspects beside each other, so that the next end
/// shows which of them is the cause. An answer clears a request of all ends
/// that are known then.
///
/// Targets also end together, and a request that is asked all the time runs at
/// each of them. So if a request was answered shortly before the first end, all
/// ends under copies that began before it was suspect count as one, and it
/// needs more ends for a quarantine. Each quarantine ends, so that the request
/// runs once more, as a suspect; the next one lasts longer. Not thread-safe.
class Quarantine {
public:
  /// Number of ends that quarantine a request.
  static constexpr std::size_t QuarantineEnds = 2;
  /// The same for a request that was answered shortly before.
  static constexpr std::size_t QuarantineEndsIfAnswered = 3;
  /// Maximum number of ends under copies that weren't suspect, and under
  /// suspects, that are kept for one request.
  static constexpr std::size_t MaxFirstEnds = 3;
  static constexpr std::size_t MaxSuspectEnds = 6;
  /// Duration of the first quarantine after the last end.
  static constexpr Duration Probation = std::chrono::minutes(1);
  /// The same for a request that was answered shortly before.
  static constexpr Duration ProbationIfAnswered = std::chrono::seconds(5);
  /// Each quarantine is this many times as long as the one before.
  static constexpr int ProbationFactor = 4;
  /// Time after an end for which a suspect waits if it wasn't answered shortly
  /// before. Targets that end for one cause don't end at quite the same moment,
  /// and the end of the next one would look like a test of the request.
  static constexpr Duration SuspectDelay = std::chrono::milliseconds(100);
  /// Time before an end in which an answer counts.
  static constexpr Duration AnswerWindow = std::chrono::minutes(1);
  /// Time after the last sign of a request at which its evidence is dropped.
  static constexpr Duration Lifetime = std::chrono::minutes(10);
  /// Time between two signs of the same request that are passed on.
  static constexpr Duration SignInterval = std::chrono::minutes(2);
  /// Maximum number of requests with evidence.
  static constexpr std::size_t MaxRequests = 4096;
  /// Maximum number of cleared ends that are remembered for one request.
  static constexpr std::size_t MaxCleared = 32;
  /// Maximum size of a snapshot and of one exchanged message.
  static constexpr std::size_t MaxExchanged = 1024;

  /// \param Self the node's process, for the ids of its evidence.
  explicit Quarantine(Incarnation Self) : m_Self(Self) {}

  /// \returns whether there is no evidence, as is usual.
  bool empty() const { return m_Records.empty(); }
  /// Records that a target ended while it ran requests.
  /// \returns the id of the end.
  RequestId onTargetEnded(const std::vector<EndedRequest> &Running,
                          TimePoint Now);
  /// Records that a target answered a request without a server error.
  void onAnswered(const RequestFingerprint &Request, TimePoint Now);
  /// Adds the evidence of another node.
  void merge(const std::vector<CrashEvidence> &Evidence, TimePoint Now);

  /// \returns whether the request ran at a target that ended.
  bool isSuspect(const RequestFingerprint &Request) const;
  /// \returns whether the request is suspect, and was answered shortly before
  /// the first end.
  bool wasAnswered(const RequestFingerprint &Request) const;
  /// \returns until when a suspect must not begin; nothing if it may begin now.
  std::optional<TimePoint> delayedUntil(const RequestFingerprint &Request,
                                        TimePoint Now) const;
  /// Checks an arriving request, which prolongs its quarantine.
  /// \returns the time for which it remains quarantined; nothing if it isn't.
  std::optional<Duration> check(const RequestFingerprint &Request,
                                TimePoint Now);
  /// Removes evidence at the end of its lifetime.
  void expire(TimePoint Now);

  /// \returns the events collected since the last call, and clears them.
  std::vector<Event> takeEvents();
  /// Removes and returns the evidence that was added since the last call, for
  /// the other nodes.
  std::vector<CrashEvidence> takeNews(TimePoint Now);
  /// \returns the evidence against one request.
  std::vector<CrashEvidence> evidenceOf(const RequestFingerprint &Request,
                                        TimePoint Now) const;
  /// \returns the evidence against the requests with the most ends, for a node
  /// that has just been connected.
  std::vector<CrashEvidence> snapshot(TimePoint Now) const;

private:
  struct End {
    RequestId m_Id;
    bool m_AsSuspect = false;
  };

  struct Record {
    /// Ends of targets that no answer has cleared yet.
    std::vector<End> m_Ends;
    /// The latest cleared ends, so that late evidence doesn't add them again.
    std::vector<RequestId> m_Cleared;
    /// The last sign that was passed on.
    TimePoint m_SeenAt = TimePoint::min();
    /// When the last end became known.
    TimePoint m_EndedAt = TimePoint::min();
    /// Whether it was answered shortly before the first of the ends.
    bool m_WasAnswered = false;

    std::size_t firstEnds() const;
    /// \returns the number of ends that count.
    std::size_t weight() const;
    bool isQuarantined() const;
    /// \returns the end of the present quarantine.
    TimePoint releasedAt() const;
  };

  struct News {
    RequestFingerprint m_Request;
    bool m_Cleared = false;
    RequestId m_End;
    TimePoint m_SeenAt;
    bool m_AsSuspect = false;
    bool m_WasAnswered = false;
  };

  void add(const News &Sign);
  bool addEnd(Record &Known, const News &Sign);
  bool addAnswerBefore(Record &Known, const News &Sign);
  static void removeOldestSuspectEnd(Record &Known);
  bool clear(Record &Known, const News &Sign);
  static void remember(Record &Known, const RequestId &Cleared);
  void report(EventId Id, const RequestFingerprint &Request,
              const Record &Known);
  Record &findOrAdd(const RequestFingerprint &Request);
  void evict();
  static CrashEvidence makeEvidence(const News &Sign, TimePoint Now);
  static std::vector<CrashEvidence>
  evidenceIn(const RequestFingerprint &Request, const Record &Known,
             TimePoint Now);

  Incarnation m_Self;
  std::uint64_t m_LastEnd = 0;
  std::unordered_map<RequestFingerprint, Record> m_Records;
  RecentAnswers m_Answers;
  std::vector<News> m_News;
  std::vector<Event> m_Events;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_QUARANTINE_H
