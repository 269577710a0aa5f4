#include "standin/target_counters.h"

#include <nlohmann/json.hpp>

namespace dandelionfall::standin {

std::uint64_t TargetCounters::countRun(const HttpRequest &Request) {
  ++m_RunsByMethod[Request.m_Method];
  ++m_RunsByPath[Request.m_Path];
  const std::string Booking = Request.header("booking");
  if (!Booking.empty())
    ++m_RunsByBooking[Booking];
  return ++m_Runs;
}

std::string
TargetCounters::toJson(std::size_t InFlight,
                       const ConnectionCounters &Connections) const {
  const nlohmann::json Result = {
      {"runs", m_Runs},
      {"runs_by_booking", m_RunsByBooking},
      {"runs_by_method", m_RunsByMethod},
      {"by_path", m_RunsByPath},
      {"in_flight", InFlight},
      {"max_in_flight", m_MaxInFlight},
      {"over_slots", m_OverSlots},
      {"over_cold_limit", m_OverColdLimit},
      {"refused", m_Refused},
      {"cancelled", m_Cancelled},
      {"connections", Connections.m_Open},
      {"max_connections", Connections.m_MaxOpen},
      {"connections_accepted", Connections.m_Accepted},
      {"connections_refused", Connections.m_Refused},
  };
  return Result.dump() + "\n";
}

} // namespace dandelionfall::standin
