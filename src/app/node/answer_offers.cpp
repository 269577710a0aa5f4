#include "app/node/answer_offers.h"

namespace dandelionfall::app {

std::optional<core::AnswerOffer> AnswerOffers::add(core::LinkId Link,
                                                   const core::Answer &Offered,
                                                   core::TimePoint Now) {
  const auto Found = m_Links.find(Link);
  if (Offered.m_Response == nullptr || Found == m_Links.end())
    return std::nullopt;
  const std::size_t BodyBytes = Offered.m_Response->m_Body.size();
  if (BodyBytes < MinBodyBytes)
    return std::nullopt;
  Found->second.insert_or_assign(Offered.m_Id, Entry{Offered, Now});
  return core::AnswerOffer{Offered.m_Id, BodyBytes, Offered.m_Capacity};
}

std::optional<core::Answer> AnswerOffers::take(core::LinkId Link,
                                               const core::RequestId &Id) {
  const auto Found = m_Links.find(Link);
  if (Found == m_Links.end())
    return std::nullopt;
  auto Taken = Found->second.extract(Id);
  if (Taken.empty())
    return std::nullopt;
  return std::move(Taken.mapped().m_Answer);
}

void AnswerOffers::remove(core::LinkId Link, const core::RequestId &Id) {
  take(Link, Id);
}

void AnswerOffers::onLinkClosed(core::LinkId Link) { m_Links.erase(Link); }

void AnswerOffers::removeOld(core::TimePoint Now) {
  for (auto &[Link, Offers] : m_Links)
    std::erase_if(Offers, [Now](const auto &Each) {
      return Now - Each.second.m_OfferedAt > MaxAge;
    });
}

} // namespace dandelionfall::app
