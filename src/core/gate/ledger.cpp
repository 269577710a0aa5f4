#include "core/gate/ledger.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core::gate {

namespace {

std::size_t bytesOf(const HttpResponsePtr &Response) {
  if (Response == nullptr)
    return 0;
  std::size_t Sum = sizeof(HttpResponse) + Response->m_Body.size();
  for (const HttpField &Field : Response->m_Fields)
    Sum += sizeof(HttpField) + Field.m_Name.size() + Field.m_Value.size();
  return Sum;
}

} // namespace

RequestState Ledger::lookUp(const RequestId &Id) const {
  const LedgerEntry *Entry = find(Id);
  if (Entry != nullptr)
    return Entry->m_State;
  if (m_Fenced.find(Id))
    return RequestState::NeverRuns;
  if (const auto Retired = m_Retired.find(Id))
    return Retired->m_Settled ? RequestState::Settled : RequestState::NeverRuns;
  const auto Forgotten = m_ForgottenUpTo.find(Id.m_Ingress);
  if (Forgotten != m_ForgottenUpTo.end() && Id.m_Sequence <= Forgotten->second)
    return RequestState::Forgotten;
  return RequestState::Unknown;
}

const LedgerEntry *Ledger::find(const RequestId &Id) const {
  const auto Found = m_Entries.find(Id);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

RefusalReason Ledger::refusalReason(const RequestId &Id) const {
  if (const auto Retired = m_Retired.find(Id))
    return Retired->m_Reason;
  return RefusalReason::OldEpoch;
}

std::size_t Ledger::entryCount(const Incarnation &Ingress) const {
  const auto Found = m_ByIngress.find(Ingress);
  return Found == m_ByIngress.end() ? 0 : Found->second.size();
}

std::size_t Ledger::count(RequestState State) const {
  if (State == RequestState::Queued)
    return m_Queued;
  if (State == RequestState::Running)
    return m_Running;
  return State == RequestState::Done ? m_Entries.size() - m_Queued - m_Running
                                     : 0;
}

void Ledger::admit(const RequestId &Id, LedgerEntry Entry) {
  Entry.m_State = RequestState::Queued;
  if (!m_Entries.emplace(Id, std::move(Entry)).second)
    return;
  ++m_Queued;
  m_ByIngress[Id.m_Ingress].insert(Id.m_Sequence);
}

HttpRequestPtr Ledger::start(const RequestId &Id) {
  LedgerEntry &Entry = m_Entries.at(Id);
  setState(Entry, RequestState::Running);
  return std::exchange(Entry.m_Request, nullptr);
}

void Ledger::finish(const RequestId &Id, HttpResponsePtr Response) {
  LedgerEntry *Entry = findRunning(Id);
  if (Entry == nullptr)
    return;
  setState(*Entry, RequestState::Done);
  m_HeldAnswerBytes += bytesOf(Response);
  Entry->m_Response = std::move(Response);
  m_Answers.push_back(Id);
  dropOldAnswers();
}

void Ledger::fail(const RequestId &Id, std::string Detail,
                  const std::optional<RequestId> &TargetEnd) {
  LedgerEntry *Entry = findRunning(Id);
  if (Entry == nullptr)
    return;
  setState(*Entry, RequestState::Done);
  Entry->m_FailureDetail = std::move(Detail);
  Entry->m_TargetEnd = TargetEnd;
}

void Ledger::refuse(const RequestId &Id, RefusalReason Reason) {
  remove(Id);
  m_Retired.add(Id, {false, Reason});
}

void Ledger::fence(const RequestId &Id) {
  m_Fenced.add(Id, {false, RefusalReason::OldEpoch});
}

void Ledger::settle(const RequestId &Id) {
  const LedgerEntry *Entry = find(Id);
  if (Entry == nullptr || Entry->m_State != RequestState::Done)
    return;
  remove(Id);
  m_Retired.add(Id, {true, RefusalReason::OldEpoch});
}

void Ledger::forget(const Incarnation &Ingress) {
  const auto Found = m_ByIngress.find(Ingress);
  if (Found == m_ByIngress.end())
    return;
  const std::set<std::uint64_t> Sequences = Found->second;
  for (const std::uint64_t Sequence : Sequences) {
    const RequestId Id{Ingress, Sequence};
    if (m_Entries.at(Id).m_State != RequestState::Done)
      continue;
    std::uint64_t &UpTo = m_ForgottenUpTo[Ingress];
    UpTo = std::max(UpTo, Sequence);
    remove(Id);
  }
}

std::vector<RequestId>
Ledger::queuedRequests(const Incarnation &Ingress) const {
  std::vector<RequestId> Ids;
  const auto Found = m_ByIngress.find(Ingress);
  if (Found == m_ByIngress.end())
    return Ids;
  for (const std::uint64_t Sequence : Found->second) {
    const RequestId Id{Ingress, Sequence};
    if (m_Entries.at(Id).m_State == RequestState::Queued)
      Ids.push_back(Id);
  }
  return Ids;
}

std::vector<Incarnation> Ledger::ingresses() const {
  std::vector<Incarnation> Result;
  Result.reserve(m_ByIngress.size());
  for (const auto &[Ingress, Sequences] : m_ByIngress)
    Result.push_back(Ingress);
  return Result;
}

void Ledger::erase(const Incarnation &Ingress) {
  m_ForgottenUpTo.erase(Ingress);
}

LedgerEntry *Ledger::findRunning(const RequestId &Id) {
  const auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return nullptr;
  return Found->second.m_State == RequestState::Running ? &Found->second
                                                        : nullptr;
}

void Ledger::setState(LedgerEntry &Entry, RequestState State) {
  m_Queued -= Entry.m_State == RequestState::Queued ? 1 : 0;
  m_Running -= Entry.m_State == RequestState::Running ? 1 : 0;
  Entry.m_State = State;
  m_Running += State == RequestState::Running ? 1 : 0;
}

void Ledger::remove(const RequestId &Id) {
  const auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return;
  m_HeldAnswerBytes -= bytesOf(Found->second.m_Response);
  setState(Found->second, RequestState::Settled);
  m_Entries.erase(Found);
  const auto Index = m_ByIngress.find(Id.m_Ingress);
  Index->second.erase(Id.m_Sequence);
  if (Index->second.empty())
    m_ByIngress.erase(Index);
  while (!m_Answers.empty() && find(m_Answers.front()) == nullptr)
    m_Answers.pop_front();
}

void Ledger::dropOldAnswers() {
  while (m_HeldAnswerBytes > m_MaxAnswerBytes && m_Answers.size() > 1) {
    const auto Found = m_Entries.find(m_Answers.front());
    m_Answers.pop_front();
    if (Found == m_Entries.end())
      continue;
    m_HeldAnswerBytes -= bytesOf(Found->second.m_Response);
    Found->second.m_Response = nullptr;
    Found->second.m_FailureDetail = "the answer is no longer kept";
  }
}

} // namespace dandelionfall::core::gate
