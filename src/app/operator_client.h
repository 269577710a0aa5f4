/// \file
/// Reads the operators' pages of nodes.
#ifndef DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H
#define DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H

#include "dandelionfall/core/error.h"

#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::app {

/// What came of reading one page.
struct OperatorPage {
  /// Operators' address of the node.
  std::string m_Address;
  std::string m_Text;
  /// Why there is no text.
  std::optional<core::Error> m_Fault;
};

/// Reads one page of several nodes at once.
/// \param Addresses the operators' addresses, `IP:PORT`.
/// \param Path the page, such as `/status`.
/// \returns a page for each address, in the same order; a node that can't be
/// read has a fault of kind ConnectionFailed.
/// \throws Error of kind Usage if an address is malformed.
std::vector<OperatorPage>
readOperatorPages(const std::vector<std::string> &Addresses,
                  const std::string &Path);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_OPERATOR_CLIENT_H
