#include "core/distribution/collection.h"

#include "core/distribution/snapshot_sender.h"
#include "core/distribution/version_store.h"
#include "dandelionfall/core/error.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

void sendSharedParts(Blackboard &Board, ControlLink &Link,
                     const std::vector<PartPtr> &Parts) {
  if (Parts.empty())
    return;
  for (std::vector<PartPtr> &Group :
       cutIntoChunks(Parts, SnapshotSender::ChunkBytes)) {
    SnapshotChunk Chunk;
    Chunk.m_Stream = Stream::Configuration;
    Chunk.m_Stamp = Board.m_Assembly->m_Manifest.m_Stamp;
    Chunk.m_Parts = std::move(Group);
    Board.send(Link, std::move(Chunk));
  }
}

// The manifest, and the collected parts that are not in this node's held
// version. The peer is assumed to hold the same version.
std::vector<PartPtr> collectedParts(const Blackboard &Board) {
  const PartMap &Held = Board.held(Stream::Configuration).m_Parts;
  std::vector<PartPtr> Parts;
  Parts.push_back(
      makePart(SharedManifestName, Board.m_Assembly->m_ManifestText));
  for (const auto &[Name, Value] : Board.m_Assembly->m_Parts) {
    const auto Known = Held.find(Name);
    if (Known == Held.end() || Known->second->m_Digest != Value->m_Digest)
      Parts.push_back(Value);
  }
  return Parts;
}

void addMatchingParts(Assembly &Destination, const PartMap &Parts) {
  for (const auto &[Name, Value] : Parts) {
    const auto Listed = Destination.m_Manifest.m_Parts.find(Name);
    if (Listed != Destination.m_Manifest.m_Parts.end() &&
        Listed->second == Value->m_Digest) {
      Destination.m_Parts[Name] = Value;
      Destination.m_Missing.erase(Name);
    }
  }
}

// The peer that sent the manifest (on link `From`, 0 for none) is not sent the
// collected parts.
void resetAssemblySent(Blackboard &Board, LinkId From) {
  for (auto &[Id, Link] : Board.m_Links)
    Link.m_AssemblySent = Id == From;
}

} // namespace

void shareAssembly(Blackboard &Board) {
  if (std::exchange(Board.m_Assembly->m_Shared, true))
    return;
  resetAssemblySent(Board, 0);
}

bool addManifest(Blackboard &Board, const std::string &Text, LinkId From) {
  Manifest NewManifest = readManifest(Text);
  NewManifest.m_Stamp = canonicalStamp(NewManifest);
  if (checkStamp(Board, Stream::Configuration, NewManifest.m_Stamp) !=
      HoldResult::Held)
    return false;
  auto &Current = Board.m_Assembly;
  if (Current.has_value() &&
      (Current->m_Manifest.m_Stamp == NewManifest.m_Stamp ||
       Current->m_Manifest.m_Stamp.m_Version > NewManifest.m_Stamp.m_Version))
    return true;
  Assembly Next;
  Next.m_Manifest = std::move(NewManifest);
  Next.m_ManifestText = Text;
  for (const auto &[Name, Listed] : Next.m_Manifest.m_Parts)
    Next.m_Missing.insert(Name);
  addMatchingParts(Next, Board.held(Stream::Configuration).m_Parts);
  if (Current.has_value())
    addMatchingParts(Next, Current->m_Parts);
  const bool WasShared = Current.has_value() && Current->m_Shared;
  Next.m_Shared = From != 0 || WasShared;
  if (Next.m_Shared && !WasShared)
    resetAssemblySent(Board, From);
  if (Next.m_Shared)
    Next.m_Unsent.emplace_back(makePart(SharedManifestName, Text), From);
  Current = std::move(Next);
  return true;
}

bool addPart(Blackboard &Board, const PartPtr &Value, LinkId From) {
  auto &Current = Board.m_Assembly;
  if (!Current.has_value())
    return true;
  const auto Listed = Current->m_Manifest.m_Parts.find(Value->m_Name);
  const bool Matches = Listed != Current->m_Manifest.m_Parts.end() &&
                       Listed->second == Value->m_Digest;
  if (Matches && !Current->m_Missing.contains(Value->m_Name))
    return true;
  // A part from the source with another digest belongs to a newer version; it
  // is stored until the manifest of that version has been read.
  if (Matches || From == 0)
    Current->m_Parts[Value->m_Name] = Value;
  if (Matches)
    Current->m_Missing.erase(Value->m_Name);
  if (Matches && Current->m_Shared)
    Current->m_Unsent.emplace_back(Value, From);
  return Matches;
}

void Collection::onSharedParts(Blackboard &Board, LinkId From,
                               const SnapshotChunk &Chunk) {
  if (Chunk.m_Stream != Stream::Configuration)
    return;
  for (const PartPtr &Value : Chunk.m_Parts) {
    if (Value->m_Name != SharedManifestName) {
      addPart(Board, Value, From);
      continue;
    }
    try {
      addManifest(Board, Value->m_Text, From);
    } catch (const Error &Fault) {
      Board.report(EventId::ConfigurationRefused, Fault.what());
    }
  }
}

void Collection::forwardParts(Blackboard &Board) {
  Assembly &Current = *Board.m_Assembly;
  for (auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State != LinkState::Up)
      continue;
    if (!std::exchange(Link.m_AssemblySent, true)) {
      sendSharedParts(Board, Link, collectedParts(Board));
      continue;
    }
    std::vector<PartPtr> Parts;
    for (const auto &[Value, From] : Current.m_Unsent) {
      if (From != Id)
        Parts.push_back(Value);
    }
    sendSharedParts(Board, Link, Parts);
  }
  Current.m_Unsent.clear();
  m_NextForward = Board.m_Now + ForwardInterval;
}

void Collection::complete(Blackboard &Board) {
  Assembly Done = std::move(*Board.m_Assembly);
  Board.m_Assembly.reset();
  PartMap Parts;
  for (const auto &[Name, Listed] : Done.m_Manifest.m_Parts)
    Parts.emplace_hint(Parts.end(), Name, Done.m_Parts.at(Name));
  holdVersion(Board, Stream::Configuration,
              joinParts(Done.m_Manifest.m_Stamp, std::move(Parts)));
}

void Collection::run(Blackboard &Board) {
  if (!Board.m_Assembly.has_value())
    return;
  const Version Held = Board.held(Stream::Configuration).m_Stamp.m_Version;
  if (Board.m_Assembly->m_Manifest.m_Stamp.m_Version <= Held) {
    Board.m_Assembly.reset();
    return;
  }
  const bool IsComplete = Board.m_Assembly->m_Missing.empty();
  const bool IsDue = Board.m_Now >= m_NextForward || IsComplete;
  if (Board.m_Assembly->m_Shared && IsDue)
    forwardParts(Board);
  if (IsComplete)
    complete(Board);
}

TimePoint Collection::wakeUp(const Blackboard &Board) const {
  if (!Board.m_Assembly.has_value() || !Board.m_Assembly->m_Shared)
    return TimePoint::max();
  const bool HasNewPeer = std::any_of(
      Board.m_Links.begin(), Board.m_Links.end(), [](const auto &Entry) {
        return Entry.second.m_State == LinkState::Up &&
               !Entry.second.m_AssemblySent;
      });
  const bool HasUnsent = HasNewPeer || !Board.m_Assembly->m_Unsent.empty();
  return HasUnsent ? m_NextForward : TimePoint::max();
}

} // namespace dandelionfall::core
