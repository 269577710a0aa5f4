#include "dandelionfall/core/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dandelionfall::core {

namespace {

bool contains(const std::vector<RequestId> &Ids, const RequestId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

std::size_t Quarantine::Record::firstEnds() const {
  return static_cast<std::size_t>(
      std::count_if(m_Ends.begin(), m_Ends.end(),
                    [](const End &Each) { return !Each.m_AsSuspect; }));
}

std::size_t Quarantine::Record::weight() const {
  if (!m_WasAnswered)
    return m_Ends.size();
  const std::size_t First = firstEnds();
  return m_Ends.size() - First + std::min<std::size_t>(First, 1);
}

bool Quarantine::Record::isQuarantined() const {
  return weight() >=
         (m_WasAnswered ? QuarantineEndsIfAnswered : QuarantineEnds);
}

TimePoint Quarantine::Record::releasedAt() const {
  Duration Pause = m_WasAnswered ? ProbationIfAnswered : Probation;
  const std::size_t SuspectEnds = m_Ends.size() - firstEnds();
  for (std::size_t Ends = m_WasAnswered ? QuarantineEndsIfAnswered
                                        : QuarantineEnds;
       Ends <= SuspectEnds; ++Ends)
    Pause *= ProbationFactor;
  return m_EndedAt + Pause;
}

RequestId Quarantine::onTargetEnded(const std::vector<EndedRequest> &Running,
                                    TimePoint Now) {
  const RequestId Ended{m_Self, ++m_LastEnd};
  for (const EndedRequest &Each : Running)
    add({Each.m_Request, false, Ended, Now, Each.m_AsSuspect});
  return Ended;
}

void Quarantine::onAnswered(const RequestFingerprint &Request, TimePoint Now) {
  m_Answers.record(Request, Now);
  const auto Found = m_Records.find(Request);
  if (Found == m_Records.end())
    return;
  // A copy, because clearing changes the list.
  const std::vector<End> Ends = Found->second.m_Ends;
  for (const End &Each : Ends)
    add({Request, true, Each.m_Id, Now});
}

void Quarantine::merge(const std::vector<CrashEvidence> &Evidence,
                       TimePoint Now) {
  for (const CrashEvidence &Each : Evidence) {
    if (Each.m_SeenAgo >= Duration{0} && Each.m_SeenAgo < Lifetime)
      add({Each.m_Request, Each.m_Cleared, Each.m_End, Now - Each.m_SeenAgo,
           Each.m_AsSuspect, Each.m_WasAnswered});
  }
}

// Evidence is passed on only if it changed something here. An end is added and
// cleared at most once, so the exchange stops once all nodes know it.
void Quarantine::add(const News &Sign) {
  Record &Known = findOrAdd(Sign.m_Request);
  const bool IsLaterSign = Sign.m_SeenAt >= Known.m_SeenAt + SignInterval;
  bool IsNew = false;
  if (Sign.m_Cleared) {
    IsNew = clear(Known, Sign);
  } else {
    const bool IsNewEnd = addEnd(Known, Sign);
    IsNew = addAnswerBefore(Known, Sign) || IsNewEnd || IsLaterSign;
    if (IsNewEnd && Known.isQuarantined())
      report(EventId::RequestQuarantined, Sign.m_Request, Known);
  }
  if (!IsNew)
    return;
  Known.m_SeenAt = std::max(Known.m_SeenAt, Sign.m_SeenAt);
  if (m_News.size() >= MaxExchanged)
    return;
  m_News.push_back(Sign);
  m_News.back().m_WasAnswered = Known.m_WasAnswered;
}

bool Quarantine::addEnd(Record &Known, const News &Sign) {
  const auto Found = std::find_if(
      Known.m_Ends.begin(), Known.m_Ends.end(),
      [&Sign](const End &Each) { return Each.m_Id == Sign.m_End; });
  if (Found != Known.m_Ends.end()) {
    // Another copy ran there as suspect.
    const bool IsNew = Sign.m_AsSuspect && !Found->m_AsSuspect;
    Found->m_AsSuspect = Found->m_AsSuspect || Sign.m_AsSuspect;
    return IsNew;
  }
  const std::size_t First = Known.firstEnds();
  if (contains(Known.m_Cleared, Sign.m_End) ||
      (!Sign.m_AsSuspect && First >= MaxFirstEnds))
    return false;
  if (Known.m_Ends.empty())
    Known.m_WasAnswered = false;
  if (Sign.m_AsSuspect && Known.m_Ends.size() - First >= MaxSuspectEnds)
    removeOldestSuspectEnd(Known);
  Known.m_Ends.push_back({Sign.m_End, Sign.m_AsSuspect});
  Known.m_EndedAt = std::max(Known.m_EndedAt, Sign.m_SeenAt);
  return true;
}

// An answer by any target counts, and each gate remembers those of its own.
bool Quarantine::addAnswerBefore(Record &Known, const News &Sign) {
  if (Known.m_WasAnswered || Known.m_Ends.empty())
    return false;
  const std::optional<TimePoint> Answered = m_Answers.find(Sign.m_Request);
  Known.m_WasAnswered =
      Sign.m_WasAnswered ||
      (Answered && *Answered + AnswerWindow >= Known.m_EndedAt);
  return Known.m_WasAnswered;
}

void Quarantine::removeOldestSuspectEnd(Record &Known) {
  const auto Oldest =
      std::find_if(Known.m_Ends.begin(), Known.m_Ends.end(),
                   [](const End &Each) { return Each.m_AsSuspect; });
  remember(Known, Oldest->m_Id);
  Known.m_Ends.erase(Oldest);
}

bool Quarantine::clear(Record &Known, const News &Sign) {
  if (contains(Known.m_Cleared, Sign.m_End))
    return false;
  if (Known.isQuarantined())
    report(EventId::RequestCleared, Sign.m_Request, Known);
  std::erase_if(Known.m_Ends,
                [&Sign](const End &Each) { return Each.m_Id == Sign.m_End; });
  remember(Known, Sign.m_End);
  return true;
}

void Quarantine::remember(Record &Known, const RequestId &Cleared) {
  if (Known.m_Cleared.size() >= MaxCleared)
    Known.m_Cleared.erase(Known.m_Cleared.begin());
  Known.m_Cleared.push_back(Cleared);
}

void Quarantine::report(EventId Id, const RequestFingerprint &Request,
                        const Record &Known) {
  std::string Ends;
  for (const End &Each : Known.m_Ends)
    Ends += (Ends.empty() ? "" : ",") + toString(Each.m_Id) +
            (Each.m_AsSuspect ? ":suspect" : ":first");
  const auto Length = std::chrono::duration_cast<std::chrono::seconds>(
      Known.releasedAt() - Known.m_EndedAt);
  m_Events.push_back(
      {Id, "fingerprint=" + toString(Request) + " ends=" + Ends +
               " answered_before=" + (Known.m_WasAnswered ? "true" : "false") +
               " quarantine_s=" + std::to_string(Length.count())});
}

Quarantine::Record &Quarantine::findOrAdd(const RequestFingerprint &Request) {
  const auto Found = m_Records.find(Request);
  if (Found != m_Records.end())
    return Found->second;
  if (m_Records.size() >= MaxRequests)
    evict();
  return m_Records[Request];
}

// Under a flood of requests that crash targets, those with the least evidence
// make room, the oldest first.
void Quarantine::evict() {
  const auto Least = std::min_element(
      m_Records.begin(), m_Records.end(),
      [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.m_Ends.size(), Left.second.m_SeenAt) <
               std::pair(Right.second.m_Ends.size(), Right.second.m_SeenAt);
      });
  m_Records.erase(Least);
}

bool Quarantine::isSuspect(const RequestFingerprint &Request) const {
  const auto Found = m_Records.find(Request);
  return Found != m_Records.end() && !Found->second.m_Ends.empty();
}

bool Quarantine::wasAnswered(const RequestFingerprint &Request) const {
  const auto Found = m_Records.find(Request);
  return Found != m_Records.end() && !Found->second.m_Ends.empty() &&
         Found->second.m_WasAnswered;
}

std::optional<TimePoint>
Quarantine::delayedUntil(const RequestFingerprint &Request,
                         TimePoint Now) const {
  const auto Found = m_Records.find(Request);
  if (Found == m_Records.end() || Found->second.m_Ends.empty() ||
      Found->second.m_WasAnswered ||
      Now >= Found->second.m_EndedAt + SuspectDelay)
    return std::nullopt;
  return Found->second.m_EndedAt + SuspectDelay;
}

std::optional<Duration> Quarantine::check(const RequestFingerprint &Request,
                                          TimePoint Now) {
  const auto Found = m_Records.find(Request);
  if (Found == m_Records.end() || !Found->second.isQuarantined())
    return std::nullopt;
  const Record &Known = Found->second;
  const TimePoint Released = Known.releasedAt();
  if (Now >= Released)
    return std::nullopt;
  const End &Latest = Known.m_Ends.back();
  add({Request, false, Latest.m_Id, Now, Latest.m_AsSuspect});
  return Released - Now;
}

void Quarantine::expire(TimePoint Now) {
  std::erase_if(m_Records, [Now](const auto &Each) {
    return Each.second.m_SeenAt + Lifetime <= Now;
  });
}

std::vector<Event> Quarantine::takeEvents() {
  return std::exchange(m_Events, {});
}

std::vector<CrashEvidence> Quarantine::takeNews(TimePoint Now) {
  std::vector<CrashEvidence> Result;
  for (const News &Each : std::exchange(m_News, {}))
    Result.push_back(makeEvidence(Each, Now));
  return Result;
}

std::vector<CrashEvidence>
Quarantine::evidenceOf(const RequestFingerprint &Request, TimePoint Now) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end() ? std::vector<CrashEvidence>()
                                  : evidenceIn(Request, Found->second, Now);
}

std::vector<CrashEvidence>
Quarantine::evidenceIn(const RequestFingerprint &Request, const Record &Known,
                       TimePoint Now) {
  std::vector<CrashEvidence> Result;
  for (const End &Each : Known.m_Ends)
    Result.push_back(makeEvidence({Request, false, Each.m_Id, Known.m_SeenAt,
                                   Each.m_AsSuspect, Known.m_WasAnswered},
                                  Now));
  return Result;
}

std::vector<CrashEvidence> Quarantine::snapshot(TimePoint Now) const {
  std::vector<CrashEvidence> Result;
  for (std::size_t Ends = MaxFirstEnds + MaxSuspectEnds; Ends > 0; --Ends) {
    for (const auto &[Request, Known] : m_Records) {
      if (Known.m_Ends.size() != Ends || Result.size() + Ends > MaxExchanged)
        continue;
      const auto Evidence = evidenceIn(Request, Known, Now);
      Result.insert(Result.end(), Evidence.begin(), Evidence.end());
    }
  }
  return Result;
}

CrashEvidence Quarantine::makeEvidence(const News &Sign, TimePoint Now) {
  return {Sign.m_Request,   Sign.m_Cleared,
          Sign.m_End,       std::max(Now - Sign.m_SeenAt, Duration{0}),
          Sign.m_AsSuspect, Sign.m_WasAnswered};
}

} // namespace dandelionfall::core
