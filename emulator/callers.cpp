#include "emulator/callers.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::emulator {

namespace {

constexpr std::uint32_t FirstServerError = 500;
/// A retry pause is limited to this fraction of the time until the deadline.
constexpr int RetryPauseDivisor = 3;
/// Retry pause when the entry node accepts no connection.
constexpr Duration NoConnectionPause = 100ms;
/// A disconnecting caller does so after this fraction of its deadline.
constexpr int DisconnectDivisor = 2;
/// Seconds with fewer calls are too small a sample for `worstSecond`.
constexpr std::uint64_t MinCallsInSecond = 20;

bool isIdempotent(const RequestKind &TheKind) {
  return TheKind.m_Method != "POST";
}

} // namespace

void Tally::add(const Tally &Other) {
  for (const auto Member :
       {&Tally::m_Calls, &Tally::m_InTime, &Tally::m_Late, &Tally::m_Refused,
        &Tally::m_Failed, &Tally::m_Disconnected})
    this->*Member += Other.*Member;
}

double Tally::inTimeShare() const {
  const std::uint64_t Remaining = m_Calls - m_Disconnected;
  return Remaining == 0
             ? 1.0
             : static_cast<double>(m_InTime) / static_cast<double>(Remaining);
}

Callers::Callers(World &Emulated, std::vector<RequestKind> Kinds,
                 std::vector<NodeId> EntryNodes, Send SendCall,
                 std::uint64_t Seed)
    : m_World(Emulated), m_Kinds(std::move(Kinds)),
      m_EntryNodes(std::move(EntryNodes)), m_Send(std::move(SendCall)),
      m_Random(Seed), m_Tallies(m_Kinds.size()) {}

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
    startCall(Kind);
    scheduleNext(Kind);
  });
}

bool Callers::draw(double Share) {
  return Share > 0 && std::bernoulli_distribution(Share)(m_Random);
}

Duration Callers::drawDeadline(const RequestKind &TheKind) {
  if (!TheKind.m_ShortestDeadline)
    return TheKind.m_Deadline;
  return Duration(std::uniform_int_distribution<Duration::rep>(
      TheKind.m_ShortestDeadline->count(),
      TheKind.m_Deadline.count())(m_Random));
}

void Callers::startCall(std::size_t Kind) {
  const RequestKind &TheKind = m_Kinds[Kind];
  const TimePoint Now = m_World.time().now();
  Caller NewCaller;
  NewCaller.m_Kind = Kind;
  NewCaller.m_EntryNode = m_EntryNodes[m_Random() % m_EntryNodes.size()];
  const auto Mean = static_cast<double>(TheKind.m_MeanServiceTime.count());
  const double ServiceTime =
      TheKind.m_ExponentialServiceTime
          ? std::exponential_distribution<double>(1.0 / Mean)(m_Random)
          : std::uniform_real_distribution<double>(Mean / 2,
                                                   Mean * 3 / 2)(m_Random);
  NewCaller.m_ServiceTime =
      Duration(static_cast<Duration::rep>(ServiceTime) + 1);
  NewCaller.m_First = Now;
  NewCaller.m_Deadline = Now + drawDeadline(TheKind);
  NewCaller.m_IsCounted = m_World.time().elapsed() >= m_CountFrom;
  NewCaller.m_Impatient = draw(m_CallerBehaviour.m_ImpatientShare);
  NewCaller.m_RetriesLeft = TheKind.m_Retries * (NewCaller.m_Impatient ? 2 : 1);
  const std::size_t Number = m_Callers.size();
  m_Callers.push_back(NewCaller);
  if (draw(m_CallerBehaviour.m_DisconnectShare))
    m_World.time().at(Now + TheKind.m_Deadline / DisconnectDivisor,
                      [this, Number] {
                        if (m_Callers[Number].m_Ended)
                          return;
                        m_World.disconnectCaller(m_Callers[Number].m_Call);
                        finishCall(Number, &Tally::m_Disconnected);
                      });
  m_World.time().at(NewCaller.m_Deadline, [this, Number] {
    if (m_Callers[Number].m_Ended)
      return;
    m_World.disconnectCaller(m_Callers[Number].m_Call);
    finishCall(Number, &Tally::m_Failed);
  });
  sendAttempt(Number);
}

void Callers::sendAttempt(std::size_t Number) {
  Caller &TheCaller = m_Callers[Number];
  if (TheCaller.m_Ended)
    return;
  const RequestKind &TheKind = m_Kinds[TheCaller.m_Kind];
  CallOptions Options;
  Options.m_Method = TheKind.m_Method;
  Options.m_Path = TheKind.m_Path;
  Options.m_ServiceTime = TheCaller.m_ServiceTime;
  Options.m_Deadline = TheCaller.m_Deadline - m_World.time().now();
  TheCaller.m_Call = m_Send(TheCaller.m_EntryNode, Options,
                            [this, Number](const core::AnswerCaller &Answer) {
                              onAnswer(Number, Answer);
                            });
}

void Callers::onAnswer(std::size_t Number, const core::AnswerCaller &Answer) {
  const Caller &TheCaller = m_Callers[Number];
  if (TheCaller.m_Ended)
    return;
  const RequestKind &TheKind = m_Kinds[TheCaller.m_Kind];
  const bool Succeeded = Answer.m_Outcome == core::CallOutcome::Answered &&
                         Answer.m_Response->m_Status < FirstServerError;
  if (Succeeded) {
    const bool InTime =
        m_World.time().now() <= TheCaller.m_First + TheKind.m_TargetLatency;
    return finishCall(Number, InTime ? &Tally::m_InTime : &Tally::m_Late);
  }
  const bool NotRun = Answer.m_Outcome == core::CallOutcome::NotRun;
  if ((NotRun || isIdempotent(TheKind)) &&
      scheduleRetry(Number, Answer.m_RetryAfter))
    return;
  finishCall(Number, NotRun ? &Tally::m_Refused : &Tally::m_Failed);
}

bool Callers::scheduleRetry(std::size_t Number, Duration RetryAfter) {
  Caller &TheCaller = m_Callers[Number];
  if (TheCaller.m_RetriesLeft == 0)
    return false;
  --TheCaller.m_RetriesLeft;
  const TimePoint Now = m_World.time().now();
  Duration Pause = m_CallerBehaviour.m_RetryTiming == RetryTiming::Advised
                       ? RetryAfter
                       : m_CallerBehaviour.m_FixedRetryPause;
  if (!m_World.isAlive(TheCaller.m_EntryNode))
    Pause = NoConnectionPause;
  if (TheCaller.m_Impatient)
    Pause = Duration{0};
  Pause = std::min(Pause, (TheCaller.m_Deadline - Now) / RetryPauseDivisor);
  m_World.time().at(Now + std::max(Pause, Duration{1}),
                    [this, Number] { sendAttempt(Number); });
  return true;
}

void Callers::finishCall(std::size_t Number, std::uint64_t Tally::*Outcome) {
  Caller &TheCaller = m_Callers[Number];
  TheCaller.m_Ended = true;
  if (!TheCaller.m_IsCounted)
    return;
  Tally One;
  One.m_Calls = 1;
  One.*Outcome = 1;
  m_Tallies[TheCaller.m_Kind].add(One);
  const Duration Before = m_World.time().now() - TheCaller.m_First;
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
  double Min = 1;
  for (const Tally &Each : m_Seconds) {
    if (Each.m_Calls >= MinCallsInSecond)
      Min = std::min(Min, Each.inTimeShare());
  }
  return Min;
}

Breaches Callers::breaches() const {
  Breaches Found;
  for (const auto &[Id, Call] : m_World.records()) {
    const core::AnswerCaller &Answer = Call.m_Answer;
    const bool Succeeded = Call.m_Answers > 0 &&
                           Answer.m_Outcome == core::CallOutcome::Answered &&
                           Answer.m_Response->m_Status < FirstServerError;
    if (Call.m_Options.m_Method == "POST" && Call.m_Runs > 1)
      ++Found.m_RanTwice;
    if (Call.m_Answers > 0 && Answer.m_Outcome == core::CallOutcome::NotRun &&
        Call.m_Runs > 0)
      ++Found.m_FalseNotRun;
    if (Succeeded && Answer.m_Response->m_Body != World::expectedBody(Id))
      ++Found.m_WrongResponse;
  }
  return Found;
}

} // namespace dandelionfall::emulator
