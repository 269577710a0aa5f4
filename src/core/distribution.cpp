#include "dandelionfall/core/distribution.h"

#include "core/distribution/adoption.h"
#include "core/distribution/blackboard.h"
#include "core/distribution/collection.h"
#include "core/distribution/overlay.h"
#include "core/distribution/replication.h"
#include "core/distribution/source_reader.h"

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionfall::core {

class Distribution::Impl {
public:
  explicit Impl(DistributionOptions Options) : m_Board(std::move(Options)) {}

  void setTime(TimePoint Now) { m_Board.m_Now = std::max(Now, m_Board.m_Now); }

  /// Runs the controllers in a fixed order: later ones read state that earlier
  /// ones have written in the same run.
  void run() {
    for (Controller *Each : m_Controllers)
      Each->run(m_Board);
  }

  TimePoint wakeUp() const {
    TimePoint Next = TimePoint::max();
    for (const Controller *Each : m_Controllers)
      Next = std::min(Next, Each->wakeUp(m_Board));
    return Next;
  }

  void receive(LinkId Id, const ControlMessage &Message) {
    const auto Found = m_Board.m_Links.find(Id);
    if (Found == m_Board.m_Links.end())
      return;
    ControlLink &Link = Found->second;
    Link.m_LastReceived = m_Board.m_Now;
    // Messages before the peer's hello are ignored.
    const bool IsHello = std::holds_alternative<ControlHello>(Message);
    if (Link.m_State != LinkState::Up && !IsHello)
      return;
    std::visit([&](const auto &Value) { handle(Link, Value); }, Message);
  }

  Blackboard m_Board;
  Overlay m_Overlay;
  Replication m_Replication;
  Collection m_Collection;
  SourceReader m_SourceReader;
  Adoption m_Adoption;
  Readiness m_Readiness;

private:
  void handle(ControlLink &Link, const ControlHello &Value) {
    m_Overlay.onHello(m_Board, Link, Value);
  }
  void handle(ControlLink &Link, const Announce &Value) {
    m_Replication.onHeld(m_Board, Link, Value.m_Stream, Value.m_Held);
  }
  void handle(ControlLink &Link, const HeldAck &Value) {
    m_Replication.onHeld(m_Board, Link, Value.m_Stream, Value.m_Held);
  }
  void handle(ControlLink &Link, const Pull &Value) {
    m_Replication.onPull(m_Board, Link, Value);
  }
  void handle(ControlLink &Link, const ChangeRecords &Value) {
    m_Replication.onRecords(m_Board, Link, Value);
  }
  void handle(ControlLink &Link, const SnapshotChunk &Value) {
    if (Value.m_Count == 0)
      return m_Collection.onSharedParts(m_Board, Link.m_Id, Value);
    m_Replication.onChunk(m_Board, Link, Value);
  }
  void handle(ControlLink &Link, const Heartbeat &Value) {
    m_Overlay.onHeartbeat(m_Board, Link, Value);
  }
  // Records are exchanged only between nodes that read a shared store.
  void handle(ControlLink & /*Link*/, const RecordsPull & /*Value*/) {}
  void handle(ControlLink & /*Link*/, const RecordsPush & /*Value*/) {}
  void handle(ControlLink & /*Link*/, const FollowRevisions & /*Value*/) {}
  void handle(ControlLink & /*Link*/, const RevisionNotice & /*Value*/) {}
  void handle(ControlLink & /*Link*/, const FreshnessProbe & /*Value*/) {}
  void handle(ControlLink &Link, const ControlGoAway & /*Value*/) {
    m_Overlay.onGoAway(m_Board, Link);
  }

  std::array<Controller *, 6> m_Controllers = {&m_Overlay,      &m_Collection,
                                               &m_SourceReader, &m_Replication,
                                               &m_Adoption,     &m_Readiness};
};

Distribution::Distribution(DistributionOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Distribution::~Distribution() = default;

void Distribution::start(TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_Board.m_Started = Now;
  m_Impl->run();
}

void Distribution::onLinkOpened(LinkId Link, bool Inbound, TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_Overlay.onOpened(m_Impl->m_Board, Link, Inbound);
  m_Impl->run();
}

void Distribution::onLinkClosed(LinkId Link, TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_Overlay.onClosed(m_Impl->m_Board, Link);
  m_Impl->run();
}

void Distribution::onMessage(LinkId Link, const ControlMessage &Message,
                             TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->receive(Link, Message);
  m_Impl->run();
}

void Distribution::onSourceReply(const SourceReply &Reply, TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_SourceReader.onReply(m_Impl->m_Board, Reply);
  m_Impl->run();
}

void Distribution::onNewerVersionSeen(Version Seen, const std::string &Address,
                                      TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_Replication.pullFromAddress(m_Impl->m_Board, Seen, Address);
  m_Impl->m_Overlay.requestAdjustment();
  m_Impl->run();
}

void Distribution::startDrain(TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->m_Board.m_Draining = true;
  for (auto &[Id, Link] : m_Impl->m_Board.m_Links)
    m_Impl->m_Board.send(Link, ControlGoAway());
  m_Impl->run();
}

void Distribution::onTick(TimePoint Now) {
  m_Impl->setTime(Now);
  m_Impl->run();
}

std::optional<TimePoint> Distribution::nextWakeUp() const {
  const TimePoint Next = m_Impl->wakeUp();
  if (Next == TimePoint::max())
    return std::nullopt;
  return Next;
}

DistributionStatus Distribution::status() const {
  const Blackboard &Board = m_Impl->m_Board;
  DistributionStatus Status;
  Status.m_Held = Board.held(Stream::Configuration).m_Stamp;
  Status.m_Applied = Board.appliedStamp();
  Status.m_HostList = Board.held(Stream::Hosts).m_Stamp;
  Status.m_Ready = Board.m_Ready;
  Status.m_Reader = Board.m_Reader;
  Status.m_Links = static_cast<std::uint32_t>(Board.upLinks());
  Status.m_ListedHosts =
      static_cast<std::uint32_t>(Board.m_Hosts->m_Hosts.size());
  Status.m_SourceCalls = Board.m_SourceCalls;
  return Status;
}

std::vector<DistributionCommand> Distribution::takeCommands() {
  return std::exchange(m_Impl->m_Board.m_Commands, {});
}

} // namespace dandelionfall::core
