#include "core/quota/accountants.h"
#include "core/quota/credit_bucket.h"
#include "core/quota/limits.h"
#include "core/quota/team_accounts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace dandelionfall::core::quota {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{Duration(1h)};
constexpr Duration ProofLimit = 5s;

ConfigurationPtr makeConfiguration(Version Number, std::size_t Gates,
                                   TeamQuota Quota) {
  auto Config = std::make_shared<Configuration>();
  Config->m_Stamp.m_Version = Number;
  auto Desk = std::make_shared<Service>();
  for (std::size_t Index = 0; Index < Gates; ++Index)
    Desk->m_Targets.push_back({"t", "h", "a", "gate" + std::to_string(Index)});
  Config->m_Services["desk"] = Desk;
  Config->m_Teams = std::make_shared<TeamTable>(
      std::vector<TeamDefinition>{{{"red", 0, Quota}, {"key"}}});
  return Config;
}

std::uint32_t ask(TeamAccounts &Accounts, TimePoint Now,
                  std::uint32_t Wanted = 100) {
  return Accounts.grant({1, "red", Wanted, 0}, Now).m_Granted;
}

} // namespace

TEST_CASE("a bucket grants what it holds, and holds no more than its room") {
  const struct {
    const char *m_Name;
    double m_Level;
    Duration m_FirstAt;
    std::uint32_t m_First;
    Duration m_SecondAt;
    std::uint32_t m_Second;
  } Rows[] = {
      {"full", 10, 0ms, 10, 1ms, 0},
      {"the lent part makes no room before its lease ends", 10, 0ms, 10,
       LeaseTime, 0},
      {"then it fills at the rate", 10, 0ms, 10, LeaseTime + 500ms, 5},
      {"never above its burst", 0, 10s, 10, 10s, 0},
      {"a debt is paid first", -5, 500ms, 0, 700ms, 2},
  };
  for (const auto &Row : Rows) {
    CAPTURE(Row.m_Name);
    CreditBucket Bucket(10, 10, Row.m_Level, Start);
    CHECK(Bucket.take(100, Start + Row.m_FirstAt) == Row.m_First);
    CHECK(Bucket.take(100, Start + Row.m_SecondAt) == Row.m_Second);
  }
}

TEST_CASE("the time that a bucket states is when it next grants") {
  for (const double Level : {-3.0, 0.0, 0.5, 1.5, 4.0}) {
    CAPTURE(Level);
    CreditBucket Bucket(2, 4, Level, Start);
    Bucket.take(4, Start);
    const Duration Wait = Bucket.waitForOne(Start);
    CHECK(CreditBucket(Bucket).take(1, Start + Wait - 1ms) == 0);
    CHECK(Bucket.take(1, Start + Wait + 1us) == 1);
  }
}

TEST_CASE("a limit that falls empties a bucket at once") {
  CreditBucket Bucket(10, 10, 10, Start);
  Bucket.configure(1, 2, Start);
  CHECK(Bucket.take(100, Start) == 2);
}

TEST_CASE("the shares of a quota are within its bound") {
  for (const double Rate : {0.1, 0.5, 5.0, 100.0}) {
    for (const double Burst : {0.0, 0.5, 1.0, 5.0, 100.0}) {
      for (const double Slack : {0.0, 2.0}) {
        for (const std::size_t Gates : {1U, 2U, 3U, 68U}) {
          const QuotaTolerance Tolerance{5s, 0.05, Slack};
          const QuotaShare Share = shareOf({Rate, Burst}, Tolerance, Gates);
          const auto Count = static_cast<double>(Share.m_Accountants);
          CHECK(Count * (Share.m_RatePerSecond * 5 + Share.m_Burst) <=
                (Rate * 5 + Burst) * 1.05 + Slack + 1e-9);
          CHECK(Share.m_Accountants <= Gates);
        }
      }
    }
  }
}

TEST_CASE("an accountant grants only with a proof, after the former one") {
  TeamAccounts Accounts({"gate0", {}, ProofLimit});
  CHECK(Accounts.onConfiguration(makeConfiguration(1, 1, {10, 10}), Start)
            .size() == 1);
  CHECK(Accounts.grant({1, "red", 1, 0}, Start + 7s).m_Lease == 0ms);
  Accounts.addProof({1, Start + 5s});
  CHECK(ask(Accounts, Start + 5s) == 0);
  CHECK(ask(Accounts, Start + ProofLimit + LeaseTime + 500ms) == 5);
  CHECK(ask(Accounts, Start + 10s) > 0);
  CHECK(ask(Accounts, Start + 10001ms) == 0);
  Accounts.addProof({2, Start + 15s});
  CHECK(ask(Accounts, Start + 15s) == 0);
  Accounts.onConfiguration(makeConfiguration(2, 1, {10, 10}), Start + 15s);
  CHECK(ask(Accounts, Start + 15s) > 0);
}

TEST_CASE("all nodes choose the same accountants, the nodes themselves too") {
  const ConfigurationPtr Config = makeConfiguration(1, 40, {100, 100});
  const auto Chosen = chooseAccountants(gatesOf(*Config), "red", 3);
  std::size_t Roles = 0;
  for (std::size_t Index = 0; Index < 40; ++Index) {
    const std::string Gate = "gate" + std::to_string(Index);
    TeamAccounts Accounts({Gate, {}, std::nullopt});
    // Learnt step by step, and at once.
    Accounts.onConfiguration(makeConfiguration(1, 20, {100, 100}), Start);
    Accounts.onConfiguration(makeConfiguration(2, 50, {100, 100}), Start);
    Accounts.onConfiguration(makeConfiguration(3, 40, {100, 100}), Start);
    const bool IsOne =
        std::find(Chosen.begin(), Chosen.end(), Gate) != Chosen.end();
    CHECK(Accounts.roleCount() == (IsOne ? 1 : 0));
    Roles += Accounts.roleCount();
  }
  CHECK(Roles == 3);
}

} // namespace dandelionfall::core::quota
