#include "app/command.h"
#include "app/file_reader.h"
#include "app/published_files.h"
#include "dandelionfall/app/settings.h"
#include "dandelionfall/core/error.h"

#include <filesystem>
#include <iostream>
#include <limits>

namespace dandelionfall::app {

namespace {

/// Checks the operands and reports their faults.
class Checker {
public:
  void check(const std::string &Operand) {
    std::error_code Ignored;
    try {
      if (std::filesystem::is_directory(Operand, Ignored))
        checkDirectory(Operand);
      else
        checkFile(Operand);
    } catch (const core::Error &Fault) {
      report({Fault}, Operand);
    }
  }

  // Published values given as single files form one configuration, which is
  // checked when all have been read.
  void finish() {
    if (!m_SingleFiles.empty())
      report(m_SingleFiles.check(), "published configuration");
  }

  int exitCode() const { return m_ExitCode; }

private:
  void checkDirectory(const std::string &Directory) {
    PublishedFiles Files;
    Files.addDirectory(Directory);
    if (Files.empty())
      throw core::Error(core::ErrorKind::UnreadableFile, "is empty",
                        "name the directory of a published configuration",
                        {Directory, 0});
    report(Files.check(), Directory);
  }

  void checkFile(const std::string &File) {
    std::string Text = readFile(File);
    const std::optional<std::string> Name = findPublishedName(Text, File);
    if (Name)
      return m_SingleFiles.add(*Name, std::move(Text), File);
    Settings Ignored;
    report(checkSettings(Text, File, Ignored), File);
  }

  void report(const std::vector<core::Error> &Faults,
              const std::string &Subject) {
    for (const core::Error &Fault : Faults)
      std::cerr << Fault.what() << "\n";
    if (Faults.empty())
      std::cout << Subject << ": no faults\n";
    else if (m_ExitCode == 0)
      m_ExitCode = core::describe(Faults.front().kind()).m_ExitCode;
  }

  PublishedFiles m_SingleFiles;
  int m_ExitCode = 0;
};

int run(const Operands &Given) {
  Checker OperandChecker;
  for (const std::string &Operand : Given)
    OperandChecker.check(Operand);
  OperandChecker.finish();
  return OperandChecker.exitCode();
}

} // namespace

const Command CheckCommand = {
    "check",
    "FILE...",
    "reports every fault of settings files and of published configurations",
    {},
    1,
    std::numeric_limits<std::size_t>::max(),
    run};

} // namespace dandelionfall::app
