/// \file
/// Request processing of a target stand-in: slots, service time, cold start,
/// and the faults that tests can inject.
#ifndef DANDELIONFALL_STANDIN_TARGET_SERVICE_H
#define DANDELIONFALL_STANDIN_TARGET_SERVICE_H

#include "standin/http_server.h"
#include "standin/target_counters.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <string>

namespace dandelionfall::standin {

/// Capacity and timing of a target.
struct TargetOptions {
  std::string m_Name;
  std::size_t m_Slots = 12;
  std::chrono::milliseconds m_ServiceTime{5};
  std::chrono::milliseconds m_ProbeTime{6};
  /// Number of runs after a start during which the target is cold.
  std::uint64_t m_ColdRequests = 0;
  /// Requests in flight that a cold target can handle without slowing down.
  std::size_t m_ColdLimit = 2;
  /// Multiplies the service time of a cold target above its cold limit.
  std::uint32_t m_CollapseFactor = 10;
};

/// The fault that a target currently simulates.
enum class TargetMode : std::uint8_t {
  Ok,
  Reset,          ///< Runs, sends half of the response and resets.
  RefuseAll,      ///< Responds with 503 without running.
  Silent,         ///< Accepts, never runs and never responds.
  SilentAfterRun, ///< Runs and never responds.
  CloseIdle,      ///< Closes keep-alive connections after each response.
};

/// One target: queues requests, runs them in its slots, and responds.
class TargetService {
public:
  /// \param Context runs its timers; must outlive it.
  TargetService(boost::asio::io_context &Context, TargetOptions Options);

  /// Handles a request.
  /// \param Reply the exchange that receives the response.
  void handle(HttpRequest Request, ExchangePtr Reply);

  /// Handles an admin request: counters and modes.
  /// \param Reply the exchange that receives the response.
  /// \param Server the server to which callers connect.
  void handleAdmin(const HttpRequest &Request, const ExchangePtr &Reply,
                   HttpServer &Server);

private:
  struct Job {
    HttpRequest m_Request;
    ExchangePtr m_Exchange;
  };

  bool setMode(const std::string &Text, HttpServer &Server);
  bool isCold() const { return m_ColdRunsLeft > 0; }
  std::size_t inFlight() const { return m_Running + m_Queued.size(); }
  std::chrono::milliseconds serviceTime(const HttpRequest &Request) const;
  void startQueued();
  void run(Job Next);
  void finish(const Job &Finished, std::uint64_t RunNumber);
  HttpReply makeReply(const HttpRequest &Request,
                      std::uint64_t RunNumber) const;

  boost::asio::io_context &m_Context;
  TargetOptions m_Options;
  TargetMode m_Mode = TargetMode::Ok;
  std::chrono::milliseconds m_AddedServiceTime{0};
  std::uint64_t m_ColdRunsLeft;
  std::size_t m_Running = 0;
  std::deque<Job> m_Queued;
  TargetCounters m_Counters;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_TARGET_SERVICE_H
