#include "net/http_server_impl.h"

#include "dandelionfall/net/address.h"
#include "net/http_session.h"

#include <utility>

namespace dandelionfall::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds SweepInterval{250};
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

HttpServer::Impl::Impl(boost::asio::io_context &Context,
                       HttpServerOptions Options, HttpServerHandlers Handlers)
    : m_Acceptor(listenAt(Context, Options.m_Address)), m_AcceptTimer(Context),
      m_SweepTimer(Context), m_Options(std::move(Options)),
      m_Handlers(std::move(Handlers)) {}

void HttpServer::Impl::start() {
  accept();
  sweep();
}

void HttpServer::Impl::stop() {
  error_code Ignored;
  m_Acceptor.close(Ignored);
  m_AcceptTimer.cancel();
  m_SweepTimer.cancel();
  m_Handlers.m_CallerDisconnected = nullptr;
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->close();
}

void HttpServer::Impl::startDrain() {
  m_Totals.m_KeepAliveDisabled = true;
  error_code Ignored;
  m_Acceptor.close(Ignored);
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->finishIfIdle();
}

void HttpServer::Impl::respond(core::CallId Call, core::HttpResponse Response,
                               std::shared_ptr<const void> Content) {
  const auto Found = m_Unanswered.find(Call);
  if (Found == m_Unanswered.end())
    return;
  const SessionPtr Waiting = Found->second;
  m_Unanswered.erase(Found);
  Waiting->answer(Call, std::move(Response), std::move(Content));
}

core::Duration HttpServer::Impl::timeHeld(core::CallId Call) const {
  const auto Found = m_Unanswered.find(Call);
  return Found == m_Unanswered.end() ? core::Duration{0}
                                     : Found->second->timeHeld(Call);
}

void HttpServer::Impl::accept() {
  m_Acceptor.async_accept(
      [Self = shared_from_this()](error_code Code, tcp::socket Socket) {
        Self->onAccepted(Code, std::move(Socket));
      });
}

void HttpServer::Impl::onAccepted(error_code Code, tcp::socket Socket) {
  if (!m_Acceptor.is_open())
    return;
  if (!Code && m_Sessions.size() < m_Options.m_MaxConnections) {
    auto NewSession =
        std::make_shared<Session>(shared_from_this(), std::move(Socket));
    m_Sessions.emplace(NewSession.get(), NewSession);
    NewSession->readOn();
  }
  if (!Code)
    return accept();
  m_AcceptTimer.expires_after(AcceptRetryDelay);
  m_AcceptTimer.async_wait([Self = shared_from_this()](error_code Failure) {
    if (!Failure)
      Self->accept();
  });
}

void HttpServer::Impl::sweep() {
  const auto Now = Clock::now();
  const auto Sessions = m_Sessions;
  for (const auto &[Key, Each] : Sessions)
    Each->checkTime(Now);
  m_SweepTimer.expires_after(SweepInterval);
  m_SweepTimer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code)
      Self->sweep();
  });
}

} // namespace dandelionfall::net
