// Parsing, closure and packing of documents.

#include "decide/decide.h"
#include "decide/topology.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>

namespace parsleyyard {
namespace {

constexpr std::string_view kGood =
    R"({"regions":[{"name":"montevideo","failure_domains":["mvd-a"]}],)"
    R"("services":[{"name":"agenda","instances":[{"id":"a1","host":"127.1.1.1","failure_domain":"mvd-a"}]}],)"
    R"("routes":[{"name":"slots","prefix":"/agenda/","service":"agenda","class":"booking","repeat":"never"}],)"
    R"("workspaces":[{"name":"salto","home_regions":["montevideo"]}]})";

// The error of a manifest that consists of one part; "" if it is valid.
std::string ErrorOf(std::string_view json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(part, ParseManifestPart(json));
        BOOST_LEAF_CHECK(manifest::Link(1, {part}));
        return std::string();
      },
      [](const document_error& error) {
        return error.place + ": " + error.message;
      },
      [] { return std::string("another error"); });
}

std::string Replace(std::string_view from, std::string_view to) {
  std::string text(kGood);
  text.replace(text.find(from), from.size(), to);
  return text;
}

std::shared_ptr<const manifest> Linked() {
  return leaf::try_handle_all(
      []() -> leaf::result<std::shared_ptr<const manifest>> {
        BOOST_LEAF_AUTO(part, ParseManifestPart(kGood));
        return manifest::Link(7, {part});
      },
      [] { return std::shared_ptr<const manifest>(); });
}

TEST(Manifest, GoodOneIsAccepted) {
  EXPECT_EQ(ErrorOf(kGood), "");
}

TEST(Manifest, EachMistakeNamesItsPlace) {
  EXPECT_TRUE(ErrorOf("{").starts_with("document: is not JSON"));
  EXPECT_EQ(ErrorOf(R"({"extra":1})"), "extra: is not a known key");
  EXPECT_EQ(
      ErrorOf(Replace(R"("class":"booking")", R"("class":"urgent")")),
      "routes[0].class: \"urgent\" must be one of browse, booking, order");
  EXPECT_EQ(ErrorOf(Replace(R"("prefix":"/agenda/")", R"("prefix":"agenda")")),
            "routes[0].prefix: must begin and end with '/'");
  EXPECT_EQ(ErrorOf(Replace(R"("127.1.1.1")", R"("here")")),
            "services[0].instances[0].host: \"here\" must be an IPv4 address");
  EXPECT_EQ(ErrorOf(Replace(R"("service":"agenda")", R"("service":"none")")),
            "route slots: service none is not in the manifest");
  EXPECT_EQ(ErrorOf(Replace(R"(["montevideo"]})", R"(["litoral"]})")),
            "workspace salto: home region litoral has no failure domain");
  EXPECT_EQ(
      ErrorOf(Replace(R"("failure_domain":"mvd-a")",
                      R"("failure_domain":"mvd-b")")),
      "service agenda, instance a1: failure domain mvd-b is in no region");
}

TEST(Manifest, ServiceTwiceIsRefused) {
  const std::string error = leaf::try_handle_all(
      []() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(
            part,
            ParseManifestPart(R"({"services":[{"name":"a"},{"name":"a"}]})"));
        BOOST_LEAF_CHECK(manifest::Link(1, {part}));
        return std::string();
      },
      [](const document_error& found) {
        return found.place + " " + found.message;
      },
      [] { return std::string(); });
  EXPECT_EQ(error, "service a stands twice in the manifest");
}

TEST(Manifest, LongestPrefixWins) {
  const auto linked = Linked();
  ASSERT_NE(linked, nullptr);
  EXPECT_EQ(linked->FindRoute("/agenda/x/y")->name, "slots");
  EXPECT_EQ(linked->FindRoute("/agenda"), nullptr);
  EXPECT_EQ(linked->FindRoute("/other/"), nullptr);
  EXPECT_EQ(linked->FindRoute(""), nullptr);
}

TEST(Manifest, FindRouteTakesAnyPath) {
  const auto linked = Linked();
  rc::check("no path crashes the lookup",
            [&](const std::string& path) { linked->FindRoute(path); });
}

TEST(Head, CallsThatAreNotSafeCountAsNeverRepeat) {
  const snapshot view{.manifest_in_force = Linked(),
                      .hosts = std::make_shared<host_list>(),
                      .out = std::make_shared<declarations>()};
  const auto verdict =
      DecideHead(view, {.method = "GET", .path = "/agenda/1"}, "montevideo", 9);
  EXPECT_EQ(verdict.refusal, refusal_reason::kNone);
  EXPECT_TRUE(
      verdict.plan.never_repeat);  // its route says so, although GET is safe
  const auto away = DecideHead(
      view, {.method = "GET", .path = "/agenda/1", .workspace = "salto"},
      "litoral", 9);
  EXPECT_EQ(away.refusal, refusal_reason::kNotInHomeRegion);
  const auto unknown =
      DecideHead(view, {.method = "GET", .path = "/agenda/1", .workspace = "x"},
                 "litoral", 9);
  EXPECT_EQ(unknown.refusal, refusal_reason::kBadRequest);
  const auto deep =
      DecideHead(view, {.method = "GET", .path = "/agenda/1", .depth = 10},
                 "montevideo", 9);
  EXPECT_EQ(deep.refusal, refusal_reason::kTooDeep);
}

TEST(Parts, DeltaGivesTheContentBack) {
  rc::check(
      "packed and unpacked parts are equal",
      [](const std::string& base, const std::string& content) {
        RC_ASSERT(UnpackPart(PackPart(content, nullptr), nullptr) == content);
        RC_ASSERT(UnpackPart(PackPart(content, &base), &base) == content);
      });
}

TEST(Parts, DamageIsNoticed) {
  std::mt19937_64 random(7);
  std::string content(5000, '\0');
  std::generate(content.begin(), content.end(),
                [&] { return static_cast<char>(random()); });
  const part_payload good = PackPart(content + "y", &content);
  for (std::size_t i = 0; i < good.bytes.size(); ++i) {
    part_payload bad = good;
    bad.bytes[i] = static_cast<char>(bad.bytes[i] ^ 0x55);
    const auto unpacked = UnpackPart(bad, &content);
    EXPECT_TRUE(!unpacked || *unpacked == content + "y") << "at byte " << i;
  }
  part_payload huge = good;
  huge.size = UINT32_MAX;
  EXPECT_FALSE(UnpackPart(huge, &content));
  EXPECT_FALSE(UnpackPart(good, nullptr));
}

TEST(Parts, DeltaOfASmallChangeIsSmall) {
  std::string base;
  for (int i = 0; i < 500; ++i) {
    base += "instance " + std::to_string(i * 7919) + " on host " +
            std::to_string(i * 104729) + ";";
  }
  std::string changed = base;
  changed.replace(9000, 3, "new");
  EXPECT_LT(PackPart(changed, &base).bytes.size(), 100u);
}

TEST(Topology, ReadersStandInDifferentDomains) {
  host_list hosts;
  for (int i = 0; i < 20; ++i) {
    hosts.hosts.push_back({.address = "10.0.0." + std::to_string(i),
                           .failure_domain = i < 18 ? "a" : "b",
                           .region = "r"});
  }
  const auto built = topology::Build(hosts, {});
  const auto& order = *built->RegionOrder("r");
  EXPECT_NE(built->DomainOf(order[0]), built->DomainOf(order[1]));
}

TEST(Topology, EveryHostIsReachedOnce) {
  rc::check("the children of all hosts of a region are all but its root", [] {
    host_list hosts;
    const int count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; ++i) {
      hosts.hosts.push_back({.address = "10.0." + std::to_string(i / 100) +
                                        "." + std::to_string(i % 100),
                             .failure_domain = "d" + std::to_string(i % 3),
                             .region = "r"});
    }
    const auto built = topology::Build(hosts, {});
    std::set<host_address> reached;
    for (const host_entry& host : hosts.hosts) {
      for (const host_address& child : built->Children(host.address, 4)) {
        RC_ASSERT(reached.insert(child).second);
      }
    }
    RC_ASSERT(reached.size() == static_cast<std::size_t>(count) - 1);
  });
}

}  // namespace
}  // namespace parsleyyard
