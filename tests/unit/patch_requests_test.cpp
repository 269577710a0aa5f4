// When a node confirms patches and asks for others.
#include "core/registry/limits.h"
#include "core/registry/patch_requests.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <variant>

using namespace dandelionfall::core;
using namespace dandelionfall::core::registry;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

class IgnoringDecoder : public RecordDecoder {
public:
  DecodedRecord decode(const StoreRecord & /*Record*/) const override {
    return IgnoredRecord{};
  }
};

StoreRecord largeRecord(Revision At) {
  return {"configuration", At,
          std::make_shared<const std::string>(2 * MaxSmallRecordBytes, 'a')};
}

/// A node that follows one other node, on link 1.
struct Fixture {
  Fixture() {
    m_Held.replaceAll({largeRecord(7)}, 7, m_Now);
    m_Follower.onNodes({{"n1:7620", "b"}}, m_Now);
    m_Follower.onLinkOpened(1, m_Now);
    m_Follower.takeCommands();
  }

  /// Handles a notice with a patch that changes nothing.
  void notify(Revision Announced, bool WasMissing) {
    RecordChanges Changes;
    Changes.m_Patches = {RecordPatch{"configuration", Announced, 3, {}}};
    Changes.m_Large = {{"configuration", Announced}};
    m_Requests.onChanges(1, Changes, WasMissing, m_Now);
  }

  void runUntil(TimePoint End) {
    while (m_Requests.nextWakeUp() && *m_Requests.nextWakeUp() <= End) {
      m_Now = std::max(m_Now, *m_Requests.nextWakeUp());
      m_Requests.onTick(m_Now);
    }
    m_Now = End;
  }

  std::size_t takeRequests() {
    std::size_t Count = 0;
    for (const FeedCommand &Each : m_Follower.takeCommands())
      Count += std::holds_alternative<SendControl>(Each) ? 1 : 0;
    return Count;
  }

  TimePoint m_Now = Start;
  IgnoringDecoder m_Decoder;
  Registry m_Held{m_Decoder, {}};
  FeedFollower m_Follower{"z9:7620", "a"};
  PatchRequests m_Requests{m_Held, m_Follower};
};

} // namespace

TEST_CASE("a patch that brought a missing record is confirmed at once") {
  Fixture Test;
  Test.notify(7, true);
  CHECK(Test.takeRequests() == 1);
  CHECK_FALSE(Test.m_Requests.nextWakeUp().has_value());
}

TEST_CASE("patches of no use are confirmed once in a notice interval") {
  Fixture Test;
  for (int Count = 0; Count < 50; ++Count) {
    Test.notify(6, false);
    Test.runUntil(Test.m_Now + std::chrono::milliseconds(1));
  }
  CHECK(Test.takeRequests() == 0);
  Test.runUntil(Start + NoticeInterval);
  CHECK(Test.takeRequests() == 1);
  CHECK_FALSE(Test.m_Requests.nextWakeUp().has_value());
}

TEST_CASE("a patch that arrives with the record from elsewhere is confirmed") {
  Fixture Test;
  Test.notify(8, true);
  CHECK(Test.takeRequests() == 1);
  // It was asked only just now.
  Test.notify(8, true);
  CHECK(Test.takeRequests() == 0);
  Test.m_Held.apply({largeRecord(8)}, 8, Test.m_Now);
  Test.runUntil(Start + NoticeInterval);
  CHECK(Test.takeRequests() == 1);
}
