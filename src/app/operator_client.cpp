#include "app/operator_client.h"

#include "dandelionfall/net/address.h"
#include "dandelionfall/net/http_client.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace dandelionfall::app {

namespace {

constexpr std::chrono::seconds PageTimeout{10};
constexpr std::uint64_t MaxPageBytes = 64U << 20U;
constexpr std::size_t MaxConcurrentReads = 64;
constexpr std::uint32_t StatusOk = 200;

core::Error makeFault(const std::string &Address, const std::string &Fault) {
  return {core::ErrorKind::ConnectionFailed, Address + ": " + Fault,
          "name the operator address of a running node"};
}

void storeResult(OperatorPage &Page, const net::HttpResult &Result) {
  if (Result.m_Outcome != net::ExchangeOutcome::Answered) {
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

/// Reads one page from many nodes, with a bounded number of concurrent reads.
class PageReader {
public:
  PageReader(const std::vector<std::string> &Addresses, std::string Path)
      : m_Path(std::move(Path)) {
    m_Pages.reserve(Addresses.size());
    for (const std::string &Address : Addresses) {
      net::parseEndpoint(Address);
      m_Pages.push_back({Address, "", std::nullopt});
    }
  }

  std::vector<OperatorPage> read() {
    const std::size_t First = std::min(m_Pages.size(), MaxConcurrentReads);
    for (std::size_t Index = 0; Index < First; ++Index)
      startNext();
    while (m_OpenReads > 0)
      m_Context.run_one();
    return std::move(m_Pages);
  }

private:
  void startNext() {
    OperatorPage &Page = m_Pages[m_Next++];
    net::HttpClientOptions Options;
    Options.m_Address = Page.m_Address;
    Options.m_MaxBodyBytes = MaxPageBytes;
    auto Client = std::make_shared<net::HttpClient>(m_Context, Options);
    core::HttpRequest Request;
    Request.m_Method = "GET";
    Request.m_Path = m_Path;
    ++m_OpenReads;
    Client->send(Request, PageTimeout, true,
                 [this, &Page, Client](const net::HttpResult &Result) {
                   storeResult(Page, Result);
                   // The client must not be destroyed within its own callback.
                   boost::asio::post(m_Context,
                                     [this, Client] { onReadEnd(); });
                 });
  }

  void onReadEnd() {
    --m_OpenReads;
    if (m_Next < m_Pages.size())
      startNext();
  }

  std::string m_Path;
  std::vector<OperatorPage> m_Pages;
  std::size_t m_Next = 0;
  std::size_t m_OpenReads = 0;
  // Declared last so that it is destroyed first, together with the clients that
  // its handlers own.
  boost::asio::io_context m_Context{1};
};

} // namespace

std::vector<OperatorPage>
readOperatorPages(const std::vector<std::string> &Addresses,
                  const std::string &Path) {
  return PageReader(Addresses, Path).read();
}

} // namespace dandelionfall::app
