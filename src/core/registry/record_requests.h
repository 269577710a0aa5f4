/// \file
/// Which of the nodes that claim to hold something is asked for it.
#ifndef DANDELIONFALL_SRC_CORE_REGISTRY_RECORD_REQUESTS_H
#define DANDELIONFALL_SRC_CORE_REGISTRY_RECORD_REQUESTS_H

#include "dandelionfall/core/control_link.h"
#include "dandelionfall/core/published.h"

#include <functional>
#include <map>
#include <optional>

namespace dandelionfall::core::registry {

/// What a node at the other end of a link claims to hold.
struct RecordClaim {
  /// Version of the configuration that the store has lost; 0 if there is none.
  Version m_Retained = 0;
  Revision m_Held = 0;
};

/// Chooses the link on which records are requested. The records of several
/// nodes are large together and alike: one request is open at a time, and a
/// node that has sent nothing of use is asked again only after a while. Not
/// thread-safe.
class RecordRequests {
public:
  /// Notes what a node claims, instead of what it claimed before.
  void onClaim(LinkId Link, const RecordClaim &Claim);
  /// Handles records received on a link: the next node may be asked.
  void onReply(LinkId Link);
  /// Handles the end of a link.
  void onLinkClosed(LinkId Link);
  /// Chooses the next link, and forgets claims of what is not missing.
  /// \param IsMissing whether this node lacks what is claimed.
  /// \returns the link on which records must be requested now, if any.
  std::optional<LinkId>
  takeDue(const std::function<bool(const RecordClaim &)> &IsMissing,
          TimePoint Now);
  /// \returns when `takeDue` must be called next, if at all.
  std::optional<TimePoint> nextWakeUp() const;

private:
  /// \returns when a link may be asked, apart from the open request.
  TimePoint askableAt(LinkId Link) const;

  /// Claims of nodes that have not been asked since.
  std::map<LinkId, RecordClaim> m_Claims;
  /// When each link may be asked again.
  std::map<LinkId, TimePoint> m_NextAt;
  /// Link of the open request, and when it is given up.
  std::optional<LinkId> m_Open;
  TimePoint m_OpenUntil;
};

} // namespace dandelionfall::core::registry

#endif // DANDELIONFALL_SRC_CORE_REGISTRY_RECORD_REQUESTS_H
