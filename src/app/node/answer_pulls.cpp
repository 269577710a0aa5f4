#include "app/node/answer_pulls.h"

namespace dandelionfall::app {

AnswerPulls::AnswerPulls(std::shared_ptr<const core::ResponseMemory> Memory,
                         std::uint64_t MaxBodyBytes,
                         boost::asio::any_io_executor Executor, Pull Ask)
    : m_Memory(std::move(Memory)), m_MaxBodyBytes(MaxBodyBytes),
      m_Executor(std::move(Executor)), m_Ask(std::move(Ask)) {}

bool AnswerPulls::onOffer(core::LinkId Link, const core::AnswerOffer &Offer) {
  const core::RequestId &Id = Offer.m_Id;
  auto &Entries = m_Links[Link].m_Entries;
  if (Entries.contains(Id))
    return true;
  auto Room =
      std::make_unique<net::ResponseRoom>(m_Memory, m_MaxBodyBytes, m_Executor);
  const auto State =
      Room->start(Offer.m_BodyBytes, [this, Link, Id] { onRoom(Link, Id); });
  if (State == net::ResponseRoom::State::NeverFits)
    return false;
  Entries.emplace(Id, Entry{std::move(Room), Offer.m_BodyBytes});
  if (State == net::ResponseRoom::State::Reserved)
    onRoom(Link, Id);
  return true;
}

void AnswerPulls::onRoom(core::LinkId Link, const core::RequestId &Id) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return;
  Found->second.m_Next.push_back(Id);
  askNext(Link, Found->second);
}

void AnswerPulls::askNext(core::LinkId Link, LinkState &State) {
  for (; !State.m_Next.empty(); State.m_Next.pop_front()) {
    const core::RequestId Id = State.m_Next.front();
    const auto Found = State.m_Entries.find(Id);
    if (Found == State.m_Entries.end() || Found->second.m_Room->isWaiting())
      continue;
    Entry &Next = Found->second;
    if (State.m_BytesAsked > 0 &&
        State.m_BytesAsked + Next.m_BodyBytes > MaxBytesOnLink)
      return;
    State.m_BytesAsked += Next.m_BodyBytes;
    Next.m_Asked = true;
    m_Ask(Link, Id);
  }
}

std::unique_ptr<net::ResponseRoom>
AnswerPulls::take(core::LinkId Link, const core::RequestId &Id) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return nullptr;
  LinkState &State = Found->second;
  auto Taken = State.m_Entries.extract(Id);
  if (Taken.empty())
    return nullptr;
  if (Taken.mapped().m_Asked)
    State.m_BytesAsked -= Taken.mapped().m_BodyBytes;
  askNext(Link, State);
  return std::move(Taken.mapped().m_Room);
}

void AnswerPulls::onAnswer(core::LinkId Link, core::Answer &Received) {
  const auto Room = take(Link, Received.m_Id);
  if (Room != nullptr && Received.m_Response != nullptr)
    Received.m_Response = Room->handOver(std::move(Received.m_Response));
}

void AnswerPulls::remove(core::LinkId Link, const core::RequestId &Id) {
  take(Link, Id);
}

void AnswerPulls::onLinkClosed(core::LinkId Link) { m_Links.erase(Link); }

} // namespace dandelionfall::app
