#include "app/format_flag.h"

ABSL_FLAG(std::string, format, "text",
          "form of the result: text, json; of status also line, of "
          "timeline also trace, svg");
