/// \file
/// Table-driven parsing of INI sections into structures; collects all faults
/// instead of stopping at the first. Used for settings and for the published
/// configuration.
#ifndef DANDELIONFALL_CORE_INI_FIELDS_H
#define DANDELIONFALL_CORE_INI_FIELDS_H

#include "dandelionfall/core/error.h"
#include "dandelionfall/core/ini_document.h"

#include <charconv>
#include <cstddef>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace dandelionfall::core {

/// Error kind and file name shared by all faults of one text.
struct IniSource {
  /// Kind of the errors.
  ErrorKind m_Kind;
  /// File name used in error messages.
  std::string m_File;

  /// Creates an error without throwing it.
  /// \param Fault what is wrong.
  /// \param Remedy how to fix it.
  /// \param Line the line number; 0 if the fault has no single line.
  Error makeFault(const std::string &Fault, const std::string &Remedy,
                  int Line) const;
};

/// Faults in the order in which they were found.
using FaultList = std::vector<Error>;

/// A key and the function that parses its entry into a structure, which throws
/// Error for an invalid value. A table of handlers defines the keys of a
/// section.
template <typename Value> struct KeyHandler {
  std::string_view m_Key;
  void (*m_Set)(Value &, const IniEntry &, const IniSource &);
};

/// Maps a name to a value, usually an enumerator.
template <typename Value> struct NamedValue {
  std::string_view m_Name;
  Value m_Value;
};

/// Creates the error for a malformed or out-of-range number without throwing
/// it.
/// \param Entry the invalid entry.
/// \param Source the text that contains the entry.
/// \param Least the minimum.
/// \param Most the maximum.
Error makeNumberFault(const IniEntry &Entry, const IniSource &Source,
                      const std::string &Least, const std::string &Most);

/// Creates the error for an unknown key or value without throwing it.
/// \param What the noun for the message, such as `key` or `state`.
/// \param Entry the invalid entry.
/// \param Found the unknown name.
/// \param Known the allowed names.
/// \param Source the text that contains the entry.
Error makeUnknownFault(std::string_view What, const IniEntry &Entry,
                       std::string_view Found,
                       const std::vector<std::string_view> &Known,
                       const IniSource &Source);

/// Parses the value of an entry as a number.
/// \param Entry the entry.
/// \param Source the text that contains the entry.
/// \param Least the minimum.
/// \param Most the maximum.
/// \param Base the base; used for integers only.
/// \throws Error if the value is malformed or out of range.
template <typename Number>
Number
parseNumber(const IniEntry &Entry, const IniSource &Source, Number Least = 0,
            Number Most = std::numeric_limits<Number>::max(), int Base = 10) {
  Number Value{};
  const char *Begin = Entry.m_Value.data();
  const char *End = Begin + Entry.m_Value.size();
  std::from_chars_result Result{};
  if constexpr (std::is_floating_point_v<Number>)
    Result = std::from_chars(Begin, End, Value);
  else
    Result = std::from_chars(Begin, End, Value, Base);
  const bool IsFullyParsed = Result.ec == std::errc() && Result.ptr == End;
  // The complete condition is negated so that it rejects NaN.
  if (!IsFullyParsed || !(Value >= Least && Value <= Most))
    throw makeNumberFault(Entry, Source, std::to_string(Least),
                          std::to_string(Most));
  return Value;
}

/// Parses the value of an entry as one of a set of names.
/// \param Entry the entry.
/// \param Source the text that contains the entry.
/// \param Names the allowed names.
/// \returns the value that the name maps to.
/// \throws Error if the name is not allowed.
template <typename Value, std::size_t Count>
Value parseNamedValue(const IniEntry &Entry, const IniSource &Source,
                      const NamedValue<Value> (&Names)[Count]) {
  std::vector<std::string_view> Known;
  for (const NamedValue<Value> &Each : Names) {
    if (Each.m_Name == Entry.m_Value)
      return Each.m_Value;
    Known.push_back(Each.m_Name);
  }
  throw makeUnknownFault(Entry.m_Key, Entry, Entry.m_Value, Known, Source);
}

/// Returns the value of an entry that must not be empty.
/// \param Entry the entry.
/// \param Source the text that contains the entry.
/// \throws Error if the value is empty.
std::string parseNonEmptyText(const IniEntry &Entry, const IniSource &Source);

/// Validates an address of the form `IP:PORT`, or `[IP]:PORT` for IPv6.
/// \param Entry the entry.
/// \param Source the text that contains the entry.
/// \returns the address as written.
/// \throws Error if the IP address is not numeric or the port is not between 1
/// and 65535.
std::string parseAddress(const IniEntry &Entry, const IniSource &Source);

/// Parses the entries of a section into a structure.
/// \param Target the structure; fields with invalid entries stay unchanged.
/// \param Section the section.
/// \param Source the text that contains the section.
/// \param Handlers the keys of the section.
/// \param Faults receives a fault for each unknown key and each invalid value.
template <typename Value, std::size_t Count>
void readEntries(Value &Target, const IniSection &Section,
                 const IniSource &Source,
                 const KeyHandler<Value> (&Handlers)[Count],
                 FaultList &Faults) {
  for (const IniEntry &Entry : Section.m_Entries) {
    const KeyHandler<Value> *Found = nullptr;
    for (const KeyHandler<Value> &Handler : Handlers) {
      if (Handler.m_Key == Entry.m_Key)
        Found = &Handler;
    }
    if (Found == nullptr) {
      std::vector<std::string_view> Known;
      for (const KeyHandler<Value> &Handler : Handlers)
        Known.push_back(Handler.m_Key);
      Faults.push_back(
          makeUnknownFault("key", Entry, Entry.m_Key, Known, Source));
      continue;
    }
    try {
      Found->m_Set(Target, Entry, Source);
    } catch (const Error &Fault) {
      Faults.push_back(Fault);
    }
  }
}

/// Adds a fault for each required key that a section lacks.
/// \param Section the section.
/// \param Source the text that contains the section.
/// \param Keys the required keys.
/// \param Faults receives the faults.
void requireKeys(const IniSection &Section, const IniSource &Source,
                 std::span<const std::string_view> Keys, FaultList &Faults);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INI_FIELDS_H
