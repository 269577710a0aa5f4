#include "app/format_flag.h"

ABSL_FLAG(std::string, format, "text",
          "form of the result: text, json; for timeline also trace, svg");
