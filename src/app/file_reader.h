/// \file
/// Reads whole files of bounded size.
#ifndef DANDELIONFALL_SRC_APP_FILE_READER_H
#define DANDELIONFALL_SRC_APP_FILE_READER_H

#include <string>

namespace dandelionfall::app {

/// Reads a file.
/// \param File the file's name.
/// \returns its content.
/// \throws Error of kind UnreadableFile if it can't be read or is larger than a
/// published value may be.
std::string readFile(const std::string &File);

} // namespace dandelionfall::app

#endif // DANDELIONFALL_SRC_APP_FILE_READER_H
