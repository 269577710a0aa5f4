/// \file
/// A TCP connection between two nodes that carries frames in both directions.
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

/// Purpose of a link; the opener sends it in the preamble of the connection.
enum class LinkKind : std::uint8_t { Traffic, Control };

/// Callbacks of a link to its owner. None is called from within a member
/// function of the link.
struct LinkHandlers {
  /// The connection is established; only called for links opened by this side.
  std::function<void()> m_Opened;
  /// A frame without its length prefix; the view is valid during the call. A
  /// core::Error thrown by the handler closes the link.
  std::function<void(std::string_view)> m_Frame;
  /// The link failed or was closed by the peer; called at most once, and not
  /// after the owner's close().
  std::function<void(const std::string &)> m_Closed;
};

/// One connection between two nodes. Not thread-safe: all calls must be made on
/// the single thread that runs the context.
class Link {
public:
  /// Maximum number of unsent bytes. A link that exceeds it is closed, because
  /// its peer reads too slowly.
  static constexpr std::size_t MaxPendingBytes = 32U << 20U;

  /// Opens a link to another node.
  /// \param Context the context that the link belongs to.
  /// \param Address the link address of the other node.
  /// \param Handlers callbacks; released when the link closes.
  /// \param LocalAddress `IP:PORT`; the connection is bound to its IP address,
  /// so that the other node sees this address as the remote one. The port is
  /// ignored. If empty, the system chooses the address.
  /// \returns the link; a failure to connect is reported through the handlers.
  /// \throws Error of kind Usage if \p LocalAddress does not parse.
  static std::shared_ptr<Link> open(boost::asio::io_context &Context,
                                    const std::string &Address, LinkKind Kind,
                                    LinkHandlers Handlers,
                                    const std::string &LocalAddress = "");

  /// Creates a link from an accepted connection whose preamble has been read.
  static std::shared_ptr<Link> adopt(boost::asio::ip::tcp::socket Socket,
                                     LinkHandlers Handlers);

  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Queues a frame; a closed link discards it.
  /// \param Frame the frame with its length prefix.
  /// \param Content kept until the frame is written or discarded: an object
  /// whose lifetime stands for the memory of the frame.
  void send(std::string Frame, std::shared_ptr<const void> Content = nullptr);

  /// Sends the queued frames, for at most 2 s, then closes the connection; one
  /// that is not yet established is closed at once. No handler is called
  /// afterwards.
  void close();

private:
  class Impl;
  explicit Link(std::shared_ptr<Impl> Implementation);
  std::shared_ptr<Impl> m_Impl;
};

/// Accepts connections of other nodes and reads their preambles.
class LinkListener {
public:
  using Handler = std::function<void(LinkKind, boost::asio::ip::tcp::socket)>;

  /// \param Context the context that the listener belongs to; must outlive it.
  /// \param Address the address to listen at.
  /// \param Accepted receives each connection with the kind that its preamble
  /// names; a connection with an unknown, incomplete or late preamble is
  /// closed.
  /// \throws Error of kind AddressInUse if the address can't be bound.
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
