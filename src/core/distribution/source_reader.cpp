#include "core/distribution/source_reader.h"

#include "core/distribution/collection.h"
#include "core/distribution/reader_election.h"
#include "core/distribution/version_store.h"
#include "dandelionfall/core/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionfall::core {

namespace {

constexpr Duration CallTimeout = std::chrono::seconds(5);
constexpr Duration WatchTimeout = std::chrono::seconds(60);
constexpr Duration PeerLinkGrace = std::chrono::seconds(1);
constexpr Duration ManifestRereadDelay = std::chrono::milliseconds(100);
constexpr Duration FaultyVersionDelay = std::chrono::seconds(2);
constexpr Duration HostListInterval = std::chrono::seconds(5);
constexpr Duration TakeoverTime = std::chrono::seconds(30);
constexpr std::size_t MaxPartReads = 32;

CallSource makeCall(SourceRequestKind Kind) {
  CallSource Call;
  Call.m_Kind = Kind;
  return Call;
}

std::size_t countZones(const HostList &List) {
  std::set<std::string_view> Zones;
  for (const HostEntry &Entry : List.m_Hosts)
    Zones.insert(Entry.m_Zone);
  return std::max<std::size_t>(Zones.size(), 1);
}

bool hasRefusedNewer(const Blackboard &Board) {
  const HeldStream &Own = Board.m_Streams[indexOf(Stream::Configuration)];
  return !Own.m_Refused.empty() &&
         Own.m_Refused.rbegin()->first > Own.m_Parts->m_Stamp.m_Version;
}

Duration since(const Blackboard &Board, const std::optional<TimePoint> &Then) {
  return Board.m_Now -
         std::max(Then.value_or(Board.m_Started), Board.m_Started);
}

} // namespace

void SourceReader::start(Blackboard &Board) {
  const double Phase =
      std::uniform_real_distribution<double>(0, 1)(Board.m_Random);
  m_Budget.emplace(Board.m_Options.m_SourceBudget, Board.fleetSize(), Phase,
                   Board.m_Now);
  m_NextHostListRead = Board.m_Now;
  m_NextManifestRead = Board.m_Now;
}

void SourceReader::updateElection(Blackboard &Board) {
  if (m_ElectionList == Board.m_Candidates)
    return;
  m_ElectionList = Board.m_Candidates;
  m_Rank = readerRank(*m_ElectionList, Board.m_Options.m_Host,
                      Board.m_Options.m_Zone);
  m_Zones = countZones(*m_ElectionList);
  m_Budget->setHosts(Board.fleetSize(), Board.m_Now);
}

void SourceReader::updateRole(Blackboard &Board) {
  const bool IsElected = m_Rank < ReadersPerZone;
  const bool IsCutOff = Board.upLinks() == 0;
  m_Budget->setReaders(IsElected && !IsCutOff ? m_Zones * ReadersPerZone : 0);
  const std::size_t Rank = IsCutOff ? ReadersPerZone : m_Rank;
  const bool IsSilent =
      since(Board, Board.m_LastSourceCall) >= takeoverDelay(Rank, true) ||
      since(Board, Board.m_LastSourceAnswer) >= takeoverDelay(Rank, false);
  if (!IsElected && IsSilent && Board.m_Now >= m_TakeoverUntil)
    m_TakeoverUntil = Board.m_Now + TakeoverTime;
  Board.m_Reader = IsElected || Board.m_Now < m_TakeoverUntil;
}

bool SourceReader::hasPending(SourceRequestKind Kind) const {
  return std::any_of(
      m_Pending.begin(), m_Pending.end(),
      [Kind](const auto &Entry) { return Entry.second.m_Call.m_Kind == Kind; });
}

void SourceReader::updateWatching(Blackboard &Board) {
  const bool Watching = hasPending(SourceRequestKind::WatchManifest);
  m_Budget->setWatching(Watching, Board.m_Now);
  if (!Watching)
    return;
  Board.m_LastSourceCall = Board.m_Now;
  Board.m_LastSourceAnswer = Board.m_Now;
}

void SourceReader::expireCalls(Blackboard &Board) {
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    if (Board.m_Now < Entry->second.m_Deadline) {
      ++Entry;
      continue;
    }
    const CallSource Call = Entry->second.m_Call;
    Entry = m_Pending.erase(Entry);
    onFailure(Board, Call);
  }
}

// A node without a version calls the source last: it first waits for its links
// to open, then for a peer that holds a version to deliver it.
bool SourceReader::isWaitingForPeers(const Blackboard &Board) const {
  if (Board.m_HeldConfiguration != nullptr)
    return false;
  if (Board.peerHoldsNewer(Stream::Configuration))
    return Board.m_Now < m_PeerNewerSince + CallTimeout;
  const bool IsPending = std::any_of(
      Board.m_Links.begin(), Board.m_Links.end(),
      [](const auto &Entry) { return Entry.second.m_State != LinkState::Up; });
  return IsPending && Board.m_Now < Board.m_Started + PeerLinkGrace;
}

bool SourceReader::mayRead(const Blackboard &Board) const {
  return Board.m_Reader || Board.m_HeldConfiguration == nullptr;
}

std::optional<CallSource> SourceReader::nextPart(Blackboard &Board) {
  if (!Board.m_Assembly.has_value() || m_MustRereadManifest)
    return std::nullopt;
  if (Board.peerHoldsNewer(Stream::Configuration) &&
      Board.m_Now < m_PeerNewerSince + CallTimeout)
    return std::nullopt;
  std::set<std::string> Reading;
  for (const auto &[Id, Pending] : m_Pending)
    Reading.insert(Pending.m_Call.m_PartName);
  std::vector<std::string> Unread;
  for (const std::string &Name : Board.m_Assembly->m_Missing) {
    if (Reading.contains(Name))
      continue;
    Unread.push_back(Name);
    if (!Board.m_Assembly->m_Shared)
      break;
  }
  if (Unread.empty() || Reading.size() >= MaxPartReads)
    return std::nullopt;
  CallSource Call = makeCall(SourceRequestKind::ReadPart);
  // Nodes that share an assembly choose at random, so that they read different
  // parts.
  Call.m_PartName = Unread[std::uniform_int_distribution<std::size_t>(
      0, Unread.size() - 1)(Board.m_Random)];
  return Call;
}

std::optional<CallSource> SourceReader::nextHostList(Blackboard &Board) {
  if (Board.m_Now < m_NextHostListRead ||
      hasPending(SourceRequestKind::ReadHosts))
    return std::nullopt;
  // A node that knows no peer reads the host list first, to find peers to
  // query.
  const bool HasNoPeers =
      Board.m_HeldConfiguration == nullptr && !m_HostListAttempted &&
      Board.m_Hosts->m_Revision == 0 && Board.m_Options.m_AssumedHosts > 1;
  if (!HasNoPeers && (!Board.m_Reader || Board.m_HeldConfiguration == nullptr))
    return std::nullopt;
  return makeCall(SourceRequestKind::ReadHosts);
}

std::optional<CallSource> SourceReader::nextManifest(Blackboard &Board) {
  const bool HasCall = hasPending(SourceRequestKind::ReadManifest) ||
                       hasPending(SourceRequestKind::WatchManifest);
  if (HasCall || Board.m_Now < m_NextManifestRead)
    return std::nullopt;
  if (Board.m_Assembly.has_value() && !m_MustRereadManifest)
    return std::nullopt;
  const bool IsFirst = Board.m_HeldConfiguration == nullptr;
  if (IsFirst || m_MustRereadManifest)
    return makeCall(SourceRequestKind::ReadManifest);
  // A faulty version can be corrected under the same number, which a watch
  // would not report.
  if (m_Budget->supportsWatch() && !hasRefusedNewer(Board)) {
    CallSource Call = makeCall(SourceRequestKind::WatchManifest);
    Call.m_After = Board.held(Stream::Configuration).m_Stamp.m_Version;
    return Call;
  }
  // The reserve is for reading the parts of a new manifest.
  if (m_Budget->available(Board.m_Now) <= m_Budget->reserveLimit())
    return std::nullopt;
  return makeCall(SourceRequestKind::ReadManifest);
}

std::optional<CallSource> SourceReader::nextCall(Blackboard &Board) {
  constexpr std::array<NextCall, 3> InOrder = {&SourceReader::nextPart,
                                               &SourceReader::nextHostList,
                                               &SourceReader::nextManifest};
  for (const NextCall Next : InOrder) {
    auto Call = (this->*Next)(Board);
    if (Call.has_value())
      return Call;
  }
  return std::nullopt;
}

void SourceReader::call(Blackboard &Board, CallSource Call) {
  Call.m_Id = ++m_LastCall;
  const bool IsWatch = Call.m_Kind == SourceRequestKind::WatchManifest;
  const TimePoint Deadline =
      Board.m_Now + (IsWatch ? WatchTimeout : CallTimeout);
  m_Pending.emplace(Call.m_Id, PendingCall{Call, Deadline});
  ++Board.m_SourceCalls;
  Board.m_Commands.emplace_back(std::move(Call));
}

void SourceReader::run(Blackboard &Board) {
  if (!m_Budget.has_value())
    start(Board);
  updateElection(Board);
  expireCalls(Board);
  updateWatching(Board);
  updateRole(Board);
  if (!Board.peerHoldsNewer(Stream::Configuration))
    m_PeerNewerSince = TimePoint::max();
  else if (m_PeerNewerSince == TimePoint::max())
    m_PeerNewerSince = Board.m_Now;
  m_AwaitsToken = false;
  const bool HasAssembly =
      Board.m_Assembly.has_value() && Board.m_Assembly->m_Shared;
  if (Board.m_Draining || Board.m_Now < m_RetryAt || isWaitingForPeers(Board) ||
      (!mayRead(Board) && !HasAssembly))
    return;
  for (auto Call = nextCall(Board); Call.has_value(); Call = nextCall(Board)) {
    if (!m_Budget->tryConsume(Board.m_Now)) {
      m_AwaitsToken = true;
      break;
    }
    call(Board, std::move(*Call));
  }
  updateWatching(Board);
}

TimePoint SourceReader::wakeUp(const Blackboard &Board) const {
  TimePoint Next = TimePoint::max();
  const auto Consider = [&](TimePoint Time) {
    if (Time > Board.m_Now)
      Next = std::min(Next, Time);
  };
  for (const auto &[Id, Pending] : m_Pending)
    Consider(Pending.m_Deadline);
  Consider(m_RetryAt);
  Consider(m_NextManifestRead);
  if (m_AwaitsToken || (Board.m_Reader && !m_Budget->supportsWatch()))
    Consider(m_Budget->nextToken());
  if (Board.m_Reader || Board.m_HeldConfiguration == nullptr)
    Consider(m_NextHostListRead);
  return Next;
}

void SourceReader::onReply(Blackboard &Board, const SourceReply &Reply) {
  const auto Found = m_Pending.find(Reply.m_Id);
  if (Found == m_Pending.end())
    return;
  const CallSource Call = Found->second.m_Call;
  m_Pending.erase(Found);
  if (!Reply.m_Ok)
    return onFailure(Board, Call);
  onSuccess(Board);
  switch (Call.m_Kind) {
  case SourceRequestKind::ReadManifest:
  case SourceRequestKind::WatchManifest:
    if (Reply.m_Changed)
      onManifest(Board, Reply);
    return;
  case SourceRequestKind::ReadPart:
    return onPart(Board, Call, Reply);
  case SourceRequestKind::ReadHosts:
    return onHosts(Board, Reply);
  }
}

void SourceReader::onSuccess(Blackboard &Board) {
  Board.m_LastSourceCall = Board.m_Now;
  Board.m_LastSourceAnswer = Board.m_Now;
  m_Failures = 0;
  m_RetryAt = TimePoint();
  if (std::exchange(m_SourceDown, false))
    Board.report(EventId::SourceAvailable, "");
}

void SourceReader::onFailure(Blackboard &Board, const CallSource &Call) {
  if (Call.m_Kind == SourceRequestKind::ReadHosts) {
    m_HostListAttempted = true;
    m_NextHostListRead =
        Board.m_Now + Board.jitter(HostListInterval / 2, HostListInterval);
    return;
  }
  Board.m_LastSourceCall = Board.m_Now;
  if (Call.m_Kind == SourceRequestKind::ReadPart)
    m_MustRereadManifest = true;
  constexpr Duration FirstBackoff = std::chrono::milliseconds(200);
  constexpr unsigned MaxDoublings = 4;
  const Duration Backoff =
      FirstBackoff * (1U << std::min(m_Failures, MaxDoublings));
  ++m_Failures;
  m_RetryAt = Board.m_Now + Board.jitter(Backoff / 2, Backoff);
  if (!std::exchange(m_SourceDown, true))
    Board.report(EventId::SourceUnavailable, "");
}

void SourceReader::onManifest(Blackboard &Board, const SourceReply &Reply) {
  m_MustRereadManifest = false;
  bool IsNewer = false;
  try {
    IsNewer = addManifest(Board, Reply.m_Text, 0);
  } catch (const Error &Fault) {
    const Digest Bad = computeDigest(Reply.m_Text);
    if (m_LastBadManifestDigest != Bad)
      Board.report(EventId::ConfigurationRefused, Fault.what());
    m_LastBadManifestDigest = Bad;
  }
  if (!IsNewer) {
    const Duration Pause =
        hasRefusedNewer(Board) ? FaultyVersionDelay : ManifestRereadDelay;
    m_NextManifestRead = Board.m_Now + Board.jitter(Pause / 2, Pause);
    return;
  }
  const Assembly &Current = *Board.m_Assembly;
  const double ReadTime =
      static_cast<double>(Current.m_Missing.size()) / m_Budget->rate();
  constexpr double MaxSoloReadSeconds = 2;
  if (ReadTime > MaxSoloReadSeconds && Board.upLinks() > 0)
    shareAssembly(Board);
}

void SourceReader::onPart(Blackboard &Board, const CallSource &Call,
                          const SourceReply &Reply) {
  if (!Board.m_Assembly.has_value())
    return;
  if (addPart(Board, makePart(Call.m_PartName, Reply.m_Text), 0))
    return;
  // An update was published while parts were read: read the manifest again.
  m_MustRereadManifest = true;
  m_NextManifestRead =
      Board.m_Now + Board.jitter(ManifestRereadDelay / 2, ManifestRereadDelay);
}

void SourceReader::onHosts(Blackboard &Board, const SourceReply &Reply) {
  m_HostListAttempted = true;
  const Duration Interval =
      std::max(HostListInterval,
               std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(6 / m_Budget->rate())));
  m_NextHostListRead = Board.m_Now + Board.jitter(Interval / 2, Interval);
  const Digest Text = computeDigest(Reply.m_Text);
  if (std::exchange(m_LastHostListDigest, Text) == Text)
    return;
  try {
    const HostList List = readHostList(Reply.m_Text);
    PartMap Parts = splitHostList(List, Board.held(Stream::Hosts).m_Parts);
    const VersionStamp Stamp = stampOf(List.m_Revision, Parts);
    holdVersion(Board, Stream::Hosts, joinParts(Stamp, std::move(Parts)));
  } catch (const Error &Fault) {
    Board.report(EventId::ConfigurationRefused, Fault.what());
  }
}

} // namespace dandelionfall::core
