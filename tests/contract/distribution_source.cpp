#include "contract/distribution_fleet.h"

#include <utility>

namespace dandelionfall::test {

using namespace core;

std::string zoneName(std::size_t Number) {
  return "zone" + std::to_string(Number);
}

FakeSource::FakeSource(std::size_t Services) {
  std::string &Zones = m_Newest.m_Parts["zones"];
  for (std::size_t Number = 0; Number < 9; ++Number)
    Zones += "[zone " + zoneName(Number) + "]\nregion = r\n";
  m_Newest.m_Parts["profiles"] = "[profile p]\n";
  for (std::size_t Number = 0; Number < Services; ++Number)
    m_Newest.m_Parts["service/s" + std::to_string(Number)] =
        "[service s" + std::to_string(Number) + "]\nprofile = p\n";
}

void FakeSource::assignVersion() {
  m_Newest.m_Version = ++m_Version;
  std::map<std::string, Digest, std::less<>> Digests;
  for (const auto &[Name, Text] : m_Newest.m_Parts)
    Digests[Name] = computeDigest(Text);
  m_Digests[m_Version] = computeDigest(writeManifest(m_Version, Digests));
}

void FakeSource::publish() {
  m_Previous = m_Newest;
  m_Newest.m_Parts["profiles"] = "[profile p]\n";
  m_Newest.m_Parts["service/s0"] = "[service s0]\nprofile = p\n[route /" +
                                   std::to_string(m_Version + 1) + "]\n";
  assignVersion();
}

void FakeSource::publishFaulty() {
  m_Newest.m_Parts["profiles"] = "[profile other]\n";
  assignVersion();
}

void FakeSource::publishConflict() {
  --m_Version;
  m_Newest.m_Parts["service/s0"] = "[service s0]\nprofile = p\n[route /x]\n";
  // digests() keeps the digest of the content that was published first.
  const Digest Published = m_Digests[m_Version + 1];
  assignVersion();
  m_Digests[m_Version] = Published;
}

void FakeSource::setMode(Mode Value) {
  if (Value == Mode::Stale && m_Mode != Mode::Stale)
    m_Stale = m_Previous.m_Version > 0 ? m_Previous : m_Newest;
  m_Mode = Value;
}

void FakeSource::setHosts(const HostList &List) {
  m_Hosts = writeHostList(List);
}

Version FakeSource::visibleVersion() const {
  return m_Mode == Mode::Stale ? m_Stale.m_Version : m_Newest.m_Version;
}

std::optional<std::string> FakeSource::read(const CallSource &Call) const {
  if (m_Mode == Mode::Down)
    return std::nullopt;
  const Content &Visible = m_Mode == Mode::Stale ? m_Stale : m_Newest;
  if (Call.m_Kind == SourceRequestKind::ReadHosts)
    return m_Hosts.empty() ? std::nullopt : std::optional(m_Hosts);
  if (Visible.m_Version == 0)
    return std::nullopt;
  if (Call.m_Kind == SourceRequestKind::ReadPart) {
    const auto Found = Visible.m_Parts.find(Call.m_PartName);
    return Found == Visible.m_Parts.end() ? std::nullopt
                                          : std::optional(Found->second);
  }
  std::map<std::string, Digest, std::less<>> Digests;
  for (const auto &[Name, Text] : Visible.m_Parts)
    Digests[Name] = computeDigest(Text);
  return writeManifest(Visible.m_Version, Digests);
}

} // namespace dandelionfall::test
