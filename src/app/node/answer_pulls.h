/// \file
/// Memory of an ingress for large answers that gates offer.
#ifndef DANDELIONFALL_SRC_APP_NODE_ANSWER_PULLS_H
#define DANDELIONFALL_SRC_APP_NODE_ANSWER_PULLS_H

#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/traffic_message.h"
#include "net/response_room.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dandelionfall::app {

/// Reserves memory for an offered answer before the answer is asked for, and
/// ties it to the answer, which callers may read slowly.
class AnswerPulls {
public:
  /// Bytes of bodies up to which several answers are on their way on a link.
  /// Beyond it they follow each other, so that small answers aren't held up.
  static constexpr std::uint64_t MaxBytesOnLink = 1U << 20U;

  /// Asks a gate for an answer.
  using Pull = std::function<void(core::LinkId, const core::RequestId &)>;

  /// \param Memory the budgets; must not be null.
  /// \param MaxBodyBytes size of the largest body.
  /// \param Executor calls for those answers that had to wait.
  /// \param Ask called when there is memory for an answer.
  AnswerPulls(std::shared_ptr<const core::ResponseMemory> Memory,
              std::uint64_t MaxBodyBytes, boost::asio::any_io_executor Executor,
              Pull Ask);

  /// Asks for an answer as soon as there is memory for it.
  /// \returns false if the node will never have enough.
  bool onOffer(core::LinkId Link, const core::AnswerOffer &Offer);

  /// Ties the memory that was reserved for an answer to it.
  void onAnswer(core::LinkId Link, core::Answer &Received);

  /// Gives up an answer that the gate does not send.
  void remove(core::LinkId Link, const core::RequestId &Id);

  /// Gives up all answers of a closed link.
  void onLinkClosed(core::LinkId Link);

private:
  struct Entry {
    std::unique_ptr<net::ResponseRoom> m_Room;
    std::uint64_t m_BodyBytes = 0;
    bool m_Asked = false;
  };
  struct LinkState {
    std::unordered_map<core::RequestId, Entry> m_Entries;
    std::uint64_t m_BytesAsked = 0;
    /// Answers that there is memory for, in the order to ask for them.
    std::deque<core::RequestId> m_Next;
  };

  void onRoom(core::LinkId Link, const core::RequestId &Id);
  void askNext(core::LinkId Link, LinkState &State);
  std::unique_ptr<net::ResponseRoom> take(core::LinkId Link,
                                          const core::RequestId &Id);

  std::shared_ptr<const core::ResponseMemory> m_Memory;
  std::uint64_t m_MaxBodyBytes;
  boost::asio::any_io_executor m_Executor;
  Pull m_Ask;
  std::unordered_map<core::LinkId, LinkState> m_Links;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_ANSWER_PULLS_H
