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

/// Size of the length prefix of a frame, in bytes.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Size of the largest accepted frame in bytes, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = 12U << 20U;

struct DecodedFrame {
  /// Logical time of the sender when it sent the frame.
  std::uint64_t m_LogicalTime = 0;
  std::variant<core::TrafficMessage, core::ControlMessage> m_Message;
};

/// Encodes a message of a traffic link.
/// \param LogicalTime the sender's logical time.
/// \returns the frame with its length prefix.
std::string encodeFrame(const core::TrafficMessage &Message,
                        std::uint64_t LogicalTime);

/// Encodes a message of a control link.
/// \param LogicalTime the sender's logical time.
/// \returns the frame with its length prefix.
std::string encodeFrame(const core::ControlMessage &Message,
                        std::uint64_t LogicalTime);

/// Decodes the length prefix of a frame.
/// \param Header the first FrameHeaderBytes bytes.
/// \returns the number of bytes that follow.
/// \throws Error of kind MalformedMessage if \p Header is too short, or if the
/// length is 0 or above MaxFrameBytes.
std::size_t decodeFrameLength(std::string_view Header);

/// Decodes a frame.
/// \param Bytes the frame without its length prefix.
/// \throws Error of kind MalformedMessage unless the bytes hold exactly one
/// message of a known type.
DecodedFrame decodeFrame(std::string_view Bytes);

} // namespace dandelionfall::net

#endif // DANDELIONFALL_NET_CODEC_H
