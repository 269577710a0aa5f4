// A started node must become ready although the version that its peers reported
// was lost with all its holders.
#include "core/distribution/adoption.h"
#include "core/distribution/blackboard.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

using namespace dandelionfall::core;

namespace {

std::vector<Event> takeEvents(Blackboard &Board) {
  std::vector<Event> Result;
  for (const DistributionCommand &Each : Board.m_Commands) {
    if (const auto *Found = std::get_if<Event>(&Each))
      Result.push_back(*Found);
  }
  Board.m_Commands.clear();
  return Result;
}

} // namespace

TEST_CASE("a version that no reachable peer holds is abandoned and reported") {
  Blackboard Board{DistributionOptions{}};
  Readiness Controller;
  Board.m_MinReadyVersion = 9;
  Controller.run(Board);
  Board.m_Now += Readiness::LostVersionTimeout - Duration{1};
  Controller.run(Board);
  CHECK(takeEvents(Board).empty());
  Board.m_Now += Duration{1};
  Controller.run(Board);
  const std::vector<Event> Expected = {{EventId::VersionGivenUp, "version=9"}};
  CHECK(takeEvents(Board) == Expected);
  CHECK(Board.m_MinReadyVersion == 0);
}
