/// \file
/// What a caller reads of an outcome, and what a node reads of a caller's
/// wishes.
#ifndef DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
#define DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/ingress.h"

#include <optional>
#include <string_view>

namespace dandelionfall::app {

/// Header of an answer that is not the target's: `not-run`, `unknown` or
/// `no-route`.
inline constexpr std::string_view OutcomeField = "Dandelionfall-Outcome";

/// Header with the milliseconds after which a refused request may be sent
/// again.
inline constexpr std::string_view RetryAfterMsField =
    "Dandelionfall-Retry-After-Ms";

/// Header of a request with the milliseconds that its caller allows; targets
/// get it too.
inline constexpr std::string_view DeadlineField = "Dandelionfall-Deadline-Ms";

/// Makes the response for a call's final answer. Of a target's answer, fields
/// that only a node may set are left out.
core::HttpResponse makeCallerResponse(const core::AnswerCaller &Result);

/// Holds a request to the largest body that its service's profile allows.
/// \param Config the version in force.
/// \param Request the caller's request.
/// \returns nothing, or status 413 with outcome `not-run` for a request that
/// must not be routed.
std::optional<core::HttpResponse>
refuseLargeBody(const core::Configuration &Config,
                const core::HttpRequest &Request);

/// Reads the time that a caller allows.
/// \param Request the caller's request.
/// \returns the time, or nothing if the header is missing or no number from 1
/// to a day.
std::optional<core::Duration> callerDeadline(const core::HttpRequest &Request);

/// Makes the request for the target from a caller's request.
/// \param Request the caller's request.
/// \param Remaining the time left.
/// \returns the request with the deadline header set to the time left.
core::HttpRequest makeTargetRequest(const core::HttpRequest &Request,
                                    core::Duration Remaining);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
