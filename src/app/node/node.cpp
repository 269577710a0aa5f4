#include "dandelionfall/app/node.h"

#include "app/node/context_runner.h"
#include "app/node/control_driver.h"
#include "app/node/operator_pages.h"
#include "app/node/registry_driver.h"
#include "app/node/traffic_driver.h"
#include "dandelionfall/app/logging.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/http_server.h"
#include "dandelionfall/net/link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace dandelionfall::app {

namespace {

using boost::asio::ip::tcp;

// Exit code after a second signal during a planned stop.
constexpr int ImmediateStopExitCode = 10;
// Time for the planned stop after a thread's failure, unless the settings state
// a grace time. The failure may have lost what the stop waits for.
constexpr core::Duration FailedStopTime = std::chrono::seconds(10);

core::Incarnation drawIncarnation() {
  std::random_device Device;
  const auto Draw = [&Device] {
    const std::uint64_t High = Device();
    return (High << 32U) | Device();
  };
  return {Draw(), Draw()};
}

/// One node. The thread that calls `run` is the control thread; the node starts
/// the traffic thread.
class Node {
public:
  Node(const Settings &Config, const std::string &SettingsFile)
      : m_Board(Config, drawIncarnation()),
        m_Signals(m_ControlContext, SIGTERM, SIGINT),
        m_HangUpSignal(m_ControlContext, SIGHUP),
        m_FailedStopTimer(m_ControlContext), m_SettingsFile(SettingsFile),
        m_Control(makeControlPlane()),
        m_Traffic(m_TrafficContext, m_Board, trafficHandlers()),
        m_Listener(m_TrafficContext, Config.m_LinkAddress,
                   [this](net::LinkKind Kind, tcp::socket Socket) {
                     onInboundLink(Kind, std::move(Socket));
                   }) {
    startOperatorServer();
  }

  /// \returns the exit code.
  int run() {
    m_Board.m_Events.record({core::EventId::ProcessStarted,
                             "incarnation=" + toString(m_Board.m_Incarnation)});
    waitForSignal();
    waitForHangUp();
    const auto TrafficWork = boost::asio::make_work_guard(m_TrafficContext);
    std::thread TrafficThread(
        [this] { runThread("traffic", m_TrafficContext); });
    boost::asio::post(m_ControlContext, [this] { m_Control->start(); });
    const auto ControlWork = boost::asio::make_work_guard(m_ControlContext);
    runThread("control", m_ControlContext);
    m_TrafficContext.stop();
    TrafficThread.join();
    if (m_ThreadFailed)
      return core::describe(core::ErrorKind::Internal).m_ExitCode;
    if (m_StoppedImmediately)
      return ImmediateStopExitCode;
    m_Board.m_Events.record({core::EventId::DrainFinished, ""});
    return 0;
  }

private:
  TrafficDriverHandlers trafficHandlers() {
    TrafficDriverHandlers Handlers;
    Handlers.m_VersionSeen = [this] {
      boost::asio::post(m_ControlContext,
                        [this] { m_Control->onVersionsSeen(); });
    };
    Handlers.m_Drained = [this] { m_ControlContext.stop(); };
    return Handlers;
  }

  void runThread(const std::string &Name, boost::asio::io_context &Context) {
    runContext(Context, [this, &Name](const std::string &Thrown) {
      m_Board.m_Events.record(
          {core::EventId::ThreadFailed,
           "thread=" + Name + " thrown=\"" + Thrown + "\""});
      boost::asio::post(m_ControlContext, [this] { stopAfterFailure(); });
    });
  }

  // What the handler has left half done is unknown, and could run a request
  // twice. A planned stop still answers the other callers.
  void stopAfterFailure() {
    if (m_ThreadFailed)
      return;
    m_ThreadFailed = true;
    const core::Duration Grace = m_Board.m_Settings.m_Grace;
    m_FailedStopTimer.expires_after(Grace > core::Duration{0} ? Grace
                                                              : FailedStopTime);
    m_FailedStopTimer.async_wait([this](boost::system::error_code Code) {
      if (!Code)
        stopImmediately();
    });
    if (!m_Board.m_Draining.load())
      startDrain();
  }

  void startOperatorServer() {
    net::HttpServerOptions Options;
    Options.m_Address = m_Board.m_Settings.m_OperatorAddress;
    net::HttpServerHandlers Handlers;
    Handlers.m_Request = [this](core::CallId Call,
                                const core::HttpRequestPtr &Request) {
      m_OperatorServer->respond(
          Call, makeOperatorPage(*Request, m_Board, m_Control->status()));
    };
    Handlers.m_Unsendable = [this](core::CallId, const std::string &Fault) {
      m_Board.m_Events.record({core::EventId::MessageUnsendable,
                               "operator_page fault=\"" + Fault + "\""});
    };
    m_OperatorServer.emplace(m_ControlContext, Options, std::move(Handlers));
  }

  void notifyTraffic() {
    boost::asio::post(m_TrafficContext,
                      [this] { m_Traffic.onConfiguration(); });
  }

  void onInboundLink(net::LinkKind Kind, tcp::socket Socket) {
    if (Kind == net::LinkKind::Traffic)
      return m_Traffic.onInboundLink(std::move(Socket));
    // A socket can't change its context, so the connection's handle is moved to
    // a new socket in the control thread's context.
    boost::system::error_code Code;
    const auto Local = Socket.local_endpoint(Code);
    if (Code)
      return reportLostLink(Code);
    const auto Handle = Socket.release(Code);
    if (Code)
      return reportLostLink(Code);
    boost::asio::post(m_ControlContext,
                      [this, Protocol = Local.protocol(), Handle] {
                        adoptControlLink(Protocol, Handle);
                      });
  }

  void adoptControlLink(const tcp &Protocol, int Handle) {
    tcp::socket Socket(m_ControlContext);
    boost::system::error_code Code;
    Socket.assign(Protocol, Handle, Code);
    if (Code) {
      ::close(Handle);
      return reportLostLink(Code);
    }
    m_Control->onInboundLink(std::move(Socket));
  }

  void reportLostLink(boost::system::error_code Code) {
    m_Board.m_Events.record({core::EventId::ControlLinkClosed,
                             "inbound=yes cause=\"" + Code.message() + "\""});
  }

  void waitForSignal() {
    m_Signals.async_wait([this](boost::system::error_code Code, int) {
      if (Code)
        return;
      if (m_Board.m_Draining.load())
        return stopImmediately();
      startDrain();
      waitForSignal();
    });
  }

  std::unique_ptr<ControlPlane> makeControlPlane() {
    auto OnApplied = [this] { notifyTraffic(); };
    if (m_Board.m_Settings.m_SourceProtocol == SourceProtocol::Store)
      return std::make_unique<RegistryDriver>(m_ControlContext, m_Board,
                                              std::move(OnApplied));
    return std::make_unique<ControlDriver>(m_ControlContext, m_Board,
                                           std::move(OnApplied));
  }

  void waitForHangUp() {
    m_HangUpSignal.async_wait([this](boost::system::error_code Code, int) {
      if (Code)
        return;
      reloadSettings();
      waitForHangUp();
    });
  }

  // Addresses and identity are fixed for the lifetime of the process. Only the
  // log level is changed without a restart.
  void reloadSettings() {
    try {
      const Settings NewSettings = readSettings(m_SettingsFile);
      setUpLogging(NewSettings.m_LogLevel);
      m_Board.m_StepEvents.store(areStepEventsEnabled(NewSettings));
      Settings WithOldLogLevel = NewSettings;
      WithOldLogLevel.m_LogLevel = m_Board.m_Settings.m_LogLevel;
      m_Board.m_Events.record(
          {core::EventId::SettingsRead,
           "log_level=" + NewSettings.m_LogLevel + " restart_needed=" +
               (WithOldLogLevel == m_Board.m_Settings ? "no" : "yes")});
    } catch (const core::Error &Fault) {
      m_Board.m_Events.record({core::EventId::SettingsRefused, Fault.what()});
    }
  }

  // Admitted requests are dropped, as in a crash; their callers see a closed
  // connection.
  void stopImmediately() {
    m_StoppedImmediately = true;
    m_ControlContext.stop();
  }

  void startDrain() {
    m_Board.m_Draining.store(true);
    m_Board.m_Events.record({core::EventId::DrainStarted, ""});
    boost::asio::post(m_TrafficContext, [this] { m_Traffic.startDrain(); });
    m_Control->startDrain();
  }

  boost::asio::io_context m_ControlContext{1};
  boost::asio::io_context m_TrafficContext{1};
  Blackboard m_Board;
  boost::asio::signal_set m_Signals;
  boost::asio::signal_set m_HangUpSignal;
  boost::asio::steady_timer m_FailedStopTimer;
  const std::string m_SettingsFile;
  std::unique_ptr<ControlPlane> m_Control;
  TrafficDriver m_Traffic;
  net::LinkListener m_Listener;
  std::optional<net::HttpServer> m_OperatorServer;
  bool m_StoppedImmediately = false;
  bool m_ThreadFailed = false;
};

} // namespace

int runNode(const Settings &Config, const std::string &SettingsFile) {
  Node Instance(Config, SettingsFile);
  const int Code = Instance.run();
  // All admitted requests are finished. Destructors would only free memory, and
  // the log library's wait for its threads may take longer than the time
  // allowed for a stop.
  std::_Exit(Code);
}

} // namespace dandelionfall::app
