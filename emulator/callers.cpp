#include "emulator/callers.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

constexpr std::uint32_t FirstServerError = 500;
/// Part of the time left that a caller follows a refusal's word.
constexpr int LongestComeback = 3;
/// Pause of a caller that finds no connection.
constexpr Duration NoConnectionPause = 100ms;
/// Part of its deadline after which a caller that leaves does so.
constexpr int LeaveDivisor = 2;
/// Calls in a second below which it says little.
constexpr std::uint64_t LeastCallsInSecond = 20;

bool mayRepeat(const RequestKind &Kind) { return Kind.m_Method != "POST"; }

} // namespace

void Tally::add(const Tally &Other) {
  for (const auto Member :
       {&Tally::m_Calls, &Tally::m_InTime, &Tally::m_Late, &Tally::m_Refused,
        &Tally::m_Failed, &Tally::m_Left})
    this->*Member += Other.*Member;
}

double Tally::inTimeShare() const {
  const std::uint64_t Stayed = m_Calls - m_Left;
  return Stayed == 0
             ? 1.0
             : static_cast<double>(m_InTime) / static_cast<double>(Stayed);
}

Callers::Callers(World &On, std::vector<RequestKind> Kinds,
                 std::vector<NodeId> Entries, Send How, std::uint64_t Seed)
    : m_World(On), m_Kinds(std::move(Kinds)), m_Entries(std::move(Entries)),
      m_Send(std::move(How)), m_Random(Seed), m_Tallies(m_Kinds.size()) {}

void Callers::start(Duration Until, Duration CountFrom) {
  m_Until = Until;
  m_CountFrom = CountFrom;
  for (std::size_t Kind = 0; Kind < m_Kinds.size(); ++Kind)
    scheduleNext(Kind);
}

void Callers::scheduleNext(std::size_t Kind) {
  const double PerMicrosecond = m_Rate * m_Kinds[Kind].m_PerSecond / 1e6;
  std::exponential_distribution<double> Gap(PerMicrosecond);
  const TimePoint Next = m_World.time().now() +
                         Duration(static_cast<Duration::rep>(Gap(m_Random)));
  m_World.time().at(Next, [this, Kind] {
    if (m_World.time().elapsed() > m_Until)
      return;
    begin(Kind);
    scheduleNext(Kind);
  });
}

bool Callers::draw(double Share) {
  return Share > 0 && std::bernoulli_distribution(Share)(m_Random);
}

Duration Callers::drawDeadline(const RequestKind &Of) {
  if (!Of.m_ShortestDeadline)
    return Of.m_Deadline;
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Of.m_ShortestDeadline->count(), Of.m_Deadline.count())(m_Random));
}

void Callers::begin(std::size_t Kind) {
  const RequestKind &Of = m_Kinds[Kind];
  const TimePoint Now = m_World.time().now();
  Caller Begun;
  Begun.m_Kind = Kind;
  Begun.m_Entry = m_Entries[m_Random() % m_Entries.size()];
  const auto Mean = static_cast<double>(Of.m_MeanWork.count());
  const double Work =
      Of.m_ExponentialWork
          ? std::exponential_distribution<double>(1.0 / Mean)(m_Random)
          : std::uniform_real_distribution<double>(Mean / 2,
                                                   Mean * 3 / 2)(m_Random);
  Begun.m_Work = Duration(static_cast<Duration::rep>(Work) + 1);
  Begun.m_First = Now;
  Begun.m_Deadline = Now + drawDeadline(Of);
  Begun.m_Counts = m_World.time().elapsed() >= m_CountFrom;
  Begun.m_Impatient = draw(m_Habits.m_ImpatientShare);
  Begun.m_TriesLeft = Of.m_Retries * (Begun.m_Impatient ? 2 : 1);
  const std::size_t Number = m_Callers.size();
  m_Callers.push_back(Begun);
  if (draw(m_Habits.m_LeaveShare))
    m_World.time().at(Now + Of.m_Deadline / LeaveDivisor, [this, Number] {
      if (m_Callers[Number].m_Ended)
        return;
      m_World.leave(m_Callers[Number].m_Call);
      end(Number, &Tally::m_Left);
    });
  m_World.time().at(Begun.m_Deadline, [this, Number] {
    if (m_Callers[Number].m_Ended)
      return;
    m_World.leave(m_Callers[Number].m_Call);
    end(Number, &Tally::m_Failed);
  });
  attempt(Number);
}

void Callers::attempt(std::size_t Number) {
  Caller &Asking = m_Callers[Number];
  if (Asking.m_Ended)
    return;
  const RequestKind &Of = m_Kinds[Asking.m_Kind];
  CallOptions Options;
  Options.m_Method = Of.m_Method;
  Options.m_Path = Of.m_Path;
  Options.m_Work = Asking.m_Work;
  Options.m_Deadline = Asking.m_Deadline - m_World.time().now();
  Asking.m_Call = m_Send(Asking.m_Entry, Options,
                         [this, Number](const core::AnswerCaller &Answer) {
                           onAnswer(Number, Answer);
                         });
}

void Callers::onAnswer(std::size_t Number, const core::AnswerCaller &Answer) {
  const Caller &Asking = m_Callers[Number];
  if (Asking.m_Ended)
    return;
  const RequestKind &Of = m_Kinds[Asking.m_Kind];
  const bool Whole = Answer.m_Outcome == core::CallOutcome::Answered &&
                     Answer.m_Response->m_Status < FirstServerError;
  if (Whole) {
    const bool InTime =
        m_World.time().now() <= Asking.m_First + Of.m_TargetLatency;
    return end(Number, InTime ? &Tally::m_InTime : &Tally::m_Late);
  }
  const bool NotRun = Answer.m_Outcome == core::CallOutcome::NotRun;
  if ((NotRun || mayRepeat(Of)) && comeBack(Number, Answer.m_RetryAfter))
    return;
  end(Number, NotRun ? &Tally::m_Refused : &Tally::m_Failed);
}

bool Callers::comeBack(std::size_t Number, Duration RetryAfter) {
  Caller &Asking = m_Callers[Number];
  if (Asking.m_TriesLeft == 0)
    return false;
  --Asking.m_TriesLeft;
  const TimePoint Now = m_World.time().now();
  Duration Pause = m_Habits.m_Comeback == Comeback::Told
                       ? RetryAfter
                       : m_Habits.m_BlindPause;
  if (!m_World.isAlive(Asking.m_Entry))
    Pause = NoConnectionPause;
  if (Asking.m_Impatient)
    Pause = Duration{0};
  Pause = std::min(Pause, (Asking.m_Deadline - Now) / LongestComeback);
  m_World.time().at(Now + std::max(Pause, Duration{1}),
                    [this, Number] { attempt(Number); });
  return true;
}

void Callers::end(std::size_t Number, std::uint64_t Tally::*Outcome) {
  Caller &Ended = m_Callers[Number];
  Ended.m_Ended = true;
  if (!Ended.m_Counts)
    return;
  Tally One;
  One.m_Calls = 1;
  One.*Outcome = 1;
  m_Tallies[Ended.m_Kind].add(One);
  const Duration Before = m_World.time().now() - Ended.m_First;
  const auto Second =
      static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                   m_World.time().elapsed() - Before)
                                   .count());
  if (m_Seconds.size() <= Second)
    m_Seconds.resize(Second + 1);
  m_Seconds[Second].add(One);
}

Tally Callers::total() const {
  Tally Sum;
  for (const Tally &Each : m_Tallies)
    Sum.add(Each);
  return Sum;
}

double Callers::worstSecond() const {
  double Least = 1;
  for (const Tally &Each : m_Seconds) {
    if (Each.m_Calls >= LeastCallsInSecond)
      Least = std::min(Least, Each.inTimeShare());
  }
  return Least;
}

Breaches Callers::breaches() const {
  Breaches Found;
  for (const auto &[Id, Call] : m_World.records()) {
    const core::AnswerCaller &Answer = Call.m_Answer;
    const bool Whole = Call.m_Answers > 0 &&
                       Answer.m_Outcome == core::CallOutcome::Answered &&
                       Answer.m_Response->m_Status < FirstServerError;
    if (Call.m_Asked.m_Method == "POST" && Call.m_Runs > 1)
      ++Found.m_RanTwice;
    if (Call.m_Answers > 0 && Answer.m_Outcome == core::CallOutcome::NotRun &&
        Call.m_Runs > 0)
      ++Found.m_FalseNotRun;
    if (Whole && Answer.m_Response->m_Body != World::answerTo(Id))
      ++Found.m_NotWhole;
  }
  return Found;
}

} // namespace dandelionfall::emulator
