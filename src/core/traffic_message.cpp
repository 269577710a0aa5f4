#include "dandelionfall/core/traffic_message.h"

namespace dandelionfall::core {

std::string_view nameOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Overload:
    return "overload";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::ZoneOut:
    return "zone-out";
  case RefusalReason::Draining:
    return "draining";
  case RefusalReason::WrongIncarnation:
    return "wrong-incarnation";
  case RefusalReason::OldEpoch:
    return "old-epoch";
  case RefusalReason::UnknownTarget:
    return "unknown-target";
  case RefusalReason::TargetDown:
    return "target-down";
  case RefusalReason::Cancelled:
    return "cancelled";
  case RefusalReason::TargetRefused:
    return "target-refused";
  case RefusalReason::OtherTarget:
    return "other-target";
  case RefusalReason::TargetLeaving:
    return "target-leaving";
  case RefusalReason::Suspect:
    return "suspect";
  case RefusalReason::Quarantined:
    return "quarantined";
  }
  return "unknown";
}

} // namespace dandelionfall::core
