#include "app/published_files.h"

#include "app/file_reader.h"
#include "dandelionfall/core/host_list.h"
#include "dandelionfall/core/ini_document.h"

#include <filesystem>
#include <set>

namespace dandelionfall::app {

namespace {

using core::Error;
using core::ErrorKind;

constexpr std::string_view ManifestName = "manifest";
constexpr std::string_view HostsName = "hosts";
constexpr std::string_view ServiceDirectory = "service";

/// Section type that occurs in only one kind of value.
struct SectionOwner {
  std::string_view m_SectionType;
  std::string_view m_ValueName;
};

constexpr SectionOwner SectionOwners[] = {
    {"manifest", ManifestName}, {"hosts", HostsName},    {"host", HostsName},
    {"zone", "zones"},          {"profile", "profiles"},
};

std::string serviceName(std::string_view Name) {
  return std::string(ServiceDirectory) + "/" + std::string(Name);
}

bool isServiceSection(const core::IniSection &Section) {
  return !Section.m_Name.empty() &&
         (Section.m_Type == "service" || Section.m_Type == "route" ||
          Section.m_Type == "target");
}

std::vector<std::filesystem::path> listFiles(const std::string &Directory) {
  std::set<std::filesystem::path> Files;
  std::error_code Code;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Directory, Code)) {
    if (!Entry.is_directory()) {
      Files.insert(Entry.path());
      continue;
    }
    if (Entry.path().filename() != ServiceDirectory)
      continue;
    for (const auto &Service :
         std::filesystem::directory_iterator(Entry.path(), Code))
      Files.insert(Service.path());
  }
  if (Code)
    throw Error(ErrorKind::UnreadableFile, "can't be read: " + Code.message(),
                "name a directory that this user may read", {Directory, 0});
  return {Files.begin(), Files.end()};
}

// Derives the name of a value from its file name, for text that can't be
// parsed.
std::optional<std::string> nameFromPath(const std::string &File) {
  const std::filesystem::path Path(File);
  const std::string Name = Path.filename().string();
  if (Path.parent_path().filename() == ServiceDirectory)
    return serviceName(Name);
  for (const SectionOwner &Owner : SectionOwners) {
    if (Owner.m_ValueName == Name)
      return Name;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string> findPublishedName(std::string_view Text,
                                             const std::string &File) {
  core::IniDocument Document;
  try {
    Document = core::parseIni(Text, File, ErrorKind::BadConfiguration);
  } catch (const Error &) {
    return nameFromPath(File);
  }
  bool IsService = false;
  for (const core::IniSection &Section : Document.m_Sections) {
    for (const SectionOwner &Owner : SectionOwners) {
      if (Section.m_Type == Owner.m_SectionType)
        return std::string(Owner.m_ValueName);
    }
    if (Section.m_Type == "service" && !Section.m_Name.empty())
      return serviceName(Section.m_Name);
    IsService = IsService || isServiceSection(Section);
  }
  if (!IsService)
    return std::nullopt;
  return serviceName(std::filesystem::path(File).filename().string());
}

void PublishedFiles::add(const std::string &Name, std::string Text,
                         const std::string &File) {
  m_Files[Name] = File;
  if (Name == ManifestName)
    m_Manifest = std::move(Text);
  else if (Name == HostsName)
    m_Hosts = std::move(Text);
  else
    m_Parts[Name] = core::makePart(Name, std::move(Text));
}

void PublishedFiles::addDirectory(const std::string &Directory) {
  for (const std::filesystem::path &File : listFiles(Directory)) {
    const std::string Name =
        std::filesystem::relative(File, Directory).generic_string();
    add(Name, readFile(File.string()), File.string());
  }
}

std::vector<Error> PublishedFiles::check() const {
  std::vector<Error> Faults;
  const auto AddFault = [this, &Faults](const Error &Fault) {
    Faults.push_back(mapToFile(Fault));
  };
  std::optional<core::Manifest> ParsedManifest;
  try {
    if (m_Manifest)
      ParsedManifest = core::readManifest(*m_Manifest);
  } catch (const Error &Fault) {
    AddFault(Fault);
  }
  try {
    if (m_Hosts)
      core::readHostList(*m_Hosts);
  } catch (const Error &Fault) {
    AddFault(Fault);
  }
  if (!ParsedManifest && m_Parts.empty())
    return Faults;
  for (const Error &Fault :
       ParsedManifest ? core::checkConfiguration(*ParsedManifest, m_Parts)
                      : core::checkConfiguration(m_Parts))
    AddFault(Fault);
  return Faults;
}

Error PublishedFiles::mapToFile(const Error &Fault) const {
  const auto File = m_Files.find(Fault.location().m_File);
  if (File == m_Files.end())
    return Fault;
  return {Fault.kind(),
          Fault.fault(),
          Fault.remedy(),
          {File->second, Fault.location().m_Line}};
}

} // namespace dandelionfall::app
