#include "dandelionfall/app/status_report.h"

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/error.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace dandelionfall::app {

namespace {

using Json = nlohmann::json;

constexpr int Hexadecimal = 16;

core::Digest parseDigest(const std::string &Text) {
  core::Digest Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] =
      std::from_chars(Text.data(), End, Value, Hexadecimal);
  if (Code != std::errc() || Rest != End)
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "'" + Text + "' is not a digest",
                      "name the operator address of a node");
  return Value;
}

std::string formatValue(const std::string &Value) { return Value; }
std::string formatValue(bool Value) { return Value ? "yes" : "no"; }
std::string formatValue(std::uint32_t Value) { return std::to_string(Value); }
std::string formatValue(std::uint64_t Value) { return std::to_string(Value); }
std::string formatValue(double Value) { return Json(Value).dump(); }
std::string formatValue(const core::VersionStamp &Value) {
  return std::to_string(Value.m_Version) + "/" +
         core::formatDigest(Value.m_Digest);
}

template <typename Value> Json makeJsonValue(const Value &Field) {
  return Field;
}
Json makeJsonValue(const core::VersionStamp &Field) {
  return Json{{"version", Field.m_Version},
              {"digest", core::formatDigest(Field.m_Digest)}};
}

template <typename Value> void readJson(const Json &Object, Value &Field) {
  Field = Object.get<Value>();
}
void readJson(const Json &Object, core::VersionStamp &Field) {
  Field = {Object.at("version").get<core::Version>(),
           parseDigest(Object.at("digest").get<std::string>())};
}

/// Field of the report with its conversions.
struct FieldRow {
  const char *m_Key;
  const char *m_Label;
  Json (*m_ToJson)(const StatusReport &);
  void (*m_FromJson)(const Json &, StatusReport &);
  std::string (*m_ToText)(const StatusReport &);
};

template <auto Member>
constexpr FieldRow makeField(const char *Key, const char *Label) {
  return {
      Key, Label,
      [](const StatusReport &Report) { return makeJsonValue(Report.*Member); },
      [](const Json &Object, StatusReport &Report) {
        readJson(Object, Report.*Member);
      },
      [](const StatusReport &Report) { return formatValue(Report.*Member); }};
}

constexpr FieldRow Fields[] = {
    makeField<&StatusReport::m_Host>("host", "host"),
    makeField<&StatusReport::m_Zone>("zone", "availability zone"),
    makeField<&StatusReport::m_Incarnation>("incarnation", "incarnation"),
    makeField<&StatusReport::m_ProgramVersion>("program_version",
                                               "program version"),
    makeField<&StatusReport::m_Ready>("ready", "ready"),
    makeField<&StatusReport::m_Draining>("draining", "draining"),
    makeField<&StatusReport::m_Applied>("applied", "applied version"),
    makeField<&StatusReport::m_Held>("held", "held version"),
    makeField<&StatusReport::m_HostList>("host_list", "host list"),
    makeField<&StatusReport::m_Reader>("reader", "reads the source"),
    makeField<&StatusReport::m_SourceCalls>("source_calls", "source calls"),
    makeField<&StatusReport::m_ControlLinks>("control_links", "control links"),
    makeField<&StatusReport::m_ListedHosts>("listed_hosts", "listed hosts"),
    makeField<&StatusReport::m_Target>("target", "target"),
    makeField<&StatusReport::m_TargetLimit>("target_limit", "target limit"),
    makeField<&StatusReport::m_TargetInFlight>("target_in_flight",
                                               "target in flight"),
    makeField<&StatusReport::m_TargetQueued>("target_queued", "target queued"),
    makeField<&StatusReport::m_OpenCalls>("open_calls", "open calls"),
    makeField<&StatusReport::m_WatchMode>("watch_mode", "watch mode"),
    makeField<&StatusReport::m_Followers>("followers", "followers"),
    makeField<&StatusReport::m_ConfigurationVersion>("configuration_version",
                                                     "configuration version"),
    makeField<&StatusReport::m_StoreHistory>("store_history", "store history"),
    makeField<&StatusReport::m_ConfirmedAgoS>("confirmed_ago_s",
                                              "confirmed s ago"),
    makeField<&StatusReport::m_ProofAgeS>("proof_age_s", "proof age s"),
    makeField<&StatusReport::m_ProcessorShare>("processor_share",
                                               "processor share"),
    makeField<&StatusReport::m_Cores>("cores", "cores"),
    makeField<&StatusReport::m_MemoryMb>("memory_mb", "memory MB"),
    makeField<&StatusReport::m_Descriptors>("descriptors", "descriptors"),
    makeField<&StatusReport::m_LinkMbps>("link_mbps", "link Mbit/s"),
    makeField<&StatusReport::m_BodyHeldBytes>("body_held_bytes",
                                              "body bytes held"),
    makeField<&StatusReport::m_BodyLimitBytes>("body_limit_bytes",
                                               "body bytes limit"),
    makeField<&StatusReport::m_BodiesRefused>("bodies_refused",
                                              "bodies refused"),
};

} // namespace

std::string toJson(const StatusReport &Report) {
  nlohmann::ordered_json Result;
  for (const FieldRow &Row : Fields)
    Result[Row.m_Key] = Row.m_ToJson(Report);
  return Result.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

StatusReport statusFromJson(const std::string &Text) {
  try {
    const Json Object = Json::parse(Text);
    StatusReport Report;
    for (const FieldRow &Row : Fields)
      Row.m_FromJson(Object.at(Row.m_Key), Report);
    return Report;
  } catch (const Json::exception &Fault) {
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "status can't be read: " + std::string(Fault.what()),
                      "name the operator address of a node");
  }
}

std::string toText(const StatusReport &Report) {
  std::string Text;
  for (const FieldRow &Row : Fields)
    Text += std::string(Row.m_Label) + ": " + Row.m_ToText(Report) + "\n";
  return Text;
}

std::string toLine(const StatusReport &Report) {
  std::string Text;
  for (const FieldRow &Row : Fields)
    Text.append(Text.empty() ? "" : " ")
        .append(Row.m_Key)
        .append("=")
        .append(Row.m_ToText(Report));
  return Text + "\n";
}

} // namespace dandelionfall::app
