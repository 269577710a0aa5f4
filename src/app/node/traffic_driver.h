/// \file
/// Performs the commands of ingress and gate. Runs on the traffic thread.
#ifndef DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H
#define DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H

#include "app/node/blackboard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dandelionfall::app {

/// Notifications from the traffic driver to the rest of the node, called on the
/// traffic thread.
struct TrafficDriverHandlers {
  /// An entry was added to Blackboard::m_PeerVersions.
  std::function<void()> m_VersionSeen;
  /// A planned stop has finished: the linger time is over, all admitted
  /// requests have finished, and all responses to callers are written.
  std::function<void()> m_Drained;
};

/// Connects core::Ingress and core::Gate to callers, the local target, network
/// links and the clock. All calls must be made on the only thread that runs the
/// context.
class TrafficDriver {
public:
  /// Binds the address for callers.
  /// \param Context the context to run on; must outlive the driver.
  /// \param Board the node's shared state; must outlive the driver.
  /// \param Handlers the notifications.
  /// \throws Error of kind AddressInUse if the address for callers is taken.
  TrafficDriver(boost::asio::io_context &Context, Blackboard &Board,
                TrafficDriverHandlers Handlers);
  ~TrafficDriver();
  TrafficDriver(const TrafficDriver &) = delete;
  TrafficDriver &operator=(const TrafficDriver &) = delete;

  /// Applies the configuration version and the host list in the Blackboard.
  void onConfiguration();
  /// Accepts a traffic link that another node opened.
  void onInboundLink(boost::asio::ip::tcp::socket Socket);
  /// Starts a planned stop: the gate refuses new requests, callers are served
  /// for the linger time, and admitted requests are finished.
  void startDrain();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H
