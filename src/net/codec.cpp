#include "dandelionfall/net/codec.h"

#include "dandelionfall/core/error.h"
#include "net/wire_conversion.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TVirtualTransport.h>

#include <boost/endian/conversion.hpp>

#include <exception>
#include <memory>

namespace dandelionfall::net {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr int MaxRecursion = 8;
constexpr std::int32_t MaxContainerItems = 100'000;

/// Appends what is written to a string.
class StringSink
    : public apache::thrift::transport::TVirtualTransport<
          StringSink, apache::thrift::transport::TTransportDefaults> {
public:
  explicit StringSink(std::string &Out) : m_Out(Out) {}
  void write(const std::uint8_t *Bytes, std::uint32_t Count) {
    m_Out.append(reinterpret_cast<const char *>(Bytes), Count);
  }

private:
  std::string &m_Out;
};

[[noreturn]] void throwMalformed(const std::string &Fault) {
  throw core::Error(core::ErrorKind::MalformedMessage, Fault,
                    "check that both nodes run compatible versions");
}

/// Bytes of a frame besides its large parts; more are allowed.
constexpr std::size_t UsualFrameBytes = 256;

// Large messages should be written without copies of the frame so far.
std::size_t expectedSize(const core::TrafficMessage &Message) {
  const auto *Reply = std::get_if<core::Answer>(&Message);
  if (Reply != nullptr && Reply->m_Response != nullptr)
    return UsualFrameBytes + core::sizeOf(*Reply->m_Response);
  const auto *Request = std::get_if<core::Dispatch>(&Message);
  if (Request != nullptr && Request->m_Request != nullptr)
    return UsualFrameBytes + core::sizeOf(*Request->m_Request);
  return UsualFrameBytes;
}

std::size_t expectedSize(const core::ControlMessage & /*Message*/) {
  return UsualFrameBytes;
}

template <typename Message>
std::string encode(const Message &Value, std::uint64_t LogicalTime) {
  wire::Frame Frame;
  Frame.logical_time = static_cast<std::int64_t>(LogicalTime);
  toWire(Value, Frame.body);
  std::string Result;
  Result.reserve(expectedSize(Value));
  Result.resize(FrameHeaderBytes);
  TCompactProtocolT<StringSink> Writer(std::make_shared<StringSink>(Result));
  Frame.write(&Writer);
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char *>(Result.data()),
      static_cast<std::uint32_t>(Result.size() - FrameHeaderBytes));
  return Result;
}

wire::Frame parseFrame(std::string_view Bytes) {
  const auto Config = std::make_shared<TConfiguration>(
      MaxFrameBytes, MaxFrameBytes, MaxRecursion);
  // OBSERVE only reads the bytes, but Thrift's parameter is not const.
  auto *Data = reinterpret_cast<std::uint8_t *>(
      const_cast<char *>(Bytes.data())); // NOLINT
  auto Buffer = std::make_shared<TMemoryBuffer>(
      Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
      Config);
  Protocol Reader(Buffer, static_cast<std::int32_t>(MaxFrameBytes),
                  MaxContainerItems);
  wire::Frame Frame;
  Frame.read(&Reader);
  if (Buffer->available_read() != 0)
    throwMalformed("unexpected bytes after the message");
  return Frame;
}

} // namespace

std::string encodeFrame(const core::TrafficMessage &Message,
                        std::uint64_t LogicalTime) {
  return encode(Message, LogicalTime);
}

std::string encodeFrame(const core::ControlMessage &Message,
                        std::uint64_t LogicalTime) {
  return encode(Message, LogicalTime);
}

std::size_t decodeFrameLength(std::string_view Header) {
  if (Header.size() < FrameHeaderBytes)
    throwMalformed("frame length is truncated");
  const std::size_t Length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char *>(Header.data()));
  if (Length == 0 || Length > MaxFrameBytes)
    throwMalformed("frame length " + std::to_string(Length) +
                   " is out of range");
  return Length;
}

DecodedFrame decodeFrame(std::string_view Bytes) {
  try {
    wire::Frame Frame = parseFrame(Bytes);
    DecodedFrame Result;
    Result.m_LogicalTime = static_cast<std::uint64_t>(Frame.logical_time);
    core::TrafficMessage Traffic;
    if (fromWire(Frame.body, Traffic)) {
      Result.m_Message = std::move(Traffic);
      return Result;
    }
    core::ControlMessage Control;
    if (fromWire(Frame.body, Control)) {
      Result.m_Message = std::move(Control);
      return Result;
    }
  } catch (const core::Error &) {
    throw;
  } catch (const std::exception &Fault) {
    throwMalformed(std::string("frame cannot be decoded: ") + Fault.what());
  }
  throwMalformed("frame contains no known message");
}

} // namespace dandelionfall::net
