/// \file
/// Checks published values in files before they are published.
#ifndef DANDELIONFALL_SRC_APP_PUBLISHED_FILES_H
#define DANDELIONFALL_SRC_APP_PUBLISHED_FILES_H

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/error.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionfall::app {

/// Determines the name of the published value that a text contains.
/// \param Text the text.
/// \param File name of its file; it supplies the service name if the text has
/// none.
/// \returns `manifest`, `hosts`, `zones`, `profiles` or `service/NAME`; empty
/// if the text is none of these.
std::optional<std::string> findPublishedName(std::string_view Text,
                                             const std::string &File);

/// Set of files that make up one published configuration.
class PublishedFiles {
public:
  /// Adds a value.
  /// \param Name its name, such as `zones` or `service/slotboard`.
  /// \param Text its text.
  /// \param File the file name for fault reports.
  void add(const std::string &Name, std::string Text, const std::string &File);

  /// Adds the values in a directory: one file per value, with services in the
  /// subdirectory `service`.
  /// \param Directory the directory's name.
  /// \throws Error of kind UnreadableFile.
  void addDirectory(const std::string &Directory);

  /// \returns whether no value has been added.
  bool empty() const { return m_Files.empty(); }

  /// \returns all faults, with file, line and remedy.
  std::vector<core::Error> check() const;

private:
  core::Error mapToFile(const core::Error &Fault) const;

  std::map<std::string, std::string, std::less<>> m_Files;
  core::PartMap m_Parts;
  std::optional<std::string> m_Manifest;
  std::optional<std::string> m_Hosts;
};

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_PUBLISHED_FILES_H
