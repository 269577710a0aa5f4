#include "standin/published_store.h"

#include "dandelionfall/core/error.h"
#include "standin/program.h"

#include <cstdlib>
#include <filesystem>

namespace dandelionfall::standin {

namespace {

constexpr std::size_t MaxVersions = 16;
constexpr std::string_view HostsFile = "hosts";
constexpr std::string_view RevisionKey = "revision";

std::map<std::string, core::Digest, std::less<>>
digestsOf(const core::PartMap &Parts) {
  std::map<std::string, core::Digest, std::less<>> Digests;
  for (const auto &[Name, Value] : Parts)
    Digests.emplace(Name, Value->m_Digest);
  return Digests;
}

// Lenient, because a test may publish a malformed list. Returns 0 if there is
// no revision.
std::uint64_t findRevision(const std::string &Text) {
  const std::size_t KeyStart = Text.find(RevisionKey);
  const std::size_t Equals =
      KeyStart == std::string::npos ? KeyStart : Text.find('=', KeyStart);
  return Equals == std::string::npos
             ? 0
             : std::strtoull(Text.c_str() + Equals + 1, nullptr, 10);
}

std::size_t countHosts(const std::string &Text) {
  constexpr std::string_view SectionStart = "[host ";
  std::size_t Count = 0;
  for (std::size_t Position = Text.find(SectionStart);
       Position != std::string::npos;
       Position = Text.find(SectionStart, Position + SectionStart.size()))
    ++Count;
  return Count;
}

} // namespace

PublishedStore::PublishedStore() {
  m_Versions.push_back(std::make_shared<const Snapshot>());
  m_Hosts = {1, "[hosts]\nrevision = 1\ncount = 0\n"};
}

void PublishedStore::load(const std::string &Directory) {
  namespace fs = std::filesystem;
  if (!fs::is_directory(Directory))
    throw core::Error(core::ErrorKind::UnreadableFile,
                      Directory + " is not a directory",
                      "name a directory of parts");
  for (const auto &Entry : fs::recursive_directory_iterator(Directory)) {
    if (!Entry.is_regular_file())
      continue;
    const std::string Name =
        fs::relative(Entry.path(), Directory).generic_string();
    if (Name == HostsFile)
      setHosts(readFile(Entry.path().string()));
    else
      stage(Name, readFile(Entry.path().string()));
  }
  commit();
}

void PublishedStore::stage(const std::string &Name, std::string Text) {
  m_Staged[Name] = core::makePart(Name, std::move(Text));
}

bool PublishedStore::unstage(const std::string &Name) {
  return m_Staged.erase(Name) > 0;
}

core::Version PublishedStore::commit() {
  const core::Version Number = current()->m_Version + 1;
  publish({Number, core::writeManifest(Number, digestsOf(m_Staged)), m_Staged});
  return Number;
}

core::Version PublishedStore::publishRawManifest(std::string Text) {
  const core::Version Number = current()->m_Version + 1;
  publish({Number, std::move(Text), current()->m_Parts});
  return Number;
}

void PublishedStore::publish(Snapshot Next) {
  m_Versions.push_back(std::make_shared<const Snapshot>(std::move(Next)));
  if (m_Versions.size() > MaxVersions)
    m_Versions.pop_front();
}

SnapshotPtr PublishedStore::find(core::Version Number) const {
  for (const SnapshotPtr &Each : m_Versions) {
    if (Each->m_Version == Number)
      return Each;
  }
  return nullptr;
}

void PublishedStore::setHosts(std::string Text) {
  if (Text.find("[hosts]") == std::string::npos)
    Text = "[hosts]\nrevision = " + std::to_string(m_Hosts.m_Revision + 1) +
           "\ncount = " + std::to_string(countHosts(Text)) + "\n" + Text;
  const std::uint64_t Revision = findRevision(Text);
  m_Hosts = {Revision, std::move(Text)};
}

} // namespace dandelionfall::standin
