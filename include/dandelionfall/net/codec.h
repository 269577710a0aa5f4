/// \file
/// Frames on the links between nodes: a length of four bytes, then a Thrift
/// compact message.
#ifndef DANDELIONFALL_NET_CODEC_H
#define DANDELIONFALL_NET_CODEC_H

#include "dandelionfall/core/control_message.h"
#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace dandelionfall::net {

/// Bytes of the length that precedes each frame.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Largest frame that is accepted, in bytes, its length aside.
inline constexpr std::size_t MaxFrameBytes = 12U << 20U;

/// A decoded frame.
struct DecodedFrame {
  /// Sender's logical time when it sent the frame.
  std::uint64_t m_LogicalTime = 0;
  std::variant<core::TrafficMessage, core::ControlMessage> m_Message;
};

/// Encodes a message of a traffic link.
/// \param Message the message.
/// \param LogicalTime the sender's logical time.
/// \returns the frame with its length.
std::string encodeFrame(const core::TrafficMessage &Message,
                        std::uint64_t LogicalTime);

/// Encodes a message of a control link.
/// \param Message the message.
/// \param LogicalTime the sender's logical time.
/// \returns the frame with its length.
std::string encodeFrame(const core::ControlMessage &Message,
                        std::uint64_t LogicalTime);

/// Reads the length that precedes a frame.
/// \param Header the first FrameHeaderBytes bytes.
/// \returns the number of bytes that follow.
/// \throws Error of kind MalformedMessage if the frame is empty or too large.
std::size_t decodeFrameLength(std::string_view Header);

/// Decodes a frame without its length.
/// \param Bytes the bytes that follow the length.
/// \returns the message.
/// \throws Error of kind MalformedMessage for anything that is not exactly one
/// known message.
DecodedFrame decodeFrame(std::string_view Bytes);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_CODEC_H
