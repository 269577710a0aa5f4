/// \file
/// An exchange that keeps what it was answered.
#ifndef DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H
#define DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H

#include "standin/http_server.h"

#include <string>
#include <utility>

namespace dandelionfall::standin {

/// How an exchange ended.
enum class FakeEnd : std::uint8_t { None, Reply, Half, Drop };

/// Records the end of one request; the caller leaves when the test says so.
class FakeExchange : public Exchange {
public:
  void reply(HttpReply Reply) override { end(FakeEnd::Reply, Reply); }
  void replyHalf(HttpReply Reply) override { end(FakeEnd::Half, Reply); }
  void drop() override { end(FakeEnd::Drop, {0, "", ""}); }
  bool isGone() const override { return m_Gone; }
  void onGone(std::function<void()> Action) override {
    m_OnGone = std::move(Action);
  }

  /// Closes the connection from the caller's side.
  void leave() {
    m_Gone = true;
    const auto Action = std::exchange(m_OnGone, nullptr);
    if (Action)
      Action();
  }

  FakeEnd m_End = FakeEnd::None;
  int m_Ends = 0;
  HttpReply m_Reply;

private:
  void end(FakeEnd End, const HttpReply &Reply) {
    m_End = End;
    m_Reply = Reply;
    ++m_Ends;
  }

  bool m_Gone = false;
  std::function<void()> m_OnGone;
};

using FakeExchangePtr = std::shared_ptr<FakeExchange>;

/// Makes a call of an admin address and hands it to what answers it.
/// \param Answer called with the request and the exchange.
/// \returns the exchange.
template <typename Handler>
FakeExchangePtr callAdmin(const std::string &Method, const std::string &Path,
                          const std::string &Body, Handler Answer) {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Body = Body;
  auto Result = std::make_shared<FakeExchange>();
  Answer(Request, Result);
  return Result;
}

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_FAKE_EXCHANGE_H
