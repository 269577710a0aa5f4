/// \file
/// Renders a timeline as SVG.
#ifndef DANDELIONFALL_SRC_APP_TIMELINE_SVG_H
#define DANDELIONFALL_SRC_APP_TIMELINE_SVG_H

#include "dandelionfall/app/event_recorder.h"

#include <string>
#include <vector>

namespace dandelionfall::app {

/// Draws one horizontal line per host with one dot per event, in causal order
/// from left to right; the tooltip of a dot describes the event.
/// \param Events events in causal order.
/// \returns an SVG document.
std::string drawTimeline(const std::vector<RecordedEvent> &Events);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_TIMELINE_SVG_H
