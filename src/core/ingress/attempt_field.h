/// \file
/// Header field that marks a repeated request, so that services further down
/// do not repeat it again.
#ifndef DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H
#define DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H

#include "dandelionfall/core/http_message.h"

#include <string_view>

namespace dandelionfall::core::ingress {

/// Name of the field; its value is the number of the repeat, from 1.
constexpr std::string_view AttemptFieldName = "Dandelionfall-Attempt";

/// Tells whether a request is part of a call that is already being repeated.
/// \param Request the request as the caller sent it.
/// \returns whether the field is there with any value but 0.
bool isRepeat(const HttpRequest &Request);

/// Marks a repeat.
/// \param Request the request as the caller sent it.
/// \param RepeatNumber the number of the repeat.
/// \returns a copy of the request with the field set.
HttpRequestPtr markRepeat(const HttpRequest &Request, unsigned RepeatNumber);

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_ATTEMPT_FIELD_H
