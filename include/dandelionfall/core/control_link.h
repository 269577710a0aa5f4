/// \file
/// Commands with which decision logic opens, closes and uses control links.
#ifndef DANDELIONFALL_CORE_CONTROL_LINK_H
#define DANDELIONFALL_CORE_CONTROL_LINK_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/identity.h"

#include <string>

namespace dandelionfall::core {

/// First number of links that other nodes opened; the decision logic numbers
/// the links that it opens from 1.
inline constexpr LinkId FirstInboundLink = LinkId{1} << 63U;

/// Opens a control link; the driver reports `onLinkOpened` or `onLinkClosed`
/// with the same number.
struct OpenControlLink {
  LinkId m_Link = 0;
  std::string m_Address;
  friend bool operator==(const OpenControlLink &,
                         const OpenControlLink &) = default;
};

/// Closes a control link.
struct CloseControlLink {
  LinkId m_Link = 0;
  friend bool operator==(const CloseControlLink &,
                         const CloseControlLink &) = default;
};

/// Sends a message on a control link.
struct SendControl {
  LinkId m_Link = 0;
  ControlMessage m_Message;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_CONTROL_LINK_H
