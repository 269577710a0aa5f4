#include "core/distribution/blackboard.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

Blackboard::Blackboard(DistributionOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {}

VersionStamp Blackboard::appliedStamp() const {
  return m_Applied == nullptr ? VersionStamp() : m_Applied->m_Stamp;
}

std::size_t Blackboard::fleetSize() const {
  if (m_Hosts->m_Revision > 0)
    return std::max<std::size_t>(m_Hosts->m_Hosts.size(), 1);
  return std::max<std::size_t>(m_Candidates->m_Hosts.size(),
                               m_Options.m_AssumedHosts);
}

bool Blackboard::peerHoldsNewer(Stream Value) const {
  const HeldStream &Own = m_Streams[indexOf(Value)];
  return std::any_of(m_Links.begin(), m_Links.end(), [&](const auto &Entry) {
    const VersionStamp &Theirs = Entry.second.m_Streams[indexOf(Value)].m_Held;
    return Entry.second.m_State == LinkState::Up &&
           Theirs.m_Version > Own.m_Parts->m_Stamp.m_Version &&
           !Own.isRefused(Theirs);
  });
}

std::size_t Blackboard::upLinks() const {
  return static_cast<std::size_t>(
      std::count_if(m_Links.begin(), m_Links.end(), [](const auto &Entry) {
        return Entry.second.m_State == LinkState::Up;
      }));
}

void Blackboard::send(ControlLink &Link, ControlMessage Message) {
  m_Commands.emplace_back(SendControl{Link.m_Id, std::move(Message)});
}

void Blackboard::report(EventId Id, std::string Detail) {
  m_Commands.emplace_back(Event{Id, std::move(Detail)});
}

Duration Blackboard::jitter(Duration Min, Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Min.count(), Max.count())(m_Random));
}

} // namespace dandelionfall::core
