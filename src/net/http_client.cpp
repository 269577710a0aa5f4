#include "dandelionfall/net/http_client.h"

#include "dandelionfall/net/address.h"
#include "net/http_conversion.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds SweepInterval{1};

using Parser = http::response_parser<http::string_body>;

bool isInformational(unsigned Status) {
  constexpr unsigned FirstFinal = 200;
  return Status < FirstFinal;
}

// Looks at a response's header before any of its body is read.
std::optional<std::string> findFault(const Parser &Response, bool ToHead,
                                     std::uint64_t MaxBodyBytes) {
  if (Response.get().result() == http::status::switching_protocols)
    return "the response switches protocols";
  if (isInformational(Response.get().result_int()) || ToHead)
    return std::nullopt;
  // Without a length the end of the stream may be a cut-off answer.
  if (Response.need_eof())
    return "the response has no stated length";
  // The library does not hold a stated length to the limit.
  const auto Length = Response.content_length();
  if (Length.has_value() && *Length > MaxBodyBytes)
    return "the response is larger than " + std::to_string(MaxBodyBytes) +
           " bytes";
  return std::nullopt;
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(boost::asio::io_context &Context, HttpClientOptions Options)
      : m_Context(Context), m_Sweep(Context), m_QueueTimer(Context),
        m_Options(std::move(Options)),
        m_Endpoint(parseEndpoint(m_Options.m_Address)) {}

  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Exchange {
    ExchangeId m_Id = 0;
    BeastRequest m_Request;
    Clock::time_point m_Deadline;
    bool m_Idempotent = false;
    bool m_ToHead = false;
    Callback m_Done;
  };

  ExchangeId send(const core::HttpRequest &Request, core::Duration Timeout,
                  bool Idempotent, Callback Done);
  void cancel(ExchangeId Id);
  void stop();
  void sweep();
  ConnectionPtr takeIdle(bool Idempotent);
  void release(const ConnectionPtr &Free);
  void forget(const ConnectionPtr &Gone);
  void startQueued();
  ConnectionPtr takeOrOpen(bool Idempotent);
  void armQueueTimer();
  void endWaiting();
  void postNotSent(Exchange Ended, const std::string &Detail);
  void finish(Exchange &Ended, const HttpResult &Result);

  boost::asio::io_context &m_Context;
  boost::asio::steady_timer m_Sweep;
  boost::asio::steady_timer m_QueueTimer;
  HttpClientOptions m_Options;
  tcp::endpoint m_Endpoint;
  std::vector<ConnectionPtr> m_Open;
  std::vector<ConnectionPtr> m_Idle;
  std::deque<Exchange> m_Queue;
  std::unordered_map<ExchangeId, ConnectionPtr> m_Running;
  ExchangeId m_LastId = 0;
  bool m_Stopped = false;
};

/// One connection, with at most one exchange at a time.
class HttpClient::Impl::Connection
    : public std::enable_shared_from_this<HttpClient::Impl::Connection> {
public:
  explicit Connection(std::shared_ptr<Impl> Owner)
      : m_Owner(std::move(Owner)), m_Socket(m_Owner->m_Context),
        m_Timer(m_Owner->m_Context) {}

  void run(Exchange Next) {
    m_Exchange.emplace(std::move(Next));
    m_Sent = false;
    if (m_Connected) {
      startTimer(m_Exchange->m_Deadline, HttpExchange::TimedOut);
      return write();
    }
    const auto ConnectDeadline =
        Clock::now() + m_Owner->m_Options.m_ConnectTimeout;
    startTimer(std::min(ConnectDeadline, m_Exchange->m_Deadline),
               HttpExchange::NotSent);
    m_Socket.async_connect(m_Owner->m_Endpoint,
                           [Self = shared_from_this()](error_code Code) {
                             Self->onConnected(Code);
                           });
  }

  void abort(HttpExchange End, const std::string &Detail) {
    finish({m_Sent ? End : HttpExchange::NotSent, nullptr, Detail}, false);
  }

  // A connection that the server closed is readable: it holds the end of the
  // stream.
  bool looksAlive() {
    char Byte = 0;
    error_code Code;
    m_Socket.non_blocking(true, Code);
    if (!Code)
      m_Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                       Code);
    return Code == boost::asio::error::would_block;
  }

  bool isYounger(std::chrono::milliseconds Age) const {
    return Clock::now() - m_LastResponse < Age;
  }

  void close() {
    error_code Ignored;
    m_Timer.cancel();
    m_Socket.close(Ignored);
  }

private:
  void onConnected(error_code Code) {
    if (!m_Exchange.has_value())
      return;
    if (Code)
      return abort(HttpExchange::NotSent, "connect: " + Code.message());
    if (Clock::now() >= m_Exchange->m_Deadline)
      return abort(HttpExchange::NotSent, "timed out");
    m_Connected = true;
    m_Socket.set_option(tcp::no_delay(true), Code);
    startTimer(m_Exchange->m_Deadline, HttpExchange::TimedOut);
    write();
  }

  void startTimer(Clock::time_point Deadline, HttpExchange End) {
    m_Timer.expires_at(Deadline);
    m_Timer.async_wait([Self = shared_from_this(), End,
                        Number = ++m_TimerNumber](error_code Code) {
      if (!Code && Self->m_Exchange.has_value() &&
          Number == Self->m_TimerNumber)
        Self->abort(End, "timed out");
    });
  }

  void write() {
    // From here on bytes may reach the server, whatever is reported later.
    m_Sent = true;
    http::async_write(
        m_Socket, m_Exchange->m_Request,
        [Self = shared_from_this()](error_code Code, std::size_t Count) {
          Self->onWritten(Code, Count);
        });
  }

  void onWritten(error_code Code, std::size_t Count) {
    if (!m_Exchange.has_value())
      return;
    if (Code) {
      m_Sent = Count > 0;
      return abort(HttpExchange::Reset, "write: " + Code.message());
    }
    read();
  }

  void read() {
    m_Parser.emplace();
    m_Parser->body_limit(m_Owner->m_Options.m_MaxBodyBytes);
    if (m_Exchange->m_ToHead)
      m_Parser->skip(true);
    http::async_read_header(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code Code, std::size_t) {
          Self->onHeader(Code);
        });
  }

  void onHeader(error_code Code) {
    if (!m_Exchange.has_value())
      return;
    if (Code)
      return failRead(Code);
    if (auto Fault = findFault(*m_Parser, m_Exchange->m_ToHead,
                               m_Owner->m_Options.m_MaxBodyBytes))
      return finish({HttpExchange::Malformed, nullptr, std::move(*Fault)},
                    false);
    if (isInformational(m_Parser->get().result_int()))
      return read();
    http::async_read(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](error_code BodyCode, std::size_t) {
          Self->onRead(BodyCode);
        });
  }

  void onRead(error_code Code) {
    if (!m_Exchange.has_value())
      return;
    if (Code)
      return failRead(Code);
    // Bytes after the answer would be taken for the next request's answer.
    const bool Reusable = m_Parser->get().keep_alive() && m_Buffer.size() == 0;
    finish({HttpExchange::Answered, toPlain(m_Parser->release()), ""},
           Reusable);
  }

  void failRead(error_code Code) {
    finish({readEnd(Code), nullptr, "read: " + Code.message()}, false);
  }

  static HttpExchange readEnd(error_code Code) {
    const bool Protocol =
        Code.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        Code != http::error::end_of_stream &&
        Code != http::error::partial_message;
    return Protocol ? HttpExchange::Malformed : HttpExchange::Reset;
  }

  void finish(const HttpResult &Result, bool Reusable) {
    if (!m_Exchange.has_value())
      return;
    const auto Self = shared_from_this();
    Exchange Ended = std::move(*m_Exchange);
    m_Exchange.reset();
    m_Timer.cancel();
    m_LastResponse = Clock::now();
    m_Owner->m_Running.erase(Ended.m_Id);
    if (Reusable) {
      m_Owner->release(Self);
    } else {
      close();
      m_Owner->forget(Self);
    }
    m_Owner->finish(Ended, Result);
    m_Owner->startQueued();
  }

  std::shared_ptr<Impl> m_Owner;
  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::optional<Exchange> m_Exchange;
  Clock::time_point m_LastResponse;
  std::uint64_t m_TimerNumber = 0;
  bool m_Connected = false;
  bool m_Sent = false;
};

ExchangeId HttpClient::Impl::send(const core::HttpRequest &Request,
                                  core::Duration Timeout, bool Idempotent,
                                  Callback Done) {
  Exchange Next;
  Next.m_Id = ++m_LastId;
  Next.m_Request = toBeast(Request, m_Options.m_Address);
  Next.m_Deadline = Clock::now() + Timeout;
  Next.m_Idempotent = Idempotent;
  Next.m_ToHead = Request.m_Method == "HEAD";
  Next.m_Done = std::move(Done);
  m_Queue.push_back(std::move(Next));
  startQueued();
  return m_LastId;
}

void HttpClient::Impl::startQueued() {
  while (!m_Queue.empty() && !m_Stopped) {
    ConnectionPtr Chosen;
    const bool HasTime = Clock::now() < m_Queue.front().m_Deadline;
    if (HasTime) {
      Chosen = takeOrOpen(m_Queue.front().m_Idempotent);
      if (Chosen == nullptr)
        break;
    }
    Exchange Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    if (!HasTime) {
      postNotSent(std::move(Next), "timed out before it was sent");
      continue;
    }
    m_Running.emplace(Next.m_Id, Chosen);
    Chosen->run(std::move(Next));
  }
  armQueueTimer();
}

// Null means that every connection is busy.
HttpClient::Impl::ConnectionPtr HttpClient::Impl::takeOrOpen(bool Idempotent) {
  if (ConnectionPtr Kept = takeIdle(Idempotent))
    return Kept;
  if (m_Open.size() >= m_Options.m_MaxConnections) {
    if (m_Idle.empty())
      return nullptr;
    // An idle connection that may not carry the request makes room.
    const ConnectionPtr Old = m_Idle.front();
    m_Idle.erase(m_Idle.begin());
    Old->close();
    forget(Old);
  }
  m_Open.push_back(std::make_shared<Connection>(shared_from_this()));
  return m_Open.back();
}

void HttpClient::Impl::armQueueTimer() {
  if (m_Queue.empty() || m_Stopped) {
    m_QueueTimer.cancel();
    return;
  }
  const auto First =
      std::min_element(m_Queue.begin(), m_Queue.end(),
                       [](const Exchange &Left, const Exchange &Right) {
                         return Left.m_Deadline < Right.m_Deadline;
                       });
  m_QueueTimer.expires_at(First->m_Deadline);
  m_QueueTimer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code)
      Self->endWaiting();
  });
}

void HttpClient::Impl::endWaiting() {
  const auto Now = Clock::now();
  const auto Late = std::stable_partition(
      m_Queue.begin(), m_Queue.end(),
      [Now](const Exchange &Each) { return Now < Each.m_Deadline; });
  for (auto Each = Late; Each != m_Queue.end(); ++Each)
    postNotSent(std::move(*Each), "timed out before a connection was free");
  m_Queue.erase(Late, m_Queue.end());
  armQueueTimer();
}

void HttpClient::Impl::postNotSent(Exchange Ended, const std::string &Detail) {
  auto Kept = std::make_shared<Exchange>(std::move(Ended));
  boost::asio::post(m_Context, [Self = shared_from_this(), Kept, Detail] {
    Self->finish(*Kept, {HttpExchange::NotSent, nullptr, Detail});
  });
}

HttpClient::Impl::ConnectionPtr HttpClient::Impl::takeIdle(bool Idempotent) {
  while (!m_Idle.empty()) {
    ConnectionPtr Youngest = m_Idle.back();
    if (!Idempotent && !Youngest->isYounger(m_Options.m_TrustedIdle))
      return nullptr;
    m_Idle.pop_back();
    if (Youngest->looksAlive())
      return Youngest;
    Youngest->close();
    forget(Youngest);
  }
  return nullptr;
}

void HttpClient::Impl::release(const ConnectionPtr &Free) {
  m_Idle.push_back(Free);
}

void HttpClient::Impl::forget(const ConnectionPtr &Gone) {
  m_Open.erase(std::remove(m_Open.begin(), m_Open.end(), Gone), m_Open.end());
}

void HttpClient::Impl::finish(Exchange &Ended, const HttpResult &Result) {
  if (m_Stopped)
    return;
  Ended.m_Done(Result);
}

void HttpClient::Impl::cancel(ExchangeId Id) {
  const auto Found = m_Running.find(Id);
  if (Found != m_Running.end()) {
    const ConnectionPtr Running = Found->second;
    boost::asio::post(m_Context, [Running, Self = shared_from_this(), Id] {
      if (Self->m_Running.contains(Id))
        Running->abort(HttpExchange::Cancelled, "cancelled");
    });
    return;
  }
  const auto Waiting =
      std::find_if(m_Queue.begin(), m_Queue.end(),
                   [Id](const Exchange &Each) { return Each.m_Id == Id; });
  if (Waiting == m_Queue.end())
    return;
  postNotSent(std::move(*Waiting), "cancelled");
  m_Queue.erase(Waiting);
  armQueueTimer();
}

void HttpClient::Impl::sweep() {
  m_Sweep.expires_after(SweepInterval);
  m_Sweep.async_wait([Self = shared_from_this()](error_code Code) {
    if (Code)
      return;
    // The front is the one that has been idle longest.
    while (!Self->m_Idle.empty() &&
           !Self->m_Idle.front()->isYounger(Self->m_Options.m_MaxIdle)) {
      const ConnectionPtr Old = Self->m_Idle.front();
      Self->m_Idle.erase(Self->m_Idle.begin());
      Old->close();
      Self->forget(Old);
    }
    Self->sweep();
  });
}

void HttpClient::Impl::stop() {
  m_Stopped = true;
  m_Sweep.cancel();
  m_QueueTimer.cancel();
  m_Queue.clear();
  m_Idle.clear();
  for (const ConnectionPtr &Each : std::exchange(m_Open, {}))
    Each->close();
  m_Running.clear();
}

HttpClient::HttpClient(boost::asio::io_context &Context,
                       HttpClientOptions Options)
    : m_Impl(std::make_shared<Impl>(Context, std::move(Options))) {
  m_Impl->sweep();
}

HttpClient::~HttpClient() { m_Impl->stop(); }

ExchangeId HttpClient::send(const core::HttpRequest &Request,
                            core::Duration Timeout, bool Idempotent,
                            Callback Done) {
  return m_Impl->send(Request, Timeout, Idempotent, std::move(Done));
}

void HttpClient::cancel(ExchangeId Id) { m_Impl->cancel(Id); }

std::size_t HttpClient::connections() const { return m_Impl->m_Open.size(); }

} // namespace dandelionfall::net
