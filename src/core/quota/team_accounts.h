/// \file
/// The accountant's side of the quotas: grants credit of the teams that the
/// node is an accountant of.
#ifndef DANDELIONFALL_CORE_QUOTA_TEAM_ACCOUNTS_H
#define DANDELIONFALL_CORE_QUOTA_TEAM_ACCOUNTS_H

#include "core/quota/accountants.h"
#include "core/quota/credit_bucket.h"
#include "dandelionfall/core/freshness.h"
#include "dandelionfall/core/traffic_message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionfall::core::quota {

/// Options of an accountant.
struct TeamAccountsOptions {
  /// Address of the node's gate.
  std::string m_GateAddress;
  QuotaTolerance m_Tolerance;
  /// Age of the proof that the configuration is the newest one up to which
  /// credit is granted; unset if the source gives no proofs.
  std::optional<Duration> m_MaxProofAge;
};

/// A team that this node became an accountant of, or is no more.
struct RoleChange {
  std::string m_Team;
  bool m_Gained = false;
  friend bool operator==(const RoleChange &, const RoleChange &) = default;
};

/// The buckets of a node. Another node may still grant what this one takes
/// over, until its proof is too old, so a share that grows starts in debt by
/// what is granted in that time.
class TeamAccounts {
public:
  explicit TeamAccounts(TeamAccountsOptions Options)
      : m_Options(std::move(Options)),
        m_OwnHash(hashOfName(m_Options.m_GateAddress)) {}

  /// Applies a new version.
  /// \returns the teams whose accountant the node is from now on, or no more.
  std::vector<RoleChange> onConfiguration(const ConfigurationPtr &Next,
                                          TimePoint Now);
  /// Adds a proof that a configuration was the newest one.
  void addProof(const FreshnessProof &Proof) { m_Freshness.add(Proof); }
  /// Handles a request for credit. A reply with a lease of 0 says that the node
  /// does not act as an accountant of the team now.
  CreditGrant grant(const CreditRequest &Request, TimePoint Now);
  /// \returns the number of teams that the node is an accountant of.
  std::size_t roleCount() const { return m_RoleCount; }

private:
  struct Account {
    NameHash m_Hash = 0;
    /// Number of gates with a higher rank.
    std::size_t m_Above = 0;
    /// Share in force; without accountants if the node is none of them.
    QuotaShare m_Share;
    std::optional<CreditBucket> m_Bucket;
    /// Until then, another node may grant this share.
    TimePoint m_ActsFrom;
    bool m_Seen = false;
  };

  void countAbove(Account &Entry, const GateNames &Gates, bool Added) const;
  void applyShare(Account &Entry, const QuotaShare &Share, bool IsNewTeam,
                  TimePoint Now);
  bool isProved(TimePoint Now) const;
  /// Time for which another node may go on with an earlier share, and its
  /// credit be used.
  Duration handoverTime() const;

  TeamAccountsOptions m_Options;
  NameHash m_OwnHash;
  Freshness m_Freshness;
  /// The applied version if it has no teams.
  ConfigurationPtr m_WithoutTeams;
  GateNames m_Gates;
  bool m_IsListed = false;
  std::map<std::string, Account, std::less<>> m_Accounts;
  std::size_t m_RoleCount = 0;
};

} // namespace dandelionfall::core::quota

#endif // DANDELIONFALL_CORE_QUOTA_TEAM_ACCOUNTS_H
