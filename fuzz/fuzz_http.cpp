// The way of a request from a caller's bytes to a target's bytes, and of a
// response back. A message is rejected while it is read, or it can be written
// and arrives unchanged.
#include "dandelionfall/core/error.h"
#include "dandelionfall/net/codec.h"
#include "net/guarded_parser.h"
#include "net/request_check.h"
#include "require.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

using namespace dandelionfall::core;
using namespace dandelionfall::net;
using dandelionfall::fuzz::require;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t HeaderLimit = 1U << 20U;
constexpr std::array<std::string_view, 8> Methods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "TRACE", "BREW"};
constexpr std::string_view DefaultHost = "target.example:80";

/// \returns whether the parser has read a complete message.
template <typename Parser> bool read(Parser &Reader, std::string_view Bytes) {
  boost::system::error_code Code;
  Reader.header_limit(HeaderLimit);
  while (!Bytes.empty() && !Reader.is_done()) {
    const std::size_t Count =
        Reader.put(boost::asio::buffer(Bytes.data(), Bytes.size()), Code);
    if (Code || Count == 0)
      return false;
    Bytes.remove_prefix(Count);
  }
  return Reader.is_done();
}

template <typename Message> std::string write(Message &Sent) {
  http::serializer<Message::is_request::value, http::string_body> Writer(Sent);
  boost::system::error_code Code;
  std::string Result;
  while (!Writer.is_done()) {
    std::size_t Count = 0;
    Writer.next(Code, [&](boost::system::error_code &, const auto &Buffers) {
      for (const boost::asio::const_buffer Each :
           boost::beast::buffers_range_ref(Buffers)) {
        Result.append(static_cast<const char *>(Each.data()), Each.size());
        Count += Each.size();
      }
    });
    if (Code)
      break;
    Writer.consume(Count);
  }
  require(!Code, "a message can be serialized");
  return Result;
}

/// \returns the message after its way over a link.
template <typename Message> Message passOn(const Message &Sent) {
  const std::string Bytes = encodeFrame(TrafficMessage(Sent), 1);
  const DecodedFrame Frame =
      decodeFrame(std::string_view(Bytes).substr(FrameHeaderBytes));
  return std::get<Message>(std::get<TrafficMessage>(Frame.m_Message));
}

std::optional<HttpRequest> readRequest(std::string_view Bytes) {
  RequestParser Reader;
  if (!read(Reader, Bytes) || findFault(Reader.get()))
    return std::nullopt;
  return *fromBeast(Reader.release());
}

void passRequest(const HttpRequest &Request) {
  Dispatch Sent;
  Sent.m_Request = std::make_shared<const HttpRequest>(Request);
  const HttpRequest Arrived = *passOn(Sent).m_Request;
  require(Arrived == Request, "a link leaves a request unchanged");
  BeastRequest Message = toBeast(Arrived, std::string(DefaultHost));
  const std::optional<HttpRequest> AtTarget = readRequest(write(Message));
  require(AtTarget.has_value(), "the target can read the request");
  require(AtTarget->m_Method == Request.m_Method &&
              AtTarget->m_Path == Request.m_Path &&
              AtTarget->m_Body == Request.m_Body,
          "method, path and body arrive unchanged");
}

void passResponse(const HttpResponse &Response, bool IsHead) {
  Answer Sent;
  Sent.m_Response = std::make_shared<const HttpResponse>(Response);
  const HttpResponse Arrived = *passOn(Sent).m_Response;
  require(Arrived == Response, "a link leaves a response unchanged");
  BeastResponse Message = toBeast(Arrived, IsHead, true);
  const std::string Bytes = write(Message);
  ResponseParser Reader;
  Reader.skip(IsHead);
  require(read(Reader, Bytes), "the caller can read the response");
  const HttpResponse AtCaller = *fromBeast(Reader.release());
  require(AtCaller.m_Status == Response.m_Status,
          "the status arrives unchanged");
}

/// A response whose status is not final is never written to a caller.
void refuseResponse(const HttpResponse &Response, bool IsHead) {
  try {
    toBeast(Response, IsHead, true);
  } catch (const Error &Fault) {
    require(Fault.kind() == ErrorKind::MalformedMessage,
            "the error names the malformed message");
    return;
  }
  require(false, "a response with an invalid status is not written");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  // Each method with each drawn rest, since the method decides about the body.
  const std::string_view Rest =
      Bytes.substr(std::min(Bytes.find(' '), Bytes.size()));
  for (const std::string_view Method : Methods) {
    const std::string Drawn = std::string(Method) + std::string(Rest);
    if (const std::optional<HttpRequest> Request = readRequest(Drawn))
      passRequest(*Request);
  }
  for (const bool IsHead : {false, true}) {
    ResponseParser Reader;
    Reader.skip(IsHead);
    if (!read(Reader, Bytes))
      continue;
    const auto Response = fromBeast(Reader.release());
    if (isFinalStatus(Response->m_Status))
      passResponse(*Response, IsHead);
    else
      refuseResponse(*Response, IsHead);
  }
  return 0;
}
