#include "net/answer_queue.h"
#include "property_check.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace dandelionfall;
using net::AnswerQueue;

namespace {

constexpr net::PipelineLimits Limits{.m_MaxRequests = 3,
                                     .m_MaxBytes = 40,
                                     .m_MaxTotalRequests = 3,
                                     .m_MaxTotalBytes = 60};
constexpr std::size_t MaxDrawnBody = 30;

struct Drawn {
  bool m_KeepAlive = true;
  bool m_MayRunBeside = false;
  std::size_t m_BodyBytes = 0;
};

struct Written {
  core::CallId m_Call = 0;
  std::size_t m_BodyBytes = 0;
  bool m_Close = false;
  friend bool operator==(const Written &, const Written &) = default;
};

/// One connection that draws from a list of requests, numbered from 1.
class Connection {
public:
  Connection(const std::vector<Drawn> &Requests, net::PipelineTotals &Totals)
      : m_Requests(Requests), m_Totals(Totals), m_Queue(Limits, Totals) {}

  void begin() {
    if (m_Begun == m_Requests.size())
      return;
    const Drawn &Next = m_Requests[m_Begun];
    if (!m_Queue.mayBegin(Next.m_MayRunBeside))
      return;
    RC_ASSERT(!m_Closed);
    RC_ASSERT(m_Unwritten < Limits.m_MaxRequests);
    if (m_Unwritten > 0) {
      const Drawn &Last = m_Requests[m_Begun - 1];
      RC_ASSERT(Next.m_MayRunBeside);
      RC_ASSERT(Last.m_MayRunBeside);
      RC_ASSERT(Last.m_KeepAlive);
      RC_ASSERT(!m_Totals.m_KeepAliveDisabled);
    }
    m_Open.push_back(++m_Begun);
    ++m_Unwritten;
    m_Queue.begin({.m_Call = m_Begun,
                   .m_KeepAlive = Next.m_KeepAlive,
                   .m_MayRunBeside = Next.m_MayRunBeside});
  }

  void answer(std::size_t Which) {
    if (m_Open.empty())
      return;
    const auto Chosen =
        m_Open.begin() + static_cast<std::ptrdiff_t>(Which % m_Open.size());
    RC_ASSERT(m_Queue.answer(*Chosen, responseTo(*Chosen)));
    RC_ASSERT(!m_Queue.answer(*Chosen, responseTo(*Chosen)));
    m_Open.erase(Chosen);
  }

  void write() {
    if (m_IsWriting) {
      RC_ASSERT(!m_Queue.hasNext());
      m_Queue.onWritten();
      m_IsWriting = false;
      --m_Unwritten;
      if (m_Closed)
        RC_ASSERT(m_Queue.cancel().empty());
    } else if (m_Queue.hasNext()) {
      const AnswerQueue::Outgoing Next = m_Queue.next();
      RC_ASSERT(!m_Closed);
      m_Closed = Next.m_Close;
      m_IsWriting = true;
      m_Written.push_back(
          {Next.m_Call, Next.m_Response.m_Body.size(), Next.m_Close});
    }
    RC_ASSERT(m_Queue.empty() == (m_Unwritten == 0));
    RC_ASSERT(m_Queue.open() == m_Open.size());
  }

  void finish() {
    for (std::size_t Step = 0; Step < 4 * m_Requests.size() + 4; ++Step) {
      begin();
      answer(Step);
      write();
    }
    RC_ASSERT(m_Queue.empty());
  }

  /// \returns what serving one by one writes, if all was begun before a stop.
  std::vector<Written> servedOneByOne() const {
    std::vector<Written> Result;
    for (const Drawn &Each : m_Requests) {
      Result.push_back(
          {Result.size() + 1, Each.m_BodyBytes, !Each.m_KeepAlive});
      if (!Each.m_KeepAlive)
        break;
    }
    return Result;
  }

  const std::vector<Written> &written() const { return m_Written; }
  std::size_t unwritten() const { return m_Unwritten; }

private:
  core::HttpResponse responseTo(core::CallId Call) const {
    return {200, {}, std::string(m_Requests[Call - 1].m_BodyBytes, 'b')};
  }

  const std::vector<Drawn> &m_Requests;
  net::PipelineTotals &m_Totals;
  AnswerQueue m_Queue;
  std::vector<core::CallId> m_Open;
  std::vector<Written> m_Written;
  std::size_t m_Begun = 0;
  std::size_t m_Unwritten = 0;
  bool m_IsWriting = false;
  bool m_Closed = false;
};

std::vector<Drawn> drawRequests() {
  std::vector<Drawn> Result(*rc::gen::inRange<std::size_t>(0, 12));
  for (Drawn &Each : Result) {
    Each.m_KeepAlive = *rc::gen::inRange(0, 8) > 0;
    Each.m_MayRunBeside = *rc::gen::inRange(0, 4) > 0;
    Each.m_BodyBytes = *rc::gen::inRange<std::size_t>(0, MaxDrawnBody);
  }
  return Result;
}

void takeSteps(Connection &Left, Connection &Right,
               const net::PipelineTotals &Totals) {
  const auto Steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  for (const int Step : Steps) {
    Connection &Chosen = Step % 2 == 0 ? Left : Right;
    if (Step < 20)
      Chosen.begin();
    else if (Step < 40)
      Chosen.answer(static_cast<std::size_t>(Step));
    else
      Chosen.write();
    RC_ASSERT(Totals.m_Requests <= Limits.m_MaxTotalRequests);
    RC_ASSERT(Totals.m_BusyConnections ==
              std::size_t{Left.unwritten() > 0} +
                  std::size_t{Right.unwritten() > 0});
  }
}

} // namespace

TEST_CASE("two connections write what serving one by one writes") {
  CHECK(holds("answers in order", 400, [] {
    const auto First = drawRequests();
    const auto Second = drawRequests();
    net::PipelineTotals Totals;
    {
      Connection Left(First, Totals);
      Connection Right(Second, Totals);
      takeSteps(Left, Right, Totals);
      Left.finish();
      Right.finish();
      RC_ASSERT(Left.written() == Left.servedOneByOne());
      RC_ASSERT(Right.written() == Right.servedOneByOne());
    }
    RC_ASSERT(Totals.m_Bytes == 0U);
    RC_ASSERT(Totals.m_Requests == 0U);
    RC_ASSERT(Totals.m_BusyConnections == 0U);
  }));
}

TEST_CASE("a planned stop ends with the answer to what was begun last") {
  CHECK(holds("answers up to a stop", 400, [] {
    const auto Requests = drawRequests();
    const auto Others = drawRequests();
    net::PipelineTotals Totals;
    Connection Stopped(Requests, Totals);
    Connection Other(Others, Totals);
    takeSteps(Stopped, Other, Totals);
    Totals.m_KeepAliveDisabled = true;
    Stopped.finish();
    auto Expected = Stopped.servedOneByOne();
    const auto &Written = Stopped.written();
    RC_ASSERT(Written.size() <= Expected.size());
    Expected.resize(Written.size());
    if (!Written.empty())
      Expected.back().m_Close = Written.back().m_Close;
    RC_ASSERT(Written == Expected);
    if (Written.size() < Requests.size())
      RC_ASSERT(Written.back().m_Close);
  }));
}

TEST_CASE("a connection reads on up to each bound") {
  struct Row {
    const char *m_Name;
    net::PipelineLimits m_Limits;
    std::size_t m_BodyBytes;
    std::size_t m_Begun;
  };
  constexpr std::size_t None = 1000;
  const Row Rows[] = {
      {"requests", {4, None, None, None}, 10, 4},
      {"bytes", {None, 25, None, None}, 10, 4},
      {"requests of all", {None, None, 3, None}, 10, 4},
      {"bytes of all", {None, None, None, 25}, 10, 4},
      {"a large response", {None, 25, None, None}, 26, 2},
  };
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_Name);
    net::PipelineTotals Totals;
    AnswerQueue Queue(Each.m_Limits, Totals);
    core::CallId Call = 0;
    // The first stays without a response, so nothing can be written.
    while (Call < None && Queue.mayBegin(true)) {
      Queue.begin({.m_Call = ++Call, .m_MayRunBeside = true});
      if (Call > 1)
        Queue.answer(Call, {200, {}, std::string(Each.m_BodyBytes, 'b')});
    }
    CHECK(Call == Each.m_Begun);
    CHECK_FALSE(Queue.takesMore());
    CHECK(Queue.cancel() == std::vector<core::CallId>{1});
    CHECK(Totals.m_Bytes == 0);
    CHECK(Totals.m_Requests == 0);
  }
}
