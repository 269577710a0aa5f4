#include "app/flag_parser.h"

#include "dandelionfall/core/error.h"

#include <absl/flags/reflection.h>

#include <algorithm>

namespace dandelionfall::app {

namespace {

constexpr std::string_view FlagPrefix = "--";

[[noreturn]] void throwFault(const std::string &Fault,
                             const std::string &Remedy) {
  throw core::Error(core::ErrorKind::Usage, Fault, Remedy);
}

std::string helpRemedy(const Command &Allowed) {
  return "see dandelionfall " + std::string(Allowed.m_Name) + " --help";
}

absl::CommandLineFlag &findFlag(std::string_view Name, const Command &Allowed) {
  const auto &Names = Allowed.m_Flags;
  if (std::find(Names.begin(), Names.end(), Name) == Names.end())
    throwFault("unknown flag --" + std::string(Name), helpRemedy(Allowed));
  return *absl::FindCommandLineFlag({Name.data(), Name.size()});
}

void setFlag(std::string_view Name, const std::string &Value,
             const Command &Allowed) {
  std::string Fault;
  if (!findFlag(Name, Allowed).ParseFrom(Value, &Fault))
    throwFault("'" + Value + "' is no value for --" + std::string(Name),
               helpRemedy(Allowed));
}

// Tests run several commands in one process; each starts with default flags.
void resetFlags(const Command &Allowed) {
  for (const std::string_view Name : Allowed.m_Flags)
    setFlag(Name, findFlag(Name, Allowed).DefaultValue(), Allowed);
}

} // namespace

ParsedArguments parseFlags(const std::vector<std::string> &Arguments,
                           const Command &Allowed) {
  resetFlags(Allowed);
  ParsedArguments Parsed;
  for (auto Next = Arguments.begin(); Next != Arguments.end(); ++Next) {
    if (*Next == "--help" || *Next == "--version") {
      (*Next == "--help" ? Parsed.m_Help : Parsed.m_Version) = true;
      continue;
    }
    if (*Next == FlagPrefix) {
      Parsed.m_Operands.insert(Parsed.m_Operands.end(), Next + 1,
                               Arguments.end());
      break;
    }
    if (!Next->starts_with('-') || Next->size() == 1) {
      Parsed.m_Operands.push_back(*Next);
      continue;
    }
    if (!Next->starts_with(FlagPrefix))
      throwFault("unknown flag " + *Next, helpRemedy(Allowed));
    const std::string Flag = Next->substr(FlagPrefix.size());
    const std::size_t Equals = Flag.find('=');
    if (Equals != std::string::npos) {
      setFlag(Flag.substr(0, Equals), Flag.substr(Equals + 1), Allowed);
      continue;
    }
    findFlag(Flag, Allowed);
    if (Next + 1 == Arguments.end())
      throwFault("flag --" + Flag + " lacks its value", helpRemedy(Allowed));
    ++Next;
    setFlag(Flag, *Next, Allowed);
  }
  return Parsed;
}

std::string describeFlags(const Command &Described) {
  std::string Text;
  for (const std::string_view Name : Described.m_Flags) {
    const absl::CommandLineFlag &Flag =
        *absl::FindCommandLineFlag({Name.data(), Name.size()});
    Text.append("  --").append(Name).append("=VALUE  ").append(Flag.Help());
    const std::string Default = Flag.DefaultValue();
    if (!Default.empty())
      Text.append(" (default ").append(Default).append(")");
    Text.append("\n");
  }
  return Text;
}

} // namespace dandelionfall::app
