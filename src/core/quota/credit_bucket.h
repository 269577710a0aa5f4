/// \file
/// Token bucket whose tokens are lent for a time.
#ifndef DANDELIONFALL_CORE_QUOTA_CREDIT_BUCKET_H
#define DANDELIONFALL_CORE_QUOTA_CREDIT_BUCKET_H

#include "dandelionfall/core/time.h"

#include <cstdint>
#include <deque>

namespace dandelionfall::core::quota {

/// Grants credit of one accountant's share. The credit left in the bucket and
/// the credit whose lease lasts are together at most the burst, so in any
/// window at most rate x window + burst is used, whenever it was granted.
class CreditBucket {
public:
  /// \param RatePerSecond credit gained a second.
  /// \param Burst most credit that the bucket holds.
  /// \param Level credit at the start; below 0 for a debt.
  /// \param Now the current time.
  CreditBucket(double RatePerSecond, double Burst, double Level, TimePoint Now);

  /// Changes rate and burst; what exceeds a lower burst is lost at once.
  void configure(double RatePerSecond, double Burst, TimePoint Now);
  /// Takes credit away, into debt if there is not enough.
  void charge(double Amount) { m_Level -= Amount; }
  /// Takes up to the given number of credits.
  /// \returns the number taken.
  std::uint32_t take(std::uint32_t Wanted, TimePoint Now);
  /// \returns the time until the bucket holds one credit; 0 if it does now.
  Duration waitForOne(TimePoint Now);
  /// \returns the credit in the bucket as of the last call.
  double level() const { return m_Level; }

private:
  struct Lease {
    TimePoint m_End;
    std::uint32_t m_Count = 0;
  };

  void refill(TimePoint Until);
  void advance(TimePoint Now);

  double m_RatePerSecond;
  double m_Burst;
  double m_Level;
  double m_Lent = 0;
  TimePoint m_AsOf;
  std::deque<Lease> m_Leases;
};

} // namespace dandelionfall::core::quota

#endif // DANDELIONFALL_CORE_QUOTA_CREDIT_BUCKET_H
