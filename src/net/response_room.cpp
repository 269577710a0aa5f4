#include "net/response_room.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

namespace {

/// Reserved at the start for a body of unknown size.
constexpr std::size_t UnknownStartBytes = 16U << 10U;

} // namespace

ResponseRoom::ResponseRoom(std::shared_ptr<const core::ResponseMemory> Memory,
                           std::uint64_t MaxBodyBytes,
                           boost::asio::any_io_executor Executor)
    : m_Memory(std::move(Memory)), m_MaxBodyBytes(MaxBodyBytes),
      m_Executor(std::move(Executor)) {}

ResponseRoom::State
ResponseRoom::start(const std::optional<std::uint64_t> &Length,
                    std::function<void()> OnRoom) {
  const std::size_t Bytes =
      Length ? core::bodyCost(*Length)
             : std::min(UnknownStartBytes, core::bodyCost(m_MaxBodyBytes));
  if (Bytes == 0)
    return State::Reserved;
  const auto &Budget =
      m_Memory->m_Shared->fits(Bytes) ? m_Memory->m_Shared : m_Memory->m_Whole;
  m_Reserved = Budget->tryReserve(Bytes);
  if (m_Reserved.bytes() > 0)
    return State::Reserved;
  return wait(Budget, Bytes, std::move(OnRoom));
}

ResponseRoom::State ResponseRoom::grow(std::function<void()> OnRoom) {
  const std::size_t Whole = core::bodyCost(m_MaxBodyBytes);
  const std::size_t AboveSmall = m_Memory->m_Shared->limits().m_MaxSmall + 1;
  // Held together with the present room, because the bytes are copied.
  auto More = m_Memory->m_Shared->tryReserve(
      std::min(std::max(2 * m_Reserved.bytes(), AboveSmall), Whole));
  if (More.bytes() > 0) {
    m_Reserved = std::move(More);
    return State::Reserved;
  }
  m_Reserved.countAsLarge();
  return wait(m_Memory->m_Whole, Whole, std::move(OnRoom));
}

ResponseRoom::State
ResponseRoom::wait(const std::shared_ptr<core::ByteBudget> &Budget,
                   std::size_t Bytes, std::function<void()> OnRoom) {
  if (!Budget->fits(Bytes))
    return State::NeverFits;
  auto Now = Budget->tryReserve(Bytes);
  if (Now.bytes() > 0) {
    m_Reserved = std::move(Now);
    return State::Reserved;
  }
  m_WaitsFor = Budget;
  m_Waiter =
      Budget->wait(Bytes, [this, Called = std::move(OnRoom)](
                              core::ByteBudget::Reservation Granted) mutable {
        m_Waiter = 0;
        // The old room is given back later: here the budget is in use.
        boost::asio::post(
            m_Executor, [Called = std::move(Called),
                         Old = std::make_shared<core::ByteBudget::Reservation>(
                             std::exchange(m_Reserved, std::move(Granted)))] {
              Old->release();
              Called();
            });
      });
  return State::Waiting;
}

std::uint64_t ResponseRoom::bodyBytes() const {
  return core::bodySizeFor(m_Reserved.bytes());
}

void ResponseRoom::cancel() {
  if (m_Waiter != 0)
    m_WaitsFor->cancel(std::exchange(m_Waiter, 0));
  m_Reserved.release();
}

core::HttpResponsePtr ResponseRoom::handOver(core::HttpResponsePtr Response) {
  if (m_Reserved.bytes() == 0)
    return Response;
  const std::size_t Taken = core::bodyCost(Response->m_Body.size());
  if (Taken == 0) {
    m_Reserved.release();
    return Response;
  }
  // The next response of the largest size should not wait for this one.
  auto Exact = m_Memory->m_Shared->tryReserve(Taken);
  if (Exact.bytes() > 0)
    m_Reserved = std::move(Exact);
  m_Reserved.shrink(Taken);
  return core::tie(std::move(Response), std::move(m_Reserved));
}

} // namespace dandelionfall::net
