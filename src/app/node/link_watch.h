/// \file
/// Bounds the links that other nodes opened, in number and in silence.
#ifndef DANDELIONFALL_SRC_APP_NODE_LINK_WATCH_H
#define DANDELIONFALL_SRC_APP_NODE_LINK_WATCH_H

#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dandelionfall::app {

/// Knows when each inbound traffic link was last heard of.
class LinkWatch {
public:
  /// Inbound links at once; above the gate's own bound, so that a link may
  /// replace another.
  static constexpr std::size_t MaxLinks = 24'000;
  /// Inbound links at once that have sent no frame yet.
  static constexpr std::size_t MaxAwaitingFirstFrame = 1024;
  /// Time within which a new link sends its first frame.
  static constexpr core::Duration FirstFrameTimeout = std::chrono::seconds(2);
  /// Silence after which a link is given up; ingresses send heartbeats far more
  /// often.
  static constexpr core::Duration SilenceTimeout = std::chrono::seconds(15);

  /// Takes a new link in.
  /// \returns false if there are too many.
  bool admit(core::LinkId Link, core::TimePoint Now);

  /// Notes a frame of a link.
  void onFrame(core::LinkId Link, core::TimePoint Now);

  /// Forgets a link that is gone.
  void onClosed(core::LinkId Link);

  /// Time between two searches beyond which this process itself was held up;
  /// no link is blamed for that.
  static constexpr core::Duration MaxCheckInterval = std::chrono::seconds(3);

  /// \returns the links that were silent for too long.
  std::vector<core::LinkId> findSilent(core::TimePoint Now);

private:
  struct Entry {
    core::TimePoint m_LastFrame;
    bool m_HasSentFrame = false;
  };

  std::unordered_map<core::LinkId, Entry> m_Links;
  std::size_t m_AwaitingFirstFrame = 0;
  std::optional<core::TimePoint> m_LastCheck;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_NODE_LINK_WATCH_H
