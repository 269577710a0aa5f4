#include "app/pipe_appender.h"

#include <poll.h>
#include <unistd.h>

#include <limits.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace dandelionfall::app {

PipeAppender::PipeAppender(int Descriptor,
                           std::unique_ptr<log4cplus::Layout> Layout)
    : m_Descriptor(Descriptor) {
  setLayout(std::move(Layout));
}

PipeAppender::~PipeAppender() { destructorImpl(); }

void PipeAppender::close() { closed = true; }

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent &Event) {
  std::ostringstream Text;
  layout->formatAndAppend(Text, Event);
  const std::uint64_t Unreported = m_Dropped.load() - m_ReportedDropped;
  if (Unreported > 0 &&
      !write("log_lines_dropped=" + std::to_string(Unreported) +
             " cause=\"the reader of the log is too slow\"\n")) {
    ++m_Dropped;
    return;
  }
  m_ReportedDropped += Unreported;
  if (!write(Text.str()))
    ++m_Dropped;
}

// A pipe that polls as writable accepts PIPE_BUF bytes in one atomic write.
bool PipeAppender::write(std::string Line) {
  if (Line.size() > PIPE_BUF) {
    Line.resize(PIPE_BUF);
    Line.back() = '\n';
  }
  pollfd Query{m_Descriptor, POLLOUT, 0};
  if (::poll(&Query, 1, 0) != 1 || (Query.revents & POLLOUT) == 0)
    return false;
  return ::write(m_Descriptor, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

} // namespace dandelionfall::app
