// Unit tests of quota owners, clients and maps: one decision each.

#include "workspaces/quota.h"
#include "net/net.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace parsleyyard::testing {
namespace {

const std::string kName = "w";
const host_address kSelf = "10.0.0.1";
const host_address kOther = "10.0.0.2";
constexpr instant kStart = seconds(1000);
constexpr duration kMaxWait = milliseconds(80);

std::shared_ptr<const quota_map> MapOf(std::vector<host_address> hosts,
                                       quota limit) {
  return std::make_shared<const quota_map>(
      std::move(hosts),
      std::map<std::string, quota, std::less<>>{{kName, limit}});
}

// Keeps the requests, or passes them to an owner on the same host.
class test_port : public quota_port {
 public:
  std::optional<quota_grant> Request(const host_address& to,
                                     const quota_request& message) override {
    sent.emplace_back(to, message);
    return answer ? std::optional(answer(message)) : std::nullopt;
  }
  std::vector<std::pair<host_address, quota_request>> sent;
  std::function<quota_grant(const quota_request&)> answer;
};

class quota_owner_test : public ::testing::Test {
 protected:
  // Confirms the view at each 100 ms until `end`.
  void ConfirmUntil(instant end) {
    for (; now_ < end; now_ += milliseconds(100)) {
      owner_.SetView(map_, now_, now_);
    }
    owner_.SetView(map_, now_, now_);
  }
  quota_grant Ask(std::uint32_t wanted) {
    return owner_.OnRequest({.workspace = kName, .number = 7, .wanted = wanted},
                            now_);
  }

  seeded_random random_{1};
  quota_owner owner_{kSelf, random_};
  std::shared_ptr<const quota_map> map_ =
      MapOf({kSelf}, {.rate = 10, .burst = 5});
  instant now_ = kStart;
};

TEST_F(quota_owner_test, NewOwnerGrantsOnlyAfterTheTakeover) {
  ConfirmUntil(kStart + milliseconds(3100));
  const quota_grant early = Ask(1);
  EXPECT_EQ(early.answer, quota_answer::kNotOwner);
  EXPECT_EQ(early.retry_after_ms, 100U);
  ConfirmUntil(kStart + milliseconds(3400));
  const quota_grant granted = Ask(1);
  EXPECT_EQ(granted.answer, quota_answer::kGranted);
  EXPECT_EQ(granted.tokens, 1U);
  EXPECT_EQ(granted.number, 7U);
}

TEST_F(quota_owner_test, BucketStartsEmptyAndHoldsTheBurst) {
  ConfirmUntil(kStart + milliseconds(3200));
  EXPECT_EQ(Ask(100).tokens, 0U);
  ConfirmUntil(kStart + seconds(60));
  // The burst, two spare tokens and those of 50 ms.
  EXPECT_EQ(Ask(100).tokens, 7U);
}

TEST_F(quota_owner_test, RefusalStatesWhenTheNextTokenComes) {
  ConfirmUntil(kStart + milliseconds(3200));
  const quota_grant refused = Ask(1);
  EXPECT_EQ(refused.answer, quota_answer::kUsedUp);
  EXPECT_EQ(refused.retry_after_ms, 100U);
  // The next daemon gets the next turn.
  EXPECT_EQ(Ask(1).retry_after_ms, 200U);
}

// An owner that is cut off from the store may have been replaced.
TEST_F(quota_owner_test, OldViewEndsGrants) {
  ConfirmUntil(kStart + seconds(10));
  const instant confirmed_at = now_;
  now_ += seconds(3);
  EXPECT_EQ(Ask(1).answer, quota_answer::kGranted);
  now_ += milliseconds(1);
  EXPECT_EQ(Ask(1).answer, quota_answer::kNotOwner);
  // A later copy of the same view is not newer.
  owner_.SetView(map_, confirmed_at, now_);
  EXPECT_EQ(Ask(1).answer, quota_answer::kNotOwner);
}

// Another host may have become the owner and ceased again, unnoticed here.
TEST_F(quota_owner_test, LapseOfConfirmationsStartsOver) {
  ConfirmUntil(kStart + seconds(10));
  now_ += seconds(3);
  const instant resumed_at = now_;
  ConfirmUntil(resumed_at + seconds(3));
  EXPECT_EQ(Ask(1).answer, quota_answer::kNotOwner);
  ConfirmUntil(resumed_at + milliseconds(3500));
  EXPECT_EQ(Ask(1).answer, quota_answer::kGranted);
}

TEST_F(quota_owner_test, LoweredLimitCutsTheBucket) {
  ConfirmUntil(kStart + seconds(60));
  map_ = MapOf({kSelf}, {.rate = 1, .burst = 1});
  ConfirmUntil(now_);
  EXPECT_EQ(Ask(100).tokens, 3U);
}

TEST_F(quota_owner_test, ReportsWorkspacesGainedAndLost) {
  const auto gained = owner_.SetView(map_, now_, now_);
  EXPECT_EQ(gained.gained, std::vector<std::string>{kName});
  EXPECT_EQ(owner_.owned(), 1U);
  const auto lost = owner_.SetView(MapOf({kOther}, {.rate = 10}), now_, now_);
  EXPECT_EQ(lost.lost, std::vector<std::string>{kName});
  EXPECT_EQ(Ask(1).answer, quota_answer::kNotOwner);
}

// Numbers in messages are not trusted.
TEST_F(quota_owner_test, ExtremeNumbersAreBounded) {
  map_ = MapOf({kSelf}, {.rate = 1e300, .burst = 1e300});
  ConfirmUntil(kStart + seconds(10));
  EXPECT_LE(Ask(std::numeric_limits<std::uint32_t>::max()).tokens, 100'000U);
  EXPECT_EQ(Ask(0).tokens, 1U);
  map_ = MapOf({kSelf}, {.rate = 1e-300, .burst = 0});
  ConfirmUntil(kStart + seconds(11));
  Ask(100);
  EXPECT_LE(Ask(100).retry_after_ms, 3'600'000U);
}

class quota_client_test : public ::testing::Test {
 protected:
  quota_client_test() { client_.SetView(map_, now_); }
  quota_decision Admit() {
    return client_.Admit(++request_, kName, kMaxWait, now_);
  }
  std::vector<quota_decision> Grant(std::uint32_t tokens,
                                    std::uint32_t retry_after_ms = 0) {
    const quota_request& last = port_.sent.back().second;
    return client_.OnGrant(
        {.workspace = kName,
         .number = last.number,
         .answer = tokens > 0 ? quota_answer::kGranted : quota_answer::kUsedUp,
         .tokens = tokens,
         .retry_after_ms = retry_after_ms},
        now_);
  }

  seeded_random random_{1};
  test_port port_;
  quota_client client_{{.address = kSelf, .first_number = 100}, random_, port_};
  std::shared_ptr<const quota_map> map_ =
      MapOf({kOther}, {.rate = 10, .burst = 5});
  instant now_ = kStart;
  std::uint64_t request_ = 0;
};

// Deployments without quotas pay nothing for them.
TEST_F(quota_client_test, WithoutQuotaNothingIsSent) {
  EXPECT_EQ(client_.Admit(1, "x", kMaxWait, now_).verdict,
            quota_verdict::kAdmitted);
  client_.SetView(nullptr, now_);
  EXPECT_EQ(Admit().verdict, quota_verdict::kAdmitted);
  EXPECT_TRUE(client_.Tick(now_).empty());
  EXPECT_TRUE(port_.sent.empty());
}

TEST_F(quota_client_test, RequestWaitsForItsGrant) {
  EXPECT_EQ(Admit().verdict, quota_verdict::kWaiting);
  ASSERT_EQ(port_.sent.size(), 1U);
  EXPECT_EQ(port_.sent[0].first, kOther);
  EXPECT_EQ(port_.sent[0].second.wanted, 1U);
  now_ += milliseconds(30);
  const auto decisions = Grant(1);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].request, 1U);
  EXPECT_EQ(decisions[0].verdict, quota_verdict::kAdmitted);
  EXPECT_EQ(decisions[0].token.kind, token_kind::kGranted);
}

TEST_F(quota_client_test, UsedUpQuotaRefusesUntilTheStatedTime) {
  Admit();
  const auto decisions = Grant(0, 300);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict, quota_verdict::kOverQuota);
  EXPECT_TRUE(decisions[0].begins_to_bind);
  EXPECT_GE(decisions[0].retry_after, milliseconds(300));
  const quota_decision next = Admit();
  EXPECT_EQ(next.verdict, quota_verdict::kOverQuota);
  EXPECT_FALSE(next.begins_to_bind);
  EXPECT_EQ(port_.sent.size(), 1U);
  now_ += milliseconds(301);
  EXPECT_EQ(Admit().verdict, quota_verdict::kWaiting);
}

// A duplicate or an invented grant would let requests run beyond the quota.
TEST_F(quota_client_test, GrantCountsOnceAndOnlyAsFarAsWanted) {
  Admit();
  EXPECT_EQ(Grant(std::numeric_limits<std::uint32_t>::max(), 0).size(), 1U);
  EXPECT_TRUE(Grant(5).empty());
  EXPECT_EQ(Admit().verdict, quota_verdict::kWaiting);
  const auto other = client_.OnGrant({.workspace = kName,
                                      .number = 9999,
                                      .answer = quota_answer::kGranted,
                                      .tokens = 5},
                                     now_);
  EXPECT_TRUE(other.empty());
  const auto unknown = client_.OnGrant({.workspace = "x", .number = 1}, now_);
  EXPECT_TRUE(unknown.empty());
}

TEST_F(quota_client_test, LateGrantIsNotUsed) {
  Admit();
  now_ += milliseconds(251);
  EXPECT_EQ(client_.Tick(now_).size(), 1U);
  const quota_request first = port_.sent.front().second;
  client_.OnGrant({.workspace = kName,
                   .number = first.number,
                   .answer = quota_answer::kGranted,
                   .tokens = 1},
                  now_);
  EXPECT_NE(Admit().verdict, quota_verdict::kAdmitted);
}

TEST_F(quota_client_test, ReturnedTokenServesTheNextRequestUntilItExpires) {
  Admit();
  const quota_token token = Grant(1).at(0).token;
  client_.Return(kName, token, now_);
  EXPECT_EQ(Admit().verdict, quota_verdict::kAdmitted);
  client_.Return(kName, token, now_);
  now_ += TokenLifetime({});
  EXPECT_EQ(Admit().verdict, quota_verdict::kWaiting);
}

// A silent owner must not hold each request for the longest wait, and a refusal
// is not 429, since the quota is not known to be used up.
TEST_F(quota_client_test, SilentOwnerLeadsToRefusalsAtOnce) {
  Admit();
  now_ += milliseconds(81);
  const auto decisions = client_.Tick(now_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].verdict, quota_verdict::kUnknown);
  EXPECT_GE(decisions[0].retry_after, milliseconds(500));
  EXPECT_EQ(Admit().verdict, quota_verdict::kUnknown);
  const std::size_t sent = port_.sent.size();
  now_ += milliseconds(200);
  client_.Tick(now_);
  EXPECT_EQ(port_.sent.size(), sent + 1);
  Grant(1);
  EXPECT_EQ(Admit().verdict, quota_verdict::kAdmitted);
}

TEST_F(quota_client_test, CancelledRequestGetsNoDecision) {
  Admit();
  client_.Cancel(1, kName);
  EXPECT_EQ(client_.waiting(), 0U);
  EXPECT_TRUE(Grant(1).empty());
}

TEST_F(quota_client_test, OwnerOnThisHostAnswersAtOnce) {
  client_.SetView(MapOf({kSelf}, {.rate = 10, .burst = 5}), now_);
  port_.answer = [](const quota_request& request) {
    return quota_grant{.workspace = request.workspace,
                       .number = request.number,
                       .answer = quota_answer::kGranted,
                       .tokens = request.wanted};
  };
  EXPECT_EQ(Admit().verdict, quota_verdict::kAdmitted);
}

TEST_F(quota_client_test, ExtremeRetryAfterIsBounded) {
  Admit();
  const auto decisions = Grant(0, std::numeric_limits<std::uint32_t>::max());
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_LE(decisions[0].retry_after, seconds(7));
  now_ += seconds(6);
  EXPECT_EQ(Admit().verdict, quota_verdict::kWaiting);
}

// The shares of all hosts must not add up to more than the total, whatever the
// rounding.
TEST(QuotaFallback, SharesAddUpToTheTotal) {
  for (const double rate : {1.0, 40.0, 332.0}) {
    constexpr int kHosts = 66;
    std::vector<host_address> hosts;
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back("10.0.0." + std::to_string(i + 1));
    }
    const quota limit{.rate = rate, .burst = rate};
    const auto map = MapOf(hosts, limit);
    std::size_t admitted = 0;
    for (const host_address& host : hosts) {
      seeded_random random(1);
      test_port port;
      quota_client client({.address = host}, random, port);
      client.SetView(map, kStart);
      const instant now = kStart + seconds(5);
      for (std::uint64_t i = 0; i < 100; ++i) {
        const auto verdict =
            client.Admit(i, kName, duration::zero(), now).verdict;
        admitted += verdict == quota_verdict::kAdmitted ? 1 : 0;
      }
    }
    EXPECT_EQ(admitted, static_cast<std::size_t>(FallbackTotal({}, limit)));
  }
}

// A host that was listed only now may not be known to the others, which then
// use larger shares.
TEST(QuotaFallback, HostJustListedHasNoShare) {
  const quota limit{.rate = 100, .burst = 100};
  seeded_random random(1);
  test_port port;
  quota_client client({.address = kSelf}, random, port);
  const auto admit = [&](instant now) {
    return client.Admit(1, kName, duration::zero(), now).verdict;
  };
  client.SetView(MapOf({kOther}, limit), kStart);
  EXPECT_EQ(admit(kStart + seconds(6)), quota_verdict::kUnknown);
  client.SetView(MapOf({kSelf, kOther}, limit), kStart + seconds(10));
  EXPECT_EQ(admit(kStart + milliseconds(14900)), quota_verdict::kUnknown);
  EXPECT_EQ(admit(kStart + seconds(15)), quota_verdict::kAdmitted);
}

// Tokens that are carried into a window and the fallback must fit into what the
// rule permits beyond the quota, also if both are used in full.
TEST(QuotaLimits, CarriedTokensAndFallbackFitTheExcess) {
  for (const double over : {0.1, 0.25, 0.5}) {
    for (const double rate : {1.0, 332.0, 1e6}) {
      const quota_limits limits{.over = over};
      const quota limit{.rate = rate};
      const double window =
          std::chrono::duration<double>(limits.window).count();
      const double carried =
          rate * std::chrono::duration<double>(TokenLifetime(limits)).count();
      EXPECT_LE(carried + FallbackTotal(limits, limit),
                over * rate * window * 0.95 + limits.slack)
          << over << " " << rate;
    }
  }
}

// A host that leaves or joins moves only its own workspaces, and the map that
// is built from the previous one is the same as one built anew.
TEST(QuotaMap, ChangeOfHostsMovesFewOwners) {
  std::map<std::string, quota, std::less<>> quotas;
  for (int i = 0; i < 500; ++i) {
    quotas["w" + std::to_string(i)] = {.rate = 1};
  }
  std::vector<host_address> hosts;
  for (int i = 0; i < 50; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i + 1));
  }
  const quota_map first(hosts, quotas);
  const host_address left = hosts.back();
  hosts.back() = "10.0.1.1";
  const quota_map second(hosts, quotas, &first);
  const quota_map anew(hosts, quotas);
  for (const auto& [name, limit] : quotas) {
    EXPECT_EQ(*second.OwnerOf(name), *anew.OwnerOf(name));
    const bool moved = *first.OwnerOf(name) != *second.OwnerOf(name);
    EXPECT_TRUE(!moved || *first.OwnerOf(name) == left ||
                *second.OwnerOf(name) == hosts.back());
  }
  EXPECT_EQ(quota_map({}, quotas).OwnerOf("w1"), nullptr);
}

}  // namespace
}  // namespace parsleyyard::testing
