/// \file
/// Runs a property of rapidcheck with a fixed seed.
#ifndef DANDELIONFALL_UNIT_PROPERTY_CHECK_H
#define DANDELIONFALL_UNIT_PROPERTY_CHECK_H

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

namespace dandelionfall {

inline constexpr std::uint64_t PropertySeed = 20'260'801;

/// Uses a fixed seed for reproducible results; rc::check seeds from the clock.
/// \param Description names the property in the output.
/// \param Runs number of cases to draw.
/// \param Checked the property.
/// \returns whether it held in all cases.
template <typename Property>
bool holds(const std::string &Description, int Runs, Property Checked) {
  rc::detail::TestMetadata Metadata;
  Metadata.description = Description;
  rc::detail::TestParams Params;
  Params.seed = PropertySeed;
  Params.maxSuccess = Runs;
  const auto Result =
      rc::detail::checkTestable(std::move(Checked), Metadata, Params);
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << "\n";
  return Result.template is<rc::detail::SuccessResult>();
}

} // namespace dandelionfall

#endif // DANDELIONFALL_UNIT_PROPERTY_CHECK_H
