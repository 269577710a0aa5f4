/// \file
/// Names of the header fields in which callers, nodes and targets exchange
/// metadata of a request.
#ifndef DANDELIONFALL_CORE_HTTP_DIALECT_H
#define DANDELIONFALL_CORE_HTTP_DIALECT_H

#include <string_view>

namespace dandelionfall::core {

/// A set of header field names; an empty name means that the dialect lacks the
/// field.
struct HttpDialect {
  /// In a request: time in milliseconds that the caller allows, or that
  /// remains.
  std::string_view m_DeadlineField;
  /// In a request: its id, which targets repeat in their responses.
  std::string_view m_RequestIdField;
  /// In a request to a target: the instance that must execute it.
  std::string_view m_InstanceField;
  /// In a request to a target: the service local to the ingress node.
  std::string_view m_CallerServiceField;
  /// In a caller's request: the key of its team.
  std::string_view m_KeyField;
  /// In a request to a target: the team whose key the caller sent.
  std::string_view m_TeamField;
  /// In a response of a target: the request was not executed.
  std::string_view m_NotRunField;
  /// In a response of a target: proves that the target itself created it; every
  /// complete response carries it.
  std::string_view m_SignatureField;
  /// In a response of a target: requests per second that it takes from all
  /// nodes together, as a decimal number.
  std::string_view m_RateLimitField;
  /// In a response of a target: `1` if it is about to stop.
  std::string_view m_LeavingField;
  /// In a response created by a node: `not-run`, `unknown` or `no-route`.
  std::string_view m_OutcomeField;
  /// In a response created by a node: milliseconds after which the request may
  /// be sent again.
  std::string_view m_RetryAfterMsField;
  /// Whether `Retry-After` may hold a fraction of a second.
  bool m_FractionalRetryAfter = false;
};

/// \returns the dialect used unless a platform defines its own field names.
const HttpDialect &defaultDialect();

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_HTTP_DIALECT_H
