// Large answers between a gate and an ingress: sent when the ingress has memory
// for them, and one after the other on a link.
#include "app/node/answer_offers.h"
#include "app/node/answer_pulls.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace dandelionfall;
using app::AnswerOffers;
using app::AnswerPulls;
using core::LinkId;
using core::RequestId;

namespace {

constexpr std::uint64_t MaxBody = 1U << 20U;
constexpr LinkId Link = 3;
constexpr LinkId OtherLink = 4;
const core::Capacity Load{3, 2, 12, std::chrono::milliseconds(5)};

RequestId idOf(std::uint64_t Sequence) { return {{1, 2}, Sequence}; }

core::Answer makeAnswer(std::uint64_t Sequence, std::size_t BodyBytes) {
  return {idOf(Sequence),
          std::make_shared<const core::HttpResponse>(
              core::HttpResponse{200, {}, std::string(BodyBytes, 'x')}),
          Load};
}

core::TimePoint at(int Ms) {
  return core::TimePoint{} + std::chrono::milliseconds(Ms);
}

/// Memory for two of the largest answers, and what is asked for.
struct PullFixture {
  void offer(LinkId From, std::uint64_t Sequence, std::uint64_t Bytes) {
    CHECK(m_Pulls.onOffer(From, {idOf(Sequence), Bytes, Load}));
    poll();
  }
  core::Answer receive(LinkId From, std::uint64_t Sequence, std::size_t Bytes) {
    core::Answer Received = makeAnswer(Sequence, Bytes);
    m_Pulls.onAnswer(From, Received);
    poll();
    return Received;
  }
  void poll() {
    m_Context.restart();
    m_Context.poll();
  }
  std::vector<std::uint64_t> takeAsked() { return std::exchange(m_Asked, {}); }

  boost::asio::io_context m_Context;
  std::shared_ptr<const core::ResponseMemory> m_Memory =
      std::make_shared<const core::ResponseMemory>(core::ResponseMemory{
          core::ByteBudget::create({4 * MaxBody, MaxBody, 128U << 10U}),
          core::ByteBudget::create({2 * MaxBody, 0, 0})});
  std::vector<std::uint64_t> m_Asked;
  AnswerPulls m_Pulls{m_Memory, MaxBody, m_Context.get_executor(),
                      [this](LinkId, const RequestId &Id) {
                        m_Asked.push_back(Id.m_Sequence);
                      }};
};

using Numbers = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("only large answers to an ingress that pulls them are offered") {
  AnswerOffers Offers;
  const core::Answer Large = makeAnswer(1, AnswerOffers::MinBodyBytes);
  CHECK_FALSE(Offers.add(Link, Large, at(0)));
  Offers.onHello(Link);
  CHECK_FALSE(
      Offers.add(Link, makeAnswer(2, AnswerOffers::MinBodyBytes - 1), at(0)));
  CHECK_FALSE(Offers.add(Link, {idOf(3), nullptr, Load}, at(0)));
  const auto Offer = Offers.add(Link, Large, at(0));
  REQUIRE(Offer);
  CHECK(*Offer == core::AnswerOffer{idOf(1), AnswerOffers::MinBodyBytes, Load});
  CHECK_FALSE(Offers.take(OtherLink, idOf(1)));
  CHECK(Offers.take(Link, idOf(1)) == Large);
  CHECK_FALSE(Offers.take(Link, idOf(1)));
}

TEST_CASE("an offer ends with its request, its link, or its age") {
  AnswerOffers Offers;
  Offers.onHello(Link);
  Offers.onHello(OtherLink);
  const auto Add = [&](LinkId To, std::uint64_t Sequence, int Ms) {
    REQUIRE(Offers.add(To, makeAnswer(Sequence, 100'000), at(Ms)));
  };
  Add(Link, 1, 0);
  Offers.remove(Link, idOf(1));
  CHECK_FALSE(Offers.take(Link, idOf(1)));
  Add(Link, 2, 0);
  Add(OtherLink, 2, 0);
  Offers.onLinkClosed(Link);
  CHECK_FALSE(Offers.take(Link, idOf(2)));
  CHECK(Offers.take(OtherLink, idOf(2)));
  Add(OtherLink, 3, 0);
  Add(OtherLink, 4, 500);
  Offers.removeOld(at(1200));
  CHECK_FALSE(Offers.take(OtherLink, idOf(3)));
  CHECK(Offers.take(OtherLink, idOf(4)));
}

TEST_CASE("an answer is asked for once there is memory for it") {
  PullFixture Test;
  auto First = Test.m_Memory->m_Shared->tryReserve(4 * MaxBody);
  Test.offer(Link, 1, MaxBody);
  CHECK(Test.takeAsked().empty());
  CHECK(Test.m_Memory->waiting() == 1);
  First.release();
  Test.poll();
  CHECK(Test.takeAsked() == Numbers{1});
}

TEST_CASE("the memory of an answer is held until the answer is gone") {
  PullFixture Test;
  Test.offer(Link, 1, MaxBody);
  CHECK(Test.m_Memory->held() == 2 * MaxBody);
  {
    const core::Answer Received = Test.receive(Link, 1, MaxBody);
    CHECK(Received.m_Response->m_Body.size() == MaxBody);
    CHECK(Test.m_Memory->held() == 2 * MaxBody);
  }
  CHECK(Test.m_Memory->held() == 0);
  // An answer that was not offered has no memory reserved.
  CHECK(Test.receive(Link, 9, 100).m_Response != nullptr);
}

TEST_CASE("answers follow each other on a link, not on different links") {
  PullFixture Test;
  Test.offer(Link, 1, 600'000);
  Test.offer(Link, 2, 600'000);
  Test.offer(OtherLink, 3, 600'000);
  CHECK(Test.takeAsked() == Numbers{1, 3});
  Test.receive(Link, 1, 600'000);
  CHECK(Test.takeAsked() == Numbers{2});
  // Smaller ones are on their way together.
  Test.offer(OtherLink, 4, 200'000);
  Test.offer(OtherLink, 5, 200'000);
  CHECK(Test.takeAsked() == Numbers{4, 5});
}

TEST_CASE("an answer that the gate no longer has makes room for the next") {
  PullFixture Test;
  Test.offer(Link, 1, MaxBody);
  Test.offer(Link, 2, MaxBody);
  Test.offer(Link, 3, MaxBody);
  CHECK(Test.takeAsked() == Numbers{1});
  Test.m_Pulls.remove(Link, idOf(2));
  Test.m_Pulls.remove(Link, idOf(1));
  Test.poll();
  CHECK(Test.takeAsked() == Numbers{3});
  Test.m_Pulls.onLinkClosed(Link);
  CHECK(Test.m_Memory->held() == 0);
  CHECK(Test.m_Memory->waiting() == 0);
}

TEST_CASE("an answer that is larger than all memory is refused") {
  PullFixture Test;
  CHECK_FALSE(Test.m_Pulls.onOffer(Link, {idOf(1), 5 * MaxBody, Load}));
  CHECK(Test.takeAsked().empty());
}
