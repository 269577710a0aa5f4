#include "core/ingress/idempotency.h"

#include <algorithm>
#include <array>

namespace dandelionfall::core::ingress {

bool isIdempotentMethod(std::string_view Method) {
  constexpr std::array<std::string_view, 6> Methods = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
}

bool mayRunBeside(Idempotency Rule, std::string_view Method) {
  constexpr std::array<std::string_view, 4> SafeMethods = {"GET", "HEAD",
                                                           "OPTIONS", "TRACE"};
  if (Rule != Idempotency::ByMethod)
    return Rule == Idempotency::Always;
  return std::find(SafeMethods.begin(), SafeMethods.end(), Method) !=
         SafeMethods.end();
}

bool isIdempotent(Idempotency Rule, std::string_view Method) {
  if (Rule == Idempotency::ByMethod)
    return isIdempotentMethod(Method);
  return Rule == Idempotency::Always;
}

} // namespace dandelionfall::core::ingress
