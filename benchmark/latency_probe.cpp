/// \file
/// Measures the latency that the path through two nodes adds to a call. Open
/// loop; direct calls and calls carried by the nodes alternate.
#include "dandelionfall/net/http_client.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, direct, "", "address of the target, IP:PORT");
ABSL_FLAG(std::string, carried, "", "caller address of a node, IP:PORT");
ABSL_FLAG(std::string, path, "/slotboard/now", "path of the calls");
ABSL_FLAG(double, rate, 371, "calls per second on each of the two paths");
ABSL_FLAG(double, seconds, 10, "length of the measurement");

namespace {

using namespace dandelionfall;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds CallTimeout{5};
// Calls during this time include connection setup and are not counted.
constexpr std::chrono::seconds WarmUp{1};

/// One path to the target, with the latencies measured on it.
struct CallPath {
  CallPath(boost::asio::io_context &Context, const std::string &Address)
      : m_Client(Context, optionsOf(Address)) {}

  static net::HttpClientOptions optionsOf(const std::string &Address) {
    net::HttpClientOptions Options;
    Options.m_Address = Address;
    return Options;
  }

  net::HttpClient m_Client;
  std::vector<double> m_LatenciesMs;
  std::size_t m_Failed = 0;
};

double quantile(std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(Share * Last)];
}

class Probe {
public:
  explicit Probe(boost::asio::io_context &Context)
      : m_Timer(Context), m_Direct(Context, absl::GetFlag(FLAGS_direct)),
        m_Carried(Context, absl::GetFlag(FLAGS_carried)),
        m_StartTime(Clock::now()), m_ScheduledAt(m_StartTime) {
    m_Request.m_Method = "GET";
    m_Request.m_Path = absl::GetFlag(FLAGS_path);
  }

  void scheduleNext() {
    const double Interval = 0.5 / absl::GetFlag(FLAGS_rate);
    m_ScheduledAt += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Interval));
    m_Timer.expires_at(m_ScheduledAt);
    m_Timer.async_wait([this](boost::system::error_code) {
      const std::chrono::duration<double> Elapsed = m_ScheduledAt - m_StartTime;
      if (Elapsed.count() > absl::GetFlag(FLAGS_seconds))
        return;
      call(m_NextIsDirect ? m_Direct : m_Carried);
      m_NextIsDirect = !m_NextIsDirect;
      scheduleNext();
    });
  }

  void call(CallPath &Path) {
    // Latency counts from the scheduled time, so that a late start counts
    // equally on both paths.
    Path.m_Client.send(m_Request, CallTimeout, true,
                       [this, &Path, ScheduledAt = m_ScheduledAt](
                           const net::HttpResult &Result) {
                         recordResult(Path, ScheduledAt, Result);
                       });
  }

  void recordResult(CallPath &Path, Clock::time_point ScheduledAt,
                    const net::HttpResult &Result) const {
    if (ScheduledAt < m_StartTime + WarmUp)
      return;
    const bool Succeeded = Result.m_Outcome == net::ExchangeOutcome::Answered &&
                           Result.m_Response->m_Status == 200;
    Path.m_Failed += Succeeded ? 0 : 1;
    const std::chrono::duration<double, std::milli> Latency =
        Clock::now() - ScheduledAt;
    Path.m_LatenciesMs.push_back(Latency.count());
  }

  void report() {
    std::sort(m_Direct.m_LatenciesMs.begin(), m_Direct.m_LatenciesMs.end());
    std::sort(m_Carried.m_LatenciesMs.begin(), m_Carried.m_LatenciesMs.end());
    const auto QuantilesAt = [this](double Share) {
      return std::pair(quantile(m_Direct.m_LatenciesMs, Share),
                       quantile(m_Carried.m_LatenciesMs, Share));
    };
    const auto [Direct50, Carried50] = QuantilesAt(0.5);
    const auto [Direct99, Carried99] = QuantilesAt(0.99);
    std::printf("direct_p50_ms=%.3f direct_p99_ms=%.3f carried_p50_ms=%.3f "
                "carried_p99_ms=%.3f added_p50_ms=%.3f added_p99_ms=%.3f "
                "calls=%zu failed=%zu\n",
                Direct50, Direct99, Carried50, Carried99, Carried50 - Direct50,
                Carried99 - Direct99, m_Carried.m_LatenciesMs.size(),
                m_Direct.m_Failed + m_Carried.m_Failed);
  }

private:
  boost::asio::steady_timer m_Timer;
  CallPath m_Direct;
  CallPath m_Carried;
  core::HttpRequest m_Request;
  Clock::time_point m_StartTime;
  Clock::time_point m_ScheduledAt;
  bool m_NextIsDirect = false;
};

} // namespace

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);
  boost::asio::io_context Context{1};
  Probe Measurement(Context);
  Measurement.scheduleNext();
  Context.run_for(
      std::chrono::seconds(2) +
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds))));
  Measurement.report();
  return 0;
}
