/// \file
/// Decides which requests may be repeated.
#ifndef DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H
#define DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H

#include "dandelionfall/core/configuration.h"

#include <string_view>

namespace dandelionfall::core::ingress {

/// Checks whether a method is idempotent according to RFC 9110.
/// \param Method the method; case-sensitive.
/// \returns false also for methods that the RFC does not define.
bool isIdempotentMethod(std::string_view Method);

/// Checks whether a request may run beside others of its connection, so that
/// they may change places.
/// \param Rule rule of the route. Unless it declares all requests repeatable,
/// only safe methods may (RFC 9112, section 9.3.2).
/// \param Method method of the request.
bool mayRunBeside(Idempotency Rule, std::string_view Method);

/// Checks whether a request may be repeated.
/// \param Rule rule of the route; takes precedence over the method.
/// \param Method method of the request.
/// \returns whether repeating the request has the same effect as running it
/// once.
bool isIdempotent(Idempotency Rule, std::string_view Method);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H
