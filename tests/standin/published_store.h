/// \file
/// The values published by the platform stand-in: versions of the configuration
/// and the host list.
#ifndef DANDELIONFALL_STANDIN_PUBLISHED_STORE_H
#define DANDELIONFALL_STANDIN_PUBLISHED_STORE_H

#include "dandelionfall/core/configuration_reader.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace dandelionfall::standin {

/// One published version.
struct Snapshot {
  core::Version m_Version = 0;
  std::string m_Manifest;
  core::PartMap m_Parts;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// One published host list.
struct HostList {
  std::uint64_t m_Revision = 0;
  std::string m_Text;
};

/// Stores the last 16 published versions, the host list, and the staged changes
/// for the next commit.
class PublishedStore {
public:
  PublishedStore();

  /// Publishes every file under a directory as a part of version 1, except the
  /// file `hosts`, which becomes the host list.
  /// \param Directory its path; a part is named by its path below it.
  /// \throws core::Error of kind UnreadableFile if the directory or a file
  /// cannot be read.
  void load(const std::string &Directory);

  /// Stages a part for the next commit.
  void stage(const std::string &Name, std::string Text);

  /// Stages the removal of a part.
  /// \returns false if there is no such part among those staged or published.
  bool unstage(const std::string &Name);

  /// Publishes the staged parts as the next version.
  /// \returns the new version.
  core::Version commit();

  /// Publishes a manifest unchecked and unchanged, with the parts of the
  /// current version.
  /// \param Text the manifest, which may be malformed.
  /// \returns the number under which the store records the new version; the
  /// manifest may state another.
  core::Version publishRawManifest(std::string Text);

  /// Publishes a host list.
  /// \param Text the list; if it has no [hosts] section, one with the next
  /// revision is added.
  void setHosts(std::string Text);

  /// \returns the newest version.
  const SnapshotPtr &current() const { return m_Versions.back(); }

  /// Finds one of the stored versions.
  /// \returns the version, or null if it is unknown or no longer stored.
  SnapshotPtr find(core::Version Number) const;

  /// \returns the newest host list.
  const HostList &hosts() const { return m_Hosts; }

private:
  void publish(Snapshot Next);

  core::PartMap m_Staged;
  std::deque<SnapshotPtr> m_Versions;
  HostList m_Hosts;
};

} // namespace dandelionfall::standin

#endif // DANDELIONFALL_STANDIN_PUBLISHED_STORE_H
