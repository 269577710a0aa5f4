#include "net/wire_conversion.h"
#include "net/wire_readers.h"
#include "net/wire_values.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::net {

namespace {

std::vector<wire::Part> toWire(const std::vector<core::PartPtr> &Parts) {
  std::vector<wire::Part> Result(Parts.size());
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    Result[Index].name = Parts[Index]->m_Name;
    Result[Index].text = Parts[Index]->m_Text;
  }
  return Result;
}

std::vector<core::PartPtr> fromWire(std::vector<wire::Part> &Parts) {
  std::vector<core::PartPtr> Result;
  Result.reserve(Parts.size());
  for (wire::Part &Part : Parts)
    Result.push_back(
        core::makePart(std::move(Part.name), std::move(Part.text)));
  return Result;
}

constexpr std::int64_t NeverCalledOnWire = -1;

std::int64_t elapsedToWire(core::Duration Value) {
  return Value == core::NeverCalled ? NeverCalledOnWire : Value.count();
}

core::Duration elapsedFromWire(std::int64_t Value) {
  return Value < 0 ? core::NeverCalled : core::Duration(Value);
}

wire::StoreRecord recordToWire(const core::StoreRecord &Record) {
  wire::StoreRecord Written;
  Written.key = Record.m_Key;
  Written.revision = toSigned(Record.m_Revision);
  if (Record.m_Value != nullptr)
    Written.__set_value(*Record.m_Value);
  return Written;
}

std::vector<wire::StoreRecord>
recordsToWire(const std::vector<core::StoreRecord> &Records) {
  std::vector<wire::StoreRecord> Result;
  Result.reserve(Records.size());
  for (const core::StoreRecord &Record : Records)
    Result.push_back(recordToWire(Record));
  return Result;
}

wire::RecordPatch toWirePatch(const core::RecordPatch &Patch) {
  wire::RecordPatch Result;
  Result.key = Patch.m_Key;
  Result.revision = toSigned(Patch.m_Revision);
  Result.base = toSigned(Patch.m_Base);
  Result.digest = toSigned(Patch.m_Patch.m_Digest);
  Result.compressed = Patch.m_Patch.m_Compressed;
  return Result;
}

core::RecordPatch fromWirePatch(wire::RecordPatch &Patch) {
  return {std::move(Patch.key),
          toUnsigned(Patch.revision),
          toUnsigned(Patch.base),
          {toUnsigned(Patch.digest), std::move(Patch.compressed)}};
}

core::StoreRecord recordFromWire(wire::StoreRecord &Record) {
  core::StoreRecord Read;
  Read.m_Key = std::move(Record.key);
  Read.m_Revision = toUnsigned(Record.revision);
  if (Record.__isset.value)
    Read.m_Value = std::make_shared<const std::string>(std::move(Record.value));
  return Read;
}

std::vector<core::StoreRecord>
recordsFromWire(std::vector<wire::StoreRecord> &Records) {
  std::vector<core::StoreRecord> Result;
  Result.reserve(Records.size());
  for (wire::StoreRecord &Record : Records)
    Result.push_back(recordFromWire(Record));
  return Result;
}

// Visitor with one overload for each message type.
class BodyWriter {
public:
  explicit BodyWriter(wire::Body &Body) : m_Body(Body) {}

  void operator()(const core::ControlHello &Message) {
    wire::ControlHello Value;
    Value.host = Message.m_Host;
    Value.zone = Message.m_Zone;
    Value.incarnation = net::toWire(Message.m_Incarnation);
    Value.address = Message.m_Address;
    Value.held = net::toWire(Message.m_Held);
    Value.applied = net::toWire(Message.m_Applied);
    Value.host_list = net::toWire(Message.m_HostList);
    m_Body.__set_control_hello(Value);
  }

  void operator()(const core::Announce &Message) {
    wire::Announce Value;
    Value.stream = static_cast<std::int32_t>(Message.m_Stream);
    Value.held = net::toWire(Message.m_Held);
    m_Body.__set_announce(Value);
  }

  void operator()(const core::Pull &Message) {
    wire::Pull Value;
    Value.stream = static_cast<std::int32_t>(Message.m_Stream);
    Value.have = net::toWire(Message.m_Have);
    m_Body.__set_pull(Value);
  }

  void operator()(const core::ChangeRecords &Message) {
    wire::ChangeRecords &Value = m_Body.change_records;
    Value.stream = static_cast<std::int32_t>(Message.m_Stream);
    for (const core::ChangeRecord &Record : Message.m_Records) {
      wire::ChangeRecord Item;
      Item.base = net::toWire(Record.m_Base);
      Item.stamp = net::toWire(Record.m_Stamp);
      Item.changed = toWire(Record.m_Changed);
      Item.removed = Record.m_Removed;
      Value.records.push_back(std::move(Item));
    }
    m_Body.__isset.change_records = true;
  }

  void operator()(const core::SnapshotChunk &Message) {
    wire::SnapshotChunk &Value = m_Body.snapshot_chunk;
    Value.stream = static_cast<std::int32_t>(Message.m_Stream);
    Value.stamp = net::toWire(Message.m_Stamp);
    Value.index = static_cast<std::int32_t>(Message.m_Index);
    Value.count = static_cast<std::int32_t>(Message.m_Count);
    Value.parts = toWire(Message.m_Parts);
    m_Body.__isset.snapshot_chunk = true;
  }

  void operator()(const core::HeldAck &Message) {
    wire::HeldAck Value;
    Value.stream = static_cast<std::int32_t>(Message.m_Stream);
    Value.held = net::toWire(Message.m_Held);
    m_Body.__set_held_ack(Value);
  }

  void operator()(const core::Heartbeat &Message) {
    wire::Heartbeat Value;
    Value.sequence = toSigned(Message.m_Sequence);
    Value.held = net::toWire(Message.m_Held);
    Value.applied = net::toWire(Message.m_Applied);
    Value.host_list = net::toWire(Message.m_HostList);
    Value.source_tried_ago_us = elapsedToWire(Message.m_SourceCalledAgo);
    Value.source_reached_ago_us = elapsedToWire(Message.m_SourceAnsweredAgo);
    m_Body.__set_heartbeat(Value);
  }

  void operator()(const core::RecordsPull &Message) {
    m_Body.records_pull.have = toSigned(Message.m_Have);
    m_Body.records_pull.in_force = toSigned(Message.m_InForce);
    m_Body.__isset.records_pull = true;
  }

  void operator()(const core::RecordsPush &Message) {
    wire::RecordsPush &Value = m_Body.records_push;
    Value.as_of = toSigned(Message.m_AsOf);
    Value.whole = Message.m_IsFull;
    Value.records = recordsToWire(Message.m_Records);
    if (Message.m_Retained)
      Value.__set_retained(recordToWire(*Message.m_Retained));
    for (const core::TargetDeparture &Each : Message.m_Departures) {
      wire::TargetDeparture &Written = Value.departures.emplace_back();
      Written.key = Each.m_Key;
      Written.started_at_ms = Each.m_StartedAtMs;
      Written.sequence = toSigned(Each.m_Sequence);
      Written.left_as_of = toSigned(Each.m_LeftAsOf);
    }
    m_Body.__isset.records_push = true;
  }

  void operator()(const core::FollowRevisions &Message) {
    wire::FollowRevisions Value;
    Value.held = toSigned(Message.m_Held);
    Value.wants_patches = Message.m_WantsPatches;
    Value.retained = toSigned(Message.m_Retained);
    for (const auto &[Key, Held] : Message.m_Bases)
      std::transform(Held.begin(), Held.end(),
                     std::back_inserter(Value.bases[Key]), toSigned);
    if (Message.m_ReceivedPatches)
      Value.received_patches = toSigned(*Message.m_ReceivedPatches);
    m_Body.__set_follow_revisions(Value);
  }

  void operator()(const core::RevisionNotice &Message) {
    wire::RevisionNotice Value;
    Value.revision = toSigned(Message.m_Revision);
    Value.held = toSigned(Message.m_Held);
    Value.confirmed_ago_us = elapsedToWire(Message.m_ConfirmedAgo);
    Value.refused = Message.m_Refused;
    Value.records = recordsToWire(Message.m_Changes.m_Records);
    for (const core::RecordPatch &Patch : Message.m_Changes.m_Patches)
      Value.patches.push_back(toWirePatch(Patch));
    for (const auto &[Key, Held] : Message.m_Changes.m_Large)
      Value.large.emplace(Key, toSigned(Held));
    Value.complete = Message.m_Changes.m_IsComplete;
    Value.retained = toSigned(Message.m_Retained);
    Value.proved_ago_us = elapsedToWire(Message.m_ProvedAgo);
    if (Message.m_Probe)
      Value.__set_probe(*Message.m_Probe);
    m_Body.__set_revision_notice(Value);
  }

  void operator()(const core::FreshnessProbe &Message) {
    wire::FreshnessProbe Value;
    Value.number = Message.m_Number;
    m_Body.__set_freshness_probe(Value);
  }

  void operator()(const core::ControlGoAway & /*Message*/) {
    m_Body.__set_control_go_away({});
  }

private:
  wire::Body &m_Body;
};

core::Stream streamFromWire(std::int32_t Value) {
  return enumFromWire(Value, core::Stream::Hosts);
}

core::ControlMessage readHello(wire::Body &Body) {
  wire::ControlHello &Value = Body.control_hello;
  return core::ControlHello{std::move(Value.host),
                            std::move(Value.zone),
                            net::fromWire(Value.incarnation),
                            std::move(Value.address),
                            net::fromWire(Value.held),
                            net::fromWire(Value.applied),
                            net::fromWire(Value.host_list)};
}

core::ControlMessage readAnnounce(wire::Body &Body) {
  return core::Announce{streamFromWire(Body.announce.stream),
                        net::fromWire(Body.announce.held)};
}

core::ControlMessage readPull(wire::Body &Body) {
  return core::Pull{streamFromWire(Body.pull.stream),
                    net::fromWire(Body.pull.have)};
}

core::ControlMessage readRecords(wire::Body &Body) {
  core::ChangeRecords Result;
  Result.m_Stream = streamFromWire(Body.change_records.stream);
  for (wire::ChangeRecord &Record : Body.change_records.records)
    Result.m_Records.push_back(
        {net::fromWire(Record.base), net::fromWire(Record.stamp),
         fromWire(Record.changed), std::move(Record.removed)});
  return Result;
}

core::ControlMessage readChunk(wire::Body &Body) {
  wire::SnapshotChunk &Value = Body.snapshot_chunk;
  return core::SnapshotChunk{streamFromWire(Value.stream),
                             net::fromWire(Value.stamp),
                             countFromWire(Value.index),
                             countFromWire(Value.count), fromWire(Value.parts)};
}

core::ControlMessage readHeldAck(wire::Body &Body) {
  return core::HeldAck{streamFromWire(Body.held_ack.stream),
                       net::fromWire(Body.held_ack.held)};
}

core::ControlMessage readHeartbeat(wire::Body &Body) {
  const wire::Heartbeat &Value = Body.heartbeat;
  return core::Heartbeat{toUnsigned(Value.sequence),
                         net::fromWire(Value.held),
                         net::fromWire(Value.applied),
                         net::fromWire(Value.host_list),
                         elapsedFromWire(Value.source_tried_ago_us),
                         elapsedFromWire(Value.source_reached_ago_us)};
}

core::ControlMessage readGoAway(wire::Body & /*Body*/) {
  return core::ControlGoAway{};
}

core::ControlMessage readRecordsPull(wire::Body &Body) {
  return core::RecordsPull{toUnsigned(Body.records_pull.have),
                           toUnsigned(Body.records_pull.in_force)};
}

core::ControlMessage readRecordsPush(wire::Body &Body) {
  wire::RecordsPush &Value = Body.records_push;
  core::RecordsPush Result{toUnsigned(Value.as_of), Value.whole,
                           recordsFromWire(Value.records)};
  if (Value.__isset.retained)
    Result.m_Retained = recordFromWire(Value.retained);
  for (wire::TargetDeparture &Each : Value.departures)
    Result.m_Departures.push_back({std::move(Each.key), Each.started_at_ms,
                                   toUnsigned(Each.sequence),
                                   toUnsigned(Each.left_as_of)});
  return Result;
}

core::ControlMessage readFollowRevisions(wire::Body &Body) {
  const wire::FollowRevisions &Value = Body.follow_revisions;
  core::FollowRevisions Result{toUnsigned(Value.held), Value.wants_patches,
                               toUnsigned(Value.retained)};
  for (const auto &[Key, Held] : Value.bases)
    std::transform(Held.begin(), Held.end(),
                   std::back_inserter(Result.m_Bases[Key]), toUnsigned);
  if (Value.received_patches >= 0)
    Result.m_ReceivedPatches = toUnsigned(Value.received_patches);
  return Result;
}

core::ControlMessage readRevisionNotice(wire::Body &Body) {
  wire::RevisionNotice &Value = Body.revision_notice;
  core::RevisionNotice Result{toUnsigned(Value.revision),
                              toUnsigned(Value.held),
                              elapsedFromWire(Value.confirmed_ago_us),
                              Value.refused,
                              {},
                              toUnsigned(Value.retained)};
  Result.m_Changes.m_Records = recordsFromWire(Value.records);
  for (wire::RecordPatch &Patch : Value.patches)
    Result.m_Changes.m_Patches.push_back(fromWirePatch(Patch));
  for (const auto &[Key, Held] : Value.large)
    Result.m_Changes.m_Large.emplace(Key, toUnsigned(Held));
  Result.m_Changes.m_IsComplete = Value.complete;
  Result.m_ProvedAgo = elapsedFromWire(Value.proved_ago_us);
  if (Value.__isset.probe)
    Result.m_Probe = Value.probe;
  return Result;
}

core::ControlMessage readFreshnessProbe(wire::Body &Body) {
  return core::FreshnessProbe{Body.freshness_probe.number};
}

constexpr MessageReader<core::ControlMessage> Readers[] = {
    {[](const wire::Body &Body) { return Body.__isset.heartbeat; },
     readHeartbeat},
    {[](const wire::Body &Body) { return Body.__isset.announce; },
     readAnnounce},
    {[](const wire::Body &Body) { return Body.__isset.pull; }, readPull},
    {[](const wire::Body &Body) { return Body.__isset.change_records; },
     readRecords},
    {[](const wire::Body &Body) { return Body.__isset.held_ack; }, readHeldAck},
    {[](const wire::Body &Body) { return Body.__isset.snapshot_chunk; },
     readChunk},
    {[](const wire::Body &Body) { return Body.__isset.control_hello; },
     readHello},
    {[](const wire::Body &Body) { return Body.__isset.control_go_away; },
     readGoAway},
    {[](const wire::Body &Body) { return Body.__isset.records_pull; },
     readRecordsPull},
    {[](const wire::Body &Body) { return Body.__isset.records_push; },
     readRecordsPush},
    {[](const wire::Body &Body) { return Body.__isset.follow_revisions; },
     readFollowRevisions},
    {[](const wire::Body &Body) { return Body.__isset.revision_notice; },
     readRevisionNotice},
    {[](const wire::Body &Body) { return Body.__isset.freshness_probe; },
     readFreshnessProbe},
};

} // namespace

void toWire(const core::ControlMessage &Message, wire::Body &Body) {
  std::visit(BodyWriter(Body), Message);
}

bool fromWire(wire::Body &Body, core::ControlMessage &Result) {
  return readMessage(Readers, Body, Result);
}

} // namespace dandelionfall::net
