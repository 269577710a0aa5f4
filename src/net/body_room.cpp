#include "net/body_room.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace dandelionfall::net {

namespace {

/// Reserved at the start for a body of unknown size.
constexpr std::size_t UnknownStartBytes = 32U << 10U;

} // namespace

BodyRoom::BodyRoom(std::shared_ptr<core::ByteBudget> Budget,
                   boost::asio::any_io_executor Executor)
    : m_Budget(std::move(Budget)), m_Executor(std::move(Executor)) {}

std::size_t
BodyRoom::bytesForStart(const boost::optional<std::uint64_t> &Length) const {
  if (Length || m_Budget == nullptr)
    return core::bodyCost(Length.value_or(0));
  return std::min(UnknownStartBytes, m_Budget->limits().m_MaxSmall);
}

bool BodyRoom::hasRoomFor(std::uint64_t BodyBytes) const {
  return !isBounded() || core::bodyCost(BodyBytes) <= m_Reserved.bytes();
}

std::size_t BodyRoom::bytesForMore(std::uint64_t MaxBytes) const {
  if (m_Budget == nullptr)
    return core::bodyCost(MaxBytes);
  const std::size_t MaxSmall = m_Budget->limits().m_MaxSmall;
  return m_Reserved.bytes() < MaxSmall
             ? std::min(MaxSmall, core::bodyCost(MaxBytes))
             : core::bodyCost(MaxBytes);
}

BodyRoom::State BodyRoom::reserve(std::size_t Bytes,
                                  std::function<void()> OnRoom) {
  m_Reserved.release();
  if (m_Budget == nullptr || Bytes == 0)
    return State::Reserved;
  m_Reserved = m_Budget->tryReserve(Bytes);
  if (m_Reserved.bytes() > 0)
    return State::Reserved;
  if (!m_Budget->fits(Bytes))
    return State::NeverFits;
  m_Waiter = m_Budget->wait(Bytes, [this, Called = std::move(OnRoom)](
                                       core::ByteBudget::Reservation Granted) {
    m_Waiter = 0;
    m_Reserved = std::move(Granted);
    boost::asio::post(m_Executor, Called);
  });
  return State::Waiting;
}

void BodyRoom::cancel() {
  if (m_Waiter != 0)
    m_Budget->cancel(std::exchange(m_Waiter, 0));
  m_Reserved.release();
}

std::shared_ptr<core::HttpRequest>
BodyRoom::handOver(std::shared_ptr<core::HttpRequest> Request) {
  if (m_Reserved.bytes() == 0)
    return Request;
  std::string &Body = Request->m_Body;
  if (Body.capacity() / 2 > Body.size())
    Body.shrink_to_fit();
  m_Reserved.shrink(core::bodyCost(Body.size()));
  return core::tie(std::move(Request), std::move(m_Reserved));
}

} // namespace dandelionfall::net
