// Which requests leave the availability zone, and how many.
#include "core/ingress/answer_sizes.h"
#include "core/ingress/zone_spill.h"
#include "unit/ingress_fixture.h"

#include <doctest/doctest.h>

#include <random>

using namespace dandelionfall::core;
using namespace dandelionfall::core::ingress;

namespace {

struct WeighCase {
  const char *m_Name;
  TargetOutlook m_Home;
  TargetOutlook m_Away;
  Duration m_TimeLeft;
  double m_PriceSeconds;
  ZoneVerdict m_Verdict;
};

// Load, limit, service time, round trip, share of failures.
const WeighCase WeighCases[] = {
    {"equal targets", {2, 4, 0.1, 0}, {2, 4, 0.1, 0}, 1s, 0, ZoneVerdict::Stay},
    {"room at home",
     {1, 4, 0.1, 0.001},
     {0, 4, 0.1, 0.003},
     1s,
     0.001,
     ZoneVerdict::Stay},
    {"a queue at home",
     {8, 4, 0.1, 0.001},
     {0, 4, 0.1, 0.003},
     1s,
     0.001,
     ZoneVerdict::Pays},
    {"a queue not worth the transfer",
     {8, 4, 0.1, 0.001},
     {0, 4, 0.1, 0.003},
     1s,
     0.2,
     ZoneVerdict::Stay},
    {"late at home, whatever the price",
     {20, 4, 0.1, 0.001},
     {0, 4, 0.1, 0.003},
     400ms,
     1000,
     ZoneVerdict::InTime},
    {"late everywhere",
     {20, 4, 0.1, 0.001},
     {20, 4, 0.1, 0.003},
     400ms,
     0,
     ZoneVerdict::Stay},
    {"failing at home",
     {0, 4, 0.1, 0.001, 0.5},
     {0, 4, 0.1, 0.003},
     1s,
     0.01,
     ZoneVerdict::Pays},
    {"failing elsewhere",
     {8, 4, 0.1, 0.001},
     {0, 4, 0.1, 0.003, 0.5},
     1s,
     0,
     ZoneVerdict::Stay},
    {"a faster target elsewhere",
     {0, 4, 0.3, 0.001},
     {0, 4, 0.1, 0.003},
     1s,
     0.001,
     ZoneVerdict::Pays},
    {"too far", {8, 4, 0.1, 0.001}, {0, 4, 0.1, 0.3}, 1s, 0, ZoneVerdict::Stay},
};

IngressOptions pricedOptions(double PerGigabyte = 0.02) {
  IngressOptions Options{"h0", "a", {7, 7}, 1, "priced-zones"};
  Options.m_ZonePrices = {PerGigabyte, 0.001};
  return Options;
}

// Calls the service at an even rate; the load of the gates stays as set.
unsigned countSent(IngressFixture &Test, CallId Calls) {
  unsigned Sent = 0;
  for (CallId Id = 1; Id <= Calls; ++Id) {
    Test.call(Test.m_Answers.size() + 1, "POST");
    const ReceivedDispatch Received = Test.m_Dispatches.back();
    Sent += Received.m_Gate == "gate1" ? 0 : 1;
    Test.advance(10ms);
    Test.answer(Received);
  }
  return Sent;
}

} // namespace

TEST_CASE("a request leaves if the gain exceeds the price, or if only a target "
          "elsewhere answers in time") {
  for (const WeighCase &Case : WeighCases) {
    CAPTURE(Case.m_Name);
    const RequestOutlook Request{Case.m_TimeLeft, 2s};
    CHECK(weigh(estimateCompletion(Case.m_Home, Request),
                estimateCompletion(Case.m_Away, Request), Request,
                Case.m_PriceSeconds) == Case.m_Verdict);
  }
}

TEST_CASE("a request that leaves loses less time than at home by more than the "
          "price, or is in time only there") {
  std::mt19937_64 Random(5);
  const auto Pick = [&Random](double Least, double Most) {
    return Least + (Most - Least) * static_cast<double>(Random() % 10001) / 1e4;
  };
  const auto PickTarget = [&Pick] {
    return TargetOutlook{Pick(0, 20), Pick(1, 16), Pick(0.001, 0.5),
                         Pick(0, 0.05), Pick(0, 0.3)};
  };
  unsigned Left = 0;
  for (int Count = 0; Count < 20'000; ++Count) {
    const auto Time = Duration(1000 + Random() % 2'000'000);
    const RequestOutlook Request{Time, 2 * Time};
    const auto Home = estimateCompletion(PickTarget(), Request);
    const auto Away = estimateCompletion(PickTarget(), Request);
    const double Price = Pick(0, 0.2);
    const ZoneVerdict Verdict = weigh(Home, Away, Request, Price);
    CHECK(weigh(Home, Home, Request, Price) == ZoneVerdict::Stay);
    if (Verdict == ZoneVerdict::Stay)
      continue;
    ++Left;
    if (Verdict == ZoneVerdict::InTime)
      CHECK(Away.m_Seconds < Home.m_Seconds);
    else
      CHECK(Away.m_LostSeconds + Price < Home.m_LostSeconds);
    // What leaves at this price leaves at every lower one.
    CHECK(weigh(Home, Away, Request, Price / 2) != ZoneVerdict::Stay);
  }
  CHECK(Left > 1000);
}

TEST_CASE("the share that leaves is the excess of the demand over the room, "
          "whatever part of the requests leaving pays for") {
  for (const double Demand : {0.5, 1.5, 2.5, 5.0}) {
    for (const unsigned PayingOf10 : {10U, 8U}) {
      ZoneSpill Spill;
      std::mt19937_64 Random(3);
      TimePoint Now{1s};
      unsigned Sent = 0;
      constexpr unsigned Calls = 4000;
      for (unsigned Count = 0; Count < 2 * Calls; ++Count) {
        Now += 10ms;
        Spill.recordPressure(Demand * (1 - Spill.sentShare()), 1, Now);
        const double Draw = static_cast<double>(Random() % 1000) / 1000;
        const bool Pays = Count % 10 < PayingOf10;
        const bool Leaves = Spill.decide(
            Pays ? ZoneVerdict::Pays : ZoneVerdict::Stay, {1.25, 0}, Draw, Now);
        Sent += Leaves && Count >= Calls ? 1 : 0;
      }
      // A short queue at home counts as room.
      const double Excess = std::max(0.0, 1 - 1.25 / Demand);
      CHECK(Sent / double(Calls) == doctest::Approx(Excess).epsilon(0.05));
    }
  }
}

TEST_CASE("the less time a request has, the less load at home counts as full") {
  double Last = 0;
  for (const Duration Left : {50ms, 200ms, 250ms, 300ms, 400ms, 2000ms}) {
    const double Share = fullHomeShare({Left, 2s}, 0.1);
    CHECK(Share >= Last);
    Last = Share;
  }
  CHECK(Last == doctest::Approx(1.25));
  CHECK(fullHomeShare({200ms, 2s}, 0.1) == doctest::Approx(0.75));
}

TEST_CASE("changes are reported at a limited rate") {
  ZoneSpill Spill;
  TimePoint Now{1s};
  Spill.decide(ZoneVerdict::InTime, {}, 0.5, Now);
  CHECK(Spill.takeChange(Now).has_value());
  for (int Count = 0; Count < 500; ++Count)
    Spill.decide(ZoneVerdict::Stay, {}, 0.5, Now += 1ms);
  CHECK_FALSE(Spill.takeChange(Now));
  CHECK(Spill.takeChange(Now + 10s)->starts_with("sends=no"));
}

TEST_CASE("answer sizes are learned for each kind, in bounded space") {
  AnswerSizes Sizes;
  CHECK(Sizes.expected("/desk") == 0);
  Sizes.record("/desk", 1000);
  CHECK(Sizes.expected("/desk") == 1000);
  CHECK(Sizes.expected("/other") == 1000);
  for (int Count = 0; Count < 50; ++Count)
    Sizes.record("/desk", 5000);
  CHECK(Sizes.expected("/desk") == doctest::Approx(5000).epsilon(0.01));
  for (std::size_t Count = 0; Count < 3 * AnswerSizes::MaxKinds; ++Count)
    Sizes.record("/" + std::to_string(Count), 10);
  CHECK(Sizes.size() <= AnswerSizes::MaxKinds);
}

TEST_CASE("requests stay at home beyond four fifths of its limit, and leave "
          "for lack of room or targets") {
  struct Case {
    const char *m_Name;
    Capacity m_Home;
    std::set<std::string> m_Out;
    double m_PricePerGigabyte;
    unsigned m_Least, m_Most;
  };
  const Case Cases[] = {
      {"nearly full", {3, 0, 4, 50ms}, {}, 0.02, 0, 0},
      {"overfull", {4, 4, 4, 50ms}, {}, 0.02, 200, 500},
      {"overfull, but the transfer is dear", {4, 4, 4, 50ms}, {}, 1e6, 0, 0},
      {"far too full for any deadline", {4, 400, 4, 50ms}, {}, 1e6, 490, 500},
      {"out", {0, 0, 4, 50ms}, {"a"}, 1e6, 500, 500},
      {"overfull, the others out", {4, 4, 4, 50ms}, {"b", "c"}, 0.02, 0, 0},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    IngressFixture Test(pricedOptions(Each.m_PricePerGigabyte));
    for (const char *Gate : {"gate2", "gate3"})
      Test.m_Load[Gate] = {0, 0, 4, 50ms};
    Test.m_Load["gate1"] = Each.m_Home;
    ConfigurationBuilder Builder;
    Builder.m_ZonesOut = Each.m_Out;
    Test.configure(Builder);
    const unsigned Sent = countSent(Test, 500);
    CHECK(Sent >= Each.m_Least);
    CHECK(Sent <= Each.m_Most);
    const ZoneTrafficCounts &Counts = Test.m_Ingress.zoneTraffic();
    CHECK(Counts.m_Kept == 500 - Sent);
    if (Each.m_Out.contains("a"))
      CHECK(Counts.m_SentForLackOfTargets == 500);
  }
}

TEST_CASE("targets that are cold are not sent requests that home answers in "
          "time") {
  IngressFixture Test(pricedOptions());
  Test.m_Load["gate1"] = {4, 4, 4, 50ms};
  Test.m_Load["gate2"] = {0, 0, 1, 50ms};
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a", "b"};
  Test.configure(Builder);
  CHECK(countSent(Test, 200) == 0);
}

TEST_CASE("targets elsewhere that fail are avoided even if home is late") {
  for (const std::uint32_t Queued : {4U, 400U}) {
    CAPTURE(Queued);
    IngressFixture Test(pricedOptions());
    Test.m_Load["gate1"] = {4, Queued, 4, 50ms};
    Test.m_Load["gate2"] = {0, 0, 4, 50ms};
    ConfigurationBuilder Builder;
    Builder.m_TargetZones = {"a", "b"};
    Test.configure(Builder);
    unsigned Failed = 0;
    for (CallId Id = 1; Id <= 300; ++Id) {
      Test.call(Id, "POST");
      const ReceivedDispatch Received = Test.m_Dispatches.back();
      Test.advance(1ms);
      if (Received.m_Gate == "gate1") {
        Test.answer(Received);
        continue;
      }
      Test.fail(Received);
      ++Failed;
    }
    CHECK(Failed <= 4);
  }
}

TEST_CASE("a target at home that is cold or states a rate gets no queue while "
          "others have room") {
  for (const auto &Rate : {std::optional<double>(), std::optional(5.0)}) {
    IngressFixture Test(pricedOptions());
    Test.m_Load["gate1"] = {0, 0, Rate ? 2U : 1U, 1ms, Rate};
    Test.configure({});
    for (CallId Id = 1; Id <= 7; ++Id)
      Test.call(Id, "POST");
    const auto AtHome = std::count_if(
        Test.m_Dispatches.begin(), Test.m_Dispatches.end(),
        [](const ReceivedDispatch &Each) { return Each.m_Gate == "gate1"; });
    CHECK(AtHome == Test.m_Load["gate1"].m_Limit);
  }
}

TEST_CASE("a request refused at home goes where there is room") {
  IngressFixture Test(pricedOptions(1e6));
  for (const char *Gate : {"gate1", "gate2"})
    Test.m_Load[Gate] = {4, 0, 4, 50ms};
  Test.m_Load["gate3"] = {0, 0, 4, 200ms};
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"a", "a", "b"};
  Test.configure(Builder);
  Test.call(1, "POST");
  REQUIRE(Test.m_Dispatches.back().m_Gate != "gate3");
  Test.refuse(ReceivedDispatch(Test.m_Dispatches.back()));
  REQUIRE(Test.m_Dispatches.size() == 2);
  CHECK(Test.m_Dispatches.back().m_Gate == "gate3");
}

TEST_CASE("small requests leave first") {
  IngressFixture Test(pricedOptions(1));
  Test.m_Load["gate1"] = {4, 2, 4, 50ms};
  for (const char *Gate : {"gate2", "gate3"})
    Test.m_Load[Gate] = {0, 0, 4, 50ms};
  Test.configure({});
  std::map<bool, unsigned> SentOfLarge;
  for (CallId Id = 1; Id <= 400; ++Id) {
    const bool IsLarge = Id % 2 == 0;
    Test.m_Ingress.onCall(
        Id, makeRequest("POST", std::string(IsLarge ? 500'000 : 10, 'x')),
        std::nullopt, Test.m_Now);
    Test.performCommands();
    const ReceivedDispatch Received = Test.m_Dispatches.back();
    if (Received.m_Gate != "gate1")
      ++SentOfLarge[IsLarge];
    Test.advance(10ms);
    Test.answer(Received);
  }
  CHECK(SentOfLarge[false] > 50);
  CHECK(SentOfLarge[true] == 0);
}

TEST_CASE("an event tells when a zone begins and ceases to send requests away, "
          "at a limited rate") {
  IngressFixture Test(pricedOptions());
  for (const char *Gate : {"gate2", "gate3"})
    Test.m_Load[Gate] = {0, 0, 4, 50ms};
  Test.configure({});
  const auto Count = [&Test](const std::string &Sends) {
    return std::count_if(
        Test.m_Events.begin(), Test.m_Events.end(), [&](const Event &Each) {
          return Each.m_Id == EventId::ZoneTrafficChanged &&
                 Each.m_Detail.find("service=desk zone=a sends=" + Sends) == 0;
        });
  };
  Test.m_Load["gate1"] = {4, 4, 4, 50ms};
  countSent(Test, 1500);
  CHECK(Count("yes") == 1);
  Test.m_Load["gate1"] = {0, 0, 4, 50ms};
  countSent(Test, 3000);
  CHECK(Count("yes") == 1);
  CHECK(Count("no") == 1);
}

TEST_CASE("an open link to a target elsewhere does not hide targets at home "
          "without one") {
  IngressFixture Test(pricedOptions());
  ConfigurationBuilder Builder;
  Builder.m_TargetZones = {"b"};
  Test.configure(Builder);
  Test.call(1, "POST");
  REQUIRE(Test.m_Dispatches.back().m_Gate == "gate1");
  Test.answer(ReceivedDispatch(Test.m_Dispatches.back()));
  Builder.m_Version = 2;
  Builder.m_TargetZones.insert(Builder.m_TargetZones.end(), 12, "a");
  for (int Gate = 2; Gate <= 13; ++Gate)
    Test.m_Load["gate" + std::to_string(Gate)] = {4, 0, 4, 50ms};
  Test.configure(Builder);
  Test.m_Opens.clear();
  Test.call(2, "POST");
  CHECK(Test.m_Opens.size() == 1);
  CHECK(Test.m_Ingress.zoneTraffic().m_Kept == 1);
}
