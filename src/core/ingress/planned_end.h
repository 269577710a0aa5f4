/// \file
/// Calls that are still taken once the end of the process is known.
#ifndef DANDELIONFALL_CORE_INGRESS_PLANNED_END_H
#define DANDELIONFALL_CORE_INGRESS_PLANNED_END_H

#include "dandelionfall/core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace dandelionfall::core::ingress {

/// Decides which calls are taken during a planned stop: those whose answer is
/// due before the process ends, and those of a kind whose latest calls were all
/// answered in less than the time left. Not thread-safe.
class PlannedEnd {
public:
  /// Sets when the process ends.
  void set(TimePoint End) { m_End = End; }
  /// \returns whether the end has come.
  bool hasCome(TimePoint Now) const { return m_End && *m_End <= Now; }
  /// \returns whether the process ends before a time.
  bool isBefore(TimePoint Time) const { return m_End && *m_End < Time; }
  /// Records a call that was answered without a server error.
  /// \param Kind kind of the call.
  /// \param Elapsed time from its start to the answer.
  void recordAnswer(const std::string &Kind, Duration Elapsed);
  /// Records a call that ended before its answer came. If it took longer than
  /// the others, the time of an answer is not known.
  void recordUnanswered(const std::string &Kind, Duration Elapsed);
  /// Decides on a new call.
  /// \param Deadline time by which its answer is due.
  /// \param AnswerGrace time for an answer that is late.
  /// \param OldestOpen time since the start of the oldest open call of the same
  /// kind.
  /// \returns the deadline, shortened to the end of the process if necessary;
  /// nothing if the call must be rejected.
  std::optional<TimePoint>
  limitDeadline(const std::string &Kind, TimePoint Deadline,
                Duration AnswerGrace, Duration OldestOpen, TimePoint Now) const;

  /// Calls over which the longest time is taken, twice at most: of calls that
  /// are alike, the next takes longer than all of N earlier ones with a chance
  /// of 1 in N + 1.
  static constexpr std::size_t WindowCalls = 64;
  /// Calls that must have ended before their times are relied on.
  static constexpr std::size_t MinCalls = 32;

private:
  /// Limit on distinct kinds, which bounds the memory.
  static constexpr std::size_t MaxKinds = 4096;

  /// Longest times of the calls in this window and in the one before.
  struct Longest {
    std::size_t m_Calls = 0;
    Duration m_Current{0};
    Duration m_Previous{0};
    bool m_HasPrevious = false;
  };

  Longest &findOrAdd(const std::string &Kind);

  std::optional<TimePoint> m_End;
  std::unordered_map<std::string, Longest> m_ByKind;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_PLANNED_END_H
