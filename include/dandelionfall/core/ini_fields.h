/// \file
/// Reads the keys of an INI section into a value by a table of keys, with
/// every fault kept. Settings and published configuration share it.
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

/// What every fault of one text has in common.
struct IniSource {
  /// Kind of the errors.
  ErrorKind m_Kind;
  /// Name that faults are reported with.
  std::string m_File;

  /// Makes a fault of this text.
  /// \param Fault what is wrong.
  /// \param Remedy what the author of the text can do.
  /// \param Line the line at fault; 0 where it is no single one.
  /// \returns the error, not thrown.
  Error makeFault(const std::string &Fault, const std::string &Remedy,
                  int Line) const;
};

/// Every fault found so far, in the order of the text.
using FaultList = std::vector<Error>;

/// Sets one field of a value from an entry, or throws Error; a table of these
/// is the list of a section's keys.
template <typename Value> struct KeyHandler {
  std::string_view m_Key;
  void (*m_Set)(Value &, const IniEntry &, const IniSource &);
};

/// A word and the value that it stands for.
template <typename Value> struct NamedValue {
  std::string_view m_Name;
  Value m_Value;
};

/// Makes the fault of a number that is malformed or out of its bounds.
/// \param Entry the entry at fault.
/// \param Source the text it stands in.
/// \param Least the smallest number allowed.
/// \param Most the largest number allowed.
/// \returns the error, not thrown.
Error makeNumberFault(const IniEntry &Entry, const IniSource &Source,
                      const std::string &Least, const std::string &Most);

/// Makes the fault of a key or value that is not among the known ones.
/// \param What the noun, such as `key` or `state`.
/// \param Entry the entry at fault.
/// \param Found the word that is unknown.
/// \param Known the words allowed.
/// \param Source the text it stands in.
/// \returns the error, not thrown.
Error makeUnknownFault(std::string_view What, const IniEntry &Entry,
                       std::string_view Found,
                       const std::vector<std::string_view> &Known,
                       const IniSource &Source);

/// Reads a number.
/// \param Entry the entry that holds it.
/// \param Source the text the entry stands in.
/// \param Least the smallest number allowed.
/// \param Most the largest number allowed.
/// \param Base the base of a whole number.
/// \returns the number.
/// \throws Error if it is malformed or out of bounds.
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
  // Written so that a floating-point NaN is out of bounds.
  if (!IsFullyParsed || !(Value >= Least && Value <= Most))
    throw makeNumberFault(Entry, Source, std::to_string(Least),
                          std::to_string(Most));
  return Value;
}

/// Reads a word that stands for a value.
/// \param Entry the entry that holds it.
/// \param Source the text the entry stands in.
/// \param Names the words allowed.
/// \returns the value of the word.
/// \throws Error if the word is not among them.
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

/// Reads a word that must not be empty.
/// \param Entry the entry that holds it.
/// \param Source the text the entry stands in.
/// \returns the word.
/// \throws Error if it is empty.
std::string parseNonEmptyText(const IniEntry &Entry, const IniSource &Source);

/// Reads an address of the form `IP:PORT`, or `[IP]:PORT` for version 6.
/// \param Entry the entry that holds it.
/// \param Source the text the entry stands in.
/// \returns the address as written.
/// \throws Error if the IP is no number or the port is not from 1 to 65535.
std::string parseAddress(const IniEntry &Entry, const IniSource &Source);

/// Sets a value's fields from a section.
/// \param Target the value; fields whose entries have a fault stay as they are.
/// \param Section the section.
/// \param Source the text it stands in.
/// \param Handlers the section's keys.
/// \param Faults receives a fault for each entry that is unknown or refused.
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

/// Adds a fault for each key that a section lacks.
/// \param Section the section.
/// \param Source the text it stands in.
/// \param Keys the keys that it must have.
/// \param Faults receives the faults.
void requireKeys(const IniSection &Section, const IniSource &Source,
                 std::span<const std::string_view> Keys, FaultList &Faults);

} // namespace dandelionfall::core

#endif // DANDELIONFALL_CORE_INI_FIELDS_H
