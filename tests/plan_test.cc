// Unit tests of the plan: what follows from the head of a request.

#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

std::shared_ptr<const configuration> RouteConfiguration() {
  return configuration::Create(
             {.version = 1,
              .routes = {{.name = "short",
                          .virtual_host = "Shop.example",
                          .prefix = "/a/",
                          .targets = {{.service = "s"}}},
                         {.name = "long",
                          .virtual_host = "shop.example",
                          .prefix = "/a/b/",
                          .targets = {{.service = "s", .weight = 9},
                                      {.service = "t", .weight = 1}},
                          .idempotent = true,
                          .timeout = milliseconds(800)}},
              .services = {{.name = "s"}, {.name = "t"}}})
      .value();
}

TEST(Plan, FindsLongestPrefixOfHost) {
  const auto config = RouteConfiguration();
  EXPECT_EQ(config->FindRoute("shop.example", "/a/b/c")->name, "long");
  EXPECT_EQ(config->FindRoute("shop.example:8080", "/a/bc")->name, "short");
  EXPECT_EQ(config->FindRoute("SHOP.example", "/a/")->name, "short");
  EXPECT_EQ(config->FindRoute("shop.example", "/a"), nullptr);
  EXPECT_EQ(config->FindRoute("other.example", "/a/b/"), nullptr);
}

TEST(Plan, DeadlineIsShorterOfCallerAndRoute) {
  seeded_random random;
  route_splitter splitter(random);
  snapshot view;
  view.config = RouteConfiguration();
  const auto plan = [&](duration deadline) {
    return DecideHead(view, duration::zero(),
                      {.virtual_host = "shop.example",
                       .path = "/a/b/",
                       .deadline = deadline},
                      splitter)
        .plan;
  };
  EXPECT_EQ(plan(milliseconds(300)).deadline, duration(milliseconds(300)));
  EXPECT_EQ(plan(seconds(5)).deadline, duration(milliseconds(800)));
  EXPECT_EQ(plan(duration::zero()).deadline, duration(milliseconds(800)));
  EXPECT_FALSE(plan(seconds(5)).never_repeat);
}

TEST(Plan, RefusesAsStartingWithoutConfiguration) {
  seeded_random random;
  route_splitter splitter(random);
  EXPECT_EQ(DecideHead({}, {}, {}, splitter).refusal,
            refusal_reason::kStarting);
}

// Guards against a 404 for a route that an old view does not have yet.
TEST(Plan, RouteMissingFromOldViewIsNotRefusedForGood) {
  seeded_random random;
  route_splitter splitter(random);
  snapshot view;
  view.config = RouteConfiguration();
  const auto refusal = [&](const std::string& path, duration age) {
    return DecideHead(view, age, {.virtual_host = "shop.example", .path = path},
                      splitter)
        .refusal;
  };
  EXPECT_EQ(refusal("/new/", milliseconds(1500)), refusal_reason::kNoRoute);
  EXPECT_EQ(refusal("/new/", milliseconds(1501)), refusal_reason::kStaleView);
  EXPECT_EQ(refusal("/a/", seconds(60)), refusal_reason::kNone);
}

// Guards against a 413 for a body that the configuration in force allows.
TEST(Plan, OnlyConfiguredLimitOfConfirmedViewRefusesForGood) {
  snapshot view;
  const auto check = [&](std::size_t applied, duration age) {
    return CheckLimit(
        view, age,
        {.configured = &caller_limits::max_body_bytes, .applied = applied});
  };
  EXPECT_EQ(check(1 << 20, {}), refusal_reason::kStarting);
  view.config = RouteConfiguration();
  EXPECT_EQ(check(1 << 20, {}), refusal_reason::kNone);
  EXPECT_EQ(check((1 << 20) - 1, {}), refusal_reason::kOverBound);
  EXPECT_EQ(check(1 << 20, seconds(2)), refusal_reason::kStaleView);
}

TEST(Plan, SplitsRequestsByWeight) {
  seeded_random random;
  route_splitter splitter(random);
  const auto config = RouteConfiguration();
  std::map<std::string, int> picked;
  for (int i = 0; i < 300; ++i) {
    ++picked[splitter.PickService(config->routes()[1])];
  }
  EXPECT_NEAR(picked["t"], 30, 1);
}

// Guards against requests to a service that the split takes none for. Its
// random initial credit must not count either.
TEST(Plan, ServiceWithWeightZeroGetsNoRequests) {
  const route split{.name = "r",
                    .targets = {{.service = "none", .weight = 0},
                                {.service = "a", .weight = 3},
                                {.service = "b", .weight = 1}}};
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    seeded_random random(seed);
    route_splitter splitter(random);
    for (int i = 0; i < 20; ++i) {
      ASSERT_NE(splitter.PickService(split), "none") << seed;
    }
  }
}

}  // namespace
}  // namespace parsleyyard::testing
