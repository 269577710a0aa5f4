#include "dandelionfall/core/error.h"

#include <array>

namespace dandelionfall::core {

namespace {

// Indexed by ErrorKind. The exit codes are documented in docs/OPERATIONS.md.
constexpr std::array Kinds = {
    ErrorKindInfo{ErrorKind::Usage, "usage", 2},
    ErrorKindInfo{ErrorKind::UnreadableFile, "unreadable file", 3},
    ErrorKindInfo{ErrorKind::BadSettings, "bad settings", 4},
    ErrorKindInfo{ErrorKind::BadConfiguration, "bad configuration", 5},
    ErrorKindInfo{ErrorKind::AddressInUse, "address in use", 6},
    ErrorKindInfo{ErrorKind::ConnectionFailed, "connection failed", 7},
    ErrorKindInfo{ErrorKind::MalformedMessage, "malformed message", 8},
    ErrorKindInfo{ErrorKind::Internal, "internal error", 70},
};

std::string formatMessage(const std::string &Fault, const std::string &Remedy,
                          const SourceLocation &Location) {
  std::string Text;
  if (!Location.m_File.empty()) {
    Text += Location.m_File + ":";
    if (Location.m_Line > 0)
      Text += std::to_string(Location.m_Line) + ":";
    Text += " ";
  }
  Text += Fault;
  if (!Remedy.empty())
    Text += "; " + Remedy;
  return Text;
}

} // namespace

const ErrorKindInfo &describe(ErrorKind Kind) {
  return Kinds.at(static_cast<std::size_t>(Kind));
}

Error::Error(ErrorKind Kind, const std::string &Fault,
             const std::string &Remedy, const SourceLocation &Location)
    : std::runtime_error(formatMessage(Fault, Remedy, Location)), m_Kind(Kind),
      m_Fault(Fault), m_Remedy(Remedy), m_Location(Location) {}

} // namespace dandelionfall::core
