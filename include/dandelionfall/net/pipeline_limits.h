/// \file
/// Bounds of the requests that callers send before earlier ones are answered.
#ifndef DANDELIONFALL_NET_PIPELINE_LIMITS_H
#define DANDELIONFALL_NET_PIPELINE_LIMITS_H

#include <cstddef>

namespace dandelionfall::net {

/// At a bound, a connection isn't read until earlier responses are written.
struct PipelineLimits {
  /// Requests of one connection that are begun and not completely answered.
  std::size_t m_MaxRequests = 16;
  /// Bytes of one connection's responses that are not completely written.
  std::size_t m_MaxBytes = 1U << 20U;
  /// Requests of all connections beyond the first of each.
  std::size_t m_MaxTotalRequests = 1024;
  /// Bytes of all connections' responses that are not completely written.
  std::size_t m_MaxTotalBytes = 16U << 20U;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_PIPELINE_LIMITS_H
