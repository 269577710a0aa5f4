// Random sequences of events preserve the invariants of the gate.

#include "gate_harness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <unordered_map>
#include <unordered_set>

using namespace dandelionfall::core;
using namespace dandelionfall::core::testing;

namespace {

constexpr std::uint64_t Ingresses = 2;
constexpr std::uint64_t Ids = 12;
constexpr std::uint32_t SlotCount = 3;
constexpr std::uint64_t Ranks = 3;

/// A random step: its kind, and the ingress and request concerned.
struct Step {
  int m_Kind = 0;
  std::uint64_t m_Ingress = 1;
  std::uint64_t m_Sequence = 1;
  std::int64_t m_Milliseconds = 0;
};

std::ostream &operator<<(std::ostream &Stream, const Step &Value) {
  return Stream << Value.m_Kind << '/' << Value.m_Ingress << '/'
                << Value.m_Sequence << '/' << Value.m_Milliseconds;
}

constexpr int StepKinds = 13;

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_Kind, rc::gen::inRange(0, StepKinds)),
      rc::gen::set(&Step::m_Ingress,
                   rc::gen::inRange<std::uint64_t>(1, Ingresses + 1)),
      rc::gen::set(&Step::m_Sequence,
                   rc::gen::inRange<std::uint64_t>(1, Ids + 1)),
      rc::gen::set(&Step::m_Milliseconds,
                   rc::gen::inRange<std::int64_t>(0, 400)));
}

/// Runs steps against a gate and checks the invariants after each.
class RandomRun {
public:
  RandomRun() : m_Harness({.m_Slots = SlotCount, .m_ColdLimit = 1}) {
    for (std::uint64_t Ingress = 1; Ingress <= Ingresses; ++Ingress)
      openLink(Ingress);
  }

  void apply(const Step &Each) {
    const RequestId Id = GateHarness::id(Each.m_Sequence, Each.m_Ingress);
    IngressSide &Own = m_IngressSides[Each.m_Ingress];
    switch (Each.m_Kind) {
    case 0:
    case 1:
    case 2:
      dispatch(Own.m_Link, Own.m_Epoch, Each);
      break;
    case 3:
      if (Own.m_OldLink != 0)
        dispatch(Own.m_OldLink, Own.m_Epoch - 1, Each);
      break;
    case 4:
      openLink(Each.m_Ingress);
      break;
    case 5:
      m_Harness.message(Own.m_Link, Inquiry{{Id}});
      break;
    case 6:
      m_Harness.message(Own.m_Link, Cancel{Id});
      break;
    case 7:
      m_Harness.message(Own.m_Link, Settled{{Id}});
      break;
    case 8:
    case 9:
      m_Harness.answer(Each.m_Sequence, Each.m_Ingress);
      break;
    case 10:
      m_Harness.failure(Each.m_Sequence,
                        static_cast<TargetFailure>(Each.m_Milliseconds % 4),
                        Each.m_Ingress);
      break;
    case 11:
      m_Harness.advanceTime(ms(Each.m_Milliseconds));
      break;
    default:
      m_Harness.sleep(ms(Each.m_Milliseconds));
    }
    check();
  }

  /// Waits for all requests to end; each dispatched request must then have a
  /// reply.
  void finish() {
    m_Harness.advanceTime(std::chrono::seconds(20));
    check();
    for (const auto &[Id, Count] : m_Dispatched) {
      RC_ASSERT(m_Replied.count(Id) == 1);
    }
  }

private:
  struct IngressSide {
    LinkId m_Link = 0;
    LinkId m_OldLink = 0;
    Epoch m_Epoch = 0;
  };

  void openLink(std::uint64_t Ingress) {
    IngressSide &Own = m_IngressSides[Ingress];
    Own.m_OldLink = Own.m_Link;
    Own.m_Link = ++m_LastLink;
    m_Harness.hello(Own.m_Link, ++Own.m_Epoch, Ingress);
  }

  void dispatch(LinkId Link, Epoch Epoch, const Step &Each) {
    ++m_Dispatched[GateHarness::id(Each.m_Sequence, Each.m_Ingress)];
    Dispatch Message = GateHarness::makeDispatch(
        Each.m_Sequence, Epoch, ms(Each.m_Milliseconds), Each.m_Ingress);
    Message.m_Priority = static_cast<std::uint32_t>(Each.m_Sequence % Ranks);
    m_Harness.message(Link, Message);
  }

  void check() {
    for (const GateCommand &Each : m_Harness.takeAll()) {
      if (const auto *Start = std::get_if<StartTarget>(&Each)) {
        RC_ASSERT(m_Started.insert(Start->m_Id).second);
        RC_ASSERT(m_NeverRuns.count(Start->m_Id) == 0);
        RC_ASSERT(Start->m_Deadline > m_Harness.now() - ms(20'000));
      }
      if (const auto *Send = std::get_if<SendTraffic>(&Each))
        checkMessage(Send->m_Message);
    }
    const Capacity Load = m_Harness.gate().capacity();
    RC_ASSERT(Load.m_Limit >= 1);
    RC_ASSERT(Load.m_Limit <= SlotCount);
    RC_ASSERT(Load.m_InFlight <= SlotCount);
  }

  void checkMessage(const TrafficMessage &Message) {
    if (const auto *Refused = std::get_if<Refusal>(&Message))
      recordNotRun(Refused->m_Id, Refused->m_Reason);
    if (const auto *Reply = std::get_if<InquiryReply>(&Message)) {
      if (Reply->m_State == LedgerState::NeverRuns)
        recordNotRun(Reply->m_Id, RefusalReason::OldEpoch);
    }
    if (const auto *Ended = std::get_if<Answer>(&Message))
      recordRun(Ended->m_Id);
    if (const auto *Ended = std::get_if<Failure>(&Message))
      recordRun(Ended->m_Id);
  }

  void recordNotRun(const RequestId &Id, RefusalReason Reason) {
    // A start that ended before a byte was sent does not count as a run.
    RC_ASSERT(m_Started.count(Id) == 0 || Reason == RefusalReason::TargetDown ||
              m_NotSent.count(Id) == 1);
    if (Reason == RefusalReason::TargetDown)
      m_NotSent.insert(Id);
    RC_ASSERT(m_Ran.count(Id) == 0);
    m_NeverRuns.insert(Id);
    m_Replied.insert(Id);
  }

  void recordRun(const RequestId &Id) {
    RC_ASSERT(m_NeverRuns.count(Id) == 0);
    RC_ASSERT(m_Started.count(Id) == 1);
    m_Ran.insert(Id);
    m_Replied.insert(Id);
  }

  GateHarness m_Harness;
  std::map<std::uint64_t, IngressSide> m_IngressSides;
  LinkId m_LastLink = 0;
  std::unordered_map<RequestId, int> m_Dispatched;
  std::unordered_set<RequestId> m_Started;
  std::unordered_set<RequestId> m_Ran;
  std::unordered_set<RequestId> m_NotSent;
  std::unordered_set<RequestId> m_NeverRuns;
  std::unordered_set<RequestId> m_Replied;
};

/// Makes RapidCheck run the same cases each time, and enough of them, unless
/// RC_PARAMS says otherwise.
void choosePropertyRuns() {
  const char *Given = std::getenv("RC_PARAMS");
  std::string Params = Given == nullptr ? "seed=5" : Given;
  if (Params.find("max_success") == std::string::npos)
    Params += " max_success=2000";
  setenv("RC_PARAMS", Params.c_str(), 1);
}

} // namespace

TEST_CASE("random events: one start at most, correct refusals, one reply") {
  choosePropertyRuns();
  const bool Held = rc::check([] {
    const auto Steps =
        *rc::gen::resize(300, rc::gen::container<std::vector<Step>>(anyStep()));
    RandomRun Run;
    for (const Step &Each : Steps)
      Run.apply(Each);
    Run.finish();
  });
  CHECK(Held);
}
