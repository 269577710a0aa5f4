/// \file
/// Declares the flag that selects the output format of a command.
#ifndef DANDELIONFALL_SRC_APP_FORMAT_FLAG_H
#define DANDELIONFALL_SRC_APP_FORMAT_FLAG_H

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

#include <string>

ABSL_DECLARE_FLAG(std::string, format);

#endif // DANDELIONFALL_SRC_APP_FORMAT_FLAG_H
