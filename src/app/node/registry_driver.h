/// \file
/// Reads the platform's shared store and builds configuration versions from its
/// records. Runs on the control thread.
#ifndef DANDELIONFALL_SRC_APP_NODE_REGISTRY_DRIVER_H
#define DANDELIONFALL_SRC_APP_NODE_REGISTRY_DRIVER_H

#include "app/node/blackboard.h"
#include "app/node/control_plane.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace dandelionfall::app {

/// Connects core::StoreReplica to the store, network links and the clock. All
/// calls must be made on the control thread.
class RegistryDriver : public ControlPlane {
public:
  /// \param Context the context to run on; must outlive the driver.
  /// \param Board the node's shared state; must outlive the driver.
  /// \param OnApplied called after a version was stored in `Board`.
  RegistryDriver(boost::asio::io_context &Context, Blackboard &Board,
                 std::function<void()> OnApplied);
  ~RegistryDriver() override;

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

#endif // DANDELIONFALL_SRC_APP_NODE_REGISTRY_DRIVER_H
