/// \file
/// The calls that readers make of the platform stand-in, and the faults that a
/// test asks for.
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

/// The fault that the platform shows at the moment.
enum class PlatformMode : std::uint8_t {
  Ok,
  Down,          ///< Closes connections without an answer.
  Stale,         ///< Answers from one frozen version and host list.
  Crossing,      ///< Answers one manifest from the version before, then is ok.
  CrossingParts, ///< Answers one part from the version before, then is ok.
  Truncated,     ///< Answers the first half of each value.
  Cut,           ///< Announces each value whole, sends half and resets.
};

/// Answers reads and watches of the published values.
class PlatformService {
public:
  /// \param Context runs its timers; outlives it.
  explicit PlatformService(boost::asio::io_context &Context);

  /// \returns what is published; call `wakeWatches` after a change.
  PublishedStore &store() { return m_Store; }

  /// Takes a reader's request.
  /// \param Request the request.
  /// \param Reply where its answer goes.
  void handle(const HttpRequest &Request, const ExchangePtr &Reply);

  /// Sets the fault to show.
  /// \param Text the mode's name and argument, as in platform_standin.cpp.
  /// \returns false if there is no such mode.
  bool setMode(const std::string &Text);

  /// Answers every watch whose value is newer than it asked for.
  void wakeWatches();

  /// \returns the counters as JSON.
  std::string countersJson() const;

  /// Sets the counters to zero.
  void resetCounters() { m_Counter = {}; }

private:
  // What is read: a table of these is the list of calls.
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
  struct Resource;
  static const Resource Resources[];

  Value readManifestValue(std::uint64_t After);
  Value readHostsValue(std::uint64_t After);
  const SnapshotPtr &visibleSnapshot() const;
  const HostList &visibleHosts() const;
  void handleValue(const Resource &Requested, const HttpRequest &Request,
                   const ExchangePtr &Reply);
  void handlePart(const std::string &Name, const ExchangePtr &Reply);
  void addWatch(const Resource &Requested, std::uint64_t After,
                std::chrono::milliseconds Wait, const ExchangePtr &Reply);
  void send(const ExchangePtr &Reply, HttpReply Result);
  void sendNow(const ExchangePtr &Reply, HttpReply Result);
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
