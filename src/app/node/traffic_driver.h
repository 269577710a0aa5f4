/// \file
/// Carries out what ingress and gate decide. Lives on the traffic thread.
#ifndef DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H
#define DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H

#include "app/node/node_state.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dandelionfall::app {

/// What the traffic driver tells the rest of the node; called on the traffic
/// thread.
struct TrafficDriverHandlers {
  /// A sighting waits on the blackboard.
  std::function<void()> m_VersionSeen;
  /// Nothing admitted is left after `startDrain`.
  std::function<void()> m_Drained;
};

/// Runs ingress and gate over real connections. All calls must come from the
/// context's one thread.
class TrafficDriver {
public:
  /// Binds the callers' address.
  /// \param Context the context to run on; must outlive the driver.
  /// \param State the node's shared state; must outlive the driver.
  /// \param Handlers what to call.
  /// \throws Error of kind AddressInUse.
  TrafficDriver(boost::asio::io_context &Context, NodeState &State,
                TrafficDriverHandlers Handlers);
  ~TrafficDriver();
  TrafficDriver(const TrafficDriver &) = delete;
  TrafficDriver &operator=(const TrafficDriver &) = delete;

  /// Takes the version and the host list on the blackboard into force.
  void onConfiguration();
  /// Takes over a traffic link that another node opened.
  void onInboundLink(boost::asio::ip::tcp::socket Socket);
  /// Refuses new work and finishes what is admitted.
  void startDrain();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_TRAFFIC_DRIVER_H
