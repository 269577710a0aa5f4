#include "core/quota/team_accounts.h"

#include "core/quota/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelionfall::core::quota {

namespace {

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

GateNames without(const GateNames &From, const GateNames &Removed) {
  GateNames Result;
  std::set_difference(From.begin(), From.end(), Removed.begin(), Removed.end(),
                      std::back_inserter(Result));
  return Result;
}

} // namespace

std::vector<RoleChange>
TeamAccounts::onConfiguration(const ConfigurationPtr &Next, TimePoint Now) {
  const Configuration &Config = *Next;
  m_Freshness.setApplied(Config.m_Stamp.m_Version);
  std::vector<RoleChange> Changes;
  // Without teams, the gates are looked up only once there are some.
  if (Config.m_Teams == nullptr && m_Accounts.empty()) {
    m_WithoutTeams = Next;
    return Changes;
  }
  if (m_WithoutTeams != nullptr)
    m_Gates = gatesOf(*std::exchange(m_WithoutTeams, nullptr));
  GateNames Gates = gatesOf(Config);
  const GateNames Added = without(Gates, m_Gates);
  const GateNames Removed = without(m_Gates, Gates);
  // Without an earlier version, a team may be an old one.
  const bool SameGates = !m_Gates.empty() && Added.empty() && Removed.empty();
  m_Gates = std::move(Gates);
  m_IsListed = std::binary_search(m_Gates.begin(), m_Gates.end(),
                                  GateName{m_OwnHash, m_Options.m_GateAddress});
  for (auto &[Name, Entry] : m_Accounts)
    Entry.m_Seen = false;
  const std::vector<Team> NoTeams;
  for (const Team &Each :
       Config.m_Teams != nullptr ? Config.m_Teams->teams() : NoTeams) {
    if (Each.m_Quota.m_RatePerSecond <= 0)
      continue;
    const auto [Found, IsNew] = m_Accounts.try_emplace(Each.m_Name);
    Account &Entry = Found->second;
    Entry.m_Seen = true;
    if (IsNew) {
      Entry.m_Hash = hashOfName(Each.m_Name);
      countAbove(Entry, m_Gates, true);
    } else {
      countAbove(Entry, Added, true);
      countAbove(Entry, Removed, false);
    }
    const bool Had = Entry.m_Bucket.has_value();
    QuotaShare Share =
        shareOf(Each.m_Quota, m_Options.m_Tolerance, m_Gates.size());
    if (!m_IsListed || Entry.m_Above >= Share.m_Accountants)
      Share = {};
    applyShare(Entry, Share, IsNew && SameGates, Now);
    if (Entry.m_Bucket.has_value() != Had)
      Changes.push_back({Each.m_Name, !Had});
  }
  std::erase_if(m_Accounts, [&Changes](const auto &Each) {
    if (Each.second.m_Seen)
      return false;
    if (Each.second.m_Bucket)
      Changes.push_back({Each.first, false});
    return true;
  });
  m_RoleCount = static_cast<std::size_t>(
      std::count_if(m_Accounts.begin(), m_Accounts.end(), [](const auto &Each) {
        return Each.second.m_Bucket.has_value();
      }));
  return Changes;
}

void TeamAccounts::countAbove(Account &Entry, const GateNames &Gates,
                              bool Added) const {
  const std::uint64_t Own = accountantRank(m_OwnHash, Entry.m_Hash);
  for (const GateName &Each : Gates) {
    if (accountantRank(Each.m_Hash, Entry.m_Hash) <= Own)
      continue;
    Entry.m_Above += Added ? 1 : -1;
  }
}

void TeamAccounts::applyShare(Account &Entry, const QuotaShare &Share,
                              bool IsNewTeam, TimePoint Now) {
  if (Share.m_Accountants == 0) {
    Entry.m_Bucket.reset();
    Entry.m_Share = {};
    return;
  }
  if (!Entry.m_Bucket) {
    const double Debt = Share.m_RatePerSecond * secondsOf(handoverTime());
    Entry.m_Bucket.emplace(Share.m_RatePerSecond, Share.m_Burst,
                           IsNewTeam ? Share.m_Burst : -Debt, Now);
    Entry.m_ActsFrom = IsNewTeam ? Now : Now + handoverTime();
  } else if (Share != Entry.m_Share) {
    Entry.m_Bucket->configure(Share.m_RatePerSecond, Share.m_Burst, Now);
    // Fewer accountants have larger shares, while those that left may go on.
    if (Share.m_Accountants < Entry.m_Share.m_Accountants) {
      const double Before = Share.m_RatePerSecond *
                            static_cast<double>(Share.m_Accountants) /
                            static_cast<double>(Entry.m_Share.m_Accountants);
      Entry.m_Bucket->charge((Share.m_RatePerSecond - Before) *
                             secondsOf(handoverTime()));
    }
  }
  Entry.m_Share = Share;
}

Duration TeamAccounts::handoverTime() const {
  return m_Options.m_MaxProofAge.value_or(Duration{0}) + LeaseTime;
}

bool TeamAccounts::isProved(TimePoint Now) const {
  if (!m_Options.m_MaxProofAge)
    return true;
  const std::optional<Duration> Age = m_Freshness.age(Now);
  return Age && *Age <= *m_Options.m_MaxProofAge;
}

CreditGrant TeamAccounts::grant(const CreditRequest &Request, TimePoint Now) {
  CreditGrant Reply;
  Reply.m_Sequence = Request.m_Sequence;
  Reply.m_Team = Request.m_Team;
  const auto Found = m_Accounts.find(Request.m_Team);
  if (Found == m_Accounts.end() || !Found->second.m_Bucket ||
      Now < Found->second.m_ActsFrom || !isProved(Now))
    return Reply;
  CreditBucket &Bucket = *Found->second.m_Bucket;
  Reply.m_Lease = LeaseTime;
  Reply.m_Granted = Bucket.take(Request.m_Wanted, Now);
  if (Reply.m_Granted < Request.m_Wanted)
    Reply.m_RetryAfter = Bucket.waitForOne(Now);
  return Reply;
}

} // namespace dandelionfall::core::quota
