/// \file
/// Carries out what the configuration distribution decides. Lives on the
/// control thread.
#ifndef DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H
#define DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H

#include "app/node/blackboard.h"
#include "dandelionfall/core/distribution.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dandelionfall::app {

/// Runs the distribution over real connections. All calls must come from the
/// context's one thread.
class ControlDriver {
public:
  /// \param Context the context to run on; must outlive the driver.
  /// \param Board the node's shared state; must outlive the driver.
  /// \param Applied called after a version was put on the blackboard.
  ControlDriver(boost::asio::io_context &Context, Blackboard &Board,
                std::function<void()> Applied);
  ~ControlDriver();
  ControlDriver(const ControlDriver &) = delete;
  ControlDriver &operator=(const ControlDriver &) = delete;

  /// Begins to look for a configuration.
  void start();
  /// Takes over a control link that another node opened.
  void onInboundLink(boost::asio::ip::tcp::socket Socket);
  /// Takes the sightings that wait on the blackboard.
  void onVersionsSeen();
  /// Tells the peers that the node leaves.
  void startDrain();
  /// \returns the state for status pages.
  core::DistributionStatus status() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H
