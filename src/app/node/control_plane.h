/// \file
/// Interface of the component that obtains a node's configuration: targets,
/// routes and availability zones.
#ifndef DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H
#define DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H

#include "dandelionfall/core/distribution.h"

#include <boost/asio/ip/tcp.hpp>

namespace dandelionfall::app {

/// Obtains configuration versions and stores them in the Blackboard. All calls
/// must be made on the control thread.
class ControlPlane {
public:
  ControlPlane() = default;
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;
  virtual ~ControlPlane() = default;

  /// Starts to fetch a configuration.
  virtual void start() = 0;
  /// Accepts a control link that another node opened.
  virtual void onInboundLink(boost::asio::ip::tcp::socket Socket) = 0;
  /// Removes the entries of Blackboard::m_PeerVersions and handles them.
  virtual void onVersionsSeen() = 0;
  /// Announces the node's planned stop to its peers.
  virtual void startDrain() = 0;
  /// \returns the state shown on the operator pages.
  virtual core::DistributionStatus status() const = 0;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CONTROL_PLANE_H
