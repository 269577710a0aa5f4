#include "contract/emulator_runs.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

TEST_CASE("every scenario keeps every promise on kerala") {
  checkGuarantees(deployments()[1]);
}
