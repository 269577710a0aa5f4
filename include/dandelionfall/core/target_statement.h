/// \file
/// What a target states about itself in its responses.
#ifndef DANDELIONFALL_CORE_TARGET_STATEMENT_H
#define DANDELIONFALL_CORE_TARGET_STATEMENT_H

#include <optional>

namespace dandelionfall::core {

/// Statement of a target in a response. It holds until the next response.
struct TargetStatement {
  /// Requests per second that the target takes from all nodes together, not
  /// negative; unset if it takes as many as it can.
  std::optional<double> m_RequestsPerSecond;
  /// Whether the target is about to stop and takes no new requests.
  bool m_Leaving = false;
  friend bool operator==(const TargetStatement &,
                         const TargetStatement &) = default;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_TARGET_STATEMENT_H
