/// \file
/// Limits the number of links that other nodes opened and finds silent ones.
#ifndef DANDELIONFALL_SRC_APP_NODE_LINK_WATCH_H
#define DANDELIONFALL_SRC_APP_NODE_LINK_WATCH_H

#include "dandelionfall/core/identity.h"
#include "dandelionfall/core/time.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dandelionfall::app {

/// Tracks when each inbound traffic link last received a frame.
class LinkWatch {
public:
  /// Maximum number of inbound links. Higher than the gate's own limit, so that
  /// a new link can replace an old one.
  static constexpr std::size_t MaxLinks = 24'000;
  /// Maximum number of inbound links that have not sent a frame yet.
  static constexpr std::size_t MaxAwaitingFirstFrame = 1024;
  /// Time within which a new link must send its first frame.
  static constexpr core::Duration FirstFrameTimeout = std::chrono::seconds(2);
  /// Time without a frame after which a link counts as silent. Ingresses send
  /// heartbeats far more often.
  static constexpr core::Duration SilenceTimeout = std::chrono::seconds(15);

  /// Adds a new link.
  /// \returns false if a limit is reached; the link is not added.
  bool admit(core::LinkId Link, core::TimePoint Now);

  /// Records that a frame was received on a link.
  void onFrame(core::LinkId Link, core::TimePoint Now);

  /// Removes a closed link.
  void onClosed(core::LinkId Link);

  /// Longer intervals between two calls of `findSilent` mean that this process
  /// was paused. The links are not at fault then, so their time limits restart.
  static constexpr core::Duration MaxCheckInterval = std::chrono::seconds(3);

  /// \returns the links whose time limit for the next frame has passed.
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
