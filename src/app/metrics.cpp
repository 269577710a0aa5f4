#include "dandelionfall/app/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <prometheus/text_serializer.h>

#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <sstream>

namespace dandelionfall::app {

namespace {

namespace accumulators = boost::accumulators;

/// Name and help text of a metric.
struct MetricRow {
  const char *m_Name;
  const char *m_Help;
};

// In the order of Counter.
constexpr std::array Counters = {
    MetricRow{"dandelionfall_calls_answered_total",
              "Calls answered with the target's whole answer."},
    MetricRow{"dandelionfall_calls_not_run_total",
              "Calls answered with: not run."},
    MetricRow{"dandelionfall_calls_unknown_total",
              "Calls answered with: outcome unknown."},
    MetricRow{"dandelionfall_calls_no_route_total",
              "Calls that no route fits."},
    MetricRow{"dandelionfall_caller_errors_total",
              "Callers' requests that broke a limit or the protocol."},
    MetricRow{"dandelionfall_dispatches_sent_total",
              "Requests handed to a gate."},
    MetricRow{"dandelionfall_dispatches_taken_total",
              "Requests that this node's gate took in."},
    MetricRow{"dandelionfall_target_starts_total",
              "Requests given to the target beside the node."},
    MetricRow{"dandelionfall_refusals_total",
              "Requests that this node's gate refused without running them."},
    MetricRow{"dandelionfall_control_sent_bytes_total",
              "Bytes sent on control links."},
    MetricRow{"dandelionfall_control_received_bytes_total",
              "Bytes received on control links."},
    MetricRow{"dandelionfall_traffic_sent_bytes_total",
              "Bytes sent on traffic links."},
    MetricRow{"dandelionfall_traffic_received_bytes_total",
              "Bytes received on traffic links."},
    MetricRow{"dandelionfall_source_calls_total",
              "Calls to the platform's configuration service."},
    MetricRow{"dandelionfall_body_refused_total",
              "Requests refused because there was no memory for the body."},
    MetricRow{"dandelionfall_calls_unknown_key_total",
              "Calls whose key no team holds."},
    MetricRow{"dandelionfall_calls_over_quota_total",
              "Calls beyond the quota of their team."},
    MetricRow{"dandelionfall_calls_pipelined_total",
              "Calls begun before an earlier one of their connection was "
              "answered."},
    MetricRow{"dandelionfall_zone_requests_kept_total",
              "Requests kept in the node's availability zone by price."},
    MetricRow{"dandelionfall_zone_requests_sent_for_gain_total",
              "Requests sent to other availability zones because the time "
              "gained is worth the transfer."},
    MetricRow{"dandelionfall_zone_requests_sent_for_deadline_total",
              "Requests sent to other availability zones because only these "
              "were expected to answer in time."},
    MetricRow{"dandelionfall_zone_requests_sent_for_lack_of_targets_total",
              "Requests sent to other availability zones because the node's "
              "own had no target that takes them."},
    MetricRow{"dandelionfall_credit_requests_sent_total",
              "Requests for credit of quotas sent to accountants."},
    MetricRow{"dandelionfall_credit_granted_total",
              "Credits of quotas granted as an accountant."},
    MetricRow{"dandelionfall_credit_requests_denied_total",
              "Requests for credit to which this accountant granted none."},
};

// In the order of Gauge.
constexpr std::array Gauges = {
    MetricRow{"dandelionfall_applied_version", "Version in force."},
    MetricRow{"dandelionfall_held_version", "Highest version on hand."},
    MetricRow{"dandelionfall_ready", "1 while the node serves callers."},
    MetricRow{"dandelionfall_control_links", "Open control links."},
    MetricRow{"dandelionfall_target_in_flight",
              "Requests that the target runs."},
    MetricRow{"dandelionfall_target_limit",
              "Requests that the target may run at once."},
    MetricRow{"dandelionfall_target_queued",
              "Requests that wait for the target."},
    MetricRow{"dandelionfall_body_held_bytes",
              "Memory reserved for the bodies of requests."},
    MetricRow{"dandelionfall_body_limit_bytes",
              "Memory that may be reserved for the bodies of requests."},
    MetricRow{"dandelionfall_body_waiting",
              "Callers' requests that wait for memory for the body."},
    MetricRow{"dandelionfall_response_held_bytes",
              "Memory reserved for the bodies of responses."},
    MetricRow{"dandelionfall_response_limit_bytes",
              "Memory that may be reserved for the bodies of responses."},
    MetricRow{"dandelionfall_response_waiting",
              "Responses that wait for memory for the body."},
    MetricRow{"dandelionfall_proof_age_seconds",
              "Age of the proof that the configuration is the newest; 0 "
              "without one."},
};

// In the order of Timing.
constexpr std::array Timings = {
    MetricRow{"dandelionfall_call_seconds",
              "From a caller's whole request to the final answer."},
    MetricRow{"dandelionfall_target_service_seconds",
              "From the start at the target to its whole answer."},
};

constexpr std::array Quantiles = {0.5, 0.9, 0.99, 0.999};

/// Count, sum and estimated quantiles of a duration, in constant space.
class Distribution {
public:
  void observe(double Seconds) {
    const std::lock_guard Lock(m_Mutex);
    m_Set(Seconds);
  }

  prometheus::ClientMetric::Summary summary() const {
    const std::lock_guard Lock(m_Mutex);
    prometheus::ClientMetric::Summary Result;
    Result.sample_count = accumulators::count(m_Set);
    Result.sample_sum = accumulators::sum(m_Set);
    for (std::size_t Index = 0; Index < Quantiles.size(); ++Index)
      Result.quantile.push_back({Quantiles[Index], estimate(Index)});
    return Result;
  }

private:
  using Set = accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                          accumulators::tag::extended_p_square>>;

  // The estimate is valid once each marker has received a sample.
  static constexpr std::size_t Markers = 2 * Quantiles.size() + 3;

  double estimate(std::size_t Index) const {
    if (accumulators::count(m_Set) < Markers)
      return std::nan("");
    return accumulators::extended_p_square(m_Set)[static_cast<long>(Index)];
  }

  mutable std::mutex m_Mutex;
  Set m_Set{accumulators::extended_p_square_probabilities = Quantiles};
};

prometheus::MetricFamily makeFamily(const MetricRow &Row,
                                    prometheus::MetricType Type) {
  prometheus::MetricFamily Family;
  Family.name = Row.m_Name;
  Family.help = Row.m_Help;
  Family.type = Type;
  Family.metric.resize(1);
  return Family;
}

} // namespace

class Metrics::Impl {
public:
  void add(Counter Which, std::uint64_t Amount) {
    counter(Which).fetch_add(Amount, std::memory_order_relaxed);
  }

  void set(Gauge Which, double Value) {
    m_Gauges.at(static_cast<std::size_t>(Which))
        .store(Value, std::memory_order_relaxed);
  }

  void observe(Timing Which, core::Duration Value) {
    m_Timings.at(static_cast<std::size_t>(Which))
        .observe(std::chrono::duration<double>(Value).count());
  }

  std::uint64_t count(Counter Which) const {
    return m_Counters.at(static_cast<std::size_t>(Which))
        .load(std::memory_order_relaxed);
  }

  std::vector<prometheus::MetricFamily> collect() const {
    using prometheus::MetricType;
    std::vector<prometheus::MetricFamily> Families;
    for (std::size_t Index = 0; Index < Counters.size(); ++Index) {
      Families.push_back(makeFamily(Counters[Index], MetricType::Counter));
      Families.back().metric.front().counter.value =
          static_cast<double>(m_Counters[Index].load());
    }
    for (std::size_t Index = 0; Index < Gauges.size(); ++Index) {
      Families.push_back(makeFamily(Gauges[Index], MetricType::Gauge));
      Families.back().metric.front().gauge.value = m_Gauges[Index].load();
    }
    for (std::size_t Index = 0; Index < Timings.size(); ++Index) {
      Families.push_back(makeFamily(Timings[Index], MetricType::Summary));
      Families.back().metric.front().summary = m_Timings[Index].summary();
    }
    return Families;
  }

private:
  std::atomic<std::uint64_t> &counter(Counter Which) {
    return m_Counters.at(static_cast<std::size_t>(Which));
  }

  std::array<std::atomic<std::uint64_t>, Counters.size()> m_Counters{};
  std::array<std::atomic<double>, Gauges.size()> m_Gauges{};
  std::array<Distribution, Timings.size()> m_Timings;
};

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::add(Counter Which, std::uint64_t Amount) {
  m_Impl->add(Which, Amount);
}

void Metrics::set(Gauge Which, double Value) { m_Impl->set(Which, Value); }

void Metrics::observe(Timing Which, core::Duration Value) {
  m_Impl->observe(Which, Value);
}

std::uint64_t Metrics::count(Counter Which) const {
  return m_Impl->count(Which);
}

std::string Metrics::prometheusText() const {
  std::ostringstream Stream;
  prometheus::TextSerializer().Serialize(Stream, m_Impl->collect());
  return Stream.str();
}

} // namespace dandelionfall::app
