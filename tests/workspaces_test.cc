// Unit tests of the decision about keys, of its bounds and of the header fields
// of workspaces.

#include "workspaces/workspaces.h"

#include "platform/platform.h"
#include "tests/view_world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace parsleyyard::testing {
namespace {

constexpr duration kRevoke = seconds(5);

duration StrictAge() {
  return MaxKeyViewAge({.strict = true, .revoke = kRevoke});
}

snapshot ViewWith(std::vector<workspace> workspaces,
                  std::vector<std::string> route_regions = {},
                  std::uint64_t version = 1) {
  snapshot view;
  view.config =
      configuration::Create({.version = version,
                             .routes = {{.name = "closed",
                                         .virtual_host = "h",
                                         .prefix = "/a/",
                                         .targets = {{.service = "s"}},
                                         .priority = 3,
                                         .home_regions = route_regions},
                                        {.name = "open",
                                         .virtual_host = "h",
                                         .prefix = "/open/",
                                         .targets = {{.service = "s"}},
                                         .needs_key = false}},
                             .services = {{.name = "s"}},
                             .workspaces = std::move(workspaces)})
          .value();
  return view;
}

std::vector<workspace> TwoWorkspaces() {
  return {{.name = "acme", .keys = {"k1", "k2"}, .priority = 1},
          {.name = "bolt", .keys = {"k3"}}};
}

key_decision Decide(const snapshot& view,
                    const std::vector<std::string>& keys,
                    duration age = {},
                    const std::string& path = "/a/") {
  return DecideKey(view, age, *view.config->FindRoute("h", path), keys,
                   StrictAge());
}

// ---------------------------------------------------------------------------
// Keys
// ---------------------------------------------------------------------------

TEST(Workspaces, EachKeyOfAWorkspaceIsAccepted) {
  const snapshot view = ViewWith(TwoWorkspaces());
  EXPECT_EQ(Decide(view, {"k1"}).owner->name, "acme");
  EXPECT_EQ(Decide(view, {"k2"}).owner->name, "acme");
  EXPECT_EQ(Decide(view, {"k3"}).owner->name, "bolt");
  EXPECT_EQ(Decide(view, {"k3", "k3"}).owner->name, "bolt");
}

// Guards against a request that is charged to either of two workspaces, or runs
// with a part of a key.
TEST(Workspaces, KeysThatAreNoSingleKnownKeyAreRefusedForGood) {
  const snapshot view = ViewWith(TwoWorkspaces());
  const std::vector<std::vector<std::string>> refused = {
      {"k1", "k3"}, {"k3", "k1"}, {"k1", "k2"}, {"k1", ""},
      {"", "k1"},   {"k1,k1"},    {"K1"},       {"k"},
      {"k1 "},      {""},         {"acme"},     {std::string(65536, 'k')}};
  for (const auto& keys : refused) {
    const key_decision decision = Decide(view, keys);
    EXPECT_EQ(decision.refusal, refusal_reason::kUnknownKey) << keys.front();
    EXPECT_EQ(decision.owner, nullptr);
  }
  EXPECT_EQ(Decide(view, {}).refusal, refusal_reason::kMissingKey);
}

// Guards against a 401 for a key that was added while the store was away.
TEST(Workspaces, UnknownKeyIsRefusedForGoodOnlyByAConfirmedView) {
  const snapshot view = ViewWith(TwoWorkspaces());
  for (const std::vector<std::string>& keys :
       {std::vector<std::string>{"new"}, std::vector<std::string>{}}) {
    EXPECT_EQ(Decide(view, keys, milliseconds(1600)).refusal,
              refusal_reason::kStaleView);
    EXPECT_EQ(Decide(view, keys, seconds(3600)).refusal,
              refusal_reason::kStaleView);
  }
}

TEST(Workspaces, NoKeyIsNeededWithoutWorkspacesOrOnAnOpenRoute) {
  const snapshot none = ViewWith({});
  EXPECT_EQ(Decide(none, {}, seconds(3600)).refusal, refusal_reason::kNone);
  EXPECT_EQ(Decide(none, {"k1"}).owner, nullptr);
  const snapshot view = ViewWith(TwoWorkspaces());
  for (const std::vector<std::string>& keys :
       {std::vector<std::string>{}, std::vector<std::string>{"k1"},
        std::vector<std::string>{"k1", "k3"}}) {
    const key_decision open = Decide(view, keys, seconds(3600), "/open/");
    EXPECT_EQ(open.refusal, refusal_reason::kNone);
    EXPECT_EQ(open.owner, nullptr);
  }
}

// A host without a path to the store for 0.6 of the bound must still accept
// keys; above 0.8 a withdrawn key could be in use for too long.
TEST(Workspaces, KeyIsAcceptedUpToFourFifthsOfTheBound) {
  const snapshot view = ViewWith(TwoWorkspaces());
  EXPECT_EQ(Decide(view, {"k1"}, seconds(3)).refusal, refusal_reason::kNone);
  EXPECT_EQ(Decide(view, {"k1"}, seconds(4)).refusal, refusal_reason::kNone);
  const key_decision late =
      Decide(view, {"k1"}, seconds(4) + std::chrono::microseconds(1));
  EXPECT_EQ(late.refusal, refusal_reason::kUnconfirmedKey);
  EXPECT_EQ(late.owner->name, "acme");
  // The age before the first confirmation.
  EXPECT_EQ(Decide(view, {"k1"}, duration::max() / 2).refusal,
            refusal_reason::kUnconfirmedKey);
}

TEST(Workspaces, ViewOfAnyAgeIsUsedWithoutStrictRevocation) {
  const snapshot view = ViewWith(TwoWorkspaces());
  const key_decision decision =
      DecideKey(view, duration::max() / 2, view.config->routes()[0], {"k1"},
                MaxKeyViewAge({}));
  EXPECT_EQ(decision.refusal, refusal_reason::kNone);
}

TEST(Workspaces, KeyThatMovesBelongsToItsNewWorkspaceOnly) {
  const snapshot before = ViewWith(TwoWorkspaces());
  const snapshot after = ViewWith(
      {{.name = "acme", .keys = {"k2"}}, {.name = "bolt", .keys = {"k1"}}}, {},
      2);
  EXPECT_EQ(Decide(before, {"k1"}).owner->name, "acme");
  EXPECT_EQ(Decide(after, {"k1"}).owner->name, "bolt");
  EXPECT_EQ(Decide(after, {"k3"}).refusal, refusal_reason::kUnknownKey);
}

// ---------------------------------------------------------------------------
// Priority and regions
// ---------------------------------------------------------------------------

call_plan PlanOf(const snapshot& view, const std::string& key) {
  call_plan plan{.home_regions = view.config->routes()[0].home_regions,
                 .priority = view.config->routes()[0].priority};
  ApplyWorkspace(Decide(view, {key}), plan);
  return plan;
}

TEST(Workspaces, PriorityOfTheWorkspaceReplacesTheRoutesIfStated) {
  const snapshot view = ViewWith(TwoWorkspaces());
  EXPECT_EQ(PlanOf(view, "k1").priority, 1u);
  EXPECT_EQ(PlanOf(view, "k3").priority, 3u);
  EXPECT_EQ(PlanOf(view, "k3").workspace, "bolt");
}

// Guards against regions without an overlap that count as no restriction.
TEST(Workspaces, RegionsOfRouteAndWorkspaceBothBind) {
  using regions = std::vector<std::string>;
  const auto with = [](regions route_regions, regions own) {
    return ViewWith({{.name = "w", .keys = {"k"}, .home_regions = own}},
                    route_regions);
  };
  EXPECT_EQ(PlanOf(with({}, {}), "k").home_regions, regions{});
  EXPECT_EQ(PlanOf(with({"n"}, {}), "k").home_regions, regions{"n"});
  EXPECT_EQ(PlanOf(with({}, {"s"}), "k").home_regions, regions{"s"});
  EXPECT_EQ(PlanOf(with({"n", "s"}, {"s", "w"}), "k").home_regions,
            regions{"s"});
  const key_decision none = Decide(with({"n"}, {"s"}), {"k"});
  EXPECT_EQ(none.refusal, refusal_reason::kNoCommonRegion);
  EXPECT_TRUE(none.home_regions.empty());
}

// ---------------------------------------------------------------------------
// Revocation under faults
// ---------------------------------------------------------------------------

// One change or fault, and the time until the next one.
struct step {
  int action;
  int daemon;
  int pause_ms;
};

constexpr int kDaemons = 6;

// A fleet whose version v has only the key "v", so that the next version
// withdraws it. Restores of the store are left out: they take back changes
// that were acknowledged.
class revocation_world {
 public:
  explicit revocation_world(duration max_view_age)
      : max_view_age_(max_view_age) {
    withdrawn_at_[0] = world_.now();
    Run(seconds(4));
  }

  void Apply(const step& next) {
    const int daemon = next.daemon;
    switch (next.action) {
      case 0:
      case 1:
        withdrawn_at_[version_++] = world_.now();
        world_.PublishConfiguration();
        break;
      case 2:
        world_.SetStorePartition(daemon, true);
        break;
      case 3:
        world_.SetStorePartition(daemon, false);
        break;
      case 4:
        world_.SetPeerPartition(daemon, true);
        break;
      case 5:
        world_.SetPeerPartition(daemon, false);
        break;
      case 6:
        world_.SetStoreDown(true);
        break;
      case 7:
        world_.SetStoreDown(false);
        break;
      case 8:
      case 9:
        if (alive_[daemon]) {
          // Requests that arrived during a suspension may be decided before any
          // update that did.
          CheckRequest(daemon);
          world_.SetSuspended(daemon, next.action == 8);
          suspended_[daemon] = next.action == 8;
        }
        break;
      case 10:
        world_.Kill(daemon);
        alive_[daemon] = suspended_[daemon] = false;
        break;
      default:
        if (!alive_[daemon]) {
          world_.Start(daemon);
          alive_[daemon] = true;
        }
    }
    CheckDaemons();
    Run(milliseconds(next.pause_ms));
  }

  // Descriptions of requests that ran too late.
  const std::vector<std::string>& Violations() const { return violations_; }
  int AcceptedRequests() const { return accepted_; }

 private:
  void Run(duration length) {
    constexpr duration kSlice = milliseconds(100);
    for (duration done{}; done < length; done += kSlice) {
      world_.Run(kSlice);
      CheckDaemons();
    }
  }

  void CheckDaemons() {
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      if (alive_[daemon] && !suspended_[daemon]) {
        CheckRequest(daemon);
      }
    }
  }

  // A request that is sent now with the key that the daemon knows.
  void CheckRequest(int daemon) {
    const view_status status = world_.Status(daemon);
    if (status.version == 0) {
      return;
    }
    const std::string key = std::to_string(status.version);
    const snapshot view =
        ViewWith({{.name = "w", .keys = {key}}}, {}, status.version);
    const key_decision decision =
        DecideKey(view, world_.now() - status.confirmed_at,
                  view.config->routes()[0], {key}, max_view_age_);
    if (decision.refusal != refusal_reason::kNone) {
      return;
    }
    ++accepted_;
    const auto withdrawn = withdrawn_at_.find(status.version);
    if (withdrawn != withdrawn_at_.end() &&
        world_.now() > withdrawn->second + kRevoke) {
      violations_.push_back(
          "daemon " + std::to_string(daemon) + " accepted key " + key + " " +
          std::to_string((world_.now() - withdrawn->second).count() / 1000) +
          " ms after its withdrawal");
    }
  }

  const duration max_view_age_;
  view_world world_{kDaemons};
  std::vector<bool> alive_ = std::vector<bool>(kDaemons, true);
  std::vector<bool> suspended_ = std::vector<bool>(kDaemons, false);
  std::uint64_t version_ = 1;
  std::map<std::uint64_t, instant> withdrawn_at_;  // by version
  std::vector<std::string> violations_;
  int accepted_ = 0;
};

TEST(WorkspacesProperty, NoWithdrawnKeyIsAcceptedAfterTheBound) {
  EXPECT_TRUE(rc::check("withdrawn keys are out of use in time", [] {
    const auto steps = *rc::gen::container<std::vector<std::vector<int>>>(
        rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 1 << 20)));
    revocation_world world(StrictAge());
    for (const std::vector<int>& numbers : steps) {
      world.Apply({.action = numbers[0] % 12,
                   .daemon = numbers[1] % kDaemons,
                   .pause_ms = numbers[2] % 2500});
    }
    RC_ASSERT(world.AcceptedRequests() > 0);
    if (!world.Violations().empty()) {
      RC_FAIL(world.Violations().front());
    }
  }));
}

// Guards against a daemon whose view stays old, and against one that continues
// after a suspension, with a test that sees the fault if the age is not
// checked.
TEST(Workspaces, CutOffAndSuspendedDaemonsStopAcceptingKeys) {
  const std::vector<std::vector<step>> histories = {
      // No path to the store or a peer.
      {{2, 1, 0}, {4, 1, 100}, {0, 0, 8000}},
      // Suspended over the withdrawal.
      {{8, 1, 100}, {0, 0, 8000}, {9, 1, 0}},
      // Restarted while the store is down; peers have the old view.
      {{6, 0, 100}, {0, 0, 100}, {10, 1, 500}, {11, 1, 8000}}};
  for (const std::vector<step>& history : histories) {
    revocation_world checked(StrictAge());
    revocation_world unchecked(duration::max());
    for (const step& next : history) {
      checked.Apply(next);
      unchecked.Apply(next);
    }
    EXPECT_EQ(checked.Violations(), std::vector<std::string>());
    EXPECT_FALSE(unchecked.Violations().empty()) << history.size();
  }
}

// ---------------------------------------------------------------------------
// Bounds and header fields
// ---------------------------------------------------------------------------

TEST(WorkspacesBounds, AreParsedAndOffByDefault) {
  EXPECT_FALSE(platform::ParseBounds("").value().strict_revoke);
  const platform::bounds parsed =
      platform::ParseBounds("strict-revoke=true, revoke-ms=2500").value();
  EXPECT_TRUE(parsed.strict_revoke);
  EXPECT_EQ(parsed.revoke, duration(milliseconds(2500)));
  EXPECT_FALSE(
      platform::ParseBounds("strict-revoke=false").value().strict_revoke);
  EXPECT_FALSE(platform::ParseBounds("strict-revoke=yes"));
  EXPECT_FALSE(platform::ParseBounds("strict-revoke="));
  EXPECT_FALSE(platform::ParseBounds("revoke-ms=soon"));
}

TEST(WorkspacesDialect, ReadsAllKeyFieldsInAnyLetterCase) {
  const platform::dialect d;
  const http_request head{.headers = {{"key", "a"},
                                      {"Tenant-Id", "forged"},
                                      {"KEY", "b"},
                                      {"Api-Key", "c"},
                                      {"Key", ""}}};
  EXPECT_EQ(d.Keys(head), (std::vector<std::string>{"a", "b", ""}));
  EXPECT_EQ(d.Keys({}), std::vector<std::string>());
}

TEST(WorkspacesDialect, RemovesAllKeyAndWorkspaceFields) {
  const platform::dialect d;
  std::vector<call_header> headers = {
      {"KEY", "a"},       {"tenant-id", "x"}, {"keys", "kept"}, {"Key", "b"},
      {"TENANT-ID", "y"}, {"Host", "h"},      {"kEY", ""}};
  std::vector<call_header> set = headers;
  d.RemoveWorkspace(headers);
  ASSERT_EQ(headers.size(), 2u);
  EXPECT_EQ(headers[0].name, "keys");
  EXPECT_EQ(headers[1].name, "Host");
  d.SetWorkspace(set, "acme");
  ASSERT_EQ(set.size(), 3u);
  EXPECT_EQ(*FindHeader(set, "Tenant-Id"), "acme");
  EXPECT_EQ(FindHeader(set, "key"), nullptr);
}

}  // namespace
}  // namespace parsleyyard::testing
