#include "app/node/blackboard.h"

#include "platform/http_dialect.h"

namespace dandelionfall::app {

const core::HttpDialect &dialectOf(SourceProtocol Protocol) {
  return Protocol == SourceProtocol::Store ? platform::httpDialect()
                                           : core::defaultDialect();
}

bool areStepEventsEnabled(const Settings &Config) {
  return Config.m_TraceRequests || Config.m_LogLevel == "debug";
}

} // namespace dandelionfall::app
