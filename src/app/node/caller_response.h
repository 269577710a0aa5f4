/// \file
/// What a caller reads of an outcome, and what a node reads of a caller's
/// wishes.
#ifndef DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
#define DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/http_dialect.h"
#include "dandelionfall/core/ingress.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionfall::app {

/// Makes the response for a call's final answer. Of a target's answer, fields
/// that only a node may set are left out.
core::HttpResponse makeCallerResponse(const core::HttpDialect &Dialect,
                                      const core::AnswerCaller &Result);

/// Holds a request to the largest body that its service's profile allows.
/// \param Config the version in force.
/// \param Request the caller's request.
/// \returns nothing, or status 413 with outcome `not-run` for a request that
/// must not be routed.
std::optional<core::HttpResponse>
refuseLargeBody(const core::HttpDialect &Dialect,
                const core::Configuration &Config,
                const core::HttpRequest &Request);

/// Reads the time that a caller allows.
/// \param Request the caller's request.
/// \returns the time, or nothing if the header is missing or no number from 1
/// to a day.
std::optional<core::Duration>
parseCallerDeadline(const core::HttpDialect &Dialect,
                    const core::HttpRequest &Request);

/// \returns the id by which the caller knows a request; empty if it names none.
std::string callerIdOf(const core::HttpDialect &Dialect,
                       const core::HttpRequest &Request);

/// Sets what only a node may say of a request: the service that it comes from.
/// \param Request the caller's request.
/// \param Service the service beside the node that took it in.
/// \returns the request, the same one if the dialect has no such field.
core::HttpRequestPtr withCallerService(const core::HttpDialect &Dialect,
                                       core::HttpRequestPtr Request,
                                       const std::string &Service);

/// What a target's answer means beyond its bytes.
enum class ResponseClass : std::uint8_t {
  Complete,    ///< The answer to pass on.
  NotRun,      ///< The target says that it did not run the request.
  OtherTarget, ///< Another target than the wanted one answered; it did not run.
  Ambiguous,   ///< Not to be passed on; the request may have run.
};

/// Tells what a target's answer means.
/// \param Idempotent whether the request may run more than once.
ResponseClass classifyResponse(const core::HttpDialect &Dialect,
                               const core::HttpResponse &Response,
                               bool Idempotent);

/// \returns the time that an answer's `Retry-After` names; 0 if it names none.
core::Duration parseRetryAfter(const core::HttpResponse &Response);

/// Makes the request for the target from a caller's request.
/// \param Request the caller's request.
/// \param Remaining the time left.
/// \param Target the name of the target that is to run it.
/// \returns the request with the deadline set to the time left, and with the
/// target's name where the dialect has a field for it.
core::HttpRequest makeTargetRequest(const core::HttpDialect &Dialect,
                                    const core::HttpRequest &Request,
                                    core::Duration Remaining,
                                    const std::string &Target);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
