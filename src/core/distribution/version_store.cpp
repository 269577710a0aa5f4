#include "core/distribution/version_store.h"

#include "dandelionfall/core/error.h"

#include <algorithm>
#include <utility>

namespace dandelionfall::core {

namespace {

// Bounds the memory used for refused versions if a source publishes many.
constexpr std::size_t MaxRefused = 64;

void recordRefused(HeldStream &Own, const VersionStamp &Stamp) {
  if (Own.m_Refused.size() >= MaxRefused)
    Own.m_Refused.erase(Own.m_Refused.begin());
  Own.m_Refused.emplace(Stamp.m_Version, Stamp.m_Digest);
}

std::string versionDetail(const VersionStamp &Stamp) {
  return "version=" + std::to_string(Stamp.m_Version);
}

HostListPtr hostsOfTargets(const Configuration &Config) {
  auto List = std::make_shared<HostList>();
  for (const auto &[Name, Entry] : Config.m_Services) {
    for (const Target &Value : Entry->m_Targets)
      List->m_Hosts.push_back(
          {Value.m_Host, Value.m_Zone, Value.m_GateAddress, HostState::Live});
  }
  std::sort(List->m_Hosts.begin(), List->m_Hosts.end(),
            [](const HostEntry &Left, const HostEntry &Right) {
              return Left.m_Name < Right.m_Name;
            });
  const auto Same = [](const HostEntry &Left, const HostEntry &Right) {
    return Left.m_Name == Right.m_Name;
  };
  List->m_Hosts.erase(
      std::unique(List->m_Hosts.begin(), List->m_Hosts.end(), Same),
      List->m_Hosts.end());
  return List;
}

void setCandidates(Blackboard &Board, HostListPtr List) {
  Board.m_Candidates = std::move(List);
  Board.m_HasOtherZones = false;
  for (const HostEntry &Entry : Board.m_Candidates->m_Hosts) {
    if (Entry.m_Zone == Board.m_Options.m_Zone ||
        Entry.m_State != HostState::Live)
      continue;
    Board.m_HasOtherZones = true;
    return;
  }
}

void buildHeldConfiguration(Blackboard &Board, const PartSet &Offered) {
  Manifest Listing;
  Listing.m_Stamp = Offered.m_Stamp;
  for (const auto &[Name, Value] : Offered.m_Parts)
    Listing.m_Parts.emplace_hint(Listing.m_Parts.end(), Name, Value->m_Digest);
  Board.m_HeldConfiguration = buildConfiguration(
      Listing, Offered.m_Parts, Board.m_HeldConfiguration.get(),
      &Board.held(Stream::Configuration).m_Parts);
  Board.report(EventId::ConfigurationHeld, versionDetail(Offered.m_Stamp));
  const bool HasOthers =
      !Board.m_Options.m_Seeds.empty() || Board.m_Options.m_AssumedHosts > 1;
  if (Board.m_Hosts->m_Revision == 0 && HasOthers)
    setCandidates(Board, hostsOfTargets(*Board.m_HeldConfiguration));
}

void buildHostList(Blackboard &Board, const PartSet &Offered) {
  Board.m_Hosts = std::make_shared<const HostList>(
      joinHostList(Offered.m_Stamp.m_Version, Offered.m_Parts, *Board.m_Hosts,
                   Board.held(Stream::Hosts).m_Parts));
  Board.report(EventId::HostListRead,
               "revision=" + std::to_string(Offered.m_Stamp.m_Version) +
                   " hosts=" + std::to_string(Board.m_Hosts->m_Hosts.size()));
  setCandidates(Board, Board.m_Hosts);
  Board.m_Commands.emplace_back(ApplyHostList{Board.m_Hosts});
}

using BuildFunction = void (*)(Blackboard &, const PartSet &);
constexpr std::array<BuildFunction, StreamCount> BuildFunctions = {
    buildHeldConfiguration, buildHostList};

} // namespace

HoldResult checkStamp(Blackboard &Board, Stream Which,
                      const VersionStamp &Offered) {
  HeldStream &Own = Board.m_Streams[indexOf(Which)];
  const VersionStamp Held = Own.m_Parts->m_Stamp;
  if (Offered.m_Version < Held.m_Version || Offered == Held)
    return HoldResult::NotNewer;
  if (Offered.m_Version == Held.m_Version) {
    if (!Own.isRefused(Offered))
      Board.report(EventId::VersionConflict, versionDetail(Offered));
    recordRefused(Own, Offered);
    return HoldResult::Conflict;
  }
  return Own.isRefused(Offered) ? HoldResult::Refused : HoldResult::Held;
}

HoldResult holdVersion(Blackboard &Board, Stream Which, PartSetPtr Offered) {
  const HoldResult Result = checkStamp(Board, Which, Offered->m_Stamp);
  if (Result != HoldResult::Held)
    return Result;
  HeldStream &Own = Board.m_Streams[indexOf(Which)];
  try {
    BuildFunctions[indexOf(Which)](Board, *Offered);
  } catch (const Error &Fault) {
    recordRefused(Own, Offered->m_Stamp);
    Board.report(EventId::ConfigurationRefused,
                 versionDetail(Offered->m_Stamp) + " " + Fault.what());
    return HoldResult::Refused;
  }
  Own.m_Log.append(*Own.m_Parts, *Offered);
  Own.m_Parts = std::move(Offered);
  return HoldResult::Held;
}

} // namespace dandelionfall::core
