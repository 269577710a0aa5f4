/// \file
/// Writes log lines to a file descriptor without blocking on its reader.
#ifndef DANDELIONFALL_SRC_APP_PIPE_APPENDER_H
#define DANDELIONFALL_SRC_APP_PIPE_APPENDER_H

#include <log4cplus/appender.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace dandelionfall::app {

/// Appender for a pipe, file or terminal. A line that does not fit into the
/// descriptor's buffer is dropped and counted; the next line that fits is
/// preceded by a line with the count.
class PipeAppender : public log4cplus::Appender {
public:
  /// \param Descriptor file descriptor to write to; remains owned by the
  /// caller.
  /// \param Layout layout of a line.
  PipeAppender(int Descriptor, std::unique_ptr<log4cplus::Layout> Layout);
  ~PipeAppender() override;

  void close() override;
  /// \returns number of lines dropped since construction.
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
