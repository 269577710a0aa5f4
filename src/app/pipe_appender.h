/// \file
/// Writes log lines to a descriptor without ever waiting for its reader.
#ifndef DANDELIONFALL_SRC_APP_PIPE_APPENDER_H
#define DANDELIONFALL_SRC_APP_PIPE_APPENDER_H

#include <log4cplus/appender.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace dandelionfall::app {

/// Appender over a pipe, file or terminal. What the descriptor's own buffer
/// does not take at once is dropped and counted; the next line that fits is
/// preceded by the count.
class PipeAppender : public log4cplus::Appender {
public:
  /// \param Descriptor where to write; stays the caller's.
  /// \param Layout how a line looks.
  PipeAppender(int Descriptor, std::unique_ptr<log4cplus::Layout> Layout);
  ~PipeAppender() override;

  void close() override;
  /// \returns lines that were dropped since the start.
  std::uint64_t dropped() const { return m_Dropped.load(); }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool write(std::string Line);

  int m_Descriptor;
  std::atomic<std::uint64_t> m_Dropped{0};
  std::uint64_t m_ReportedDropped = 0;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_PIPE_APPENDER_H
