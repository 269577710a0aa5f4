/// \file
/// Translation between HTTP messages of callers and targets and the outcomes,
/// deadlines and ids of calls.
#ifndef DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
#define DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/http_dialect.h"
#include "dandelionfall/core/ingress.h"
#include "dandelionfall/core/target_statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionfall::app {

/// Makes the response to the caller from the outcome of a call. Removes fields
/// that only a node can set from a target's response.
core::HttpResponse makeCallerResponse(const core::HttpDialect &Dialect,
                                      const core::AnswerCaller &Result);

/// Checks a request's body against the limit in its service's profile.
/// \param Config the applied version.
/// \param Request the caller's request.
/// \returns a response with status 413 and outcome `not-run` if the body is too
/// large, otherwise nothing.
std::optional<core::HttpResponse>
refuseLargeBody(const core::HttpDialect &Dialect,
                const core::Configuration &Config,
                const core::HttpRequest &Request);

/// Reads the deadline header of a caller's request.
/// \param Request the caller's request.
/// \returns the time allowed for the request, or nothing if the header is
/// missing or not a whole number of milliseconds from 1 to one day.
std::optional<core::Duration>
parseCallerDeadline(const core::HttpDialect &Dialect,
                    const core::HttpRequest &Request);

/// \returns the id that the caller gave the request; empty if there is none.
std::string callerIdOf(const core::HttpDialect &Dialect,
                       const core::HttpRequest &Request);

/// Sets the field for the calling service, which only a node can set; values
/// from the caller are removed.
/// It has no effect if the dialect has no such field.
/// \param Request the caller's request.
/// \param Service the service of the local target of the ingress node.
void setCallerService(const core::HttpDialect &Dialect,
                      core::HttpRequest &Request, const std::string &Service);

/// How a target's response is to be treated.
enum class ResponseClass : std::uint8_t {
  Complete,    ///< Forwarded to the caller.
  NotRun,      ///< The target states that it did not run the request.
  OtherTarget, ///< A different target answered; the request did not run.
  Ambiguous,   ///< Must not be forwarded; the request may have run.
};

/// Classifies a target's response.
/// \param Idempotent whether the request may run more than once.
ResponseClass classifyResponse(const core::HttpDialect &Dialect,
                               const core::HttpResponse &Response,
                               bool Idempotent);

/// Reads what a target states about itself in a response.
/// \returns nothing if a statement is malformed, unless the target is leaving.
std::optional<core::TargetStatement>
parseStatement(const core::HttpDialect &Dialect,
               const core::HttpResponse &Response);

/// \returns the delay in the response's `Retry-After` field, in seconds with an
/// optional fraction; 0 if it is missing, malformed or not between 0 and one
/// day.
core::Duration parseRetryAfter(const core::HttpResponse &Response);

/// Makes the request for the target from a caller's request.
/// \param Request the caller's request.
/// \param Remaining the time until the deadline.
/// \param Target the name of the target that should run it.
/// \param Team the team whose key the caller sent; empty if there is none.
/// \returns the request with the deadline field set to the remaining time, at
/// least 1 ms, and the target's name if the dialect has a field for it.
core::HttpRequest makeTargetRequest(const core::HttpDialect &Dialect,
                                    const core::HttpRequest &Request,
                                    core::Duration Remaining,
                                    const std::string &Target,
                                    const std::string &Team = "");

/// Removes the key of a team from a caller's request, and the name of a team,
/// which only nodes set.
/// \returns the key; empty if there is none, or more than one.
std::string takeKey(const core::HttpDialect &Dialect,
                    core::HttpRequest &Request);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CALLER_RESPONSE_H
