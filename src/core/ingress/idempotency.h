/// \file
/// Tells which requests may be repeated.
#ifndef DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H
#define DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H

#include "dandelionfall/core/configuration.h"

#include <string_view>

namespace dandelionfall::core::ingress {

/// Tells whether RFC 9110 calls a method idempotent.
/// \param Method the method, which is case sensitive.
/// \returns false also for methods that the RFC does not know.
bool isIdempotentMethod(std::string_view Method);

/// Tells whether a request may be repeated.
/// \param Rule the route's rule, which goes before the method.
/// \param Method the request's method.
/// \returns whether a repeat has the same effect as one run.
bool isIdempotent(Idempotency Rule, std::string_view Method);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_IDEMPOTENCY_H
