#include "dandelionfall/core/identity.h"

#include <array>
#include <cstdio>

namespace dandelionfall::core {

std::string toString(const Incarnation &Value) {
  std::array<char, 33> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Value.m_High),
                static_cast<unsigned long long>(Value.m_Low));
  return Buffer.data();
}

std::string toString(const RequestId &Value) {
  return toString(Value.m_Ingress) + "/" + std::to_string(Value.m_Sequence);
}

} // namespace dandelionfall::core
