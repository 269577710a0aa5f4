#include "core/ingress/return_spread.h"

namespace dandelionfall::core::ingress {

Duration ReturnSpread::spread(Duration Earliest) {
  std::uniform_real_distribution<double> Later(0, Share);
  return Earliest +
         std::chrono::duration_cast<Duration>(Later(m_Random) * Earliest);
}

} // namespace dandelionfall::core::ingress
