/// \file
/// Measures what the path through two nodes adds to a call: open loop, direct
/// and carried calls alternating.
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
ABSL_FLAG(std::string, carried, "", "address of a node for callers, IP:PORT");
ABSL_FLAG(std::string, path, "/slotboard/now", "path of the calls");
ABSL_FLAG(double, rate, 371, "calls a second on each of the two ways");
ABSL_FLAG(double, seconds, 10, "length of the measurement");

namespace {

using namespace dandelionfall;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds CallTimeout{5};
// Calls of the first moment pay for new connections and are not counted.
constexpr std::chrono::seconds WarmUp{1};

/// One way to the target with the latencies seen on it.
struct Way {
  Way(boost::asio::io_context &Context, const std::string &Address)
      : m_Client(Context, optionsOf(Address)) {}

  static net::HttpClientOptions optionsOf(const std::string &Address) {
    net::HttpClientOptions Options;
    Options.m_Address = Address;
    return Options;
  }

  net::HttpClient m_Client;
  std::vector<double> m_Ms;
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
        m_Carried(Context, absl::GetFlag(FLAGS_carried)), m_Begin(Clock::now()),
        m_Due(m_Begin) {
    m_Request.m_Method = "GET";
    m_Request.m_Path = absl::GetFlag(FLAGS_path);
  }

  void next() {
    const double Interval = 0.5 / absl::GetFlag(FLAGS_rate);
    m_Due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Interval));
    m_Timer.expires_at(m_Due);
    m_Timer.async_wait([this](boost::system::error_code) {
      const std::chrono::duration<double> Elapsed = m_Due - m_Begin;
      if (Elapsed.count() > absl::GetFlag(FLAGS_seconds))
        return;
      call(m_Turn ? m_Direct : m_Carried);
      m_Turn = !m_Turn;
      next();
    });
  }

  void call(Way &Chosen) {
    // From the due time, so that a late start counts as latency on both ways
    // alike.
    Chosen.m_Client.send(
        m_Request, CallTimeout, true,
        [this, &Chosen, Due = m_Due](const net::HttpResult &Result) {
          note(Chosen, Due, Result);
        });
  }

  void note(Way &Chosen, Clock::time_point Due,
            const net::HttpResult &Result) const {
    if (Due < m_Begin + WarmUp)
      return;
    const bool Whole = Result.m_Outcome == net::ExchangeOutcome::Answered &&
                       Result.m_Response->m_Status == 200;
    Chosen.m_Failed += Whole ? 0 : 1;
    const std::chrono::duration<double, std::milli> Took = Clock::now() - Due;
    Chosen.m_Ms.push_back(Took.count());
  }

  void report() {
    std::sort(m_Direct.m_Ms.begin(), m_Direct.m_Ms.end());
    std::sort(m_Carried.m_Ms.begin(), m_Carried.m_Ms.end());
    const auto At = [this](double Share) {
      return std::pair(quantile(m_Direct.m_Ms, Share),
                       quantile(m_Carried.m_Ms, Share));
    };
    const auto [Direct50, Carried50] = At(0.5);
    const auto [Direct99, Carried99] = At(0.99);
    std::printf("direct_p50_ms=%.3f direct_p99_ms=%.3f carried_p50_ms=%.3f "
                "carried_p99_ms=%.3f added_p50_ms=%.3f added_p99_ms=%.3f "
                "calls=%zu failed=%zu\n",
                Direct50, Direct99, Carried50, Carried99, Carried50 - Direct50,
                Carried99 - Direct99, m_Carried.m_Ms.size(),
                m_Direct.m_Failed + m_Carried.m_Failed);
  }

private:
  boost::asio::steady_timer m_Timer;
  Way m_Direct;
  Way m_Carried;
  core::HttpRequest m_Request;
  Clock::time_point m_Begin;
  Clock::time_point m_Due;
  bool m_Turn = false;
};

} // namespace

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);
  boost::asio::io_context Context{1};
  Probe Measurement(Context);
  Measurement.next();
  Context.run_for(
      std::chrono::seconds(2) +
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds))));
  Measurement.report();
  return 0;
}
