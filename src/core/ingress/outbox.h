/// \file
/// Collects the commands of the ingress to its driver.
#ifndef DANDELIONFALL_CORE_INGRESS_OUTBOX_H
#define DANDELIONFALL_CORE_INGRESS_OUTBOX_H

#include "dandelionfall/core/ingress.h"

#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Commands in the order in which they were issued.
class Outbox {
public:
  /// Requests a link.
  void open(LinkId Link, const std::string &GateAddress);
  void close(LinkId Link);
  void send(LinkId Link, TrafficMessage Message);
  /// Sends the final response to a caller.
  void answer(AnswerCaller Final);
  /// Reports a newer version.
  void reportVersion(Version Seen, const std::string &GateAddress);
  /// Reports an event.
  void report(EventId Id, std::string Detail);
  /// Returns all commands, and clears them.
  std::vector<IngressCommand> take();

private:
  std::vector<IngressCommand> m_Commands;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_OUTBOX_H
