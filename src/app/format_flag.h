/// \file
/// The flag that chooses the form in which a command writes its result.
#ifndef DANDELIONFALL_SRC_APP_FORMAT_FLAG_H
#define DANDELIONFALL_SRC_APP_FORMAT_FLAG_H

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, format);

#endif // DANDELIONFALL_SRC_APP_FORMAT_FLAG_H
