#include "app/node/blackboard.h"

#include "platform/http_dialect.h"

namespace dandelionfall::app {

const core::HttpDialect &dialectOf(SourceProtocol Protocol) {
  return Protocol == SourceProtocol::Store ? platform::httpDialect()
                                           : core::ownDialect();
}

} // namespace dandelionfall::app
