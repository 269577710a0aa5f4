// Proofs of the nodes of a fleet that their configuration is the newest one.
#include "store_fleet.h"

#include <algorithm>

namespace dandelionfall::test {

using namespace core;

void StoreFleet::perform(std::size_t Number, const FreshnessProof &Command) {
  Member &Proving = m_Nodes[Number];
  const auto Report = [&](const std::string &What) {
    m_FalseProofs.push_back(
        "node " + std::to_string(Number) + ": " + What + " at " +
        std::to_string(m_Now.time_since_epoch().count()) + " us");
  };
  if (Command.m_Version != Proving.m_AppliedRevision)
    Report("proof of a revision that is not published");
  if (Command.m_AsOf > m_Now)
    Report("proof of the future");
  const auto Newer = m_VersionAt.upper_bound(Proving.m_InForce);
  if (Newer != m_VersionAt.end() && Newer->second < Command.m_AsOf)
    Report("version " + std::to_string(Proving.m_InForce) + " as of " +
           std::to_string((Command.m_AsOf - Newer->second).count()) +
           " us after " + std::to_string(Newer->first));
  Proving.m_Proof = Command;
}

std::optional<Duration> StoreFleet::proofAge(std::size_t Number) const {
  const std::optional<FreshnessProof> &Proof = m_Nodes[Number].m_Proof;
  if (!Proof)
    return std::nullopt;
  return m_Now - Proof->m_AsOf;
}

std::optional<Duration> StoreFleet::worstProofAge() const {
  Duration Worst{0};
  for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
    if (m_Nodes[Number].m_Replica == nullptr || m_Nodes[Number].m_Frozen)
      continue;
    const std::optional<Duration> Age = proofAge(Number);
    if (!Age)
      return std::nullopt;
    Worst = std::max(Worst, *Age);
  }
  return Worst;
}

void StoreFleet::reconnectToNodes(std::size_t Number) {
  m_Nodes[Number].m_CutFromNodes = false;
}

void StoreFleet::slowMessages(std::size_t Number, Duration Longer) {
  m_Nodes[Number].m_SlowMessages = Longer;
}

} // namespace dandelionfall::test
