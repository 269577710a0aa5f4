#include "app/operator_client.h"

#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"

#include <chrono>
#include <memory>

namespace dandelionfall::app {

namespace {

constexpr std::chrono::seconds PageTimeout{10};
constexpr std::uint64_t MaxPageBytes = 64U << 20U;
constexpr std::uint32_t StatusOk = 200;

core::Error makeFault(const std::string &Address, const std::string &Fault) {
  return {core::ErrorKind::ConnectionFailed, Address + ": " + Fault,
          "name the operator address of a node that runs"};
}

void keepResult(OperatorPage &Page, const net::HttpResult &Result) {
  if (Result.m_End != net::HttpExchange::Answered) {
    Page.m_Fault = makeFault(Page.m_Address, Result.m_Detail);
    return;
  }
  if (Result.m_Response->m_Status != StatusOk) {
    Page.m_Fault =
        makeFault(Page.m_Address,
                  "HTTP status " + std::to_string(Result.m_Response->m_Status));
    return;
  }
  Page.m_Text = Result.m_Response->m_Body;
}

} // namespace

std::vector<OperatorPage>
readOperatorPages(const std::vector<std::string> &Addresses,
                  const std::string &Path) {
  boost::asio::io_context Context;
  std::vector<OperatorPage> Pages;
  Pages.reserve(Addresses.size());
  for (const std::string &Address : Addresses) {
    net::parseEndpoint(Address);
    Pages.push_back({Address, "", std::nullopt});
  }
  std::vector<std::unique_ptr<net::HttpClient>> Clients;
  Clients.reserve(Addresses.size());
  std::size_t Open = Pages.size();
  for (OperatorPage &Page : Pages) {
    net::HttpClientOptions Options;
    Options.m_Address = Page.m_Address;
    Options.m_MaxBodyBytes = MaxPageBytes;
    Clients.push_back(std::make_unique<net::HttpClient>(Context, Options));
    core::HttpRequest Request;
    Request.m_Method = "GET";
    Request.m_Path = Path;
    Clients.back()->send(
        Request, PageTimeout, true,
        [&Page, &Open, &Context](const net::HttpResult &Result) {
          keepResult(Page, Result);
          // The clients' own timers never end.
          if (--Open == 0)
            Context.stop();
        });
  }
  if (Open > 0)
    Context.run();
  return Pages;
}

} // namespace dandelionfall::app
