#include "app/load_generator.h"

#include "dandelionfall/core/http_dialect.h"
#include "dandelionfall/net/http_client.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>
#include <sstream>

namespace dandelionfall::app {

namespace {

using Clock = std::chrono::steady_clock;

/// Time past the deadline during which a late response is still accepted.
constexpr std::chrono::seconds AnswerGrace{2};
constexpr std::chrono::seconds ProgressInterval{1};
constexpr std::uint32_t FirstErrorStatus = 400;

/// Outcome that a node reports in a header field.
struct OutcomeName {
  std::string_view m_Name;
  LoadOutcome m_Outcome;
};

constexpr OutcomeName OutcomeNames[] = {
    {"not-run", LoadOutcome::NotRun},
    {"unknown", LoadOutcome::Unknown},
    {"no-route", LoadOutcome::NoRoute},
};

LoadOutcome classifyResult(const net::HttpResult &Result) {
  if (Result.m_Outcome != net::ExchangeOutcome::Answered)
    return LoadOutcome::Failed;
  for (const core::HttpField &Field : Result.m_Response->m_Fields) {
    if (!boost::algorithm::iequals(Field.m_Name,
                                   core::defaultDialect().m_OutcomeField))
      continue;
    for (const OutcomeName &Row : OutcomeNames) {
      if (Field.m_Value == Row.m_Name)
        return Row.m_Outcome;
    }
  }
  return Result.m_Response->m_Status < FirstErrorStatus
             ? LoadOutcome::Answered
             : LoadOutcome::HttpError;
}

// Bookings must be unique across runs, including runs with the same seed.
std::string makeRunName() {
  std::random_device Device;
  std::ostringstream Stream;
  Stream << "load-" << std::hex << Device() << Device() << "-";
  return Stream.str();
}

class LoadGenerator {
public:
  LoadGenerator(const LoadOptions &Options, const LoadProgress &Progress)
      : m_Options(Options), m_Progress(Progress), m_ArrivalTimer(m_Context),
        m_ProgressTimer(m_Context), m_Signals(m_Context, SIGINT, SIGTERM),
        m_Schedule(Options.m_Arrivals, Options.m_CallsPerSecond,
                   Options.m_Seed),
        m_Picker(*Options.m_Preset, Options.m_Seed), m_Random(Options.m_Seed),
        m_RunName(makeRunName()), m_Report(Options.m_Deadline) {
    const std::size_t Addresses = Options.m_Addresses.size();
    for (const std::string &Address : Options.m_Addresses) {
      net::HttpClientOptions Client;
      Client.m_Address = Address;
      Client.m_MaxConnections =
          std::max<std::size_t>(Options.m_Connections / Addresses, 1);
      m_Clients.push_back(std::make_unique<net::HttpClient>(m_Context, Client));
    }
  }

  LoadReport run() {
    m_Start = Clock::now();
    m_NextDue = m_Schedule.next();
    m_Signals.async_wait([this](boost::system::error_code Code, int) {
      if (!Code)
        endArrivals();
    });
    scheduleArrival();
    scheduleProgress();
    m_Context.run();
    return std::move(m_Report);
  }

private:
  void scheduleArrival() {
    m_ArrivalTimer.expires_at(m_Start + m_NextDue);
    m_ArrivalTimer.async_wait([this](boost::system::error_code Code) {
      if (!Code)
        sendDue();
    });
  }

  void sendDue() {
    while (m_NextDue <= m_Options.m_Duration &&
           m_Start + m_NextDue <= Clock::now()) {
      sendCall(m_Start + m_NextDue);
      m_NextDue = m_Schedule.next();
    }
    if (m_NextDue > m_Options.m_Duration)
      return endArrivals();
    scheduleArrival();
  }

  void sendCall(Clock::time_point Due) {
    const LoadCall &Call = m_Picker.next();
    core::HttpRequest Request;
    Request.m_Method = Call.m_Method;
    Request.m_Path = Call.m_Path;
    const auto DeadlineMs =
        std::chrono::ceil<std::chrono::milliseconds>(m_Options.m_Deadline);
    Request.m_Fields.push_back(
        {std::string(core::defaultDialect().m_DeadlineField),
         std::to_string(DeadlineMs.count())});
    ++m_Sent;
    if (Call.m_HasBooking)
      Request.m_Fields.push_back(
          {"Booking", m_RunName + std::to_string(m_Sent)});
    m_Report.recordStart(elapsedSince(Due));
    ++m_OpenCalls;
    chooseClient().send(
        Request, m_Options.m_Deadline + AnswerGrace, !Call.m_HasBooking,
        [this, Due](const net::HttpResult &Result) {
          m_Report.record(classifyResult(Result), elapsedSince(Due));
          --m_OpenCalls;
          stopIfDone();
        });
  }

  net::HttpClient &chooseClient() {
    std::uniform_int_distribution<std::size_t> Choice(0, m_Clients.size() - 1);
    return *m_Clients[Choice(m_Random)];
  }

  void scheduleProgress() {
    m_ProgressTimer.expires_after(ProgressInterval);
    m_ProgressTimer.async_wait([this](boost::system::error_code Code) {
      if (Code)
        return;
      m_Progress(++m_ElapsedSeconds, m_Sent, m_Report);
      scheduleProgress();
    });
  }

  void endArrivals() {
    m_ArrivalsEnded = true;
    m_ArrivalTimer.cancel();
    stopIfDone();
  }

  void stopIfDone() {
    if (m_ArrivalsEnded && m_OpenCalls == 0)
      m_Context.stop();
  }

  static core::Duration elapsedSince(Clock::time_point Instant) {
    return std::chrono::duration_cast<core::Duration>(Clock::now() - Instant);
  }

  const LoadOptions &m_Options;
  const LoadProgress &m_Progress;
  boost::asio::io_context m_Context{1};
  boost::asio::steady_timer m_ArrivalTimer;
  boost::asio::steady_timer m_ProgressTimer;
  boost::asio::signal_set m_Signals;
  std::vector<std::unique_ptr<net::HttpClient>> m_Clients;
  ArrivalSchedule m_Schedule;
  CallPicker m_Picker;
  std::mt19937_64 m_Random;
  std::string m_RunName;
  LoadReport m_Report;
  Clock::time_point m_Start;
  core::Duration m_NextDue{0};
  std::uint64_t m_Sent = 0;
  std::uint64_t m_OpenCalls = 0;
  std::uint64_t m_ElapsedSeconds = 0;
  bool m_ArrivalsEnded = false;
};

} // namespace

LoadReport runLoad(const LoadOptions &Options, const LoadProgress &Progress) {
  return LoadGenerator(Options, Progress).run();
}

} // namespace dandelionfall::app
