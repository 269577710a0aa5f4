/// \file
/// Ends a fuzz target when a property does not hold.
#ifndef DANDELIONFALL_FUZZ_REQUIRE_H
#define DANDELIONFALL_FUZZ_REQUIRE_H

#include <cstdio>
#include <cstdlib>

namespace dandelionfall::fuzz {

/// Aborts, so that the fuzzer keeps the input, unless a property holds.
/// \param Holds whether it does.
/// \param Property the property in words.
inline void require(bool Holds, const char *Property) {
  if (Holds)
    return;
  std::fprintf(stderr, "does not hold: %s\n", Property);
  std::abort();
}

} // namespace dandelionfall::fuzz

#endif // DANDELIONFALL_FUZZ_REQUIRE_H
