/// \file
/// Published values that lie in files, for checking before they are published.
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

/// Tells which published value a text is.
/// \param Text the text.
/// \param File the name of its file, which names a service that its own text
/// does not name.
/// \returns `manifest`, `hosts`, `zones`, `profiles` or `service/NAME`; nothing
/// if the text is none of these.
std::optional<std::string> findPublishedName(std::string_view Text,
                                             const std::string &File);

/// The files that make up one configuration.
class PublishedFiles {
public:
  /// Adds a value.
  /// \param Name its name, such as `zones` or `service/slotboard`.
  /// \param Text its text.
  /// \param File the file that faults are reported with.
  void add(const std::string &Name, std::string Text, const std::string &File);

  /// Adds the values of a directory: a file for each value, services in the
  /// directory `service`.
  /// \param Directory the directory's name.
  /// \throws Error of kind UnreadableFile.
  void addDirectory(const std::string &Directory);

  /// \returns whether there is no value.
  bool empty() const { return m_Files.empty(); }

  /// \returns every fault with file, line and remedy.
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
