// Log lines are rate-limited, and writing them never blocks on a slow reader.
#include "app/log_limiter.h"
#include "app/pipe_appender.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <string>

using namespace dandelionfall;
using app::LogLimiter;
using core::EventId;

namespace {

std::string readAll(int Descriptor) {
  ::fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  std::string Result;
  char Buffer[4096];
  for (;;) {
    const ssize_t Count = ::read(Descriptor, Buffer, sizeof(Buffer));
    if (Count <= 0)
      return Result;
    Result.append(Buffer, static_cast<std::size_t>(Count));
  }
}

} // namespace

TEST_CASE("lines of one kind are limited, and suppressed lines are counted") {
  LogLimiter Limiter;
  const LogLimiter::TimePoint Begin{std::chrono::seconds(100)};
  int Admitted = 0;
  for (int Line = 0; Line < 1000; ++Line)
    Admitted += Limiter.decide(EventId::RequestSettled, Begin).m_Admitted;
  CHECK(Admitted == 200);
  // Each kind has its own limit.
  CHECK(Limiter.decide(EventId::ZoneOut, Begin).m_Admitted);
  const auto Next =
      Limiter.decide(EventId::RequestSettled, Begin + std::chrono::seconds(1));
  CHECK(Next.m_Admitted);
  CHECK(Next.m_Suppressed == 800);
  CHECK(Limiter.decide(EventId::RequestSettled, Begin + std::chrono::seconds(1))
            .m_Suppressed == 0);
}

TEST_CASE("a reader that stops reading does not block logging") {
  const log4cplus::Initializer Library;
  int Ends[2];
  REQUIRE(::pipe(Ends) == 0);
  {
    app::PipeAppender Appender(
        Ends[1], std::make_unique<log4cplus::PatternLayout>("%m%n"));
    const log4cplus::spi::InternalLoggingEvent Line(
        "test", log4cplus::INFO_LOG_LEVEL, std::string(100, 'x'), __FILE__,
        __LINE__);
    constexpr int Lines = 10'000;
    for (int Count = 0; Count < Lines; ++Count)
      Appender.doAppend(Line);
    CHECK(Appender.dropped() > 0);
    CHECK(Appender.dropped() < Lines);
    const std::string First = readAll(Ends[0]);
    CHECK(First.find("dropped") == std::string::npos);
    Appender.doAppend(Line);
    const std::string AfterDrain = readAll(Ends[0]);
    CHECK(AfterDrain.find("log_lines_dropped=" +
                          std::to_string(Appender.dropped())) == 0);
    CHECK(AfterDrain.find("xxx") != std::string::npos);
  }
  ::close(Ends[0]);
  ::close(Ends[1]);
}
