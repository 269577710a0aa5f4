#include "dandelionfall/net/codec.h"

#include "dandelionfall/core/error.h"
#include "net/wire_conversion.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

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

[[noreturn]] void throwMalformed(const std::string &Fault) {
  throw core::Error(core::ErrorKind::MalformedMessage, Fault,
                    "check that both nodes run compatible versions");
}

template <typename Message>
std::string encode(const Message &Value, std::uint64_t LogicalTime) {
  wire::Frame Frame;
  Frame.logical_time = static_cast<std::int64_t>(LogicalTime);
  toWire(Value, Frame.body);
  auto Buffer = std::make_shared<TMemoryBuffer>();
  Protocol Writer(Buffer);
  Frame.write(&Writer);
  std::uint8_t *Bytes = nullptr;
  std::uint32_t Length = 0;
  Buffer->getBuffer(&Bytes, &Length);
  std::string Result(FrameHeaderBytes + Length, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(Result.data()),
                               Length);
  std::copy_n(Bytes, Length, Result.begin() + FrameHeaderBytes);
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
