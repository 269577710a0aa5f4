#include "app/node/answer_pulls.h"

namespace dandelionfall::app {

AnswerPulls::AnswerPulls(std::shared_ptr<const core::ResponseMemory> Memory,
                         std::uint64_t MaxBodyBytes,
                         boost::asio::any_io_executor Executor, Pull Ask)
    : m_Memory(std::move(Memory)), m_MaxBodyBytes(MaxBodyBytes),
      m_Executor(std::move(Executor)), m_Ask(std::move(Ask)) {}

bool AnswerPulls::onOffer(core::LinkId Link, const core::AnswerOffer &Offer) {
  const Key Offered{Link, Offer.m_Id};
  if (m_Entries.contains(Offered))
    return true;
  auto Room =
      std::make_unique<net::ResponseRoom>(m_Memory, m_MaxBodyBytes, m_Executor);
  const auto State =
      Room->start(Offer.m_BodyBytes, [this, Offered] { onRoom(Offered); });
  if (State == net::ResponseRoom::State::NeverFits)
    return false;
  m_Entries.emplace(Offered, Entry{std::move(Room), Offer.m_BodyBytes});
  if (State == net::ResponseRoom::State::Reserved)
    onRoom(Offered);
  return true;
}

void AnswerPulls::onRoom(const Key &Offered) {
  if (!m_Entries.contains(Offered))
    return;
  m_Links[Offered.first].m_Next.push_back(Offered.second);
  askNext(Offered.first);
}

void AnswerPulls::askNext(core::LinkId Link) {
  LinkState &State = m_Links[Link];
  while (!State.m_Next.empty()) {
    const core::RequestId Id = State.m_Next.front();
    const auto Found = m_Entries.find({Link, Id});
    if (Found == m_Entries.end()) {
      State.m_Next.pop_front();
      continue;
    }
    Entry &Next = Found->second;
    if (State.m_BytesAsked > 0 &&
        State.m_BytesAsked + Next.m_BodyBytes > MaxBytesOnLink)
      return;
    State.m_Next.pop_front();
    State.m_BytesAsked += Next.m_BodyBytes;
    Next.m_Asked = true;
    m_Ask(Link, Id);
  }
}

std::unique_ptr<net::ResponseRoom> AnswerPulls::take(const Key &Ended) {
  auto Found = m_Entries.extract(Ended);
  if (Found.empty())
    return nullptr;
  if (Found.mapped().m_Asked)
    m_Links[Ended.first].m_BytesAsked -= Found.mapped().m_BodyBytes;
  askNext(Ended.first);
  return std::move(Found.mapped().m_Room);
}

void AnswerPulls::onAnswer(core::LinkId Link, core::Answer &Received) {
  const auto Room = take({Link, Received.m_Id});
  if (Room != nullptr && Received.m_Response != nullptr)
    Received.m_Response = Room->handOver(std::move(Received.m_Response));
}

void AnswerPulls::remove(core::LinkId Link, const core::RequestId &Id) {
  take({Link, Id});
}

void AnswerPulls::onLinkClosed(core::LinkId Link) {
  m_Links.erase(Link);
  std::erase_if(m_Entries,
                [Link](const auto &Each) { return Each.first.first == Link; });
}

} // namespace dandelionfall::app
