/// \file
/// HTTP form of the calls to the configuration source.
#ifndef DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H
#define DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H

#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/http_message.h"
#include "dandelionfall/net/http_client.h"

namespace dandelionfall::app {

/// Makes the HTTP request for a call to the source.
core::HttpRequest makeSourceRequest(const core::CallSource &Call);

/// \returns the time after which a call counts as failed. A watch has longer,
/// because the source holds its response back until something changes.
core::Duration sourceTimeout(const core::CallSource &Call);

/// Converts the HTTP result of a call.
/// \param Id the id of the call.
core::SourceReply makeSourceReply(std::uint64_t Id,
                                  const net::HttpResult &Result);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_SOURCE_REQUEST_H
