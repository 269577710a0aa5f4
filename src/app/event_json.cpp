#include "dandelionfall/app/event_recorder.h"

#include "app/severity_name.h"
#include "dandelionfall/core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dandelionfall::app {

namespace {

using Json = nlohmann::json;

Json toJson(const RecordedEvent &Entry) {
  const core::EventInfo &Info = core::describe(Entry.m_Event.m_Id);
  return Json{
      {"time", Entry.m_LogicalTime},
      {"wall_ms", Entry.m_WallMs},
      {"sequence", Entry.m_Sequence},
      {"host", Entry.m_Host},
      {"event", static_cast<std::uint16_t>(Entry.m_Event.m_Id)},
      {"name", std::string(Info.m_Name)},
      {"severity", std::string(severityName(Info.m_Severity))},
      {"detail", Entry.m_Event.m_Detail},
  };
}

core::EventId findEventId(std::uint64_t Number) {
  for (const core::EventInfo &Info : core::eventCatalogue()) {
    if (static_cast<std::uint64_t>(Info.m_Id) == Number)
      return Info.m_Id;
  }
  throw core::Error(core::ErrorKind::MalformedMessage,
                    "unknown event number " + std::to_string(Number),
                    "use the dandelionfall version that the node runs");
}

RecordedEvent fromJson(const Json &Value) {
  RecordedEvent Entry{
      .m_LogicalTime = Value.at("time").get<std::uint64_t>(),
      .m_WallMs = Value.at("wall_ms").get<std::int64_t>(),
      .m_Sequence = Value.at("sequence").get<std::uint64_t>(),
      .m_Host = Value.at("host").get<std::string>(),
      .m_Event = {findEventId(Value.at("event").get<std::uint64_t>()),
                  Value.at("detail").get<std::string>()},
  };
  return Entry;
}

} // namespace

std::string_view severityName(core::Severity Value) {
  constexpr std::string_view Names[] = {"debug", "info", "warning", "error"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string eventsToJson(const std::vector<RecordedEvent> &Events) {
  Json List = Json::array();
  for (const RecordedEvent &Entry : Events)
    List.push_back(toJson(Entry));
  // Details can contain external bytes that are not valid UTF-8.
  return List.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<RecordedEvent> eventsFromJson(const std::string &Text) {
  try {
    const Json List = Json::parse(Text);
    if (!List.is_array())
      throw core::Error(core::ErrorKind::MalformedMessage,
                        "events are not a JSON array",
                        "name the operator address of a node");
    std::vector<RecordedEvent> Events;
    Events.reserve(List.size());
    for (const Json &Value : List)
      Events.push_back(fromJson(Value));
    return Events;
  } catch (const Json::exception &Fault) {
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "events can't be read: " + std::string(Fault.what()),
                      "name the operator address of a node");
  }
}

} // namespace dandelionfall::app
