#include "dandelionfall/core/quarantine.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace dandelionfall::core;
using namespace std::chrono_literals;

namespace {

constexpr RequestFingerprint Guilty{1, 1};
constexpr RequestFingerprint Beside{2, 2};
constexpr TimePoint Begin{1000s};

RequestFingerprint innocent(std::uint64_t Number) { return {9, Number}; }

/// Ends the target of a node under requests that began just before.
void end(Quarantine &Node, const std::vector<RequestFingerprint> &Running,
         TimePoint Now) {
  std::vector<EndedRequest> Requests;
  Requests.reserve(Running.size());
  for (const RequestFingerprint &Each : Running)
    Requests.push_back({Each, Node.isSuspect(Each)});
  Node.onTargetEnded(Requests, Now);
}

/// Ends the target of a node under a request that began before it was suspect.
void endUnderFirst(Quarantine &Node, const RequestFingerprint &Request,
                   TimePoint Now) {
  Node.onTargetEnded({{Request, false}}, Now);
}

/// Nodes that pass news on to each other, each message with its own delay.
class Fleet {
public:
  explicit Fleet(std::size_t Count, std::uint64_t Seed = 1) : m_Random(Seed) {
    for (std::size_t Number = 0; Number < Count; ++Number)
      m_Nodes.emplace_back(Incarnation{Number + 1, 0});
  }

  /// Delivers messages until no node has news.
  /// \returns the number of messages.
  std::size_t settle() {
    constexpr std::size_t Limit = 100'000;
    std::size_t Messages = 0;
    collect();
    while (!m_Pending.empty() && Messages < Limit) {
      const std::size_t Next = m_Random() % m_Pending.size();
      const Message Delivered = m_Pending[Next];
      m_Pending.erase(m_Pending.begin() + static_cast<std::ptrdiff_t>(Next));
      m_Now += Duration(1 + static_cast<Duration::rep>(m_Random() % 3000));
      m_Nodes[Delivered.m_To].merge(Delivered.m_Evidence, m_Now);
      ++Messages;
      collect();
    }
    return Messages;
  }

  std::size_t quarantinedAt(const RequestFingerprint &Request) {
    std::size_t Count = 0;
    for (Quarantine &Node : m_Nodes)
      Count += Node.check(Request, m_Now) ? 1 : 0;
    return Count;
  }

  std::vector<Quarantine> m_Nodes;
  TimePoint m_Now = Begin;

private:
  struct Message {
    std::size_t m_To = 0;
    std::vector<CrashEvidence> m_Evidence;
  };

  void collect() {
    for (std::size_t From = 0; From < m_Nodes.size(); ++From) {
      const auto News = m_Nodes[From].takeNews(m_Now);
      if (News.empty())
        continue;
      // Also to itself: a node has a link to its own gate.
      for (std::size_t To = 0; To < m_Nodes.size(); ++To)
        m_Pending.push_back({To, News});
    }
  }

  std::mt19937_64 m_Random;
  std::vector<Message> m_Pending;
};

} // namespace

TEST_CASE("a request under which two targets ended is quarantined at all "
          "nodes") {
  Fleet Nodes(5);
  for (const std::size_t Number : {0U, 1U}) {
    CHECK(Nodes.quarantinedAt(Guilty) == 0);
    end(Nodes.m_Nodes[Number], {Guilty, innocent(Number)}, Nodes.m_Now);
    Nodes.settle();
  }
  CHECK(Nodes.quarantinedAt(Guilty) == 5);
  for (const std::size_t Number : {0U, 1U})
    CHECK(Nodes.quarantinedAt(innocent(Number)) == 0);
}

TEST_CASE("copies of a request that ran at the same target count as one end") {
  Quarantine Node({1, 1});
  end(Node, {Guilty, Guilty, Guilty}, Begin);
  CHECK(!Node.check(Guilty, Begin));
  CHECK(Node.isSuspect(Guilty));
  CHECK(Node.evidenceOf(Guilty, Begin).size() == 1);
  CHECK(Node.evidenceOf(Beside, Begin).empty());
}

TEST_CASE("a request that a target answers is not quarantined, however often "
          "it ran beside the guilty one") {
  Fleet Nodes(4);
  for (std::size_t Round = 0; Round < 20; ++Round) {
    Nodes.m_Now += 500ms;
    end(Nodes.m_Nodes[Round % 4], {Guilty, Beside}, Nodes.m_Now);
    Nodes.settle();
    Nodes.m_Now += 100ms;
    Nodes.m_Nodes[(Round + 1) % 4].onAnswered(Beside, Nodes.m_Now);
    Nodes.settle();
  }
  CHECK(Nodes.quarantinedAt(Guilty) == 4);
  CHECK(Nodes.quarantinedAt(Beside) == 0);
}

TEST_CASE("an answer to a quarantined request ends the quarantine everywhere") {
  Fleet Nodes(3);
  for (int Round = 0; Round < 3; ++Round)
    end(Nodes.m_Nodes[0], {Beside}, Nodes.m_Now += 1s);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Beside) == 3);
  Nodes.m_Now += 10ms;
  Nodes.m_Nodes[2].onAnswered(Beside, Nodes.m_Now);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Beside) == 0);
}

TEST_CASE("the exchange of evidence ends, whatever the delays") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    Fleet Nodes(6, Seed);
    std::mt19937_64 Random(Seed);
    for (int Step = 0; Step < 30; ++Step) {
      Nodes.m_Now += Duration(static_cast<Duration::rep>(Random() % 5000));
      Quarantine &Node = Nodes.m_Nodes[Random() % 6];
      if (Random() % 3 == 0)
        Node.onAnswered(Beside, Nodes.m_Now);
      else
        end(Node, {Guilty, Beside, innocent(Random() % 5)}, Nodes.m_Now);
      // Sometimes several events are under way at once.
      if (Random() % 2 == 0)
        CHECK(Nodes.settle() < 2000);
    }
    CHECK(Nodes.settle() < 2000);
    CHECK(Nodes.quarantinedAt(Guilty) == 6);
    Nodes.settle();
    Nodes.quarantinedAt(Guilty);
    CHECK(Nodes.settle() == 0);
  }
}

TEST_CASE("a node that restarts learns the evidence from one other") {
  Fleet Nodes(2);
  for (int Round = 0; Round < 3; ++Round)
    end(Nodes.m_Nodes[0], {Guilty, innocent(1)}, Nodes.m_Now += 1s);
  Quarantine Restarted({7, 7});
  Restarted.merge(Nodes.m_Nodes[0].snapshot(Nodes.m_Now), Nodes.m_Now);
  CHECK(Restarted.check(Guilty, Nodes.m_Now));
}

TEST_CASE("a request that keeps coming stays quarantined, one that stays away "
          "is forgotten") {
  Fleet Nodes(2);
  for (int Round = 0; Round < 3; ++Round)
    end(Nodes.m_Nodes[0], {Guilty, Beside}, Nodes.m_Now);
  Nodes.settle();
  int Ends = 3;
  for (int Minute = 0; Minute < 60; ++Minute) {
    Nodes.m_Now += 1min;
    if (!Nodes.m_Nodes[0].check(Guilty, Nodes.m_Now)) {
      end(Nodes.m_Nodes[0], {Guilty}, Nodes.m_Now);
      ++Ends;
    }
    REQUIRE(Nodes.m_Nodes[0].check(Guilty, Nodes.m_Now));
    CHECK(Nodes.settle() <= 4);
    for (Quarantine &Node : Nodes.m_Nodes)
      Node.expire(Nodes.m_Now);
  }
  CHECK(Ends == 5);
  // Known at the other node too, where the request never arrived.
  CHECK(Nodes.m_Nodes[1].check(Guilty, Nodes.m_Now));
  CHECK(!Nodes.m_Nodes[1].check(Beside, Nodes.m_Now));
  Nodes.m_Now += Quarantine::Lifetime;
  Nodes.m_Nodes[0].expire(Nodes.m_Now);
  CHECK(Nodes.m_Nodes[0].empty());
}

TEST_CASE("a flood of requests that end targets keeps the quarantined ones") {
  Quarantine Node({1, 1});
  for (int Round = 0; Round < 3; ++Round)
    end(Node, {Guilty}, Begin);
  for (std::uint64_t Number = 0; Number < 3 * Quarantine::MaxRequests; ++Number)
    end(Node, {innocent(Number)}, Begin + 1s);
  CHECK(Node.check(Guilty, Begin + 2s));
  CHECK(Node.takeNews(Begin + 2s).size() <= Quarantine::MaxExchanged);
  const auto Snapshot = Node.snapshot(Begin + 2s);
  CHECK(Snapshot.size() <= Quarantine::MaxExchanged);
  Quarantine Other({2, 2});
  Other.merge(Snapshot, Begin + 2s);
  CHECK(Other.check(Guilty, Begin + 2s));
}

TEST_CASE("evidence with impossible times is ignored") {
  Quarantine Node({1, 1});
  for (const Duration Age :
       {Duration{-1}, Quarantine::Lifetime, Duration::max(), Duration::min()})
    Node.merge({{Guilty, false, {{2, 2}, 1}, Age}}, Begin);
  CHECK(Node.empty());
}

TEST_CASE("a quarantine ends, and the next one lasts longer") {
  Quarantine Node({1, 1});
  end(Node, {Guilty}, Begin);
  end(Node, {Guilty}, Begin + 1s);
  CHECK(Node.check(Guilty, Begin + 2s) == Quarantine::Probation - 1s);
  const TimePoint Released = Begin + 1s + Quarantine::Probation;
  CHECK(Node.check(Guilty, Released - 1ms));
  CHECK(!Node.check(Guilty, Released));
  CHECK(Node.isSuspect(Guilty));
  end(Node, {Guilty}, Released + 1s);
  const TimePoint ReleasedAgain = Released + 1s + 4 * Quarantine::Probation;
  CHECK(Node.check(Guilty, Released + 2s) == 4 * Quarantine::Probation - 1s);
  CHECK(Node.check(Guilty, ReleasedAgain - 1ms));
  CHECK(!Node.check(Guilty, ReleasedAgain));
  Node.onAnswered(Guilty, ReleasedAgain + 1s);
  CHECK(!Node.isSuspect(Guilty));
}

TEST_CASE("ends under copies that began before the request was suspect count "
          "as one if it was answered before") {
  for (const bool IsSlowNews : {false, true}) {
    CAPTURE(IsSlowNews);
    Fleet Nodes(9);
    Nodes.m_Nodes[5].onAnswered(Beside, Nodes.m_Now);
    for (Quarantine &Node : Nodes.m_Nodes) {
      endUnderFirst(Node, Beside, Nodes.m_Now += 100ms);
      if (!IsSlowNews)
        Nodes.settle();
    }
    Nodes.settle();
    CHECK(Nodes.quarantinedAt(Beside) == 0);
    for (const Quarantine &Node : Nodes.m_Nodes)
      CHECK(Node.isSuspect(Beside));
    for (const std::size_t Quarantined : {0U, 9U}) {
      end(Nodes.m_Nodes[3], {Beside}, Nodes.m_Now += 1s);
      Nodes.settle();
      CHECK(Nodes.quarantinedAt(Beside) == Quarantined);
    }
  }
}

TEST_CASE("an end counts as one under a suspect if any copy was one") {
  Quarantine Node({1, 1});
  Node.onAnswered(Guilty, Begin);
  endUnderFirst(Node, Guilty, Begin);
  for (const auto After : {1s, 2s})
    Node.onTargetEnded({{Guilty, false}, {Guilty, true}}, Begin + After);
  CHECK(Node.check(Guilty, Begin + 2s));
}

TEST_CASE("each end under a request without an answer before counts") {
  Fleet Nodes(3);
  endUnderFirst(Nodes.m_Nodes[0], Guilty, Nodes.m_Now);
  endUnderFirst(Nodes.m_Nodes[1], Guilty, Nodes.m_Now);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Guilty) == 3);
  // Ends at the same time don't make the first quarantine longer.
  endUnderFirst(Nodes.m_Nodes[2], Guilty, Nodes.m_Now);
  Nodes.settle();
  Nodes.m_Now += Quarantine::Probation;
  CHECK(Nodes.quarantinedAt(Guilty) == 0);
}

TEST_CASE(
    "a request that any node saw answered shortly before needs three ends, "
    "and its quarantines begin short") {
  Fleet Nodes(4);
  Nodes.m_Nodes[2].onAnswered(Guilty, Nodes.m_Now);
  Nodes.m_Now += 10s;
  endUnderFirst(Nodes.m_Nodes[0], Guilty, Nodes.m_Now);
  Nodes.settle();
  for (const Quarantine &Node : Nodes.m_Nodes)
    CHECK(Node.wasAnswered(Guilty));
  end(Nodes.m_Nodes[1], {Guilty}, Nodes.m_Now);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Guilty) == 0);
  // What crashes targets from now on reaches three more in two minutes.
  const TimePoint Third = Nodes.m_Now;
  int Ends = 2;
  while (Nodes.m_Now < Third + 2min) {
    if (!Nodes.m_Nodes[3].check(Guilty, Nodes.m_Now)) {
      end(Nodes.m_Nodes[3], {Guilty}, Nodes.m_Now);
      ++Ends;
      Nodes.settle();
      CHECK(Nodes.quarantinedAt(Guilty) == 4);
    }
    Nodes.m_Now += 500ms;
  }
  CHECK(Ends == 6);
}

TEST_CASE("an answer long before the end doesn't count") {
  Quarantine Node({1, 1});
  Node.onAnswered(Guilty, Begin);
  Node.onTargetEnded({{Guilty, false}}, Begin + Quarantine::AnswerWindow + 1s);
  CHECK(!Node.wasAnswered(Guilty));
  Node.onAnswered(Guilty, Begin + 2min);
  Node.onTargetEnded({{Guilty, false}}, Begin + 4min);
  CHECK(Node.isSuspect(Guilty));
  CHECK(!Node.wasAnswered(Guilty));
}

TEST_CASE(
    "however often a request ends targets, what is kept of it is bounded, "
    "and its quarantines go on") {
  Quarantine Node({1, 1});
  TimePoint Now = Begin;
  for (int Round = 0; Round < 50; ++Round) {
    endUnderFirst(Node, Guilty, Now);
    end(Node, {Guilty}, Now);
    CHECK(Node.check(Guilty, Now));
    Now += 12h;
    CHECK((Node.check(Guilty, Now) || Node.isSuspect(Guilty)));
  }
  CHECK(Node.evidenceOf(Guilty, Now).size() ==
        Quarantine::MaxFirstEnds + Quarantine::MaxSuspectEnds);
}

TEST_CASE("after a restart of all nodes a request ends two more targets, no "
          "third one") {
  for (int Life = 0; Life < 2; ++Life) {
    Fleet Nodes(4);
    std::size_t Ends = 0;
    while (Nodes.quarantinedAt(Guilty) == 0 && Ends < 10) {
      end(Nodes.m_Nodes[Ends % 4], {Guilty}, Nodes.m_Now);
      Nodes.settle();
      ++Ends;
    }
    CHECK(Ends == 2);
    CHECK(Nodes.quarantinedAt(Guilty) == 4);
  }
}

TEST_CASE("two requests that crash targets at the same time are quarantined "
          "after two ends each, what ran beside both is not") {
  constexpr RequestFingerprint Second{3, 3};
  Fleet Nodes(4);
  end(Nodes.m_Nodes[0], {Guilty, Beside}, Nodes.m_Now);
  end(Nodes.m_Nodes[1], {Second, innocent(1)}, Nodes.m_Now);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Guilty) + Nodes.quarantinedAt(Second) == 0);
  // Suspects run apart from each other, so the second ends tell them apart.
  end(Nodes.m_Nodes[2], {Guilty}, Nodes.m_Now);
  end(Nodes.m_Nodes[3], {Second}, Nodes.m_Now);
  Nodes.m_Nodes[2].onAnswered(Beside, Nodes.m_Now);
  Nodes.settle();
  CHECK(Nodes.quarantinedAt(Guilty) == 4);
  CHECK(Nodes.quarantinedAt(Second) == 4);
  for (const RequestFingerprint &Innocent : {Beside, innocent(1)})
    CHECK(Nodes.quarantinedAt(Innocent) == 0);
  CHECK(!Nodes.m_Nodes[0].isSuspect(Beside));
}

TEST_CASE("a request that crashes targets only at times is not quarantined "
          "while answers come in between") {
  Fleet Nodes(3);
  for (std::size_t Round = 0; Round < 10; ++Round) {
    Nodes.m_Now += 1s;
    end(Nodes.m_Nodes[Round % 3], {Guilty}, Nodes.m_Now);
    Nodes.settle();
    CHECK(Nodes.m_Nodes[0].isSuspect(Guilty));
    Nodes.m_Nodes[(Round + 1) % 3].onAnswered(Guilty, Nodes.m_Now);
    Nodes.settle();
    CHECK(Nodes.quarantinedAt(Guilty) == 0);
    CHECK(!Nodes.m_Nodes[0].isSuspect(Guilty));
  }
}
