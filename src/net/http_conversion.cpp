#include "net/http_conversion.h"

#include "dandelionfall/core/error.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace dandelionfall::net {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;

// Hop-by-hop fields, and fields that are not copied because toBeast sets them
// (Host, Content-Length) or the server has handled them (Expect).
constexpr std::array ExcludedFields = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::host,
    http::field::content_length,
    http::field::expect,
};

bool isExcluded(http::field Name) {
  return std::find(ExcludedFields.begin(), ExcludedFields.end(), Name) !=
         ExcludedFields.end();
}

std::string toString(boost::beast::string_view Text) {
  return std::string(Text.data(), Text.size());
}

bool allowsBody(std::uint32_t Status) {
  constexpr std::uint32_t NoContent = 204;
  constexpr std::uint32_t NotModified = 304;
  return Status != NoContent && Status != NotModified;
}

[[noreturn]] void throwUnsendable(const std::string &Fault) {
  throw core::Error(core::ErrorKind::MalformedMessage,
                    "can't be written as HTTP: " + Fault,
                    "correct the sender of the message");
}

// Beast throws standard exceptions for values that it can't write.
template <typename Function> auto convert(Function Make) {
  try {
    return Make();
  } catch (const std::exception &Fault) {
    throwUnsendable(Fault.what());
  }
}

} // namespace

std::vector<core::HttpField> endToEndFields(const http::fields &Fields) {
  http::token_list ConnectionOptions(Fields[http::field::connection]);
  std::vector<core::HttpField> Result;
  for (const auto &Field : Fields) {
    if (isExcluded(Field.name()))
      continue;
    if (ConnectionOptions.exists(Field.name_string()))
      continue;
    Result.push_back({toString(Field.name_string()), toString(Field.value())});
  }
  return Result;
}

std::shared_ptr<core::HttpRequest> fromBeast(BeastRequest Message) {
  core::HttpRequest Result;
  Result.m_Method = toString(Message.method_string());
  Result.m_Path = toString(Message.target());
  Result.m_HostName = toString(Message[http::field::host]);
  Result.m_Fields = endToEndFields(Message);
  Result.m_Body = std::move(Message.body());
  return std::make_shared<core::HttpRequest>(std::move(Result));
}

std::shared_ptr<core::HttpResponse> fromBeast(BeastResponse Message) {
  core::HttpResponse Result;
  Result.m_Status = Message.result_int();
  Result.m_Fields = endToEndFields(Message);
  Result.m_Body = std::move(Message.body());
  return std::make_shared<core::HttpResponse>(std::move(Result));
}

BeastRequest toBeast(core::HttpRequest Request,
                     const std::string &DefaultHost) {
  return convert([&] {
    BeastRequest Message;
    Message.version(HttpVersion);
    Message.method_string(Request.m_Method);
    Message.target(Request.m_Path);
    for (const core::HttpField &Field : Request.m_Fields)
      Message.insert(Field.m_Name, Field.m_Value);
    Message.set(http::field::host,
                Request.m_HostName.empty() ? DefaultHost : Request.m_HostName);
    Message.body() = std::move(Request.m_Body);
    Message.prepare_payload();
    return Message;
  });
}

BeastResponse toBeast(core::HttpResponse Response, bool IsHead,
                      bool KeepAlive) {
  if (!core::isFinalStatus(Response.m_Status))
    throwUnsendable("status " + std::to_string(Response.m_Status));
  return convert([&] {
    BeastResponse Message;
    Message.version(HttpVersion);
    Message.result(Response.m_Status);
    for (const core::HttpField &Field : Response.m_Fields)
      Message.insert(Field.m_Name, Field.m_Value);
    if (!IsHead && allowsBody(Response.m_Status)) {
      Message.body() = std::move(Response.m_Body);
      Message.prepare_payload();
    }
    Message.keep_alive(KeepAlive);
    return Message;
  });
}

} // namespace dandelionfall::net
