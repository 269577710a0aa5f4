/// \file
/// What the platform stand-in has published: versions of the configuration, and
/// the host list.
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

/// Published versions and the changes that wait for the next commit.
class PublishedStore {
public:
  PublishedStore();

  /// Publishes every file under a directory as version 1; the file `hosts` is
  /// the host list.
  /// \param Directory its name; parts are named by the path below it.
  /// \throws core::Error of kind UnreadableFile.
  void load(const std::string &Directory);

  /// Stages a part for the next commit.
  /// \param Name the part's name.
  /// \param Text its new text.
  void stage(const std::string &Name, std::string Text);

  /// Stages the removal of a part.
  /// \param Name the part's name.
  /// \returns whether the part was staged or published.
  bool unstage(const std::string &Name);

  /// Publishes the staged parts as the next version.
  /// \returns the new version.
  core::Version commit();

  /// Publishes a manifest as it stands, with the parts of the current version.
  /// \param Text the manifest, which may be malformed.
  /// \returns the new version as the store counts it.
  core::Version publishRawManifest(std::string Text);

  /// Publishes a host list.
  /// \param Text the list; without a [hosts] section it gets one with the next
  /// revision.
  void setHosts(std::string Text);

  /// \returns the newest version.
  const SnapshotPtr &current() const { return m_Versions.back(); }

  /// Finds an earlier version that is still kept.
  /// \param Number its number.
  /// \returns the version, or null.
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
