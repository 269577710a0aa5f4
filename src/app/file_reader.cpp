#include "app/file_reader.h"

#include "dandelionfall/core/configuration_reader.h"
#include "dandelionfall/core/error.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace dandelionfall::app {

namespace {

[[noreturn]] void throwFault(const std::string &File, const std::string &Fault,
                             const std::string &Remedy) {
  throw core::Error(core::ErrorKind::UnreadableFile, Fault, Remedy, {File, 0});
}

} // namespace

std::string readFile(const std::string &File) {
  std::error_code Code;
  if (std::filesystem::is_directory(File, Code))
    throwFault(File, "is a directory", "name a file");
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    throwFault(File, "can't be read: " + std::string(std::strerror(errno)),
               "name a file that exists and that this user may read");
  std::string Text(core::MaxValueBytes + 1, '\0');
  Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (Stream.bad())
    throwFault(File, "can't be read completely", "check the file system");
  Text.resize(static_cast<std::size_t>(Stream.gcount()));
  if (Text.size() > core::MaxValueBytes)
    throwFault(File, "is larger than 1 MB", "split it into smaller parts");
  return Text;
}

} // namespace dandelionfall::app
