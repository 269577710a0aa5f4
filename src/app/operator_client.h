/// \file
/// HTTP client for the operator pages of nodes.
#ifndef DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H
#define DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H

#include "dandelionfall/core/error.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::app {

/// Result of reading one page.
struct OperatorPage {
  /// Operator address of the node.
  std::string m_Address;
  std::string m_Text;
  /// Set if the page could not be read.
  std::optional<core::Error> m_Fault;
};

/// Reads one page from several nodes concurrently.
/// \param Addresses the operator addresses, `IP:PORT`.
/// \param Path the page, such as `/status`.
/// \returns one page per address, in the same order; for a node that can't be
/// read it has a fault of kind ConnectionFailed.
/// \throws Error of kind Usage if an address is malformed.
std::vector<OperatorPage>
readOperatorPages(const std::vector<std::string> &Addresses,
                  const std::string &Path);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H
