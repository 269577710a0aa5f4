/// \file
/// HTTP requests and responses as plain values, independent of any HTTP
/// library.
#ifndef DANDELIONFALL_CORE_HTTP_MESSAGE_H
#define DANDELIONFALL_CORE_HTTP_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dandelionfall::core {

/// A header field.
struct HttpField {
  std::string m_Name;
  std::string m_Value;
  friend bool operator==(const HttpField &, const HttpField &) = default;
};

/// A caller's request; hop-by-hop fields are already removed.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::string m_HostName;
  std::vector<HttpField> m_Fields;
  std::string m_Body;
  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// A target's complete response; hop-by-hop fields are already removed.
struct HttpResponse {
  std::uint32_t m_Status = 0;
  std::vector<HttpField> m_Fields;
  std::string m_Body;
  friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// \returns the bytes of the body and of all names and values of fields.
template <typename Message> std::size_t sizeOf(const Message &Sized) {
  std::size_t Bytes = Sized.m_Body.size();
  for (const HttpField &Field : Sized.m_Fields)
    Bytes += Field.m_Name.size() + Field.m_Value.size();
  return Bytes;
}

/// Lowest HTTP status of a server error.
inline constexpr std::uint32_t FirstServerError = 500;

/// \returns whether a response with this status precedes the one that ends the
/// exchange (RFC 9110, section 15.2). It has no content.
constexpr bool isInterimStatus(std::uint32_t Status) {
  return Status >= 100 && Status <= 199;
}

/// \returns whether a response with this status ends the exchange. Statuses
/// that are neither interim nor final are invalid (RFC 9110, section 15).
constexpr bool isFinalStatus(std::uint32_t Status) {
  return Status >= 200 && Status <= 599;
}

using HttpRequestPtr = std::shared_ptr<const HttpRequest>;
using HttpResponsePtr = std::shared_ptr<const HttpResponse>;

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_HTTP_MESSAGE_H
