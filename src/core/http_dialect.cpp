#include "dandelionfall/core/http_dialect.h"

namespace dandelionfall::core {

const HttpDialect &ownDialect() {
  static constexpr HttpDialect Own = {"Dandelionfall-Deadline-Ms",
                                      "",
                                      "",
                                      "",
                                      "",
                                      "",
                                      "Dandelionfall-Outcome",
                                      "Dandelionfall-Retry-After-Ms",
                                      /*m_FractionalRetryAfter=*/false};
  return Own;
}

} // namespace dandelionfall::core
