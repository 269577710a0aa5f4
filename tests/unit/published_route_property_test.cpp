// Route selection by a configuration of the store, on each way by which it
// comes to a node, compared with a search through all published routes.
#include "dandelionfall/core/registry.h"
#include "dandelionfall/net/codec.h"

#include "platform/record_decoder.h"
#include "property_check.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace dandelionfall;
using Json = nlohmann::json;

namespace {

constexpr char ConfigurationKey[] = "op/config";
constexpr core::TimePoint Now{std::chrono::seconds(100)};
constexpr int NestedPrefixes = 20;
/// Length from which a match counts as one of a long prefix, in bytes.
constexpr std::size_t LongPrefixBytes = 1000;

struct PublishedRoute {
  std::string m_HostName;
  std::string m_Prefix;
  std::string m_Service;
};
using PublishedRoutes = std::vector<PublishedRoute>;

std::string drawSegment() {
  return *rc::gen::elementOf(
      std::vector<std::string>{"a", "A", "b", "ab", "%61", "%2F", "%2f", "..",
                               ".", "", "\xc3\xa9", std::string(300, 'c')});
}

std::string drawSegments(int Limit) {
  std::string Result;
  const int Count = *rc::gen::inRange(0, Limit);
  for (int Number = 0; Number < Count; ++Number)
    Result += drawSegment() + "/";
  return Result;
}

/// \returns a prefix of exactly \p Bytes bytes.
std::string makeLong(std::size_t Bytes, const std::string &Segment) {
  std::string Result = "/";
  while (Result.size() + Segment.size() + 2 < Bytes)
    Result += Segment + "/";
  return Result + std::string(Bytes - Result.size() - 1, 'z') + "/";
}

std::vector<std::string> drawPrefixes() {
  std::vector<std::string> Result;
  switch (*rc::gen::inRange(0, 4)) {
  case 0: {
    std::string Nested = "/";
    for (int Depth = 0; Depth < NestedPrefixes; ++Depth) {
      Result.push_back(Nested);
      Nested += drawSegment() + "/";
    }
    break;
  }
  case 1: {
    const std::string Segment = *rc::gen::element<std::string>("a", "segment");
    for (const std::size_t Bytes : {1000U, 10'000U, 16'000U})
      Result.push_back(makeLong(Bytes, Segment));
    break;
  }
  default:
    break;
  }
  const int Others = *rc::gen::inRange(1, 8);
  for (int Number = 0; Number < Others; ++Number)
    Result.push_back("/" + drawSegments(6));
  return Result;
}

/// \returns routes in any order; each has its own service.
PublishedRoutes drawRoutes() {
  PublishedRoutes Result;
  std::set<std::pair<std::string, std::string>> Known;
  for (const char *HostName : {"a.example", "AB.example"}) {
    for (const std::string &Prefix : drawPrefixes()) {
      if (Known.emplace(HostName, Prefix).second)
        Result.push_back({HostName, Prefix, ""});
    }
  }
  for (std::size_t Left = Result.size(); Left > 1; --Left) {
    const auto Chosen = *rc::gen::inRange<std::size_t>(0, Left);
    std::swap(Result[Left - 1], Result[Chosen]);
  }
  for (std::size_t Index = 0; Index < Result.size(); ++Index)
    Result[Index].m_Service = "s" + std::to_string(Index);
  return Result;
}

std::string toJson(core::Version Version, const PublishedRoutes &Routes) {
  Json Result = {{"version", Version},
                 {"routes", Json::array()},
                 {"services", Json::array()},
                 {"limits",
                  {{"max-header-bytes", 16384},
                   {"max-body-bytes", 65536},
                   {"header-timeout-ms", 3000},
                   {"idle-timeout-ms", 15'000}}}};
  for (const PublishedRoute &Each : Routes) {
    Result["routes"].push_back({{"name", "r"},
                                {"host", Each.m_HostName},
                                {"prefix", Each.m_Prefix},
                                {"kind", "idempotent"},
                                {"timeout-ms", 1500},
                                {"target-latency-ms", 500},
                                {"priority", 1},
                                {"max-attempts", 2},
                                {"service", Each.m_Service}});
    Result["services"].push_back({{"name", Each.m_Service},
                                  {"max-connections", 9},
                                  {"cold-start-s", 3},
                                  {"cold-per-s", 14}});
  }
  return Result.dump();
}

/// Sends a message as between nodes.
template <typename Message> Message transmit(const Message &Sent) {
  const std::string Frame = net::encodeFrame(core::ControlMessage(Sent), 1);
  const net::DecodedFrame Received =
      net::decodeFrame(std::string_view(Frame).substr(net::FrameHeaderBytes));
  return std::get<Message>(std::get<core::ControlMessage>(Received.m_Message));
}

/// A registry with its decoder.
struct Node {
  explicit Node(bool DefersLargeRecords = false)
      : m_Registry(m_Decoder, options(DefersLargeRecords)) {}

  static core::RegistryOptions options(bool DefersLargeRecords) {
    core::RegistryOptions Result;
    Result.m_DefersLargeRecords = DefersLargeRecords;
    return Result;
  }

  void pullFrom(const core::Registry &Peer, core::Revision Have) {
    const core::RecordsPush Push = Peer.makePush(
        transmit(core::RecordsPull{Have, m_Registry.version()}), Now);
    m_Registry.applyPush(transmit(Push), Now);
  }

  void follow(const core::RecordChanges &Changes, core::Revision Held) {
    core::RevisionNotice Notice;
    Notice.m_Revision = Held;
    Notice.m_Held = Held;
    Notice.m_Changes = Changes;
    m_Registry.applyFeed(transmit(Notice).m_Changes, Held, Now);
  }

  platform::PlatformRecordDecoder m_Decoder;
  core::Registry m_Registry;
};

/// What happens when a version is written.
struct Written {
  core::StoreRecord m_Record;
  /// The node that watches the store, and what it sends to its followers.
  const core::Registry &m_Sender;
  const core::RecordChanges &m_Sent;
};

/// A way by which a version comes to a node.
struct Way {
  const char *m_Name;
  void (*m_Take)(std::unique_ptr<Node> &, const Written &);
};

void takeWatch(std::unique_ptr<Node> &Taker, const Written &New) {
  Taker->m_Registry.apply({New.m_Record}, New.m_Record.m_Revision, Now);
}

void takeListing(std::unique_ptr<Node> &Taker, const Written &New) {
  Taker->m_Registry.replaceAll({New.m_Record}, New.m_Record.m_Revision, Now);
}

void takeAtRestart(std::unique_ptr<Node> &Taker, const Written &New) {
  Taker = std::make_unique<Node>();
  takeListing(Taker, New);
}

void takeDeferred(std::unique_ptr<Node> &Taker, const Written &New) {
  if (Taker->m_Registry.revision() == 0)
    Taker = std::make_unique<Node>(true);
  takeWatch(Taker, New);
  Taker->m_Registry.onTick(Now);
}

void takeFeed(std::unique_ptr<Node> &Taker, const Written &New) {
  if (Taker->m_Registry.revision() == 0)
    return takeListing(Taker, New);
  core::Registry &Held = Taker->m_Registry;
  Taker->follow(New.m_Sent, New.m_Record.m_Revision);
  // A node asks again for what it was not sent, or could not use.
  if (!Held.holdsAll(New.m_Sent.m_Large))
    Taker->follow(New.m_Sender.changesFor(Held.revision(), true,
                                          Held.basesOf(New.m_Sent.m_Large)),
                  New.m_Record.m_Revision);
}

void takeFirstNotice(std::unique_ptr<Node> &Taker, const Written &New) {
  if (Taker->m_Registry.revision() == 0)
    return takeListing(Taker, New);
  Taker->follow(New.m_Sender.changesFor(Taker->m_Registry.revision()),
                New.m_Record.m_Revision);
}

void takePush(std::unique_ptr<Node> &Taker, const Written &New) {
  Taker->pullFrom(New.m_Sender, Taker->m_Registry.revision());
}

void takePushAtRestart(std::unique_ptr<Node> &Taker, const Written &New) {
  Taker = std::make_unique<Node>();
  takePush(Taker, New);
}

void takeLaterHistory(std::unique_ptr<Node> &Taker, const Written &New) {
  const core::HistoryNumber Next =
      core::historyOf(Taker->m_Registry.revision()) + 1;
  core::StoreRecord Record = New.m_Record;
  Record.m_Revision = core::makeRevision(Next, 1);
  Taker->m_Registry.replaceAll({Record}, Record.m_Revision, Now);
}

void takeRetained(std::unique_ptr<Node> &Taker, const Written &New) {
  if (Taker->m_Registry.revision() == 0)
    return takeListing(Taker, New);
  Taker->m_Registry.applyRetained(New.m_Record);
}

constexpr Way Ways[] = {
    {"watch", takeWatch},
    {"listing", takeListing},
    {"restart", takeAtRestart},
    {"decoded later", takeDeferred},
    {"feed", takeFeed},
    {"first notice of a feed", takeFirstNotice},
    {"peer", takePush},
    {"peer at a restart", takePushAtRestart},
    {"later history", takeLaterHistory},
    {"lost by the store", takeRetained},
};

struct Request {
  std::string m_HostName;
  std::string m_Path;
};

Request drawRequest(const PublishedRoutes &Routes) {
  const PublishedRoute Near = *rc::gen::elementOf(Routes);
  Request Result;
  Result.m_HostName = *rc::gen::elementOf(
      std::vector<std::string>{Near.m_HostName, "a.example", "A.EXAMPLE:8101",
                               "ab.example:80", "Ab.Example", "other.example"});
  Result.m_Path = Near.m_Prefix;
  if (*rc::gen::inRange(0, 3) == 0)
    Result.m_Path.resize(
        *rc::gen::inRange<std::size_t>(1, Result.m_Path.size() + 1));
  Result.m_Path += drawSegments(3);
  Result.m_Path += *rc::gen::elementOf(std::vector<std::string>{
      "", "x", "?", "?/a/", "x?next=/a/b/&c=" + Near.m_Prefix});
  return Result;
}

std::string toHostName(std::string Field) {
  Field.resize(std::min(Field.size(), Field.find(':')));
  for (char &Each : Field) {
    if (Each >= 'A' && Each <= 'Z')
      Each = static_cast<char>(Each - 'A' + 'a');
  }
  return Field;
}

/// \returns the service of the longest prefix that begins the path; empty if
/// there is none.
std::string findLinearly(const PublishedRoutes &Routes, const Request &Sent) {
  const std::string Path = Sent.m_Path.substr(0, Sent.m_Path.find('?'));
  const PublishedRoute *Found = nullptr;
  for (const PublishedRoute &Each : Routes) {
    if (toHostName(Each.m_HostName) == toHostName(Sent.m_HostName) &&
        Path.starts_with(Each.m_Prefix) &&
        (Found == nullptr || Each.m_Prefix.size() > Found->m_Prefix.size()))
      Found = &Each;
  }
  return Found == nullptr ? "" : Found->m_Service;
}

std::string findSelected(const core::Registry &Held, const Request &Sent) {
  const core::ConfigurationPtr Config = Held.configuration();
  const core::RouteMatch Match =
      core::findRoute(*Config, Sent.m_HostName, Sent.m_Path);
  return Match.m_Route == nullptr ? ""
                                  : Match.m_Route->m_Split.front().m_Service;
}

struct Matches {
  int m_All = 0;
  int m_Long = 0;
  int m_None = 0;
  int m_Patches = 0;
};

void checkRequests(const PublishedRoutes &Routes,
                   const std::vector<std::unique_ptr<Node>> &Nodes,
                   Matches &Seen) {
  constexpr int Requests = 12;
  for (int Number = 0; Number < Requests; ++Number) {
    const Request Sent = drawRequest(Routes);
    const std::string Expected = findLinearly(Routes, Sent);
    for (std::size_t Index = 0; Index < std::size(Ways); ++Index) {
      RC_LOG() << "way " << Ways[Index].m_Name << ", host " << Sent.m_HostName
               << ", path of " << Sent.m_Path.size() << " bytes\n";
      RC_ASSERT(findSelected(Nodes[Index]->m_Registry, Sent) == Expected);
    }
    ++(Expected.empty() ? Seen.m_None : Seen.m_All);
    const auto Found =
        std::find_if(Routes.begin(), Routes.end(), [&](const auto &Each) {
          return Each.m_Service == Expected;
        });
    if (Found != Routes.end() && Found->m_Prefix.size() >= LongPrefixBytes)
      ++Seen.m_Long;
  }
}

} // namespace

TEST_CASE("on each way to a node, a published configuration selects the route "
          "of a search through all") {
  Matches Seen;
  CHECK(holds("select a published route", 150, [&Seen] {
    Node Sender;
    std::vector<std::unique_ptr<Node>> Nodes;
    for (std::size_t Index = 0; Index < std::size(Ways); ++Index)
      Nodes.push_back(std::make_unique<Node>());
    const core::Version Versions = *rc::gen::inRange<core::Version>(1, 4);
    for (core::Version Version = 1; Version <= Versions; ++Version) {
      const PublishedRoutes Routes = drawRoutes();
      const core::StoreRecord Record{
          ConfigurationKey, 10 + Version,
          std::make_shared<const std::string>(toJson(Version, Routes))};
      Sender.m_Registry.apply({Record}, Record.m_Revision, Now);
      core::RecordChanges Sent = Sender.m_Registry.takeChanges();
      Sent.m_IsComplete = true;
      Seen.m_Patches += static_cast<int>(Sent.m_Patches.size());
      for (std::size_t Index = 0; Index < std::size(Ways); ++Index) {
        Ways[Index].m_Take(Nodes[Index], {Record, Sender.m_Registry, Sent});
        RC_ASSERT(Nodes[Index]->m_Registry.version() == Version);
      }
      checkRequests(Routes, Nodes, Seen);
    }
  }));
  CHECK(Seen.m_All > 1000);
  CHECK(Seen.m_Long > 100);
  CHECK(Seen.m_None > 50);
  CHECK(Seen.m_Patches > 50);
}
