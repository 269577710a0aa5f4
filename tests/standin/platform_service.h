/// \file
/// The read and watch calls of the platform stand-in, and the faults that tests
/// can inject.
#ifndef DANDELIONFALL_STANDIN_PLATFORM_SERVICE_H
#define DANDELIONFALL_STANDIN_PLATFORM_SERVICE_H

#include "standin/call_counter.h"
#include "standin/http_server.h"
#include "standin/published_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace dandelionfall::standin {

/// The fault that the platform currently simulates.
enum class PlatformMode : std::uint8_t {
  Ok,
  Down,          ///< Closes connections without a response.
  Stale,         ///< Serves one fixed version and host list.
  Crossing,      ///< Serves one manifest of the previous version, then is ok.
  CrossingParts, ///< Serves one part of the previous version, then is ok.
  Truncated,     ///< Sends only the first half of each value.
  Cut,           ///< Announces the full length, sends half and resets.
};

/// Serves reads and watches of the published values.
class PlatformService {
public:
  /// \param Context runs its timers; must outlive it.
  explicit PlatformService(boost::asio::io_context &Context);

  /// \returns the published values; call `wakeWatches` after changing them.
  PublishedStore &store() { return m_Store; }

  /// Handles a reader's request.
  /// \param Exchange the exchange that receives the response.
  void handle(const HttpRequest &Request, const ExchangePtr &Exchange);

  /// Sets the fault to simulate.
  /// \param Text the mode's name and argument, as listed in
  /// platform_standin.cpp.
  /// \returns false if the mode or its argument is invalid.
  bool setMode(const std::string &Text);

  /// Completes every watch whose value has a number above its `after`.
  void wakeWatches();

  std::string countersJson() const;

  void resetCounters() { m_Counter = {}; }

private:
  // A readable value with its version or revision.
  struct Value {
    std::uint64_t m_Number;
    std::string m_Text;
  };
  struct Watch {
    Value (PlatformService::*m_Read)(std::uint64_t After);
    std::uint64_t m_After;
    ExchangePtr m_Exchange;
    boost::asio::steady_timer m_Timer;
  };
  // A path that can be read and watched, and the function that reads it.
  struct Resource;
  static const Resource Resources[];

  Value readManifestValue(std::uint64_t After);
  Value readHostsValue(std::uint64_t After);
  const SnapshotPtr &visibleSnapshot() const;
  const HostList &visibleHosts() const;
  void handleValue(const Resource &Requested, const HttpRequest &Request,
                   const ExchangePtr &Exchange);
  void handlePart(const std::string &Name, const ExchangePtr &Exchange);
  void addWatch(const Resource &Requested, std::uint64_t After,
                std::chrono::milliseconds Wait, const ExchangePtr &Exchange);
  void send(const ExchangePtr &Exchange, HttpReply Result);
  void sendNow(const ExchangePtr &Exchange, HttpReply Result);
  void dropWatches();

  boost::asio::io_context &m_Context;
  PublishedStore m_Store;
  CallCounter m_Counter;
  PlatformMode m_Mode = PlatformMode::Ok;
  std::chrono::milliseconds m_ResponseDelay{0};
  SnapshotPtr m_Frozen;
  HostList m_FrozenHosts;
  std::uint64_t m_LastWatchId = 0;
  std::map<std::uint64_t, Watch> m_Watches;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PLATFORM_SERVICE_H
