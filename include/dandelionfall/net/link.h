/// \file
/// A TCP connection between two nodes that carries frames both ways.
#ifndef DANDELIONFALL_NET_LINK_H
#define DANDELIONFALL_NET_LINK_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionfall::net {

/// What a link is for; the opener says so in the connection's first bytes.
enum class LinkKind : std::uint8_t { Traffic, Control };

/// What a link tells its owner. No handler is called from within a call of the
/// owner's.
struct LinkHandlers {
  /// The link can carry frames; only for links that this side opened.
  std::function<void()> m_Opened;
  /// A frame without its length; the view ends with the call.
  std::function<void(std::string_view)> m_Frame;
  /// The link is gone; called once, unless the owner closed it.
  std::function<void(const std::string &)> m_Closed;
};

/// One connection between two nodes. All calls must come from the context's one
/// thread.
class Link {
public:
  /// Bytes that may wait to be sent; a link whose peer reads too slowly for
  /// that is closed.
  static constexpr std::size_t MaxPendingBytes = 32U << 20U;

  /// Opens a link to another node.
  /// \param Context the context that the link belongs to.
  /// \param Address the node's link address.
  /// \param Kind what the link is for.
  /// \param Handlers what to call; released when the link closes.
  /// \param LocalAddress own address that the other node is to see, with any
  /// port; empty leaves it to the system. \returns the link; a failure is
  /// reported through the handlers.
  static std::shared_ptr<Link> open(boost::asio::io_context &Context,
                                    const std::string &Address, LinkKind Kind,
                                    LinkHandlers Handlers,
                                    const std::string &LocalAddress = "");

  /// Takes over an accepted connection whose first bytes were read.
  static std::shared_ptr<Link> adopt(boost::asio::ip::tcp::socket Socket,
                                     LinkHandlers Handlers);

  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Queues a frame; a link that is closed drops it.
  /// \param Frame the frame with its length.
  void send(std::string Frame);

  /// Sends what is queued, then closes. No handler is called any more.
  void close();

private:
  class Impl;
  explicit Link(std::shared_ptr<Impl> Implementation);
  std::shared_ptr<Impl> m_Impl;
};

/// Takes connections of other nodes and tells their kind.
class LinkListener {
public:
  using Handler = std::function<void(LinkKind, boost::asio::ip::tcp::socket)>;

  /// \param Context the context that the listener belongs to; must outlive it.
  /// \param Address the address to listen at.
  /// \param Accepted takes each connection after its first bytes.
  /// \throws Error of kind AddressInUse.
  LinkListener(boost::asio::io_context &Context, const std::string &Address,
               Handler Accepted);
  ~LinkListener();
  LinkListener(const LinkListener &) = delete;
  LinkListener &operator=(const LinkListener &) = delete;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_LINK_H
