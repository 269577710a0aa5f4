/// \file
/// Order of the responses on one connection.
#ifndef DANDELIONFALL_SRC_NET_ANSWER_QUEUE_H
#define DANDELIONFALL_SRC_NET_ANSWER_QUEUE_H

#include "dandelionfall/core/http_message.h"
#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"
#include "dandelionfall/net/pipeline_limits.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace dandelionfall::net {

/// Sums over all connections of a server.
struct PipelineTotals {
  /// Connections with a request whose response is not completely written.
  std::size_t m_BusyConnections = 0;
  /// Begun requests beyond the first of each connection.
  std::size_t m_Requests = 0;
  /// Bytes of responses that are not completely written.
  std::size_t m_Bytes = 0;
  /// Each connection closes after the last response that it owes.
  bool m_KeepAliveDisabled = false;
};

/// Requests of one connection from when they are begun until their responses
/// are written, in order. Decides which request may be begun, and which
/// response is the last. Pure bookkeeping without a socket.
class AnswerQueue {
public:
  /// A request that is begun.
  struct Request {
    core::CallId m_Call = 0;
    bool m_IsHead = false;
    /// Whether the caller lets the connection stay open after it.
    bool m_KeepAlive = true;
    /// Whether it may run beside others of its connection.
    bool m_MayRunBeside = false;
    /// Time from its last byte until it was begun.
    core::Duration m_Held{0};
  };

  /// A response to write now.
  struct Outgoing {
    core::CallId m_Call = 0;
    core::HttpResponse m_Response;
    bool m_IsHead = false;
    /// Whether the connection closes after it.
    bool m_Close = false;
  };

  /// \param Limits the bounds; must outlive the queue.
  /// \param Totals the sums that the queue contributes to; must outlive it.
  AnswerQueue(const PipelineLimits &Limits, PipelineTotals &Totals)
      : m_Limits(Limits), m_Totals(Totals) {}
  ~AnswerQueue() { cancel(); }
  AnswerQueue(const AnswerQueue &) = delete;
  AnswerQueue &operator=(const AnswerQueue &) = delete;

  /// \returns whether nothing is begun that is not completely answered.
  bool empty() const { return m_Entries.empty(); }
  /// \returns the number of requests without a response.
  std::size_t open() const { return m_Open; }

  /// \returns whether another request may be read, and begun if it may run
  /// beside others, before the present ones are answered.
  bool takesMore() const;
  /// \param MayRunBeside whether the request may run beside others.
  /// \returns whether a request may be begun now.
  bool mayBegin(bool MayRunBeside) const;
  /// Appends a request that is begun now; mayBegin() must hold.
  void begin(const Request &Begun);
  /// Appends a response without a request; the connection closes after it.
  void end(core::HttpResponse Last);

  /// Sets the response to a request.
  /// \param Content kept until the response is written or removed: an object
  /// whose lifetime stands for the memory of the response.
  /// \returns false if no request waits for it.
  bool answer(core::CallId Call, core::HttpResponse Response,
              std::shared_ptr<const void> Content = nullptr);
  /// \returns whether the first response is there and not yet taken.
  bool hasNext() const;
  /// Takes the first response; hasNext() must hold.
  Outgoing next();
  /// The response that was taken is completely written.
  void onWritten();

  /// Removes everything.
  /// \returns the calls without a response.
  std::vector<core::CallId> cancel();

  /// \returns the time for which a request was held before it was begun; 0 if
  /// it isn't in the queue.
  core::Duration timeHeld(core::CallId Call) const;

private:
  struct Entry {
    Request m_Request;
    std::optional<core::HttpResponse> m_Response = std::nullopt;
    std::shared_ptr<const void> m_Content = nullptr;
    std::size_t m_Bytes = 0;
    bool m_Answered = false;
  };

  void append(Entry Added);
  void removeFirst();
  void setResponse(Entry &Answered, core::HttpResponse Response);

  const PipelineLimits &m_Limits;
  PipelineTotals &m_Totals;
  std::deque<Entry> m_Entries;
  std::size_t m_Open = 0;
  std::size_t m_Bytes = 0;
  /// Nothing may be begun behind the last entry.
  bool m_Ended = false;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_ANSWER_QUEUE_H
