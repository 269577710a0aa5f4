/// \file
/// An exchange for unit tests that records its response.
#ifndef DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H
#define DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H

#include "standin/http_server.h"

#include <string>
#include <utility>

namespace dandelionfall::standin {

/// How an exchange was finished. `Reset` stands for `replyHalfAndReset`.
enum class FakeOutcome : std::uint8_t { None, Reply, Reset, Drop };

/// Records how one request was finished and lets the test disconnect the
/// caller.
class FakeExchange : public Exchange {
public:
  void reply(HttpReply Reply) override { finish(FakeOutcome::Reply, Reply); }
  void replyHalfAndReset(HttpReply Reply) override {
    finish(FakeOutcome::Reset, Reply);
  }
  void drop() override { finish(FakeOutcome::Drop, {0, "", ""}); }
  bool isCallerDisconnected() const override { return m_CallerDisconnected; }
  void onCallerDisconnected(std::function<void()> Action) override {
    m_OnCallerDisconnected = std::move(Action);
  }

  /// Simulates that the caller closes the connection.
  void disconnectCaller() {
    m_CallerDisconnected = true;
    const auto Action = std::exchange(m_OnCallerDisconnected, nullptr);
    if (Action)
      Action();
  }

  FakeOutcome m_Outcome = FakeOutcome::None;
  int m_FinishCount = 0;
  HttpReply m_Reply;

private:
  void finish(FakeOutcome Outcome, const HttpReply &Reply) {
    m_Outcome = Outcome;
    m_Reply = Reply;
    ++m_FinishCount;
  }

  bool m_CallerDisconnected = false;
  std::function<void()> m_OnCallerDisconnected;
};

using FakeExchangePtr = std::shared_ptr<FakeExchange>;

/// Passes an admin request to its handler.
/// \param Handle called with the request and the exchange.
/// \returns the exchange.
template <typename Handler>
FakeExchangePtr callAdmin(const std::string &Method, const std::string &Path,
                          const std::string &Body, Handler Handle) {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Body = Body;
  auto Result = std::make_shared<FakeExchange>();
  Handle(Request, Result);
  return Result;
}

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H
