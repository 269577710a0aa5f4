#include "core/distribution/part_set.h"

#include "dandelionfall/core/error.h"

#include <utility>

namespace dandelionfall::core {

VersionStamp canonicalStamp(const Manifest &Published) {
  const Version Number = Published.m_Stamp.m_Version;
  return {Number, computeDigest(writeManifest(Number, Published.m_Parts))};
}

VersionStamp stampOf(Version Number, const PartMap &Parts) {
  Manifest Result;
  Result.m_Stamp.m_Version = Number;
  for (const auto &[Name, Value] : Parts)
    Result.m_Parts.emplace_hint(Result.m_Parts.end(), Name, Value->m_Digest);
  return canonicalStamp(Result);
}

PartSetPtr joinParts(const VersionStamp &Stamp, PartMap Parts) {
  if (stampOf(Stamp.m_Version, Parts) != Stamp)
    throw Error(ErrorKind::BadConfiguration,
                "the parts received for version " +
                    std::to_string(Stamp.m_Version) +
                    " do not match its digest",
                "no action is needed, the version is requested again");
  return std::make_shared<const PartSet>(PartSet{Stamp, std::move(Parts)});
}

PartSetPtr applyRecord(const PartSet &Base, const ChangeRecord &Record) {
  if (Record.m_Base != Base.m_Stamp)
    throw Error(ErrorKind::BadConfiguration,
                "change record starts from version " +
                    std::to_string(Record.m_Base.m_Version) + ", not from " +
                    std::to_string(Base.m_Stamp.m_Version),
                "no action is needed, the version is requested again");
  PartMap Parts = Base.m_Parts;
  for (const std::string &Name : Record.m_Removed)
    Parts.erase(Name);
  for (const PartPtr &Changed : Record.m_Changed)
    Parts[Changed->m_Name] = Changed;
  return joinParts(Record.m_Stamp, std::move(Parts));
}

} // namespace dandelionfall::core
