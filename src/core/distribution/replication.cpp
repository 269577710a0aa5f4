#include "core/distribution/replication.h"

#include "core/distribution/version_store.h"
#include "dandelionfall/core/error.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

// A larger change is sent in chunks, so that no single frame blocks the link.
constexpr std::size_t MaxRecordBytes = 128U << 10U;

std::size_t sizeOnLink(const ChangeRecord &Record) {
  std::size_t Bytes = 0;
  for (const PartPtr &Changed : Record.m_Changed)
    Bytes += core::sizeOnLink(*Changed);
  for (const std::string &Name : Record.m_Removed)
    Bytes += Name.size();
  return Bytes;
}

// A node that is collecting the parts of the same version from its peers waits
// for a short time before it pulls the complete version.
bool isCollecting(const Blackboard &Board, Stream Which,
                  const PeerStream &Theirs) {
  constexpr Duration CollectionGrace = std::chrono::seconds(1);
  return Which == Stream::Configuration && Board.m_Assembly.has_value() &&
         Board.m_Assembly->m_Shared &&
         Board.m_Assembly->m_Manifest.m_Stamp == Theirs.m_Held &&
         Board.m_Now < Theirs.m_HeldSince + CollectionGrace;
}

} // namespace

void Replication::onHeld(Blackboard &Board, ControlLink &Link, Stream Which,
                         const VersionStamp &Held) const {
  PeerStream &Theirs = Link.m_Streams[indexOf(Which)];
  if (Theirs.m_Held != Held) {
    Theirs.m_Held = Held;
    Theirs.m_HeldSince = Board.m_Now;
  }
  const VersionStamp &Own = Board.held(Which).m_Stamp;
  if (Held.m_Version == Own.m_Version && Held != Own)
    checkStamp(Board, Which, Held);
}

void Replication::onPull(Blackboard &Board, ControlLink &Link,
                         const Pull &Request) {
  const HeldStream &Own = Board.m_Streams[indexOf(Request.m_Stream)];
  const PartSet &Newest = *Own.m_Parts;
  if (Newest.m_Stamp.m_Version <= Request.m_Have.m_Version)
    return;
  auto Record = Own.m_Log.changeSince(Request.m_Have, Newest);
  const std::size_t Bytes = Record.has_value() ? sizeOnLink(*Record) : 0;
  const bool IsSmall = Record.has_value() && Bytes <= MaxRecordBytes;
  if (!IsSmall)
    return m_Sender.begin(Board, Link.m_Id, Request.m_Stream);
  ChangeRecords Reply;
  Reply.m_Stream = Request.m_Stream;
  Reply.m_Records.push_back(std::move(*Record));
  Board.send(Link, std::move(Reply));
}

void Replication::onRecords(Blackboard &Board, ControlLink &Link,
                            const ChangeRecords &Message) {
  const Stream Which = Message.m_Stream;
  auto &Pending = m_Pending[indexOf(Which)];
  const bool IsReply = Pending.has_value() && Pending->m_Link == Link.m_Id;
  for (const ChangeRecord &Record : Message.m_Records) {
    const PartSet &Own = Board.held(Which);
    if (Record.m_Base != Own.m_Stamp ||
        checkStamp(Board, Which, Record.m_Stamp) != HoldResult::Held)
      continue;
    try {
      holdVersion(Board, Which, applyRecord(Own, Record));
    } catch (const Error &Fault) {
      Board.report(EventId::ConfigurationRefused, Fault.what());
    }
  }
  if (IsReply)
    endPull(Board, Which);
}

void Replication::onChunk(Blackboard &Board, ControlLink &Link,
                          const SnapshotChunk &Chunk) {
  auto &Pending = m_Pending[indexOf(Chunk.m_Stream)];
  if (!Pending.has_value() || Pending->m_Link != Link.m_Id ||
      Chunk.m_Count == 0)
    return;
  if (Chunk.m_Index == 0) {
    Pending->m_Stamp = Chunk.m_Stamp;
    Pending->m_NextChunk = 0;
    Pending->m_Parts.clear();
    Pending->m_Bytes = 0;
  }
  if (Chunk.m_Stamp != Pending->m_Stamp ||
      Chunk.m_Index != Pending->m_NextChunk)
    return;
  for (const PartPtr &Value : Chunk.m_Parts) {
    Pending->m_Parts[Value->m_Name] = Value;
    Pending->m_Bytes += core::sizeOnLink(*Value);
  }
  if (Pending->m_Bytes > MaxVersionBytes)
    return endPull(Board, Chunk.m_Stream);
  ++Pending->m_NextChunk;
  Pending->m_Deadline = Board.m_Now + ChunkTimeout;
  if (Pending->m_NextChunk < Chunk.m_Count)
    return;
  try {
    holdVersion(Board, Chunk.m_Stream,
                joinParts(Pending->m_Stamp, std::move(Pending->m_Parts)));
  } catch (const Error &Fault) {
    Board.report(EventId::ConfigurationRefused, Fault.what());
  }
  endPull(Board, Chunk.m_Stream);
}

void Replication::endPull(Blackboard &Board, Stream Which) {
  auto &Pending = m_Pending[indexOf(Which)];
  const auto Link = Board.m_Links.find(Pending->m_Link);
  Pending.reset();
  if (Link == Board.m_Links.end())
    return;
  PeerStream &Theirs = Link->second.m_Streams[indexOf(Which)];
  // Delay the next pull from a peer that did not deliver its reported version.
  if (Theirs.m_Held.m_Version > Board.held(Which).m_Stamp.m_Version)
    Theirs.m_PullNotBefore = Board.m_Now + PullRetryDelay;
}

void Replication::announce(Blackboard &Board) {
  for (auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State != LinkState::Up)
      continue;
    for (const Stream Which : AllStreams) {
      PeerStream &Theirs = Link.m_Streams[indexOf(Which)];
      const VersionStamp &Own = Board.held(Which).m_Stamp;
      if (Theirs.m_Announced == Own)
        continue;
      Theirs.m_Announced = Own;
      if (Theirs.m_Held.m_Version >= Own.m_Version)
        Board.send(Link, HeldAck{Which, Own});
      else
        Board.send(Link, Announce{Which, Own});
    }
  }
}

ControlLink *Replication::chooseHolder(Blackboard &Board, Stream Which) const {
  const HeldStream &Own = Board.m_Streams[indexOf(Which)];
  ControlLink *Best = nullptr;
  for (auto &[Id, Link] : Board.m_Links) {
    const PeerStream &Theirs = Link.m_Streams[indexOf(Which)];
    if (Link.m_State != LinkState::Up || Board.m_Now < Theirs.m_PullNotBefore ||
        Theirs.m_Held.m_Version <= Own.m_Parts->m_Stamp.m_Version ||
        Own.isRefused(Theirs.m_Held) || isCollecting(Board, Which, Theirs))
      continue;
    if (Best == nullptr) {
      Best = &Link;
      continue;
    }
    const PeerStream &Known = Best->m_Streams[indexOf(Which)];
    const bool IsNewer = Theirs.m_Held.m_Version > Known.m_Held.m_Version;
    const bool IsEarlier = Theirs.m_Held.m_Version == Known.m_Held.m_Version &&
                           Theirs.m_HeldSince < Known.m_HeldSince;
    if (IsNewer || IsEarlier)
      Best = &Link;
  }
  return Best;
}

void Replication::startPull(Blackboard &Board, ControlLink &Link,
                            Stream Which) {
  PendingPull Started;
  Started.m_Link = Link.m_Id;
  Started.m_Deadline = Board.m_Now + ReplyTimeout;
  m_Pending[indexOf(Which)] = std::move(Started);
  Board.send(Link, Pull{Which, Board.held(Which).m_Stamp});
}

void Replication::pull(Blackboard &Board, Stream Which) {
  auto &Pending = m_Pending[indexOf(Which)];
  if (Pending.has_value() && (Board.m_Now >= Pending->m_Deadline ||
                              !Board.m_Links.contains(Pending->m_Link)))
    endPull(Board, Which);
  if (Pending.has_value() || !Board.peerHoldsNewer(Which))
    return;
  ControlLink *Holder = chooseHolder(Board, Which);
  if (Holder != nullptr)
    return startPull(Board, *Holder, Which);
  constexpr Duration Pause = std::chrono::milliseconds(100);
  m_RetryPullAt = std::min(m_RetryPullAt, Board.m_Now + Pause);
}

void Replication::pullFromAddress(Blackboard &Board, Version Seen,
                                  const std::string &Address) {
  if (Seen <= Board.held(Stream::Configuration).m_Stamp.m_Version)
    return;
  constexpr Duration SeenVersionLifetime = std::chrono::seconds(10);
  Board.m_NewerVersion = std::max(Board.m_NewerVersion, Seen);
  Board.m_NewerVersionAddress = Address;
  Board.m_NewerVersionUntil = Board.m_Now + SeenVersionLifetime;
  if (m_Pending[indexOf(Stream::Configuration)].has_value())
    return;
  for (auto &[Id, Link] : Board.m_Links) {
    if (Link.m_State == LinkState::Up && Link.m_Address == Address)
      return startPull(Board, Link, Stream::Configuration);
  }
}

void Replication::run(Blackboard &Board) {
  m_RetryPullAt = TimePoint::max();
  const Version Held = Board.held(Stream::Configuration).m_Stamp.m_Version;
  if (!Board.m_NewerVersionAddress.empty() &&
      (Held >= Board.m_NewerVersion ||
       Board.m_Now >= Board.m_NewerVersionUntil))
    Board.m_NewerVersionAddress.clear();
  for (const Stream Which : AllStreams)
    pull(Board, Which);
  announce(Board);
  m_Sender.run(Board);
}

TimePoint Replication::wakeUp(const Blackboard & /*Board*/) const {
  TimePoint Next = std::min(m_Sender.wakeUp(), m_RetryPullAt);
  for (const auto &Pending : m_Pending) {
    if (Pending.has_value())
      Next = std::min(Next, Pending->m_Deadline);
  }
  return Next;
}

} // namespace dandelionfall::core
