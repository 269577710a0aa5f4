/// \file
/// Merges the events of several processes into one causal order and renders
/// them.
#ifndef DANDELIONFALL_APP_TIMELINE_H
#define DANDELIONFALL_APP_TIMELINE_H

#include "dandelionfall/app/event_recorder.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// Merges the events of several processes. An event that could have caused
/// another one precedes it, regardless of wall clocks: events are ordered by
/// logical time, then by host, then by sequence number.
/// \param Processes the events of each process.
/// \returns all events in order, without duplicates.
std::vector<RecordedEvent>
mergeEvents(const std::vector<std::vector<RecordedEvent>> &Processes);

/// Output format of a timeline.
class TimelineRenderer {
public:
  virtual ~TimelineRenderer() = default;
  /// \returns the name that selects the format.
  virtual std::string_view name() const = 0;
  /// \param Events events in causal order.
  /// \returns the rendered text.
  virtual std::string
  render(const std::vector<RecordedEvent> &Events) const = 0;
};

/// Lists the renderers: text, json, trace (trace-event JSON for the trace
/// viewer of a browser) and svg.
/// \returns a table with static storage duration.
std::span<const TimelineRenderer *const> timelineRenderers();

/// Finds a renderer by name.
/// \param Name its name.
/// \returns the renderer, which has static storage duration.
/// \throws Error of kind Usage if no renderer has that name.
const TimelineRenderer &findTimelineRenderer(std::string_view Name);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_TIMELINE_H
