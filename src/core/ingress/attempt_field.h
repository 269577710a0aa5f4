/// \file
/// Header field that marks a repeated request, so that services downstream do
/// not repeat it again.
#ifndef DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H
#define DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H

#include "dandelionfall/core/http_message.h"

#include <string_view>

namespace dandelionfall::core::ingress {

/// Name of the field. Its value is the number of the repeat, starting at 1.
constexpr std::string_view AttemptFieldName = "Dandelionfall-Attempt";

/// Checks whether a request belongs to a call that is already being repeated.
/// \param Request the request as received from the caller.
/// \returns whether the field is present with a value other than 0.
bool isRepeat(const HttpRequest &Request);

/// Marks a repeated request.
/// \param Request the request as received from the caller.
/// \param RepeatNumber number of the repeat.
/// \returns a copy of the request with the field set.
HttpRequestPtr markRepeat(const HttpRequest &Request, unsigned RepeatNumber);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H
