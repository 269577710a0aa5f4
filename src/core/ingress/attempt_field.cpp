#include "core/ingress/attempt_field.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <string>

namespace dandelionfall::core::ingress {

namespace {

// Field names are case-insensitive (RFC 9110, 5.1).
bool isAttemptField(const HttpField &Field) {
  return std::equal(Field.m_Name.begin(), Field.m_Name.end(),
                    AttemptFieldName.begin(), AttemptFieldName.end(),
                    [](unsigned char Left, unsigned char Right) {
                      return std::tolower(Left) == std::tolower(Right);
                    });
}

} // namespace

bool isRepeat(const HttpRequest &Request) {
  return std::any_of(Request.m_Fields.begin(), Request.m_Fields.end(),
                     [](const HttpField &Field) {
                       return isAttemptField(Field) && Field.m_Value != "0";
                     });
}

HttpRequestPtr markRepeat(const HttpRequest &Request, unsigned RepeatNumber) {
  auto Marked = std::make_shared<HttpRequest>(Request);
  std::erase_if(Marked->m_Fields, isAttemptField);
  Marked->m_Fields.push_back(
      {std::string(AttemptFieldName), std::to_string(RepeatNumber)});
  return Marked;
}

} // namespace dandelionfall::core::ingress
