/// \file
/// Implementation class of the traffic driver. traffic_driver.cpp handles
/// events; traffic_commands.cpp performs the commands of ingress and gate.
#ifndef DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_IMPL_H
#define DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_IMPL_H

#include "app/node/answer_offers.h"
#include "app/node/answer_pulls.h"
#include "app/node/link_watch.h"
#include "app/node/traffic_driver.h"
#include "app/node/wake_up_timer.h"
#include "dandelionfall/core/gate.h"
#include "dandelionfall/core/ingress.h"
#include "dandelionfall/net/http_client.h"
#include "dandelionfall/net/http_server.h"
#include "dandelionfall/net/link.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dandelionfall::app {

class TrafficDriver::Impl
    : public std::enable_shared_from_this<TrafficDriver::Impl> {
public:
  Impl(boost::asio::io_context &Context, Blackboard &Board,
       TrafficDriverHandlers Handlers);

  void onConfiguration();
  void onInboundLink(boost::asio::ip::tcp::socket Socket);
  void startDrain();

private:
  using LinkId = core::LinkId;
  using TimePoint = core::TimePoint;
  using LinkPtr = std::shared_ptr<net::Link>;

  void startServer();
  void onCall(core::CallId Call, std::shared_ptr<core::HttpRequest> Request);
  /// \returns whether the route in force lets the request be begun before
  /// earlier ones of its connection are answered.
  bool mayRunBeside(const core::HttpRequest &Request) const;
  /// \returns the response to a request whose body is not read for want of
  /// memory.
  core::HttpResponse refuseForRoom(const core::HttpRequest &Header);
  /// Reserves the bytes of a request from another node, or marks it.
  void reserveBody(core::Dispatch &Message);
  bool refuseIfBodyTooLarge(core::CallId Call,
                            const core::HttpRequest &Request);
  /// \param CallerId the caller's id of the request; empty if it is unknown.
  void reportCallerError(const std::string &Fault,
                         const std::string &CallerId = "");
  void onCallerDisconnected(core::CallId Call);
  void onFrame(LinkId Link, bool Inbound, std::string_view Bytes);
  /// \returns whether the message was for the driver itself.
  bool handleAsGate(LinkId Link, core::TrafficMessage &Message);
  bool handleAsIngress(LinkId Link, core::TrafficMessage &Message);
  void sendOffered(LinkId Link, const core::RequestId &Id);
  void pullAnswer(LinkId Link, const core::RequestId &Id);
  void removeOldOffers();
  void onLinkClosed(LinkId Link, bool Inbound, const std::string &Reason);
  void onTimer();
  void applyCallerLimits();
  void stopAcceptingCalls();
  void finishDrainIfDone();
  void waitForLastWrites();
  void waitForCallers();
  void pollDrain(void (Impl::*Next)());
  void closeSilentLinks();

  void performCommands();
  void performPending();
  void spreadEvidence();
  void spreadLeavingTargets();
  void publishLoad();
  /// Passes the latest proof of the control thread to the ingress.
  void refreshProof();
  void publishZoneTraffic();
  std::string peerAddressOf(LinkId Inbound) const;

  // One overload for each command type. Ingress and gate share some types but
  // have separate links.
  void perform(const core::OpenTrafficLink &Command);
  void perform(const core::AnswerCaller &Command);
  void perform(const core::NewerVersionSeen &Command);
  void perform(const core::PeerVersionSeen &Command);
  void perform(const core::StartTarget &Command);
  void perform(const core::CancelTarget &Command);
  void perform(const core::CheckTarget &Command);
  void perform(const core::GateDrained &Command);
  void perform(const core::Event &Command);
  void performIngress(const core::IngressCommand &Command);
  void performGate(const core::GateCommand &Command);
  template <typename Command> void performOther(const Command &Any);
  void sendAsIngress(const core::SendTraffic &Command);
  void sendAsGate(const core::SendTraffic &Command);
  void closeAsIngress(LinkId Link);
  void sendToIngress(LinkId Link, const core::TrafficMessage &Message,
                     std::shared_ptr<const void> Content = nullptr);
  void closeAsGate(LinkId Link);
  void openLocalLink(LinkId Link);
  void onTargetResult(const core::StartTarget &Started, TimePoint StartedAt,
                      const net::HttpResult &Result);
  void onUnsendable(const core::RequestId &Id, const std::string &Fault,
                    TimePoint Now);
  void onTargetResponse(const core::StartTarget &Started,
                        const core::HttpResponsePtr &Response, TimePoint Now);
  void recordStatement(const core::StartTarget &Started,
                       const core::HttpResponse &Response, TimePoint Now);
  std::string encode(const core::TrafficMessage &Message);

  boost::asio::io_context &m_Context;
  Blackboard &m_Board;
  TrafficDriverHandlers m_Handlers;
  core::ConfigurationPtr m_Configuration;
  std::shared_ptr<const core::FreshnessProof> m_Proof;
  std::shared_ptr<core::Quarantine> m_Quarantine;
  std::shared_ptr<core::LeavingTargets> m_LeavingTargets;
  core::Ingress m_Ingress;
  core::ZoneTrafficCounts m_PublishedZoneTraffic;
  core::Gate m_Gate;
  AnswerOffers m_Offers;
  AnswerPulls m_Pulls;
  std::optional<net::HttpServer> m_Server;
  std::optional<net::HttpClient> m_Target;
  WakeUpTimer m_Timer;
  boost::asio::steady_timer m_DrainTimer;
  /// End of the process, if the grace time is known.
  std::optional<core::TimePoint> m_DrainEnd;
  boost::asio::steady_timer m_SilentLinkTimer;
  LinkWatch m_LinkWatch;
  std::unordered_map<LinkId, LinkPtr> m_OutboundLinks;
  std::unordered_map<LinkId, LinkPtr> m_InboundLinks;
  /// Hosts named in the hello messages on inbound links.
  std::unordered_map<LinkId, std::string> m_InboundHosts;
  /// Remote IP addresses of inbound links.
  std::unordered_map<LinkId, std::string> m_InboundIps;
  /// Links between this node's ingress and its own gate, which use no
  /// connection: link ids of the ingress and of the gate, in both directions.
  std::unordered_map<LinkId, LinkId> m_LocalToGate;
  std::unordered_map<LinkId, LinkId> m_LocalToIngress;
  std::unordered_map<core::RequestId, net::ExchangeId> m_Exchanges;
  std::unordered_map<core::CallId, TimePoint> m_CallStarts;
  LinkId m_LastInboundLink = 0;
  bool m_Performing = false;
  /// A planned stop has started; callers are served until `m_RefusesCalls`.
  bool m_Draining = false;
  bool m_RefusesCalls = false;
  bool m_GateDrained = false;
  bool m_DrainReported = false;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_IMPL_H
