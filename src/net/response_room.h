/// \file
/// Room for the body of one response in the memory of its client.
#ifndef DANDELIONFALL_SRC_NET_RESPONSE_ROOM_H
#define DANDELIONFALL_SRC_NET_RESPONSE_ROOM_H

#include "dandelionfall/core/byte_budget.h"
#include "dandelionfall/core/http_message.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace dandelionfall::net {

/// Reserves room ahead of the bytes of a body and ties it to the complete
/// response. A body of unknown size begins as a small one and then doubles its
/// room as long as there is some. Then it waits until it is its turn to get
/// room for the largest body, so that responses that hold room for their
/// beginning can't block each other.
class ResponseRoom {
public:
  enum class State : std::uint8_t {
    Reserved,
    Waiting,
    NeverFits, ///< The memory is smaller than the body.
  };

  /// \param Memory the budgets; must not be null.
  /// \param MaxBodyBytes size of the largest body.
  /// \param Executor calls those who had to wait.
  ResponseRoom(std::shared_ptr<const core::ResponseMemory> Memory,
               std::uint64_t MaxBodyBytes,
               boost::asio::any_io_executor Executor);
  ~ResponseRoom() { cancel(); }
  ResponseRoom(const ResponseRoom &) = delete;
  ResponseRoom &operator=(const ResponseRoom &) = delete;

  /// Reserves room before the first byte of a body is read. Must not hold any.
  /// \param Length the stated length, at most the largest; empty if unknown.
  /// \param OnRoom called later, once, if the result is `Waiting`.
  State start(const std::optional<std::uint64_t> &Length,
              std::function<void()> OnRoom);

  /// Reserves more room for a body of unknown size.
  /// \param OnRoom called later, once, if the result is `Waiting`.
  State grow(std::function<void()> OnRoom);

  /// \returns the size of the body that there is room for.
  std::uint64_t bodyBytes() const;

  /// \returns whether it waits for room.
  bool isWaiting() const { return m_Waiter != 0; }

  /// Gives up the room and a wait for some.
  void cancel();

  /// Ties the room that the body takes to a complete response.
  /// \returns the response; its room is given back when it is destroyed.
  core::HttpResponsePtr handOver(core::HttpResponsePtr Response);

private:
  State wait(const std::shared_ptr<core::ByteBudget> &Budget, std::size_t Bytes,
             std::function<void()> OnRoom);

  std::shared_ptr<const core::ResponseMemory> m_Memory;
  std::uint64_t m_MaxBodyBytes;
  boost::asio::any_io_executor m_Executor;
  core::ByteBudget::Reservation m_Reserved;
  /// Set while it waits, and until the call for a granted wait.
  core::ByteBudget::WaiterId m_Waiter = 0;
  std::shared_ptr<core::ByteBudget> m_WaitsFor;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_RESPONSE_ROOM_H
