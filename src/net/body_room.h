/// \file
/// Room for the body of one request in the budget of its server.
#ifndef DANDELIONFALL_SRC_NET_BODY_ROOM_H
#define DANDELIONFALL_SRC_NET_BODY_ROOM_H

#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/http_message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace dandelionfall::net {

/// Reserves room before a body is read and keeps it until the request that the
/// body belongs to is destroyed.
class BodyRoom {
public:
  enum class State : std::uint8_t {
    Reserved,
    Waiting,
    NeverFits, ///< The budget is smaller than the body.
  };

  /// \param Budget the budget; null if room is not bounded.
  /// \param Executor calls those who had to wait.
  BodyRoom(std::shared_ptr<core::ByteBudget> Budget,
           boost::asio::any_io_executor Executor);

  /// \param Length the stated length of a body; empty if it is unknown.
  /// \returns the bytes to reserve before the body is read.
  std::size_t bytesForStart(const boost::optional<std::uint64_t> &Length) const;

  /// \returns whether the reservation covers a body of that size, or there is
  /// no budget.
  bool hasRoomFor(std::uint64_t BodyBytes) const;

  /// \param MaxBytes the maximum size of a body.
  /// \returns the bytes to reserve for a body of unknown size that has exceeded
  /// the present reservation.
  std::size_t bytesForMore(std::uint64_t MaxBytes) const;

  /// \returns whether there is a budget.
  bool isBounded() const { return m_Budget != nullptr; }

  /// Replaces the reservation by one of another size.
  /// \param Bytes the size.
  /// \param OnRoom called later, once, if the result is `Waiting`.
  /// \returns whether the bytes are reserved now.
  State reserve(std::size_t Bytes, std::function<void()> OnRoom);

  /// Gives up the reservation and a wait for one.
  void cancel();

  /// Ties the reservation to a complete request.
  /// \param Request the request.
  /// \returns the request; the bytes of its body are returned to the budget
  /// when it is destroyed.
  std::shared_ptr<core::HttpRequest>
  handOver(std::shared_ptr<core::HttpRequest> Request);

private:
  std::shared_ptr<core::ByteBudget> m_Budget;
  boost::asio::any_io_executor m_Executor;
  core::ByteBudget::Reservation m_Reserved;
  /// Set while it waits, and until the call for a granted wait.
  core::ByteBudget::WaiterId m_Waiter = 0;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_BODY_ROOM_H
