// Sections of the settings for teams and for traffic between availability
// zones.
#include "app/settings_teams.h"

#include "dandelionfall/core/ini_fields.h"

namespace dandelionfall::app {

namespace {

using core::IniEntry;
using core::IniSource;
using core::KeyHandler;

constexpr std::uint32_t MaxProofAgeMs = 3'600'000;
constexpr double MaxQuotaWindowS = 3600;
constexpr double MaxQuotaSlack = 1'000'000;

void setProofAge(Settings &Result, const IniEntry &Entry,
                 const IniSource &Source) {
  Result.m_MaxProofAge = std::chrono::milliseconds(
      core::parseNumber<std::uint32_t>(Entry, Source, 1, MaxProofAgeMs));
}

core::QuotaTolerance &quotaTolerance(Settings &Result) {
  return Result.m_Quota ? *Result.m_Quota : Result.m_Quota.emplace();
}

void setQuotaWindow(Settings &Result, const IniEntry &Entry,
                    const IniSource &Source) {
  constexpr double MinQuotaWindowS = 0.1;
  const std::chrono::duration<double> Seconds(
      core::parseNumber(Entry, Source, MinQuotaWindowS, MaxQuotaWindowS));
  quotaTolerance(Result).m_Window =
      std::chrono::duration_cast<core::Duration>(Seconds);
}

void setQuotaOverage(Settings &Result, const IniEntry &Entry,
                     const IniSource &Source) {
  quotaTolerance(Result).m_Overage = core::parseNumber(Entry, Source, 0.0, 1.0);
}

void setQuotaSlack(Settings &Result, const IniEntry &Entry,
                   const IniSource &Source) {
  quotaTolerance(Result).m_Slack =
      core::parseNumber(Entry, Source, 0.0, MaxQuotaSlack);
}

constexpr KeyHandler<Settings> RevocationKeys[] = {
    {"max_age_ms", setProofAge},
};

constexpr KeyHandler<Settings> QuotaKeys[] = {
    {"window_s", setQuotaWindow},
    {"overage", setQuotaOverage},
    {"slack", setQuotaSlack},
};
constexpr double MaxZonePrice = 1'000'000;

core::ZonePrices &zonePrices(Settings &Result) {
  return Result.m_ZonePrices ? *Result.m_ZonePrices
                             : Result.m_ZonePrices.emplace();
}

void setPricePerGb(Settings &Result, const IniEntry &Entry,
                   const IniSource &Source) {
  zonePrices(Result).m_PerGigabyte =
      core::parseNumber(Entry, Source, 0.0, MaxZonePrice);
}

void setWorthOfHour(Settings &Result, const IniEntry &Entry,
                    const IniSource &Source) {
  // Keeps the ratio of the two prices finite.
  constexpr double MinWorth = 0.001;
  constexpr double SecondsPerHour = 3600;
  zonePrices(Result).m_WorthOfSecond =
      core::parseNumber(Entry, Source, MinWorth, MaxZonePrice) / SecondsPerHour;
}

constexpr KeyHandler<Settings> ZoneTrafficKeys[] = {
    {"price_per_gb", setPricePerGb},
    {"worth_of_hour", setWorthOfHour},
};

} // namespace

void readRevocation(Settings &Result, const core::IniSection &Section,
                    const IniSource &Source, core::FaultList &Faults) {
  core::readEntries(Result, Section, Source, RevocationKeys, Faults);
}

void readQuota(Settings &Result, const core::IniSection &Section,
               const IniSource &Source, core::FaultList &Faults) {
  core::readEntries(Result, Section, Source, QuotaKeys, Faults);
}

void readZoneTraffic(Settings &Result, const core::IniSection &Section,
                     const IniSource &Source, core::FaultList &Faults) {
  core::readEntries(Result, Section, Source, ZoneTrafficKeys, Faults);
}

} // namespace dandelionfall::app
