// The bytes of a caller's connection up to its end, served with a drawn order
// of answers and writes. What is written equals what serving one by one writes.
#include "net/answer_queue.h"
#include "net/guarded_parser.h"
#include "net/request_check.h"
#include "require.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace dandelionfall;
using fuzz::require;
using net::AnswerQueue;

namespace {

constexpr std::uint32_t HeaderLimit = 1U << 14U;
constexpr net::PipelineLimits Limits{.m_MaxRequests = 4,
                                     .m_MaxBytes = 64,
                                     .m_MaxTotalRequests = 3,
                                     .m_MaxTotalBytes = 64};

/// The responses of one connection, each a request's path, or "400".
using Responses = std::vector<std::string>;

/// Takes the requests of a connection from its bytes.
class Stream {
public:
  explicit Stream(std::string_view Bytes) : m_Rest(Bytes) {}

  /// \returns the next complete request. Without one, the stream has ended.
  std::optional<net::BeastRequest> next() {
    net::RequestParser Reader;
    Reader.header_limit(HeaderLimit);
    boost::system::error_code Code;
    while (!m_IsMalformed && !m_Rest.empty() && !Reader.is_done()) {
      const std::size_t Count =
          Reader.put(boost::asio::buffer(m_Rest.data(), m_Rest.size()), Code);
      m_Rest.remove_prefix(Count);
      m_IsMalformed = Code && Code != boost::beast::http::error::need_more;
      if (Code || Count == 0)
        return std::nullopt;
    }
    if (!Reader.is_done())
      return std::nullopt;
    m_IsMalformed = net::findFault(Reader.get()).has_value();
    if (m_IsMalformed)
      return std::nullopt;
    return Reader.release();
  }

  bool isMalformed() const { return m_IsMalformed; }

private:
  std::string_view m_Rest;
  bool m_IsMalformed = false;
};

std::string pathOf(const net::BeastRequest &Request) {
  return std::string(Request.target());
}

Responses serveOneByOne(Stream Requests) {
  Responses Written;
  while (const auto Request = Requests.next()) {
    Written.push_back(pathOf(*Request));
    if (!Request->keep_alive())
      return Written;
  }
  if (Requests.isMalformed())
    Written.emplace_back("400");
  return Written;
}

/// Serves with the queue of answers.
class Connection {
public:
  explicit Connection(Stream Requests) : m_Requests(Requests) {}

  void read() {
    if (m_HasEnded || !m_Queue.takesMore())
      return;
    if (!m_Held)
      m_Held = m_Requests.next();
    if (!m_Held) {
      m_HasEnded = true;
      if (m_Requests.isMalformed())
        m_Queue.end({400, {}, "400"});
      return;
    }
    const bool MayRunBeside = m_Held->method() == boost::beast::http::verb::get;
    if (!m_Queue.mayBegin(MayRunBeside))
      return;
    m_Paths.push_back(pathOf(*m_Held));
    m_Open.push_back(m_Paths.size());
    m_HasEnded = !m_Held->keep_alive();
    m_Queue.begin({.m_Call = m_Paths.size(),
                   .m_KeepAlive = m_Held->keep_alive(),
                   .m_MayRunBeside = MayRunBeside});
    m_Held.reset();
  }

  void answer(std::size_t Which) {
    if (m_Open.empty())
      return;
    const auto Chosen =
        m_Open.begin() + static_cast<std::ptrdiff_t>(Which % m_Open.size());
    require(m_Queue.answer(*Chosen, {200, {}, m_Paths[*Chosen - 1]}),
            "a begun request can be answered");
    m_Open.erase(Chosen);
  }

  void write() {
    if (!m_Queue.hasNext())
      return;
    AnswerQueue::Outgoing Next = m_Queue.next();
    require(!m_IsClosed, "nothing is written behind the last response");
    m_IsClosed = Next.m_Close;
    m_Written.push_back(std::move(Next.m_Response.m_Body));
    m_Queue.onWritten();
  }

  bool isDone() const { return m_HasEnded && m_Queue.empty(); }
  const Responses &written() const { return m_Written; }

private:
  Stream m_Requests;
  net::PipelineTotals m_Totals;
  AnswerQueue m_Queue{Limits, m_Totals};
  std::optional<net::BeastRequest> m_Held;
  std::vector<std::string> m_Paths;
  std::vector<core::CallId> m_Open;
  Responses m_Written;
  bool m_HasEnded = false;
  bool m_IsClosed = false;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view All(reinterpret_cast<const char *>(Data), Size);
  const std::size_t LineEnd = std::min(All.find('\n'), All.size());
  const std::string_view Schedule = All.substr(0, LineEnd);
  const Stream Requests(All.substr(std::min(LineEnd + 1, All.size())));
  Connection Served(Requests);
  for (const char Step : Schedule) {
    const auto Drawn = static_cast<unsigned char>(Step);
    if (Drawn % 3 == 0)
      Served.read();
    else if (Drawn % 3 == 1)
      Served.answer(Drawn / 3);
    else
      Served.write();
  }
  for (std::size_t Step = 0; !Served.isDone(); ++Step) {
    require(Step <= Size, "each round completes a request");
    Served.read();
    Served.answer(Step);
    Served.write();
  }
  require(Served.written() == serveOneByOne(Requests),
          "the responses are those of serving one by one");
  return 0;
}
