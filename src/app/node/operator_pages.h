/// \file
/// The pages at the operators' address: status, time line, metrics.
#ifndef DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H
#define DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H

#include "app/node/node_state.h"
#include "dandelionfall/core/distribution.h"
#include "dandelionfall/core/http_message.h"

namespace dandelionfall::app {

/// Makes a page.
/// \param Request the operator's request.
/// \param State the node's shared state.
/// \param Distribution the state of the configuration distribution.
/// \returns the page, or an answer with status 404 that lists the pages.
core::HttpResponse
makeOperatorPage(const core::HttpRequest &Request, NodeState &State,
                 const core::DistributionStatus &Distribution);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_OPERATOR_PAGES_H
