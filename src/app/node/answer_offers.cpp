#include "app/node/answer_offers.h"

namespace dandelionfall::app {

std::optional<core::AnswerOffer> AnswerOffers::add(core::LinkId Link,
                                                   const core::Answer &Offered,
                                                   core::TimePoint Now) {
  if (Offered.m_Response == nullptr || !m_PullingLinks.contains(Link))
    return std::nullopt;
  const std::size_t BodyBytes = Offered.m_Response->m_Body.size();
  if (BodyBytes < MinBodyBytes)
    return std::nullopt;
  m_Entries.insert_or_assign(Key{Link, Offered.m_Id}, Entry{Offered, Now});
  return core::AnswerOffer{Offered.m_Id, BodyBytes, Offered.m_Capacity};
}

std::optional<core::Answer> AnswerOffers::take(core::LinkId Link,
                                               const core::RequestId &Id) {
  auto Found = m_Entries.extract(Key{Link, Id});
  if (Found.empty())
    return std::nullopt;
  return std::move(Found.mapped().m_Answer);
}

void AnswerOffers::remove(core::LinkId Link, const core::RequestId &Id) {
  m_Entries.erase(Key{Link, Id});
}

void AnswerOffers::onLinkClosed(core::LinkId Link) {
  m_PullingLinks.erase(Link);
  std::erase_if(m_Entries,
                [Link](const auto &Each) { return Each.first.first == Link; });
}

void AnswerOffers::removeOld(core::TimePoint Now) {
  std::erase_if(m_Entries, [Now](const auto &Each) {
    return Now - Each.second.m_OfferedAt > MaxAge;
  });
}

} // namespace dandelionfall::app
