/// \file
/// Large answers of a gate that their ingresses have not yet asked for.
#ifndef DANDELIONFALL_SRC_APP_NODE_ANSWER_OFFERS_H
#define DANDELIONFALL_SRC_APP_NODE_ANSWER_OFFERS_H

#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace dandelionfall::app {

/// Holds large answers back until the ingress has memory for them, so that a
/// node never receives more than it can hold, and a slow or suspended one holds
/// up no small answers.
class AnswerOffers {
public:
  /// Size of a body from which on an answer is offered. Smaller ones are sent
  /// at once, which saves a round trip.
  static constexpr std::size_t MinBodyBytes = 32U << 10U;
  /// Time for which an offer is kept if others need its memory.
  static constexpr core::Duration MaxAge = std::chrono::seconds(1);

  /// Records that the ingress of a link pulls large answers.
  void onHello(core::LinkId Link) { m_Links[Link]; }

  /// \returns the offer to send in place of an answer, which is kept; nothing
  /// if the answer should be sent at once.
  std::optional<core::AnswerOffer>
  add(core::LinkId Link, const core::Answer &Offered, core::TimePoint Now);

  /// Takes an answer that the ingress has asked for.
  /// \returns the answer; nothing if it is no longer kept.
  std::optional<core::Answer> take(core::LinkId Link,
                                   const core::RequestId &Id);

  /// Removes an answer that the ingress doesn't need.
  void remove(core::LinkId Link, const core::RequestId &Id);

  /// Removes the answers of a closed link.
  void onLinkClosed(core::LinkId Link);

  /// Removes answers that were offered longer than `MaxAge` ago.
  void removeOld(core::TimePoint Now);

private:
  struct Entry {
    core::Answer m_Answer;
    core::TimePoint m_OfferedAt;
  };

  /// The offers of each link whose ingress pulls large answers.
  std::unordered_map<core::LinkId, std::unordered_map<core::RequestId, Entry>>
      m_Links;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_ANSWER_OFFERS_H
