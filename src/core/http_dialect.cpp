#include "dandelionfall/core/http_dialect.h"

namespace dandelionfall::core {

const HttpDialect &defaultDialect() {
  static constexpr HttpDialect Default = [] {
    HttpDialect Names;
    Names.m_DeadlineField = "Dandelionfall-Deadline-Ms";
    Names.m_KeyField = "Dandelionfall-Key";
    Names.m_TeamField = "Dandelionfall-Team";
    Names.m_OutcomeField = "Dandelionfall-Outcome";
    Names.m_RetryAfterMsField = "Dandelionfall-Retry-After-Ms";
    return Names;
  }();
  return Default;
}

} // namespace dandelionfall::core
