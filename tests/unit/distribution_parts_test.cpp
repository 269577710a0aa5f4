// Host lists, change records, the bounded change log and the bulk allowance.
#include "core/distribution/change_log.h"
#include "core/distribution/part_set.h"
#include "core/distribution/snapshot_sender.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/host_list.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace dandelionfall::core;
using namespace std::chrono_literals;

namespace {

PartSetPtr makeSet(Version Number, const std::vector<int> &Values) {
  PartMap Parts;
  for (std::size_t Index = 0; Index < Values.size(); ++Index) {
    if (Values[Index] == 0)
      continue;
    const std::string Name = "service/p" + std::to_string(Index);
    Parts[Name] = makePart(Name, std::to_string(Values[Index]));
  }
  const VersionStamp Stamp = stampOf(Number, Parts);
  return joinParts(Stamp, std::move(Parts));
}

} // namespace

TEST_CASE("a change record leads from any logged version to the newest") {
  CHECK(rc::check([] {
    const auto Steps = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4)));
    std::vector<PartSetPtr> Sets = {makeSet(1, {})};
    ChangeLog Log;
    for (const std::vector<int> &Values : Steps) {
      Sets.push_back(makeSet(Sets.size() + 1, Values));
      Log.append(*Sets[Sets.size() - 2], *Sets.back());
    }
    for (std::size_t From = 0; From + 1 < Sets.size(); ++From) {
      const auto Record = Log.changeSince(Sets[From]->m_Stamp, *Sets.back());
      RC_ASSERT(Record.has_value());
      const PartSetPtr Result = applyRecord(*Sets[From], *Record);
      RC_ASSERT(Result->m_Stamp == Sets.back()->m_Stamp);
      RC_ASSERT(Result->m_Parts.size() == Sets.back()->m_Parts.size());
    }
  }));
}

TEST_CASE("the change log stays within its size limit") {
  ChangeLog Log;
  PartSetPtr Last = makeSet(1, {1});
  for (Version Number = 2; Number < 10000; ++Number) {
    const PartSetPtr Next =
        makeSet(Number, {static_cast<int>(Number), 7, 7, 7});
    Log.append(*Last, *Next);
    Last = Next;
  }
  CHECK(Log.bytes() <= ChangeLog::MaxBytes);
  CHECK_FALSE(Log.changeSince(makeSet(1, {1})->m_Stamp, *Last).has_value());
}

TEST_CASE("change records with a wrong base or digest are refused") {
  const PartSetPtr One = makeSet(1, {1, 1});
  const PartSetPtr Two = makeSet(2, {1, 2});
  ChangeLog Log;
  Log.append(*One, *Two);
  const ChangeRecord Good = *Log.changeSince(One->m_Stamp, *Two);
  CHECK(applyRecord(*One, Good)->m_Stamp == Two->m_Stamp);
  CHECK_THROWS_AS((void)applyRecord(*Two, Good), Error);
  ChangeRecord Altered = Good;
  Altered.m_Changed = {makePart("service/p1", "altered")};
  CHECK_THROWS_AS((void)applyRecord(*One, Altered), Error);
  ChangeRecord Incomplete = Good;
  Incomplete.m_Changed.clear();
  CHECK_THROWS_AS((void)applyRecord(*One, Incomplete), Error);
}

TEST_CASE("a manifest with another layout gets the same stamp") {
  const PartSetPtr Set = makeSet(7, {1, 2});
  std::string Text = "; a comment\n[parts]\n";
  for (const auto &[Name, Value] : Set->m_Parts) {
    const std::string Canonical = writeManifest(1, {{Name, Value->m_Digest}});
    Text += Canonical.substr(Canonical.find(Name));
  }
  Text += "[manifest]\nparts = 2\nversion=7\n";
  CHECK(readManifest(Text).m_Stamp != Set->m_Stamp);
  CHECK(canonicalStamp(readManifest(Text)) == Set->m_Stamp);
}

TEST_CASE("incomplete and invalid host lists are refused") {
  struct Row {
    std::string m_Text;
    std::string m_Fault;
  };
  const std::string Head = "[hosts]\nrevision = 1\ncount = 1\n";
  const std::string Host =
      "[host a]\nzone = z\naddress = 127.0.0.1:1\nstate = live\n";
  const std::string HostWithoutState =
      "[host a]\nzone = z\naddress = 127.0.0.1:1\n";
  const Row Rows[] = {
      {"", "no revision"},
      {"[hosts]\nrevision = 0\ncount = 0\n", "not a valid value for revision"},
      {"[hosts]\nrevision = x\ncount = 0\n", "not a valid value for revision"},
      {"[hosts]\nrevision = 1\n", "lacks the key count"},
      {"[hosts]\nrevision = 1\ncount = 2\n" + Host, "count"},
      {Head + Host +
           "[host b]\nzone = z\naddress = 127.0.0.1:2\n"
           "state = live\n",
       "count"},
      {"[hosts]\nrevision = 1\ncount = 0\nother = 2\n", "unknown key"},
      {Head + Host + Host, "duplicate section"},
      {Head + "[host a]\nzone = z\n", "lacks"},
      {Head + HostWithoutState, "lacks the key state"},
      {Head + HostWithoutState + "state = gone\n", "unknown state"},
      {Head + Host + "port = 1\n", "unknown key"},
      {Head + "[host a]\nzone = z\naddress = here\nstate = live\n",
       "not a valid value for address"},
      {Head + "[target a]\nzone = z\n", "unknown section"},
      {Head + Host.substr(0, Host.size() - 1), "truncated"},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Text);
    std::string Message = "accepted";
    try {
      (void)readHostList(Each.m_Text);
    } catch (const Error &Fault) {
      Message = Fault.what();
    }
    CHECK(Message.find(Each.m_Fault) != std::string::npos);
  }
}

TEST_CASE("a host list truncated at any length is refused") {
  HostList List;
  List.m_Revision = 12;
  List.m_Hosts = {{"a", "z", "127.0.0.1:1001", HostState::Live},
                  {"b", "z", "127.0.0.1:1002", HostState::Leaving}};
  const std::string Text = writeHostList(List);
  REQUIRE(readHostList(Text) == List);
  for (std::size_t Length = 0; Length < Text.size(); ++Length) {
    CAPTURE(Length);
    CHECK_THROWS_AS((void)readHostList(Text.substr(0, Length)), Error);
  }
}

TEST_CASE("a host list round-trips through text and parts") {
  HostList List;
  List.m_Revision = 3;
  List.m_Hosts = {{"a", "z1", "127.0.0.1:1", HostState::Live},
                  {"b", "z2", "127.0.0.1:2", HostState::Leaving}};
  CHECK(readHostList(writeHostList(List)) == List);
  const PartMap Parts = splitHostList(List, {});
  CHECK(joinHostList(3, Parts, {}, {}) == List);
  HostList Next = List;
  Next.m_Revision = 4;
  Next.m_Hosts[0].m_State = HostState::Leaving;
  const PartMap Changed = splitHostList(Next, Parts);
  CHECK(Changed.at("host/b") == Parts.at("host/b"));
  CHECK(joinHostList(4, Changed, List, Parts) == Next);
  const PartMap Wrong = {{"host/c", Parts.at("host/a")}};
  CHECK_THROWS_AS((void)joinHostList(4, Wrong, {}, {}), Error);
}

TEST_CASE("the bulk allowance bounds the long-term rate") {
  constexpr std::size_t Piece = 1U << 20U;
  BulkAllowance Allowance;
  TimePoint Now{std::chrono::hours(1)};
  const TimePoint End = Now + std::chrono::hours(2);
  std::size_t Sent = 0;
  for (; Now < End; Now += 1s)
    Sent += Allowance.tryConsume(Piece, Now) ? Piece : 0U;
  const double Seconds = 2 * 3600;
  CHECK(static_cast<double>(Sent) <=
        BulkAllowance::BurstBytes + Seconds * BulkAllowance::BytesPerSecond);
  CHECK(Sent >= 5 * Piece);
}
