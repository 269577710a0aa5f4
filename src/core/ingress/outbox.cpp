#include "core/ingress/outbox.h"

#include <utility>

namespace dandelionfall::core::ingress {

void Outbox::open(LinkId Link, const std::string &GateAddress) {
  m_Commands.emplace_back(OpenTrafficLink{Link, GateAddress});
}

void Outbox::close(LinkId Link) {
  m_Commands.emplace_back(CloseTrafficLink{Link});
}

void Outbox::send(LinkId Link, TrafficMessage Message) {
  m_Commands.emplace_back(SendTraffic{Link, std::move(Message)});
}

void Outbox::answer(AnswerCaller Final) {
  m_Commands.emplace_back(std::move(Final));
}

void Outbox::reportVersion(Version Seen, const std::string &GateAddress) {
  m_Commands.emplace_back(NewerVersionSeen{Seen, GateAddress});
}

void Outbox::report(EventId Id, std::string Detail) {
  m_Commands.emplace_back(Event{Id, std::move(Detail)});
}

std::vector<IngressCommand> Outbox::take() {
  return std::exchange(m_Commands, {});
}

} // namespace dandelionfall::core::ingress
