// Either a frame is rejected as malformed, or encoding its message gives a
// frame that stays the same when it is decoded and encoded again.
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/codec.h"
#include "require.h"

#include <cstdint>

using namespace dandelionfall::core;
using namespace dandelionfall::net;
using dandelionfall::fuzz::require;

namespace {

std::string encode(const DecodedFrame &Frame) {
  return std::visit(
      [&Frame](const auto &Message) {
        return encodeFrame(Message, Frame.m_LogicalTime);
      },
      Frame.m_Message);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  try {
    const std::string Once = encode(decodeFrame(Bytes));
    const std::string_view Header =
        std::string_view(Once).substr(0, FrameHeaderBytes);
    const std::string_view Rest =
        std::string_view(Once).substr(FrameHeaderBytes);
    require(decodeFrameLength(Header) == Rest.size(),
            "a frame's length header matches its size");
    require(encode(decodeFrame(Rest)) == Once,
            "an encoded frame is equal after decoding and encoding");
  } catch (const Error &Fault) {
    require(Fault.kind() == ErrorKind::MalformedMessage,
            "a fault is of kind MalformedMessage");
  }
  return 0;
}
