/// \file
/// Events of several processes in one causal order, and ways to show them.
#ifndef DANDELIONFALL_APP_TIMELINE_H
#define DANDELIONFALL_APP_TIMELINE_H

#include "dandelionfall/app/event_recorder.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// Merges the events of several processes. An event that could have caused
/// another one comes first, whatever the wall clocks say: the order is that of
/// the logical times, then of hosts and of their own sequences.
/// \param Processes the events of each process.
/// \returns all events in order, each one once.
std::vector<RecordedEvent>
mergeEvents(const std::vector<std::vector<RecordedEvent>> &Processes);

/// A way of showing a time line.
class TimelineRenderer {
public:
  virtual ~TimelineRenderer() = default;
  /// \returns the name that chooses it.
  virtual std::string_view name() const = 0;
  /// \param Events events in causal order.
  /// \returns the text to write out.
  virtual std::string
  render(const std::vector<RecordedEvent> &Events) const = 0;
};

/// Lists the renderers: text, json, trace (trace-event JSON, which the trace
/// viewer of a browser opens) and svg.
/// \returns a table that lives as long as the program.
std::span<const TimelineRenderer *const> timelineRenderers();

/// Chooses a renderer.
/// \param Name its name.
/// \returns the renderer, which lives as long as the program.
/// \throws Error of kind Usage if there is none of that name.
const TimelineRenderer &findTimelineRenderer(std::string_view Name);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_APP_TIMELINE_H
