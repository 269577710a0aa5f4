#include "dandelionfall/app/logging.h"

#include "app/log_limiter.h"
#include "app/pipe_appender.h"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <utility>

namespace dandelionfall::app {

namespace {

std::atomic<bool> LoggingStarted{false};

// In the order of core::Severity.
constexpr std::array SeverityLevels = {
    log4cplus::DEBUG_LOG_LEVEL,
    log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL,
};

constexpr std::pair<const char *, log4cplus::LogLevel> LevelNames[] = {
    {"debug", log4cplus::DEBUG_LOG_LEVEL},
    {"info", log4cplus::INFO_LOG_LEVEL},
    {"warning", log4cplus::WARN_LOG_LEVEL},
    {"error", log4cplus::ERROR_LOG_LEVEL},
};

log4cplus::LogLevel parseLevel(const std::string &Name) {
  for (const auto &[Known, Level] : LevelNames) {
    if (Name == Known)
      return Level;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger &nodeLogger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("dandelionfall");
  return Instance;
}

std::string quote(const std::string &Text) {
  std::string Quoted = "\"";
  for (const char Character : Text) {
    if (Character == '"' || Character == '\\') {
      Quoted += '\\';
      Quoted += Character;
      continue;
    }
    constexpr unsigned char FirstPrintable = 0x20;
    const auto Byte = static_cast<unsigned char>(Character);
    if (Byte >= FirstPrintable && Byte != 0x7f) {
      Quoted += Character;
      continue;
    }
    char Escape[5];
    std::snprintf(Escape, sizeof(Escape), "\\x%02x", Byte);
    Quoted += Escape;
  }
  return Quoted + "\"";
}

} // namespace

void setUpLogging(const std::string &Level) {
  static const log4cplus::Initializer Library;
  const log4cplus::SharedAppenderPtr Appender(new PipeAppender(
      STDOUT_FILENO, std::make_unique<log4cplus::PatternLayout>(
                         "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n")));
  log4cplus::Logger &Instance = nodeLogger();
  Instance.removeAllAppenders();
  Instance.setAdditivity(false);
  Instance.addAppender(Appender);
  Instance.setLogLevel(parseLevel(Level));
  LoggingStarted = true;
}

void logEvent(const std::string &Host, const core::Event &Event) {
  if (!LoggingStarted)
    return;
  const core::Severity Value = core::describe(Event.m_Id).m_Severity;
  const log4cplus::LogLevel Level =
      SeverityLevels.at(static_cast<std::size_t>(Value));
  const log4cplus::Logger &Instance = nodeLogger();
  if (!Instance.isEnabledFor(Level))
    return;
  static std::mutex Mutex;
  static LogLimiter Limiter;
  LogLimiter::Decision Decision;
  {
    const std::lock_guard Lock(Mutex);
    Decision = Limiter.decide(Event.m_Id, std::chrono::steady_clock::now());
  }
  if (!Decision.m_Admitted)
    return;
  std::string Line = formatEvent(Host, Event);
  if (Decision.m_Suppressed > 0)
    Line += " left_out=" + std::to_string(Decision.m_Suppressed);
  Instance.forcedLog(Level, Line);
}

std::string formatEvent(const std::string &Host, const core::Event &Event) {
  return "event=" + std::to_string(static_cast<std::uint16_t>(Event.m_Id)) +
         " name=" + std::string(core::describe(Event.m_Id).m_Name) +
         " host=" + Host + " detail=" + quote(Event.m_Detail);
}

} // namespace dandelionfall::app
