/// \file
/// Typed errors; each message names the fault, its place where there is one,
/// and the remedy.
#ifndef DANDELIONFALL_CORE_ERROR_H
#define DANDELIONFALL_CORE_ERROR_H

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dandelionfall::core {

/// Kinds of error; their names and exit codes stand in one table in error.cpp.
enum class ErrorKind : std::uint8_t {
  Usage,            ///< The command line is wrong.
  UnreadableFile,   ///< A named file can't be read.
  BadSettings,      ///< A settings file has a fault.
  BadConfiguration, ///< A published value has a fault.
  AddressInUse,     ///< A listening address can't be bound.
  ConnectionFailed, ///< A peer can't be reached or stopped answering.
  MalformedMessage, ///< A peer sent bytes that don't decode.
  Internal,         ///< An invariant of the program does not hold.
};

/// Describes one kind of error.
struct ErrorKindInfo {
  ErrorKind m_Kind;
  std::string_view m_Name;
  int m_ExitCode;
};

/// Looks a kind up in the table of kinds.
/// \param Kind the kind.
/// \returns its name and the exit code of a process that ends with it.
const ErrorKindInfo &describe(ErrorKind Kind);

/// Where a fault was found; the line is 0 where no single line is at fault.
struct SourceLocation {
  std::string m_File;
  int m_Line = 0;
  friend auto operator<=>(const SourceLocation &,
                          const SourceLocation &) = default;
};

/// An error with its kind, place, fault and remedy; `what()` holds all of it in
/// one line.
class Error : public std::runtime_error {
public:
  /// \param Kind what went wrong, as a kind.
  /// \param Fault what went wrong, in words.
  /// \param Remedy what the reader of the message can do.
  /// \param Location the place of the fault; an empty file name means none.
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
