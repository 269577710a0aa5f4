/// \file
/// Identities of process starts, requests and links.
#ifndef DANDELIONFALL_CORE_IDENTITY_H
#define DANDELIONFALL_CORE_IDENTITY_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace dandelionfall::core {

/// Identifies one run of a process: 128 random bits, generated at every start.
struct Incarnation {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;
  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/// Identifies a request by the ingress that received it and a number that this
/// ingress never reuses.
struct RequestId {
  Incarnation m_Ingress;
  std::uint64_t m_Sequence = 0;
  friend auto operator<=>(const RequestId &, const RequestId &) = default;
};

/// Number of a link; unique within one process and never reused.
using LinkId = std::uint64_t;

/// Number of a caller's call at its ingress; unique within one process and
/// never reused.
using CallId = std::uint64_t;

/// Number that an ingress increments whenever it opens a new link to the same
/// gate.
using Epoch = std::uint64_t;

/// \returns the incarnation as 32 hexadecimal digits.
std::string toString(const Incarnation &Value);

/// \returns the request's identity as `INCARNATION/SEQUENCE`.
std::string toString(const RequestId &Value);

} // namespace dandelionfall::core

template <> struct std::hash<dandelionfall::core::Incarnation> {
  std::size_t
  operator()(const dandelionfall::core::Incarnation &Value) const noexcept {
    return static_cast<std::size_t>(Value.m_High ^ (Value.m_Low << 1U));
  }
};

template <> struct std::hash<dandelionfall::core::RequestId> {
  std::size_t
  operator()(const dandelionfall::core::RequestId &Value) const noexcept {
    constexpr std::uint64_t GoldenRatio = 0x9e3779b97f4a7c15U;
    return std::hash<dandelionfall::core::Incarnation>()(Value.m_Ingress) ^
           static_cast<std::size_t>(Value.m_Sequence * GoldenRatio);
  }
};

#endif // DANDELIONFALL_CORE_IDENTITY_H
