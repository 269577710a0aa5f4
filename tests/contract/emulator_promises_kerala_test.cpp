#include "contract/emulator_runs.h"

#include <doctest/doctest.h>

using namespace dandelionfall::emulator;

TEST_CASE("every guarantee holds in every scenario on kerala") {
  checkGuarantees(deployments()[1]);
}
