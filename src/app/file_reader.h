/// \file
/// Reads files of bounded size into memory.
#ifndef DANDELIONFALL_SRC_APP_FILE_READER_H
#define DANDELIONFALL_SRC_APP_FILE_READER_H

#include <string>

namespace dandelionfall::app {

/// Reads a complete file.
/// \param File the file's name.
/// \returns its content.
/// \throws Error of kind UnreadableFile if the file can't be read or exceeds
/// the size limit of a published value.
std::string readFile(const std::string &File);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_FILE_READER_H
