/// \file
/// Remembers which requests were answered lately.
#ifndef DANDELIONFALL_CORE_RECENT_ANSWERS_H
#define DANDELIONFALL_CORE_RECENT_ANSWERS_H

#include "dandelionfall/core/request_fingerprint.h"
#include "dandelionfall/core/time.h"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>

namespace dandelionfall::core {

/// Times of the last answers to requests, in a table of fixed size without
/// chains: an answer replaces that of another request in its place. What is
/// asked often is found nearly always, what is asked rarely may be missing.
/// Not thread-safe.
class RecentAnswers {
public:
  /// Number of requests that it can remember.
  static constexpr std::size_t Capacity = 1024;

  /// Records an answer.
  void record(const RequestFingerprint &Request, TimePoint Now);
  /// \returns when the request was last answered; nothing if that isn't known.
  std::optional<TimePoint> find(const RequestFingerprint &Request) const;

private:
  struct Entry {
    RequestFingerprint m_Request;
    std::optional<TimePoint> m_At;
  };
  using Table = std::array<Entry, Capacity>;

  /// Null until the first answer.
  std::unique_ptr<Table> m_Table;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_RECENT_ANSWERS_H
