#include "app/format_flag.h"

ABSL_FLAG(std::string, format, "text",
          "output format: text or json; status also accepts line, timeline "
          "also accepts trace and svg");
