/// \file
/// Performs the commands of the configuration distribution. Runs on the control
/// thread.
#ifndef DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H
#define DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H

#include "app/node/blackboard.h"
#include "app/node/control_plane.h"
#include "dandelionfall/core/distribution.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dandelionfall::app {

/// Connects core::Distribution to network links, the source and the clock. All
/// calls must be made on the only thread that runs the context.
class ControlDriver : public ControlPlane {
public:
  /// \param Context the context to run on; must outlive the driver.
  /// \param Board the node's shared state; must outlive the driver.
  /// \param OnApplied called after a version or host list was stored in
  /// `Board`.
  ControlDriver(boost::asio::io_context &Context, Blackboard &Board,
                std::function<void()> OnApplied);
  ~ControlDriver() override;

  void start() override;
  void onInboundLink(boost::asio::ip::tcp::socket Socket) override;
  void onVersionsSeen() override;
  void startDrain() override;
  core::DistributionStatus status() const override;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_CONTROL_DRIVER_H
