/// \file
/// Calls to the platform's configuration service as HTTP requests.
#ifndef DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H
#define DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H

#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/net/http_client.h"

namespace dandelionfall::app {

/// Makes the HTTP request of a call.
core::HttpRequest makeSourceRequest(const core::CallSource &Call);

/// \returns the time after which a call counts as failed; a watch waits longer.
core::Duration sourceTimeout(const core::CallSource &Call);

/// Reads the result of a call.
core::SourceReply makeSourceReply(std::uint64_t Id,
                                  const net::HttpResult &Result);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H
