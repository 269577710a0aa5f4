/// \file
/// Conversion of the values that traffic and control messages share.
#ifndef DANDELIONFALL_SRC_NET_WIRE_VALUES_H
#define DANDELIONFALL_SRC_NET_WIRE_VALUES_H

#include "dandelionfall/core/configuration.h"
#include "dandelionfall/core/error.h"
#include "dandelionfall/core/identity.h"

#include <wire_types.h>

#include <cmath>
#include <cstdint>
#include <limits>

namespace dandelionfall::net {

inline std::int64_t toSigned(std::uint64_t Value) {
  return static_cast<std::int64_t>(Value);
}

inline std::uint64_t toUnsigned(std::int64_t Value) {
  return static_cast<std::uint64_t>(Value);
}

inline wire::Incarnation toWire(const core::Incarnation &Value) {
  wire::Incarnation Result;
  Result.high = toSigned(Value.m_High);
  Result.low = toSigned(Value.m_Low);
  return Result;
}

inline core::Incarnation fromWire(const wire::Incarnation &Value) {
  return {toUnsigned(Value.high), toUnsigned(Value.low)};
}

inline wire::RequestId toWire(const core::RequestId &Value) {
  wire::RequestId Result;
  Result.ingress = toWire(Value.m_Ingress);
  Result.sequence = toSigned(Value.m_Sequence);
  return Result;
}

inline core::RequestId fromWire(const wire::RequestId &Value) {
  return {fromWire(Value.ingress), toUnsigned(Value.sequence)};
}

inline wire::Stamp toWire(const core::VersionStamp &Value) {
  wire::Stamp Result;
  Result.version = toSigned(Value.m_Version);
  Result.digest = toSigned(Value.m_Digest);
  return Result;
}

inline core::VersionStamp fromWire(const wire::Stamp &Value) {
  return {toUnsigned(Value.version), toUnsigned(Value.digest)};
}

/// \throws Error of kind MalformedMessage if the count is negative.
inline std::uint32_t countFromWire(std::int32_t Value) {
  if (Value < 0)
    throw core::Error(core::ErrorKind::MalformedMessage, "negative count",
                      "check that both nodes run compatible versions");
  return static_cast<std::uint32_t>(Value);
}

/// \throws Error of kind MalformedMessage if the rate is not a number, infinite
/// or negative.
inline double rateFromWire(double PerSecond) {
  if (!std::isfinite(PerSecond) || PerSecond < 0)
    throw core::Error(core::ErrorKind::MalformedMessage, "invalid rate",
                      "check that both nodes run compatible versions");
  return PerSecond;
}

/// \param Last the last enumerator; the first one is 0.
/// \throws Error of kind MalformedMessage if \p Value is out of range.
template <typename Enum> Enum enumFromWire(std::int32_t Value, Enum Last) {
  if (Value < 0 || Value > static_cast<std::int32_t>(Last))
    throw core::Error(core::ErrorKind::MalformedMessage,
                      "enumeration value out of range",
                      "check that both nodes run compatible versions");
  return static_cast<Enum>(Value);
}

} // namespace dandelionfall::net

#endif // DANDELIONFALL_SRC_NET_WIRE_VALUES_H
