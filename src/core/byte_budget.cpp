#include "dandelionfall/core/byte_budget.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

constexpr std::size_t SmallLane = 0;
constexpr std::size_t LargeLane = 1;

} // namespace

void ByteBudget::Reservation::shrink(std::size_t Bytes) {
  if (Bytes >= m_Bytes)
    return;
  const std::size_t Returned = m_Bytes - Bytes;
  m_Bytes = Bytes;
  const std::shared_ptr<ByteBudget> Owner =
      Bytes == 0 ? std::move(m_Owner) : m_Owner;
  Owner->giveBack(Returned, m_Lane);
}

void ByteBudget::Reservation::countAsLarge() {
  if (m_Owner == nullptr || m_Lane == LargeLane)
    return;
  m_Owner->m_Lanes[LargeLane].m_Held += m_Bytes;
  m_Owner->m_Held.fetch_add(m_Bytes, std::memory_order_relaxed);
  m_Owner->giveBack(m_Bytes, std::exchange(m_Lane, LargeLane));
}

ByteBudget::ByteBudget(const ByteBudgetLimits &Limits) : m_Limits(Limits) {
  m_Lanes[SmallLane].m_Total = Limits.m_SmallTotal;
  m_Lanes[LargeLane].m_Total = Limits.m_LargeTotal;
}

std::shared_ptr<ByteBudget> ByteBudget::create(const ByteBudgetLimits &Limits) {
  return std::shared_ptr<ByteBudget>(new ByteBudget(Limits));
}

ByteBudget::Reservation ByteBudget::tryReserve(std::size_t Bytes) {
  const std::size_t Index = laneOf(Bytes);
  const Lane &Chosen = m_Lanes[Index];
  if (!Chosen.m_Waiters.empty() || !hasRoom(Chosen, Bytes))
    return {};
  return take(Bytes, Index);
}

bool ByteBudget::fits(std::size_t Bytes) const {
  return Bytes <= m_Lanes[laneOf(Bytes)].m_Total;
}

ByteBudget::WaiterId ByteBudget::wait(std::size_t Bytes, Granted Done) {
  const std::size_t Index = laneOf(Bytes);
  const WaiterId Id = ++m_LastWaiter;
  m_Lanes[Index].m_Waiters.push_back({Id, Bytes, std::move(Done)});
  ++m_Waiting;
  serveWaiters(Index);
  return Id;
}

void ByteBudget::cancel(WaiterId Id) {
  for (std::size_t Index = 0; Index < m_Lanes.size(); ++Index) {
    auto &Waiters = m_Lanes[Index].m_Waiters;
    const auto Found =
        std::find_if(Waiters.begin(), Waiters.end(),
                     [Id](const Waiter &Each) { return Each.m_Id == Id; });
    if (Found == Waiters.end())
      continue;
    // Destroyed last, because the callback may own the caller.
    const Granted Dropped = std::move(Found->m_Done);
    Waiters.erase(Found);
    --m_Waiting;
    return serveWaiters(Index);
  }
}

std::size_t ByteBudget::laneOf(std::size_t Bytes) const {
  return Bytes <= m_Limits.m_MaxSmall ? SmallLane : LargeLane;
}

ByteBudget::Reservation ByteBudget::take(std::size_t Bytes, std::size_t Index) {
  m_Lanes[Index].m_Held += Bytes;
  m_Held.fetch_add(Bytes, std::memory_order_relaxed);
  return {shared_from_this(), Bytes, Index};
}

void ByteBudget::giveBack(std::size_t Bytes, std::size_t Index) {
  m_Lanes[Index].m_Held -= Bytes;
  m_Held.fetch_sub(Bytes, std::memory_order_relaxed);
  serveWaiters(Index);
}

bool ByteBudget::hasRoom(const Lane &Chosen, std::size_t Bytes) {
  return Chosen.m_Held <= Chosen.m_Total &&
         Bytes <= Chosen.m_Total - Chosen.m_Held;
}

void ByteBudget::serveWaiters(std::size_t Index) {
  Lane &Served = m_Lanes[Index];
  while (!Served.m_Waiters.empty() &&
         hasRoom(Served, Served.m_Waiters.front().m_Bytes)) {
    Waiter Next = std::move(Served.m_Waiters.front());
    Served.m_Waiters.pop_front();
    --m_Waiting;
    Next.m_Done(take(Next.m_Bytes, Index));
  }
}

} // namespace dandelionfall::core
