/// \file
/// Conversion between the decision logic's messages and the generated wire
/// types, one pair of overloads a type.
#ifndef DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H
#define DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/traffic_message.h"

#include <wire_types.h>

namespace dandelionfall::net {

/// Writes a traffic message into a frame's body.
void toWire(const core::TrafficMessage &Message, wire::Body &Body);

/// Writes a control message into a frame's body.
void toWire(const core::ControlMessage &Message, wire::Body &Body);

/// Reads a traffic message from a frame's body.
/// \param Body the body; its content may be moved from.
/// \param Result receives the message.
/// \returns false if the body holds none.
/// \throws Error of kind MalformedMessage if a field is out of range.
bool fromWire(wire::Body &Body, core::TrafficMessage &Result);

/// Reads a control message from a frame's body; like its counterpart for
/// traffic.
bool fromWire(wire::Body &Body, core::ControlMessage &Result);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_WIRE_CONVERSION_H
