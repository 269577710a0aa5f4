#include "dandelionfall/core/distribution.h"

#include "dandelionfall/core/error.h"

#include <utility>

namespace dandelionfall::core {

// Thin first version: every node watches the source.
class Distribution::Impl {
public:
  explicit Impl(DistributionOptions Options) : m_Options(std::move(Options)) {}

  void call(SourceRequestKind Kind, Version After, std::string PartName) {
    ++m_Status.m_SourceCalls;
    m_Commands.emplace_back(
        CallSource{++m_LastCall, Kind, After, std::move(PartName)});
  }

  void watch() {
    call(SourceRequestKind::WatchManifest, m_Status.m_Applied.m_Version, "");
  }

  void reply(const SourceReply &Reply, TimePoint Now) {
    constexpr auto RetryPause = std::chrono::milliseconds(200);
    if (!Reply.m_Ok) {
      m_Retry = Now + RetryPause;
      return;
    }
    try {
      accept(Reply);
    } catch (const Error &Fault) {
      m_Commands.emplace_back(
          Event{EventId::ConfigurationRefused, Fault.what()});
      m_Wanted.reset();
      m_Retry = Now + RetryPause;
    }
  }

  void accept(const SourceReply &Reply) {
    if (m_Wanted.has_value()) {
      m_Parts[m_Missing] = makePart(m_Missing, Reply.m_Text);
      return fetchMissing();
    }
    if (!Reply.m_Changed)
      return watch();
    Manifest List = readManifest(Reply.m_Text);
    if (List.m_Stamp.m_Version <= m_Status.m_Applied.m_Version)
      return watch();
    m_Wanted = std::move(List);
    fetchMissing();
  }

  void fetchMissing() {
    for (const auto &[Name, Wanted] : m_Wanted->m_Parts) {
      const auto Found = m_Parts.find(Name);
      if (Found != m_Parts.end() && Found->second->m_Digest == Wanted)
        continue;
      m_Missing = Name;
      return call(SourceRequestKind::ReadPart, 0, Name);
    }
    m_Current = buildConfiguration(*m_Wanted, m_Parts);
    m_Wanted.reset();
    m_Status.m_Applied = m_Current->m_Stamp;
    m_Status.m_Held = m_Current->m_Stamp;
    m_Commands.emplace_back(ApplyConfiguration{m_Current});
    m_Commands.emplace_back(
        Event{EventId::ConfigurationApplied,
              "version=" + std::to_string(m_Current->m_Stamp.m_Version)});
    if (!std::exchange(m_Status.m_Ready, true))
      m_Commands.emplace_back(BecomeReady{});
    watch();
  }

  DistributionOptions m_Options;
  DistributionStatus m_Status;
  std::uint64_t m_LastCall = 0;
  std::optional<Manifest> m_Wanted;
  std::string m_Missing;
  PartMap m_Parts;
  ConfigurationPtr m_Current;
  std::optional<TimePoint> m_Retry;
  std::vector<DistributionCommand> m_Commands;
};

Distribution::Distribution(DistributionOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

Distribution::~Distribution() = default;

void Distribution::start(TimePoint /*Now*/) {
  m_Impl->call(SourceRequestKind::ReadManifest, 0, "");
}

void Distribution::onLinkOpened(LinkId /*Link*/, bool /*Inbound*/,
                                TimePoint /*Now*/) {}

void Distribution::onLinkClosed(LinkId /*Link*/, TimePoint /*Now*/) {}

void Distribution::onMessage(LinkId /*Link*/,
                             const ControlMessage & /*Message*/,
                             TimePoint /*Now*/) {}

void Distribution::onSourceReply(const SourceReply &Reply, TimePoint Now) {
  m_Impl->reply(Reply, Now);
}

void Distribution::onNewerVersionSeen(Version /*Seen*/,
                                      const std::string & /*Address*/,
                                      TimePoint /*Now*/) {}

void Distribution::startDrain(TimePoint /*Now*/) {}

void Distribution::onTick(TimePoint Now) {
  if (!m_Impl->m_Retry.has_value() || *m_Impl->m_Retry > Now)
    return;
  m_Impl->m_Retry.reset();
  m_Impl->call(SourceRequestKind::ReadManifest, 0, "");
}

std::optional<TimePoint> Distribution::nextWakeUp() const {
  return m_Impl->m_Retry;
}

DistributionStatus Distribution::status() const { return m_Impl->m_Status; }

std::vector<DistributionCommand> Distribution::takeCommands() {
  return std::exchange(m_Impl->m_Commands, {});
}

} // namespace dandelionfall::core
