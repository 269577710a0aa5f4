#include "dandelionfall/core/http_dialect.h"

namespace dandelionfall::core {

const HttpDialect &defaultDialect() {
  static constexpr HttpDialect Default = {"Dandelionfall-Deadline-Ms",
                                          "",
                                          "",
                                          "",
                                          "",
                                          "",
                                          "",
                                          "",
                                          "Dandelionfall-Outcome",
                                          "Dandelionfall-Retry-After-Ms",
                                          /*m_FractionalRetryAfter=*/false};
  return Default;
}

} // namespace dandelionfall::core
