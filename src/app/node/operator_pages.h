/// \file
/// Pages served at the operators' address: status, time line, metrics and
/// readiness.
#ifndef DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H
#define DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H

#include "app/node/blackboard.h"
#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/http_message.h"

namespace dandelionfall::app {

/// Makes the response to an operator's request.
/// \param Request the operator's request.
/// \param Board the node's shared state.
/// \param Distribution the state of the configuration distribution.
/// \returns the page, a response with status 405 for methods other than GET and
/// HEAD, or one with status 404 that lists the pages.
core::HttpResponse
makeOperatorPage(const core::HttpRequest &Request, Blackboard &Board,
                 const core::DistributionStatus &Distribution);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H
