/// \file
/// Names of the header fields by which callers, nodes and targets tell each
/// other about a request.
#ifndef DANDELIONFALL_CORE_HTTP_DIALECT_H
#define DANDELIONFALL_CORE_HTTP_DIALECT_H

#include <string_view>

namespace dandelionfall::core {

/// One set of field names; an empty name means that the dialect has no such
/// field.
struct HttpDialect {
  /// Of a request: milliseconds that its caller allows, or that are left.
  std::string_view m_DeadlineField;
  /// Of a request: its id, which targets repeat in their answers.
  std::string_view m_RequestIdField;
  /// Of a request to a target: the instance that is to run it.
  std::string_view m_InstanceField;
  /// Of a request to a target: the service beside the node that took it in.
  std::string_view m_CallerServiceField;
  /// Of a target's answer: the request did not run.
  std::string_view m_NotRunField;
  /// Of a target's answer: it comes from the target itself; no whole answer
  /// lacks it.
  std::string_view m_SignatureField;
  /// Of a node's own answer: `not-run`, `unknown` or `no-route`.
  std::string_view m_OutcomeField;
  /// Of a node's own answer: milliseconds until the request may be sent again.
  std::string_view m_RetryAfterMsField;
  /// Whether `Retry-After` may hold a fraction of a second.
  bool m_FractionalRetryAfter = false;
};

/// \returns the product's own dialect.
const HttpDialect &defaultDialect();

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_HTTP_DIALECT_H
