#include "standin/platform_admin.h"

namespace dandelionfall::standin {

namespace {

constexpr std::string_view PartPath = "/admin/part/";

HttpReply stagePart(PlatformService &Service, const HttpRequest &Request) {
  Service.store().stage(Request.m_Path.substr(PartPath.size()), Request.m_Body);
  return {200, "staged\n"};
}

HttpReply unstagePart(PlatformService &Service, const HttpRequest &Request) {
  const std::string Name = Request.m_Path.substr(PartPath.size());
  return Service.store().unstage(Name) ? HttpReply{200, "removed\n"}
                                       : HttpReply{404, "no such part\n"};
}

HttpReply commit(PlatformService &Service, const HttpRequest &) {
  const core::Version Number = Service.store().commit();
  Service.wakeWatches();
  return {200, std::to_string(Number) + "\n"};
}

HttpReply setHosts(PlatformService &Service, const HttpRequest &Request) {
  Service.store().setHosts(Request.m_Body);
  Service.wakeWatches();
  return {200, std::to_string(Service.store().hosts().m_Revision) + "\n"};
}

HttpReply setMode(PlatformService &Service, const HttpRequest &Request) {
  return Service.setMode(Request.m_Body)
             ? HttpReply{200, "mode set\n"}
             : HttpReply{400, "unknown mode; see platform_standin.cpp\n"};
}

HttpReply publishRawManifest(PlatformService &Service,
                             const HttpRequest &Request) {
  const core::Version Number =
      Service.store().publishRawManifest(Request.m_Body);
  Service.wakeWatches();
  return {200, std::to_string(Number) + "\n"};
}

HttpReply readCounters(PlatformService &Service, const HttpRequest &) {
  return {200, Service.countersJson(), "application/json"};
}

HttpReply resetCounters(PlatformService &Service, const HttpRequest &) {
  Service.resetCounters();
  return {200, "reset\n"};
}

struct AdminCall {
  std::string_view m_Method;
  std::string_view m_Path;
  bool m_IsPrefix;
  HttpReply (*m_Action)(PlatformService &, const HttpRequest &);
};

constexpr AdminCall AdminCalls[] = {
    {"POST", PartPath, true, stagePart},
    {"DELETE", PartPath, true, unstagePart},
    {"POST", "/admin/commit", false, commit},
    {"POST", "/admin/hosts", false, setHosts},
    {"POST", "/admin/mode", false, setMode},
    {"POST", "/admin/raw/manifest", false, publishRawManifest},
    {"GET", "/admin/counters", false, readCounters},
    {"DELETE", "/admin/counters", false, resetCounters},
};

bool matches(const AdminCall &Call, const HttpRequest &Request) {
  return Call.m_Method == Request.m_Method &&
         (Call.m_IsPrefix ? Request.m_Path.starts_with(Call.m_Path)
                          : Request.m_Path == Call.m_Path);
}

} // namespace

void handlePlatformAdmin(PlatformService &Service, const HttpRequest &Request,
                         const ExchangePtr &Exchange) {
  for (const AdminCall &Call : AdminCalls) {
    if (!matches(Call, Request))
      continue;
    Exchange->reply(Call.m_Action(Service, Request));
    return;
  }
  Exchange->reply({404, "unknown admin call; see platform_standin.cpp\n"});
}

} // namespace dandelionfall::standin
