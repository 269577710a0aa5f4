/// \file
/// Recognizes a request that comes again.
#ifndef DANDELIONFALL_CORE_REQUEST_FINGERPRINT_H
#define DANDELIONFALL_CORE_REQUEST_FINGERPRINT_H

#include "dandelionfall/core/http_message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace dandelionfall::core {

/// Hash of the parts of a request that stay the same when a caller sends it
/// again: method, host, path, credentials and body. Ids, deadlines and what
/// nodes add differ between attempts and are left out.
struct RequestFingerprint {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;
  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;
};

/// \returns the fingerprint of a request.
RequestFingerprint fingerprintOf(const HttpRequest &Request);

/// \returns the fingerprint as 32 hexadecimal digits.
std::string toString(const RequestFingerprint &Value);

} // namespace dandelionfall::core

template <> struct std::hash<dandelionfall::core::RequestFingerprint> {
  std::size_t operator()(
      const dandelionfall::core::RequestFingerprint &Value) const noexcept {
    return static_cast<std::size_t>(Value.m_Low);
  }
};

#endif // DANDELIONFALL_CORE_REQUEST_FINGERPRINT_H
