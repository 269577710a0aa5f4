/// \file
/// Assertion for fuzz targets.
#ifndef DANDELIONFALL_FUZZ_REQUIRE_H
#define DANDELIONFALL_FUZZ_REQUIRE_H

#include <cstdio>
#include <cstdlib>

namespace dandelionfall::fuzz {

/// Aborts if a property does not hold, so that the fuzzer saves the input.
/// \param Holds whether the property holds.
/// \param Property description of the property.
inline void require(bool Holds, const char *Property) {
  if (Holds)
    return;
  std::fprintf(stderr, "property does not hold: %s\n", Property);
  std::abort();
}

} // namespace dandelionfall::fuzz

#endif // DANDELIONFALL_FUZZ_REQUIRE_H
