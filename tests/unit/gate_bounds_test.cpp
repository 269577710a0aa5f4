// Memory limits of the gate.

#include "core/gate/ledger.h"
#include "gate_harness.h"

#include <doctest/doctest.h>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

TEST_CASE(
    "stored answers are bounded in bytes and the oldest still counts as run") {
  gate::Ledger Ledger(1000);
  for (std::uint64_t Sequence : {1U, 2U, 3U}) {
    const RequestId Id = GateHarness::id(Sequence);
    Ledger.admit(Id, {});
    Ledger.start(Id);
    auto Response = std::make_shared<HttpResponse>();
    Response->m_Body = std::string(400, 'x');
    Ledger.finish(Id, Response);
  }
  CHECK(Ledger.heldAnswerBytes() <= 1000);
  CHECK(Ledger.lookUp(GateHarness::id(1)) == gate::RequestState::Done);
  CHECK(Ledger.find(GateHarness::id(1))->m_Response == nullptr);
  CHECK(Ledger.find(GateHarness::id(3))->m_Response != nullptr);
}

TEST_CASE("an ingress that settles nothing cannot fill the ledger") {
  GateHarness Harness;
  Harness.hello(1, 1);
  for (std::uint64_t Sequence = 1; Sequence <= 4096; ++Sequence) {
    Harness.dispatch(1, Sequence);
    Harness.answer(Sequence);
  }
  Harness.takeAll();
  Harness.dispatch(1, 5000);
  REQUIRE(Harness.sent<Refusal>().size() == 1);
  CHECK(Harness.sent<Refusal>()[0].second.m_Reason == RefusalReason::QueueFull);
}

TEST_CASE(
    "replaced links that are never closed don't count against the limit") {
  constexpr std::size_t Count = gate::MaxLinks + 2;
  GateHarness Harness;
  for (std::uint64_t Number = 1; Number <= Count; ++Number)
    Harness.hello(Number, Number);
  CHECK(Harness.sent<TrafficWelcome>().size() == Count);
  Harness.dispatch(Count, 1, Count);
  CHECK(Harness.starts(1) == 1);
}

TEST_CASE("links and remembered ingresses are bounded") {
  GateHarness Harness;
  constexpr std::size_t Rounds = gate::MaxKnownIngresses + 5;
  for (std::uint64_t Number = 1; Number <= Rounds; ++Number) {
    Harness.hello(Number, 1, Number);
    if (Number > 10)
      Harness.closeLink(Number);
  }
  CHECK(Harness.sent<TrafficWelcome>().size() == Rounds);
  Harness.takeAll();
  for (std::uint64_t Number = 1; Number <= gate::MaxLinks; ++Number)
    Harness.hello(Rounds + Number, 2, Rounds + Number);
  CHECK(Harness.sent<TrafficWelcome>().size() == gate::MaxLinks - 10);
}

TEST_CASE("a request without memory for its body is refused and never starts") {
  GateHarness Harness;
  Harness.hello(1, 1);
  Dispatch Message = GateHarness::makeDispatch(1);
  Message.m_NoRoom = true;
  Harness.message(1, Message);
  REQUIRE(Harness.sent<Refusal>().size() == 1);
  CHECK(Harness.sent<Refusal>()[0].second.m_Reason == RefusalReason::QueueFull);
  CHECK(Harness.starts(1) == 0);
  Harness.dispatch(1, 2);
  CHECK(Harness.starts(2) == 1);
}
