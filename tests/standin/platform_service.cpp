#include "standin/platform_service.h"

#include <optional>
#include <sstream>
#include <utility>

namespace dandelionfall::standin {

namespace {

constexpr std::uint64_t DefaultWaitMs = 20'000;
constexpr std::string_view PartPrefix = "/part/";

struct ModeName {
  std::string_view m_Name;
  PlatformMode m_Mode;
};

constexpr ModeName ModeNames[] = {
    {"ok", PlatformMode::Ok},
    {"down", PlatformMode::Down},
    {"stale", PlatformMode::Stale},
    {"crossing", PlatformMode::Crossing},
    {"crossing_parts", PlatformMode::CrossingParts},
    {"truncated", PlatformMode::Truncated},
    {"cut", PlatformMode::Cut},
};

std::optional<PlatformMode> findMode(std::string_view Name) {
  for (const ModeName &Each : ModeNames) {
    if (Each.m_Name == Name)
      return Each.m_Mode;
  }
  return std::nullopt;
}

} // namespace

struct PlatformService::Resource {
  std::string_view m_Path;
  std::string_view m_Kind;
  std::string_view m_WatchKind;
  Value (PlatformService::*m_Read)(std::uint64_t After);
};

const PlatformService::Resource PlatformService::Resources[] = {
    {"/manifest", "manifest", "manifest_watch",
     &PlatformService::readManifestValue},
    {"/hosts", "hosts", "hosts_watch", &PlatformService::readHostsValue},
};

PlatformService::PlatformService(boost::asio::io_context &Context)
    : m_Context(Context) {}

const SnapshotPtr &PlatformService::visibleSnapshot() const {
  return m_Mode == PlatformMode::Stale ? m_Frozen : m_Store.current();
}

const HostList &PlatformService::visibleHosts() const {
  return m_Mode == PlatformMode::Stale ? m_FrozenHosts : m_Store.hosts();
}

PlatformService::Value PlatformService::readManifestValue(std::uint64_t After) {
  const SnapshotPtr &Newest = visibleSnapshot();
  if (m_Mode == PlatformMode::Crossing) {
    const SnapshotPtr Previous = m_Store.find(Newest->m_Version - 1);
    if (Previous != nullptr && Previous->m_Version > After) {
      m_Mode = PlatformMode::Ok;
      return {Previous->m_Version, Previous->m_Manifest};
    }
  }
  return {Newest->m_Version, Newest->m_Manifest};
}

PlatformService::Value PlatformService::readHostsValue(std::uint64_t) {
  const HostList &Newest = visibleHosts();
  return {Newest.m_Revision, Newest.m_Text};
}

void PlatformService::handle(const HttpRequest &Request,
                             const ExchangePtr &Exchange) {
  const auto Now = std::chrono::steady_clock::now();
  for (const Resource &Each : Resources) {
    if (Each.m_Path != Request.m_Path || Request.m_Method != "GET")
      continue;
    const bool IsWatch = Request.m_Query.contains("after");
    m_Counter.count(std::string(IsWatch ? Each.m_WatchKind : Each.m_Kind), Now);
    handleValue(Each, Request, Exchange);
    return;
  }
  if (Request.m_Method == "GET" && Request.m_Path.starts_with(PartPrefix)) {
    m_Counter.count("part", Now);
    handlePart(Request.m_Path.substr(PartPrefix.size()), Exchange);
    return;
  }
  m_Counter.count("refused", Now);
  send(Exchange, Request.m_Method == "GET"
                     ? HttpReply{404, "unknown path\n"}
                     : HttpReply{405, "this service can only be read\n"});
}

void PlatformService::handleValue(const Resource &Requested,
                                  const HttpRequest &Request,
                                  const ExchangePtr &Exchange) {
  if (m_Mode == PlatformMode::Down) {
    Exchange->drop();
    return;
  }
  const bool IsWatch = Request.m_Query.contains("after");
  const std::uint64_t After = Request.queryNumber("after", 0);
  Value Newest = (this->*Requested.m_Read)(After);
  if (!IsWatch || Newest.m_Number > After) {
    send(Exchange, {200, std::move(Newest.m_Text)});
    return;
  }
  addWatch(
      Requested, After,
      std::chrono::milliseconds(Request.queryNumber("wait_ms", DefaultWaitMs)),
      Exchange);
}

void PlatformService::addWatch(const Resource &Requested, std::uint64_t After,
                               std::chrono::milliseconds Wait,
                               const ExchangePtr &Exchange) {
  const std::uint64_t Id = ++m_LastWatchId;
  Watch &Added =
      m_Watches
          .try_emplace(Id, Watch{Requested.m_Read, After, Exchange,
                                 boost::asio::steady_timer(m_Context, Wait)})
          .first->second;
  Exchange->onCallerDisconnected([this, Id] { m_Watches.erase(Id); });
  Added.m_Timer.async_wait([this, Id](const boost::system::error_code &Fault) {
    const auto Found = m_Watches.find(Id);
    if (Fault || Found == m_Watches.end())
      return;
    const ExchangePtr Expired = Found->second.m_Exchange;
    m_Watches.erase(Found);
    send(Expired, {204, ""});
  });
}

void PlatformService::wakeWatches() {
  for (auto Next = m_Watches.begin(); Next != m_Watches.end();) {
    const Watch &Each = Next->second;
    Value Newest = (this->*Each.m_Read)(Each.m_After);
    if (Newest.m_Number <= Each.m_After) {
      ++Next;
      continue;
    }
    const ExchangePtr Exchange = Each.m_Exchange;
    Next = m_Watches.erase(Next);
    send(Exchange, {200, std::move(Newest.m_Text)});
  }
}

void PlatformService::dropWatches() {
  for (const auto &[Id, Each] : std::exchange(m_Watches, {})) {
    Each.m_Exchange->onCallerDisconnected(nullptr);
    Each.m_Exchange->drop();
  }
}

void PlatformService::handlePart(const std::string &Name,
                                 const ExchangePtr &Exchange) {
  if (m_Mode == PlatformMode::Down) {
    Exchange->drop();
    return;
  }
  SnapshotPtr Served = visibleSnapshot();
  if (m_Mode == PlatformMode::CrossingParts) {
    const SnapshotPtr Previous = m_Store.find(Served->m_Version - 1);
    if (Previous != nullptr && Previous->m_Version > 0) {
      Served = Previous;
      m_Mode = PlatformMode::Ok;
    }
  }
  const auto Found = Served->m_Parts.find(Name);
  if (Found == Served->m_Parts.end())
    send(Exchange, {404, "no such part\n"});
  else
    send(Exchange, {200, Found->second->m_Text});
}

void PlatformService::send(const ExchangePtr &Exchange, HttpReply Result) {
  Exchange->onCallerDisconnected(nullptr);
  if (m_ResponseDelay.count() == 0) {
    sendNow(Exchange, std::move(Result));
    return;
  }
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(m_Context, m_ResponseDelay);
  Timer->async_wait([this, Timer, Exchange, Result = std::move(Result)](
                        const boost::system::error_code &Fault) {
    if (!Fault)
      sendNow(Exchange, Result);
  });
}

void PlatformService::sendNow(const ExchangePtr &Exchange, HttpReply Result) {
  if (m_Mode == PlatformMode::Down) {
    Exchange->drop();
    return;
  }
  if (m_Mode == PlatformMode::Cut && Result.m_Status == 200) {
    Exchange->replyHalfAndReset(std::move(Result));
    return;
  }
  if (m_Mode == PlatformMode::Truncated && Result.m_Status == 200)
    Result.m_Body.resize(Result.m_Body.size() / 2);
  Exchange->reply(std::move(Result));
}

bool PlatformService::setMode(const std::string &Text) {
  std::istringstream Words(Text);
  std::string Name;
  Words >> Name;
  if (Name == "slow") {
    std::int64_t Milliseconds = 0;
    if (!(Words >> Milliseconds) || Milliseconds < 0)
      return false;
    m_ResponseDelay = std::chrono::milliseconds(Milliseconds);
    return true;
  }
  const std::optional<PlatformMode> Mode = findMode(Name);
  if (!Mode)
    return false;
  if (*Mode == PlatformMode::Stale) {
    core::Version Requested = visibleSnapshot()->m_Version;
    Words >> Requested;
    const SnapshotPtr Frozen = m_Store.find(Requested);
    if (Frozen == nullptr)
      return false;
    m_FrozenHosts = visibleHosts();
    m_Frozen = Frozen;
  }
  m_Mode = *Mode;
  if (m_Mode == PlatformMode::Ok)
    m_ResponseDelay = {};
  if (m_Mode == PlatformMode::Down)
    dropWatches();
  else
    wakeWatches();
  return true;
}

std::string PlatformService::countersJson() const {
  return m_Counter.toJson(m_Watches.size());
}

} // namespace dandelionfall::standin
