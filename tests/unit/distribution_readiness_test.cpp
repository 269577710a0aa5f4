// A started node and a version that was lost with all its holders.
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

TEST_CASE("a version that no reachable peer holds is given up and named") {
  Blackboard Board{DistributionOptions{}};
  Readiness Controller;
  Board.m_LeastReadyVersion = 9;
  Controller.run(Board);
  Board.m_Now += Readiness::LostTimeout - Duration{1};
  Controller.run(Board);
  CHECK(takeEvents(Board).empty());
  Board.m_Now += Duration{1};
  Controller.run(Board);
  const std::vector<Event> Wanted = {{EventId::VersionGivenUp, "version=9"}};
  CHECK(takeEvents(Board) == Wanted);
  CHECK(Board.m_LeastReadyVersion == 0);
}
