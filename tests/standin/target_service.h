/// \file
/// How a target stand-in answers: slots, service time, cold start, and the
/// faults that a test asks for.
#ifndef DANDELIONFALL_STANDIN_TARGET_SERVICE_H
#define DANDELIONFALL_STANDIN_TARGET_SERVICE_H

#include "standin/http_server.h"
#include "standin/target_counters.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <string>

namespace dandelionfall::standin {

/// What a target can bear.
struct TargetOptions {
  std::string m_Name;
  std::size_t m_Slots = 12;
  std::chrono::milliseconds m_ServiceTime{5};
  std::chrono::milliseconds m_ProbeTime{6};
  /// Runs after a start for which the target is cold.
  std::uint64_t m_ColdRequests = 0;
  /// Requests in flight that a cold target bears.
  std::size_t m_ColdLimit = 2;
  /// Factor on the service time of a cold target above its limit.
  std::uint32_t m_CollapseFactor = 10;
};

/// The fault that a target shows at the moment.
enum class TargetMode : std::uint8_t {
  Ok,
  Reset,          ///< Runs, answers half and resets the connection.
  RefuseAll,      ///< Answers 503 without running.
  Silent,         ///< Accepts, never runs and never answers.
  SilentAfterRun, ///< Runs and never answers.
  CloseIdle,      ///< Closes keep-alive connections right after each answer.
};

/// One target: takes requests, runs them in its slots, and answers.
class TargetService {
public:
  /// \param Context runs its timers; outlives it.
  /// \param Options what it can bear.
  TargetService(boost::asio::io_context &Context, TargetOptions Options);

  /// Takes a request.
  /// \param Request the request.
  /// \param Reply where its answer goes.
  void handle(HttpRequest Request, ExchangePtr Reply);

  /// Takes an admin request: counters and modes.
  /// \param Request the request.
  /// \param Reply where its answer goes.
  /// \param Server the server that callers use.
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
