/// \file
/// A picture of a time line.
#ifndef DANDELIONFALL_SRC_APP_TIMELINE_SVG_H
#define DANDELIONFALL_SRC_APP_TIMELINE_SVG_H

#include "dandelionfall/app/event_recorder.h"

#include <string>
#include <vector>

namespace dandelionfall::app {

/// Draws a horizontal line for each host with a dot for each event, from left
/// to right in causal order; a dot's tooltip names the event.
/// \param Events events in causal order.
/// \returns an SVG document.
std::string drawTimeline(const std::vector<RecordedEvent> &Events);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_TIMELINE_SVG_H
