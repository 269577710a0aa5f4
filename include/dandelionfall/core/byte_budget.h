/// \file
/// Bound on the bytes that all requests of a process hold together.
#ifndef DANDELIONFALL_CORE_BYTE_BUDGET_H
#define DANDELIONFALL_CORE_BYTE_BUDGET_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace dandelionfall::core {

/// Limits of a budget. Small reservations have a share of their own, so that
/// large ones never keep them waiting.
struct ByteBudgetLimits {
  std::size_t m_LargeTotal = 0;
  std::size_t m_SmallTotal = 0;
  /// Maximum size of a small reservation.
  std::size_t m_MaxSmall = 0;
  friend bool operator==(const ByteBudgetLimits &,
                         const ByteBudgetLimits &) = default;
};

/// Reservations of bytes within fixed totals; those that have to wait are
/// granted in the order of their arrival. For a single thread, except for the
/// figures.
class ByteBudget : public std::enable_shared_from_this<ByteBudget> {
public:
  /// Reserved bytes, returned to the budget on destruction.
  class Reservation {
  public:
    Reservation() = default;
    Reservation(Reservation &&Other) noexcept { swap(Other); }
    Reservation &operator=(Reservation &&Other) noexcept {
      Reservation Taken(std::move(Other));
      swap(Taken);
      return *this;
    }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    ~Reservation() { release(); }

    /// Returns all bytes.
    void release() { shrink(0); }

    /// Returns the bytes above a size.
    /// \param Bytes the size to keep; no effect if it isn't smaller.
    void shrink(std::size_t Bytes);

    /// Counts the bytes as those of a large reservation from now on, even
    /// beyond the total. Small ones should not wait for what has turned out to
    /// be large.
    void countAsLarge();

    /// \returns the bytes reserved; 0 if it is empty.
    std::size_t bytes() const { return m_Bytes; }

  private:
    friend class ByteBudget;
    Reservation(std::shared_ptr<ByteBudget> Owner, std::size_t Bytes,
                std::size_t Lane)
        : m_Owner(std::move(Owner)), m_Bytes(Bytes), m_Lane(Lane) {}

    void swap(Reservation &Other) noexcept {
      std::swap(m_Owner, Other.m_Owner);
      std::swap(m_Bytes, Other.m_Bytes);
      std::swap(m_Lane, Other.m_Lane);
    }

    std::shared_ptr<ByteBudget> m_Owner;
    std::size_t m_Bytes = 0;
    std::size_t m_Lane = 0;
  };

  using WaiterId = std::uint64_t;
  /// Receives a reservation that had to wait. It is called while another one is
  /// returned, so it must not use the budget.
  using Granted = std::function<void(Reservation)>;

  /// \param Limits the totals.
  /// \returns a new budget.
  static std::shared_ptr<ByteBudget> create(const ByteBudgetLimits &Limits);

  /// \param Bytes size, above 0.
  /// \returns the reservation, or an empty one if there is no room now or
  /// earlier ones wait.
  Reservation tryReserve(std::size_t Bytes);

  /// \returns whether a reservation of that size can ever be granted.
  bool fits(std::size_t Bytes) const;

  /// Waits for room.
  /// \param Bytes size, above 0; must fit.
  /// \param Done called once there is room, unless it is cancelled before.
  /// \returns the waiter's id, above 0.
  WaiterId wait(std::size_t Bytes, Granted Done);

  /// Gives up a wait; no effect if the id is unknown.
  void cancel(WaiterId Id);

  /// \returns the bytes reserved; can be called by any thread.
  std::uint64_t held() const { return m_Held.load(std::memory_order_relaxed); }

  /// \returns the number of waiters; can be called by any thread.
  std::uint64_t waiting() const {
    return m_Waiting.load(std::memory_order_relaxed);
  }

  /// \returns the sum of the totals.
  std::uint64_t limit() const {
    return m_Limits.m_LargeTotal + m_Limits.m_SmallTotal;
  }

  /// \returns the limits.
  const ByteBudgetLimits &limits() const { return m_Limits; }

private:
  struct Waiter {
    WaiterId m_Id = 0;
    std::size_t m_Bytes = 0;
    Granted m_Done;
  };
  struct Lane {
    std::size_t m_Total = 0;
    std::size_t m_Held = 0;
    std::deque<Waiter> m_Waiters;
  };

  explicit ByteBudget(const ByteBudgetLimits &Limits);
  std::size_t laneOf(std::size_t Bytes) const;
  Reservation take(std::size_t Bytes, std::size_t Index);
  void giveBack(std::size_t Bytes, std::size_t Index);
  static bool hasRoom(const Lane &Chosen, std::size_t Bytes);
  void serveWaiters(std::size_t Index);

  const ByteBudgetLimits m_Limits;
  std::array<Lane, 2> m_Lanes;
  WaiterId m_LastWaiter = 0;
  std::atomic<std::uint64_t> m_Held{0};
  std::atomic<std::uint64_t> m_Waiting{0};
};

/// \param BodyBytes size of a request's body.
/// \returns the bytes that the body takes with the copy that is made on its
/// way: in a frame for another node or in the request to the target.
constexpr std::size_t bodyCost(std::uint64_t BodyBytes) {
  return 2 * static_cast<std::size_t>(BodyBytes);
}

/// \param Cost reserved bytes.
/// \returns the size of the largest body that they suffice for.
constexpr std::uint64_t bodySizeFor(std::size_t Cost) { return Cost / 2; }

/// Budgets for responses that a node reads and keeps until they are passed on.
struct ResponseMemory {
  /// For all responses.
  std::shared_ptr<ByteBudget> m_Shared;
  /// For those of the largest size, a few at a time, while the other budget has
  /// no room.
  std::shared_ptr<ByteBudget> m_Whole;

  /// \returns the bytes reserved.
  std::uint64_t held() const { return m_Shared->held() + m_Whole->held(); }
  /// \returns the sum of the totals.
  std::uint64_t limit() const { return m_Shared->limit() + m_Whole->limit(); }
  /// \returns the number of waiting responses.
  std::uint64_t waiting() const {
    return m_Shared->waiting() + m_Whole->waiting();
  }
};

/// Ties reserved bytes to the lifetime of an object.
/// \param Original the object.
/// \param Reserved the bytes, returned when no pointer to the result is left.
/// \returns a pointer to the same object.
template <typename Content>
std::shared_ptr<Content> tie(std::shared_ptr<Content> Original,
                             ByteBudget::Reservation Reserved) {
  struct Pair {
    // Destroyed after the object.
    ByteBudget::Reservation m_Reserved;
    std::shared_ptr<Content> m_Object;
  };
  auto Held = std::make_shared<Pair>();
  Content *const Object = Original.get();
  Held->m_Reserved = std::move(Reserved);
  Held->m_Object = std::move(Original);
  return {std::move(Held), Object};
}

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_BYTE_BUDGET_H
