/// \file
/// Collects what the ingress asks of its driver.
#ifndef DANDELIONFALL_CORE_INGRESS_OUTBOX_H
#define DANDELIONFALL_CORE_INGRESS_OUTBOX_H

#include "dandelionfall/core/ingress.h"

#include <string>
#include <vector>

namespace dandelionfall::core::ingress {

/// Commands in the order in which they were decided.
class Outbox {
public:
  /// Asks for a link.
  void open(LinkId Link, const std::string &GateAddress);
  /// Closes a link.
  void close(LinkId Link);
  /// Sends a message to a gate.
  void send(LinkId Link, TrafficMessage Message);
  /// Gives a caller its final answer.
  void answer(AnswerCaller Final);
  /// Tells of a newer version.
  void reportVersion(Version Seen, const std::string &GateAddress);
  /// Tells of an event.
  void report(EventId Id, std::string Detail);
  /// Takes all commands.
  std::vector<IngressCommand> take();

private:
  std::vector<IngressCommand> m_Commands;
};

} // namespace dandelionfall::core::ingress

#endif // DANDELIONFALL_CORE_INGRESS_OUTBOX_H
