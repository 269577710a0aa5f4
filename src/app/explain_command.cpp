#include "app/command.h"

#include "dandelionfall/core/error.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <limits>
#include <set>
#include <sstream>
#include <string>
#include <string_view>

namespace dandelionfall::app {

namespace {

/// Returns the value of `KEY=VALUE` in a log line; empty if the key is absent.
std::string findValue(std::string_view Line, const std::string &Key) {
  const std::string Prefix = Key + "=";
  for (std::size_t Found = Line.find(Prefix); Found != std::string_view::npos;
       Found = Line.find(Prefix, Found + 1)) {
    const bool IsKeyStart =
        Found == 0 || Line[Found - 1] == ' ' || Line[Found - 1] == '"';
    if (!IsKeyStart)
      continue;
    const std::size_t Begin = Found + Prefix.size();
    return std::string(
        Line.substr(Begin, Line.find_first_of(" \"", Begin) - Begin));
  }
  return {};
}

/// Returns the ids of all attempts of a request, from the line that reports its
/// outcome. All attempts share the incarnation of the ingress.
std::set<std::string> collectAttemptIds(std::string_view Line) {
  const std::string Last = findValue(Line, "request");
  const std::string Ingress = Last.substr(0, Last.find('/'));
  std::set<std::string> Result;
  if (!Last.empty())
    Result.insert(Last);
  const std::size_t Begin = Line.find("tries=");
  if (Begin == std::string_view::npos)
    return Result;
  std::istringstream Attempts(std::string(Line.substr(Begin + 6)));
  for (std::string Attempt; std::getline(Attempts, Attempt, ',');) {
    const std::size_t End = Attempt.find('@');
    if (End != std::string::npos && End > 0)
      Result.insert(Ingress + "/" + Attempt.substr(0, End));
  }
  return Result;
}

struct LogLine {
  std::string m_Time;
  std::string m_Text;
};

std::vector<LogLine> readLines(const Operands &Files) {
  std::vector<LogLine> Lines;
  for (const std::string &File : Files) {
    std::ifstream Text(File);
    if (!Text)
      throw core::Error(core::ErrorKind::UnreadableFile,
                        "can't read '" + File + "'",
                        "name a log file that exists and is readable");
    for (std::string Line; std::getline(Text, Line);) {
      // Logs are large; only lines about requests are stored.
      if (Line.find("caller_id=") != std::string::npos ||
          Line.find("request=") != std::string::npos)
        Lines.push_back({findValue(Line, "time"), Line});
    }
  }
  return Lines;
}

int run(const Operands &Given) {
  const std::string &Id = Given.front();
  std::vector<LogLine> Lines = readLines({Given.begin() + 1, Given.end()});
  std::set<std::string> Requests;
  for (const LogLine &Each : Lines) {
    if (findValue(Each.m_Text, "caller_id") != Id)
      continue;
    const std::set<std::string> Attempts = collectAttemptIds(Each.m_Text);
    Requests.insert(Attempts.begin(), Attempts.end());
  }
  std::erase_if(Lines, [&](const LogLine &Each) {
    return findValue(Each.m_Text, "caller_id") != Id &&
           !Requests.contains(findValue(Each.m_Text, "request"));
  });
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.m_Time < Right.m_Time;
                   });
  if (Lines.empty())
    throw core::Error(core::ErrorKind::Usage,
                      "no log line mentions the request '" + Id + "'",
                      "give the log of the node that the caller connected to; "
                      "under load only a sample of the requests is logged");
  for (const LogLine &Each : Lines)
    std::cout << Each.m_Text << "\n";
  return 0;
}

} // namespace

const Command ExplainCommand = {
    "explain",
    "ID FILE...",
    "shows the log lines about a caller's request from all logs, by time",
    {},
    2,
    std::numeric_limits<std::size_t>::max(),
    run};

} // namespace dandelionfall::app
