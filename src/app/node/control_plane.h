/// \file
/// How a node learns of targets, routes and availability zones.
#ifndef DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H
#define DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H

#include "dandelionfall/core/distribution.h"

#include <boost/asio/ip/tcp.hpp>

namespace dandelionfall::app {

/// Puts versions on the blackboard. All calls must come from the control
/// thread.
class ControlPlane {
public:
  ControlPlane() = default;
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;
  virtual ~ControlPlane() = default;

  /// Begins to look for a configuration.
  virtual void start() = 0;
  /// Takes over a control link that another node opened.
  virtual void onInboundLink(boost::asio::ip::tcp::socket Socket) = 0;
  /// Takes the sightings that wait on the blackboard.
  virtual void onVersionsSeen() = 0;
  /// Tells the peers that the node leaves.
  virtual void startDrain() = 0;
  /// \returns the state for status pages.
  virtual core::DistributionStatus status() const = 0;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H
