/// \file
/// Typed errors whose messages state the location, if known, the fault and how
/// to fix it.
#ifndef DANDELIONFALL_CORE_ERROR_H
#define DANDELIONFALL_CORE_ERROR_H

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dandelionfall::core {

/// Kinds of error; the table in error.cpp defines their names and exit codes.
enum class ErrorKind : std::uint8_t {
  Usage,            ///< The command line is invalid.
  UnreadableFile,   ///< A named file can't be read.
  BadSettings,      ///< A settings file has a fault.
  BadConfiguration, ///< A published value has a fault.
  AddressInUse,     ///< A listening address can't be bound.
  ConnectionFailed, ///< A peer can't be reached or stopped answering.
  MalformedMessage, ///< A peer sent data that can't be decoded.
  Internal,         ///< An invariant of the program does not hold.
};

/// Name and exit code of an error kind.
struct ErrorKindInfo {
  ErrorKind m_Kind;
  std::string_view m_Name;
  int m_ExitCode;
};

/// \returns the name of \p Kind and the exit code of a process that ends with
/// such an error.
const ErrorKindInfo &describe(ErrorKind Kind);

/// Location of a fault; the line is 0 if the fault has no single line.
struct SourceLocation {
  std::string m_File;
  int m_Line = 0;
  friend auto operator<=>(const SourceLocation &,
                          const SourceLocation &) = default;
};

/// An error with its kind, location, fault and remedy; `what()` combines
/// location, fault and remedy in one line.
class Error : public std::runtime_error {
public:
  /// \param Kind the kind of error.
  /// \param Fault what went wrong.
  /// \param Remedy how the reader of the message can fix it.
  /// \param Location the location; an empty file name means that there is none.
  Error(ErrorKind Kind, const std::string &Fault, const std::string &Remedy,
        const SourceLocation &Location = {});

  ErrorKind kind() const { return m_Kind; }
  const std::string &fault() const { return m_Fault; }
  const std::string &remedy() const { return m_Remedy; }
  const SourceLocation &location() const { return m_Location; }

private:
  ErrorKind m_Kind;
  std::string m_Fault;
  std::string m_Remedy;
  SourceLocation m_Location;
};

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_ERROR_H
