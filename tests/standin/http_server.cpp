#include "standin/http_server.h"

#include "dandelionfall/core/error.h"
#include "standin/program.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <optional>
#include <set>
#include <sstream>

namespace dandelionfall::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t MaxBodyBytes = 64U << 20U;

std::uint64_t parseNumberOr(std::string_view Text, std::uint64_t Default) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  return Text.empty() || Code != std::errc() || Rest != End ? Default : Value;
}

void splitRequestTarget(std::string RequestTarget, HttpRequest &Request) {
  const std::size_t QueryStart = RequestTarget.find('?');
  if (QueryStart != std::string::npos) {
    std::istringstream Pairs(RequestTarget.substr(QueryStart + 1));
    for (std::string Pair; std::getline(Pairs, Pair, '&');) {
      const std::size_t Equals = Pair.find('=');
      Request.m_Query[Pair.substr(0, Equals)] =
          Equals == std::string::npos ? "" : Pair.substr(Equals + 1);
    }
    RequestTarget.resize(QueryStart);
  }
  Request.m_Path = std::move(RequestTarget);
}

HttpRequest fromBeast(http::request<http::string_body> Message) {
  HttpRequest Request;
  Request.m_Method = std::string(Message.method_string());
  splitRequestTarget(std::string(Message.target()), Request);
  for (const auto &Field : Message)
    Request.m_Headers[boost::algorithm::to_lower_copy(
        std::string(Field.name_string()))] = std::string(Field.value());
  Request.m_Body = std::move(Message.body());
  return Request;
}

std::uint64_t
findNumber(const std::map<std::string, std::string, std::less<>> &Fields,
           std::string_view Name, std::uint64_t Default) {
  const auto Found = Fields.find(Name);
  return Found == Fields.end() ? Default
                               : parseNumberOr(Found->second, Default);
}

class Session;

// State shared by the sessions of one server.
struct SharedState {
  HttpHandler m_Handler;
  HttpServerOptions m_Options;
  ConnectionCounters m_Counters;
  std::set<Session *> m_Sessions;
  bool m_CloseAfterReply = false;
};

// One connection. Every pending operation holds a reference, so the session is
// destroyed after its last operation.
class Session : public Exchange, public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, std::shared_ptr<SharedState> State)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Shared(std::move(State)) {
    m_Shared->m_Sessions.insert(this);
    ConnectionCounters &Counters = m_Shared->m_Counters;
    Counters.m_MaxOpen = std::max(Counters.m_MaxOpen, ++Counters.m_Open);
  }

  ~Session() override {
    m_Shared->m_Sessions.erase(this);
    --m_Shared->m_Counters.m_Open;
  }

  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void start() {
    if (m_Shared->m_Options.m_ConnectCost.count() == 0) {
      read();
      return;
    }
    m_Timer.expires_after(m_Shared->m_Options.m_ConnectCost);
    m_Timer.async_wait(
        [Self = shared_from_this()](const error_code &) { Self->read(); });
  }

  void reply(HttpReply Reply) override {
    if (!m_RequestInProgress)
      return;
    prepare(std::move(Reply));
    const bool Close = m_Response.need_eof() || m_Shared->m_CloseAfterReply;
    http::async_write(m_Socket, m_Response,
                      [Self = shared_from_this(),
                       Close](const error_code &Fault, std::size_t) {
                        Self->m_RequestInProgress = false;
                        if (Fault || Close)
                          Self->close();
                        else
                          Self->read();
                      });
  }

  void replyHalfAndReset(HttpReply Reply) override {
    if (!m_RequestInProgress)
      return;
    prepare(std::move(Reply));
    std::ostringstream Text;
    Text << m_Response;
    m_HalfText = Text.str();
    m_HalfText.resize(m_HalfText.size() - (m_Response.body().size() + 1) / 2);
    asio::async_write(
        m_Socket, asio::buffer(m_HalfText),
        [Self = shared_from_this()](const error_code &, std::size_t) {
          Self->m_RequestInProgress = false;
          Self->reset();
        });
  }

  void drop() override {
    m_RequestInProgress = false;
    close();
  }

  bool isCallerDisconnected() const override { return m_CallerDisconnected; }

  void onCallerDisconnected(std::function<void()> Action) override {
    m_OnCallerDisconnected = std::move(Action);
  }

  bool isIdle() const { return m_AwaitingRequest && m_Buffer.size() == 0; }

  void close() {
    error_code Ignored;
    m_Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    m_Socket.close(Ignored);
  }

  void reset() {
    error_code Ignored;
    m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Socket.close(Ignored);
  }

private:
  void read() {
    m_Parser.emplace();
    m_Parser->body_limit(MaxBodyBytes);
    m_AwaitingRequest = true;
    http::async_read(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          Self->m_AwaitingRequest = false;
          if (Fault)
            Self->close();
          else
            Self->handle();
        });
  }

  void handle() {
    m_RequestInProgress = true;
    m_KeepAlive = m_Parser->get().keep_alive();
    m_HttpVersion = m_Parser->get().version();
    watchForDisconnect();
    m_Shared->m_Handler(fromBeast(m_Parser->release()), shared_from_this());
  }

  // A read event without available bytes means that the caller has closed the
  // connection.
  void watchForDisconnect() {
    m_Socket.async_wait(tcp::socket::wait_read,
                        [Self = shared_from_this()](const error_code &Fault) {
                          if (!Fault)
                            Self->onReadable();
                        });
  }

  void onReadable() {
    error_code Ignored;
    if (!m_RequestInProgress || m_Socket.available(Ignored) > 0)
      return;
    m_CallerDisconnected = true;
    const auto Action = std::exchange(m_OnCallerDisconnected, nullptr);
    if (Action)
      Action();
  }

  void prepare(HttpReply Reply) {
    error_code Ignored;
    m_Socket.cancel(Ignored);
    m_OnCallerDisconnected = nullptr;
    m_Response = {};
    m_Response.version(m_HttpVersion);
    m_Response.result(Reply.m_Status);
    m_Response.keep_alive(m_KeepAlive);
    m_Response.set(http::field::content_type, Reply.m_ContentType);
    m_Response.body() = std::move(Reply.m_Body);
    m_Response.prepare_payload();
  }

  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::shared_ptr<SharedState> m_Shared;
  boost::beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  http::response<http::string_body> m_Response;
  std::string m_HalfText;
  std::function<void()> m_OnCallerDisconnected;
  unsigned m_HttpVersion = 11;
  bool m_KeepAlive = true;
  bool m_AwaitingRequest = false;
  bool m_RequestInProgress = false;
  bool m_CallerDisconnected = false;
};

tcp::acceptor listen(asio::io_context &Context, const std::string &Address) {
  const tcp::endpoint Endpoint = parseEndpoint(Address);
  tcp::acceptor Acceptor(Context);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(asio::socket_base::reuse_address(true));
  error_code Fault;
  Acceptor.bind(Endpoint, Fault);
  if (Fault)
    throw core::Error(core::ErrorKind::AddressInUse,
                      "can't bind " + Address + ": " + Fault.message(),
                      "choose another address");
  Acceptor.listen(asio::socket_base::max_listen_connections);
  return Acceptor;
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Context, const std::string &Address)
      : m_Acceptor(listen(Context, Address)) {}

  void accept() {
    m_Acceptor.async_accept([Self = shared_from_this()](const error_code &Fault,
                                                        tcp::socket Socket) {
      if (Fault == asio::error::operation_aborted)
        return;
      if (!Fault)
        Self->admit(std::move(Socket));
      Self->accept();
    });
  }

  void admit(tcp::socket Socket) {
    ConnectionCounters &Counters = m_Shared->m_Counters;
    ++Counters.m_Accepted;
    error_code Ignored;
    if (Counters.m_Open >= m_Shared->m_Options.m_MaxConnections) {
      ++Counters.m_Refused;
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      return;
    }
    Socket.set_option(tcp::no_delay(true), Ignored);
    std::make_shared<Session>(std::move(Socket), m_Shared)->start();
  }

  tcp::acceptor m_Acceptor;
  std::shared_ptr<SharedState> m_Shared = std::make_shared<SharedState>();
};

std::string HttpRequest::header(std::string_view Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? "" : Found->second;
}

std::uint64_t HttpRequest::headerNumber(std::string_view Name,
                                        std::uint64_t Default) const {
  return findNumber(m_Headers, Name, Default);
}

std::uint64_t HttpRequest::queryNumber(std::string_view Name,
                                       std::uint64_t Default) const {
  return findNumber(m_Query, Name, Default);
}

HttpServer::HttpServer(asio::io_context &Context, const std::string &Address,
                       HttpHandler Handler, const HttpServerOptions &Options)
    : m_State(std::make_shared<State>(Context, Address)) {
  m_State->m_Shared->m_Handler = std::move(Handler);
  m_State->m_Shared->m_Options = Options;
  m_State->accept();
}

HttpServer::~HttpServer() {
  error_code Ignored;
  m_State->m_Acceptor.close(Ignored);
}

void HttpServer::closeIdle() {
  const std::set<Session *> Sessions = m_State->m_Shared->m_Sessions;
  for (Session *Each : Sessions) {
    if (Each->isIdle())
      Each->close();
  }
}

void HttpServer::setCloseAfterReply(bool Enabled) {
  m_State->m_Shared->m_CloseAfterReply = Enabled;
}

const ConnectionCounters &HttpServer::counters() const {
  return m_State->m_Shared->m_Counters;
}

} // namespace dandelionfall::standin
