#include "dandelionfall/net/link.h"

#include "dandelionfall/core/error.h"
#include "dandelionfall/net/address.h"
#include "dandelionfall/net/codec.h"
#include "net/link_preamble.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace dandelionfall::net {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadBufferBytes = 4096;
constexpr std::chrono::seconds ConnectTimeout{1};
constexpr std::chrono::seconds CloseTimeout{2};

} // namespace

struct QueuedFrame {
  std::string m_Bytes;
  std::shared_ptr<const void> m_Content;
};

class Link::Impl : public std::enable_shared_from_this<Link::Impl> {
public:
  Impl(tcp::socket Socket, LinkHandlers Handlers)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Handlers(std::move(Handlers)), m_Input(ReadBufferBytes) {}

  void connect(const std::string &Address, LinkKind Kind) {
    m_Queued.push_back({std::string(preambleFor(Kind)), nullptr});
    m_Pending = m_Queued.back().m_Bytes.size();
    startTimer(ConnectTimeout, "connection attempt timed out");
    try {
      m_Socket.async_connect(parseEndpoint(Address),
                             [Self = shared_from_this()](error_code Code) {
                               Self->onConnected(Code);
                             });
    } catch (const core::Error &Fault) {
      boost::asio::post(m_Socket.get_executor(),
                        [Self = shared_from_this(), Text = Fault.fault()] {
                          Self->fail(Text);
                        });
    }
  }

  void start() {
    m_Connected = true;
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
    read();
    write();
  }

  void send(std::string Frame, std::shared_ptr<const void> Content) {
    if (m_Closed)
      return;
    m_Pending += Frame.size();
    m_Queued.push_back({std::move(Frame), std::move(Content)});
    if (m_Pending > MaxPendingBytes) {
      boost::asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
        Self->fail("peer reads too slowly");
      });
      return;
    }
    write();
  }

  void close() {
    if (m_Closed)
      return;
    m_Closed = true;
    m_Handlers = {};
    if (!m_Connected || (m_Queued.empty() && m_Writing.empty()))
      return closeSocket();
    startTimer(CloseTimeout, "");
  }

private:
  void onConnected(error_code Code) {
    if (m_Closed)
      return closeSocket();
    if (Code)
      return fail(Code.message());
    m_Timer.cancel();
    start();
    if (m_Handlers.m_Opened)
      m_Handlers.m_Opened();
  }

  void startTimer(std::chrono::seconds Delay, const std::string &Reason) {
    m_Timer.expires_after(Delay);
    m_Timer.async_wait([Self = shared_from_this(), Reason](error_code Code) {
      if (!Code)
        Self->fail(Reason);
    });
  }

  void read() {
    if (m_Input.size() == m_InputSize)
      growInput();
    m_Socket.async_read_some(
        boost::asio::buffer(m_Input.data() + m_InputSize,
                            m_Input.size() - m_InputSize),
        [Self = shared_from_this()](error_code Code, std::size_t Count) {
          Self->onRead(Code, Count);
        });
  }

  // Grows only as bytes arrive, so that a length prefix alone allocates no
  // memory, and not beyond the first frame.
  void growInput() {
    const std::size_t FirstFrame =
        FrameHeaderBytes +
        decodeFrameLength({m_Input.data(), FrameHeaderBytes});
    m_Input.reserve(std::min(2 * m_Input.size(), FirstFrame));
    m_Input.resize(m_Input.capacity());
  }

  void onRead(error_code Code, std::size_t Count) {
    if (m_Closed)
      return;
    if (Code)
      return fail(Code.message());
    m_InputSize += Count;
    try {
      deliverFrames();
    } catch (const core::Error &Fault) {
      return fail(Fault.what());
    }
    if (!m_Closed)
      read();
  }

  void deliverFrames() {
    std::size_t Begin = 0;
    while (!m_Closed && m_InputSize - Begin >= FrameHeaderBytes) {
      const std::size_t Length =
          decodeFrameLength({m_Input.data() + Begin, FrameHeaderBytes});
      if (m_InputSize - Begin - FrameHeaderBytes < Length)
        break;
      // Copied, because the owner can close the link from within the handler,
      // which clears m_Handlers.
      const auto Handler = m_Handlers.m_Frame;
      Handler({m_Input.data() + Begin + FrameHeaderBytes, Length});
      Begin += FrameHeaderBytes + Length;
    }
    discardDelivered(Begin);
  }

  void discardDelivered(std::size_t Begin) {
    std::copy(m_Input.begin() + static_cast<std::ptrdiff_t>(Begin),
              m_Input.begin() + static_cast<std::ptrdiff_t>(m_InputSize),
              m_Input.begin());
    m_InputSize -= Begin;
    if (m_InputSize == 0 && m_Input.size() > ReadBufferBytes) {
      m_Input.resize(ReadBufferBytes);
      m_Input.shrink_to_fit();
    }
  }

  void write() {
    if (!m_Connected || !m_Writing.empty() || m_Queued.empty())
      return;
    m_Writing.swap(m_Queued);
    std::vector<boost::asio::const_buffer> Buffers;
    Buffers.reserve(m_Writing.size());
    for (const QueuedFrame &Frame : m_Writing)
      Buffers.emplace_back(Frame.m_Bytes.data(), Frame.m_Bytes.size());
    boost::asio::async_write(
        m_Socket, Buffers,
        [Self = shared_from_this()](error_code Code, std::size_t Count) {
          Self->onWritten(Code, Count);
        });
  }

  void onWritten(error_code Code, std::size_t Count) {
    m_Writing.clear();
    m_Pending -= std::min(m_Pending, Count);
    if (Code)
      return fail(Code.message());
    if (m_Closed && m_Queued.empty())
      return closeSocket();
    write();
  }

  void fail(const std::string &Reason) {
    if (m_Closed)
      return closeSocket();
    m_Closed = true;
    const auto Handlers = std::exchange(m_Handlers, {});
    closeSocket();
    if (Handlers.m_Closed)
      Handlers.m_Closed(Reason);
  }

  void closeSocket() {
    error_code Ignored;
    m_Timer.cancel();
    m_Socket.close(Ignored);
    m_Queued.clear();
  }

  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  LinkHandlers m_Handlers;
  std::vector<char> m_Input;
  std::size_t m_InputSize = 0;
  std::vector<QueuedFrame> m_Queued;
  std::vector<QueuedFrame> m_Writing;
  std::size_t m_Pending = 0;
  bool m_Connected = false;
  bool m_Closed = false;
};

Link::Link(std::shared_ptr<Impl> Implementation)
    : m_Impl(std::move(Implementation)) {}

Link::~Link() { m_Impl->close(); }

std::shared_ptr<Link> Link::open(boost::asio::io_context &Context,
                                 const std::string &Address, LinkKind Kind,
                                 LinkHandlers Handlers,
                                 const std::string &LocalAddress) {
  tcp::socket Socket(Context);
  if (!LocalAddress.empty()) {
    const auto Ip = parseEndpoint(LocalAddress).address();
    error_code Code;
    Socket.open(Ip.is_v6() ? tcp::v6() : tcp::v4(), Code);
    // If binding fails, the link still works; the other node then can't pull
    // records from this one until it receives the address.
    if (!Code)
      Socket.bind({Ip, 0}, Code);
  }
  auto Implementation =
      std::make_shared<Impl>(std::move(Socket), std::move(Handlers));
  Implementation->connect(Address, Kind);
  return std::shared_ptr<Link>(new Link(std::move(Implementation)));
}

std::shared_ptr<Link> Link::adopt(tcp::socket Socket, LinkHandlers Handlers) {
  auto Implementation =
      std::make_shared<Impl>(std::move(Socket), std::move(Handlers));
  Implementation->start();
  return std::shared_ptr<Link>(new Link(std::move(Implementation)));
}

void Link::send(std::string Frame, std::shared_ptr<const void> Content) {
  m_Impl->send(std::move(Frame), std::move(Content));
}

void Link::close() { m_Impl->close(); }

} // namespace dandelionfall::net
