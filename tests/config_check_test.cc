// Findings about configurations that daemons accept, and their differences.

#include "tools/config_check.h"

#include <gtest/gtest.h>

namespace parsleyyard::tools {
namespace {

configuration::parts CleanParts() {
  return {.version = 1,
          .routes = {{.name = "r1",
                      .virtual_host = "shop.example",
                      .prefix = "/a/",
                      .targets = {{.service = "s1", .weight = 1}}},
                     {.name = "r2",
                      .virtual_host = "shop.example",
                      .prefix = "/a/b/",
                      .targets = {{.service = "s2", .weight = 1}}}},
          .services = {{.name = "s1"}, {.name = "s2"}},
          .workspaces = {{.name = "w1", .keys = {"secret"}, .rate = 5}}};
}

std::shared_ptr<const configuration> Create(configuration::parts parts) {
  return configuration::Create(std::move(parts)).value();
}

// Returns the findings as "kind: entry: message".
std::vector<std::string> Findings(configuration::parts parts) {
  std::vector<std::string> texts;
  for (const config_finding& each :
       CheckConfiguration(*Create(std::move(parts)))) {
    texts.push_back(std::string(NameOf(each.kind)) + ": " + each.entry + ": " +
                    each.message);
  }
  return texts;
}

// Guards against warnings about entries that are used.
TEST(ConfigCheck, CleanConfigurationHasNoFindings) {
  EXPECT_EQ(Findings(CleanParts()), std::vector<std::string>());
}

// Guards against a version that goes out with entries nobody can use.
TEST(ConfigCheck, FindsEntriesThatCanNeverBeUsed) {
  configuration::parts parts = CleanParts();
  parts.routes[1].prefix = "/a/";
  parts.routes[0].targets.push_back({.service = "s3", .weight = 0});
  parts.services.push_back({.name = "s3"});
  parts.services.push_back({.name = "s4"});
  parts.workspaces.push_back({.name = "w2"});
  EXPECT_EQ(Findings(parts),
            (std::vector<std::string>{
                "never used: route r1: route r2 has the same host and prefix",
                "never used: route r1: service s3 has the weight 0",
                "never used: service s4: no route leads to it",
                "never used: workspace w2: has no key"}));
  parts = CleanParts();
  parts.routes[0].virtual_host = "shop.example:80";
  parts.routes[1].prefix = "/a?b/";
  EXPECT_EQ(Findings(parts).size(), 2u);
}

// Guards against limits of which only one can have its effect.
TEST(ConfigCheck, FindsLimitsThatContradictEachOther) {
  configuration::parts parts = CleanParts();
  parts.routes[0].timeout = milliseconds(100);
  parts.routes[0].objective = milliseconds(200);
  parts.routes[1].home_regions = {"north"};
  parts.services[0].cold_rate = 5;
  parts.workspaces[0].home_regions = {"south"};
  parts.workspaces[0].rate = 0;
  parts.workspaces[0].burst = 5;
  parts.limits.max_body_bytes = std::size_t{64} << 20;
  parts.limits.header_timeout = seconds(20);
  const std::vector<std::string> found = Findings(parts);
  ASSERT_EQ(found.size(), 6u);
  EXPECT_EQ(found[0],
            "contradiction: route r1: objective of 200 ms is longer than the "
            "timeout of 100 ms");
  EXPECT_EQ(found[3],
            "contradiction: workspace w1: and route r2 have no home region in "
            "common");
}

// Guards against changes that go unnoticed, and against keys in the output.
TEST(ConfigCheck, NamesWhatDiffersWithoutKeys) {
  configuration::parts parts = CleanParts();
  parts.routes[0].timeout = seconds(9);
  parts.routes[0].targets = {{.service = "s2", .weight = 1}};
  parts.routes[1].name = "r3";
  parts.workspaces[0].keys = {"secret", "other"};
  parts.limits.max_body_bytes = 5;
  std::string text;
  for (const config_change& each :
       CompareConfigurations(*Create(CleanParts()), *Create(parts))) {
    text += std::string(kChangeSigns[static_cast<std::size_t>(each.kind)]) +
            " " + each.entry;
    for (const std::string& field : each.fields) {
      text += ", " + field;
    }
    text += "\n";
  }
  EXPECT_EQ(text,
            "~ route r1, services, timeout\n"
            "+ route r3\n"
            "- route r2\n"
            "~ workspace w1, keys\n"
            "~ limits, max body bytes\n");
  EXPECT_TRUE(
      CompareConfigurations(*Create(CleanParts()), *Create(CleanParts()))
          .empty());
}

}  // namespace
}  // namespace parsleyyard::tools
