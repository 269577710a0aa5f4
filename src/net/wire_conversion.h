/// \file
/// Conversion between core's messages and the generated wire types.
#ifndef DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H
#define DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/traffic_message.h"

#include <wire_types.h>

namespace dandelionfall::net {

/// Stores a traffic message in the body of a frame.
void toWire(const core::TrafficMessage &Message, wire::Body &Body);

/// Stores a control message in the body of a frame.
void toWire(const core::ControlMessage &Message, wire::Body &Body);

/// Reads a traffic message from the body of a frame.
/// \param Body the body; its content may be moved from.
/// \param Result set only if the body holds a traffic message.
/// \returns whether the body holds a traffic message.
/// \throws Error of kind MalformedMessage if a field is out of range.
bool fromWire(wire::Body &Body, core::TrafficMessage &Result);

/// Reads a control message from the body of a frame; see the overload for
/// traffic messages.
bool fromWire(wire::Body &Body, core::ControlMessage &Result);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H
