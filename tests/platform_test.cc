// Valid and invalid store items, bounds and header fields of the platform.

#include "platform/platform.h"

#include <gtest/gtest.h>
#include <boost/leaf/handle_errors.hpp>

#include <random>

namespace parsleyyard::platform {
namespace {

const std::string kConfig = R"({"version":7,"base-version":5,"resources":[
  {"resource-type":"routes","metadata":{"name":"r1"},"spec":{"host":"Jepu9.example","prefix":"/lepu270/",
   "kind":"idempotent","timeout-ms":1000,"target-latency-ms":500.0,"priority":2,
   "traffic-split":[{"service":"a","weight":90},{"service":"b","weight":10}],"max-attempts":2,"allowed-regions":[]}},
  {"resource-type":"routes","metadata":{"name":"r2"},"spec":{"host":"hulo84.example","prefix":"/xapu221/ny95/",
   "kind":"non_idempotent","timeout-ms":1200,"priority":1,"service":"b","allowed-regions":["montevideo"],"new":1}},
  {"resource-type":"services","metadata":{"name":"a"},"spec":{"health-path":"/up","max-connections":120,
   "warmup-s":3.0,"warmup-per-s":16.0}},
  {"resource-type":"services","metadata":{"name":"b"},"spec":{}},
  {"resource-type":"unheard-of","metadata":{},"spec":{}},
  {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":1000,"max-body-bytes":2000,
   "header-timeout-ms":3000,"idle-timeout-ms":15000}}]})";

const std::string kRegistration =
    R"({"service":"a","address":"10.128.0.9:8080","zone":"mvd-a","version":"v1","slots":12,"state":"ready",)"
    R"("warmup-left-ms":250,"seq-no":4,"born":1700000000000})";

// Returns the kind of the decoded item, or the error as "path: message".
std::string DecodeOutcome(const std::string& key, const std::string& value) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(item, decoder().Decode(key, value));
        return std::vector<std::string>{"nothing", "configuration", "instance",
                                        "evacuation"}[item.index()];
      },
      [](const model_error& error) {
        return error.path + ": " + error.message;
      },
      [] { return std::string("not a model_error"); });
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(PlatformDecoder, DecodesConfiguration) {
  const auto item = decoder().Decode("op/config", kConfig).value();
  const auto& config = std::get<std::shared_ptr<const configuration>>(item);
  EXPECT_EQ(config->version(), 7u);
  const route* first = config->FindRoute("jepu9.example", "/lepu270/2f");
  ASSERT_NE(first, nullptr);
  EXPECT_TRUE(first->idempotent);
  EXPECT_EQ(first->targets.size(), 2u);
  EXPECT_EQ(first->objective, duration(milliseconds(500)));
  EXPECT_EQ(first->max_attempts, 2u);
  const route* second = config->FindRoute("hulo84.example", "/xapu221/ny95/2f");
  ASSERT_NE(second, nullptr);
  EXPECT_FALSE(second->idempotent);
  EXPECT_EQ(second->home_regions, std::vector<std::string>{"montevideo"});
  EXPECT_EQ(config->FindService("a")->cold_rate, 16);
  EXPECT_EQ(config->FindService("a")->health_path, "/up");
  EXPECT_EQ(config->limits().max_body_bytes, 2000u);
}

// Guards against a configuration that is never in force because its weights
// are fractions.
TEST(PlatformDecoder, KeepsProportionsOfFractionalWeights) {
  const auto targets = [](const std::string& weights) {
    const auto item =
        decoder()
            .Decode(
                "op/config",
                Replaced(
                    kConfig,
                    R"({"service":"a","weight":90},{"service":"b","weight":10})",
                    weights))
            .value();
    return std::get<std::shared_ptr<const configuration>>(item)
        ->routes()[0]
        .targets;
  };
  const auto fractions = targets(
      R"({"service":"a","weight":0.75},{"service":"b","weight":0.25},{"service":"a","weight":0})");
  EXPECT_EQ(fractions[0].weight, 3 * fractions[1].weight);
  EXPECT_EQ(fractions[2].weight, 0u);
  const auto tiny = targets(
      R"({"service":"a","weight":1e-9},{"service":"b","weight":1e300})");
  EXPECT_GT(tiny[0].weight, 0u);
  EXPECT_GT(tiny[1].weight, 900'000u);
  EXPECT_EQ(
      targets(R"({"service":"a","weight":90},{"service":"b","weight":10})")[0]
          .weight,
      90u);
}

const std::string kWorkspaces =
    R"({"resource-type":"tenants","metadata":{"name":"w1"},"spec":{"api-keys":["k1","k2"],"priority":1,)"
    R"("rate-per-s":332,"burst":40,"allowed-regions":["montevideo"]}},)"
    R"({"resource-type":"tenants","metadata":{"name":"w2"},"spec":{"api-keys":["k3"]}},)"
    R"({"resource-type":"limits")";

TEST(PlatformDecoder, DecodesWorkspaces) {
  const auto item =
      decoder()
          .Decode("op/config", Replaced(kConfig, R"({"resource-type":"limits")",
                                        kWorkspaces))
          .value();
  const auto& config = std::get<std::shared_ptr<const configuration>>(item);
  ASSERT_TRUE(config->has_workspaces());
  const workspace* first = config->FindWorkspaceByKey("k2");
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(first, config->FindWorkspace("w1"));
  EXPECT_EQ(first->priority, 1u);
  EXPECT_EQ(first->rate, 332);
  EXPECT_EQ(first->burst, 40);
  EXPECT_EQ(first->home_regions, std::vector<std::string>{"montevideo"});
  EXPECT_EQ(config->FindWorkspaceByKey("k3")->priority, std::nullopt);
  EXPECT_EQ(config->FindWorkspaceByKey("K1"), nullptr);
  EXPECT_EQ(config->FindWorkspaceByKey(""), nullptr);
  EXPECT_TRUE(config->routes()[0].needs_key);
}

// Guards against requests that run for the wrong workspace, and against keys
// in logs.
TEST(PlatformDecoder, RefusesAmbiguousKeysWithoutNamingThem) {
  const auto outcome = [](const std::string& from, const std::string& to) {
    return DecodeOutcome("op/config",
                         Replaced(kConfig, R"({"resource-type":"limits")",
                                  Replaced(kWorkspaces, from, to)));
  };
  EXPECT_EQ(outcome("k3", "k1"),
            "workspace w2: shares a key with workspace w1");
  EXPECT_EQ(outcome("k3", ""), "workspace w2: has an empty key");
  EXPECT_EQ(outcome("\"w2\"", "\"w1\""), "workspace w1: is configured twice");
  EXPECT_EQ(outcome("\"w2\"", "\"w\\n2\"").substr(0, 9), "workspace");
  EXPECT_EQ(outcome("k2", "k1"), "configuration");
}

TEST(PlatformDecoder, ErrorsNameDocumentAndField) {
  const auto config = [](const std::string& from, const std::string& to) {
    return DecodeOutcome("op/config", Replaced(kConfig, from, to));
  };
  EXPECT_EQ(
      config("\"service\":\"b\",\"allowed", "\"service\":\"c\",\"allowed"),
      "route r2: service c is not configured");
  EXPECT_EQ(config("/lepu270/", "lepu270/"),
            "route r1: prefix lepu270/ must begin and end in /");
  EXPECT_EQ(config("\"version\":7", "\"version\":\"7\""),
            "op/config, field version: must be a number");
  EXPECT_EQ(config("\"timeout-ms\":1000", "\"timeout-ms\":-1"),
            "op/config, resources[0], spec, field timeout-ms: must not be "
            "negative");
  EXPECT_EQ(DecodeOutcome("op/config", "{"),
            "op/config: is not valid JSON: incomplete JSON");
}

TEST(PlatformDecoder, DecodesRegistrationWithIdFromKey) {
  const auto item = decoder().Decode("servers/i-1", kRegistration).value();
  const auto& registered = std::get<instance>(item);
  EXPECT_EQ(registered.id, "i-1");
  EXPECT_EQ(registered.host, "10.128.0.9");
  EXPECT_EQ(registered.port, 8080);
  EXPECT_EQ(registered.cold_left, duration(milliseconds(250)));
  EXPECT_EQ(registered.started_ms, 1700000000000u);
  EXPECT_FALSE(registered.draining);
}

TEST(PlatformDecoder, RejectsInvalidRegistrationsAndIgnoresUnknownKeys) {
  const auto registration = [](const std::string& from, const std::string& to) {
    return DecodeOutcome("servers/i-1", Replaced(kRegistration, from, to));
  };
  EXPECT_EQ(registration("\"ready\"", "\"dancing\""),
            "servers/i-1, field state: must be ready or draining, is dancing");
  EXPECT_EQ(registration("10.128.0.9:8080", "somewhere"),
            "servers/i-1, field address: must be an IPv4 address and a port, "
            "is somewhere");
  EXPECT_EQ(registration("\"slots\":12", "\"slots\":\"12\""),
            "servers/i-1, field slots: must be a number");
  EXPECT_EQ(registration("\"slots\":12", "\"slots\":2.5"),
            "servers/i-1, field slots: must be a whole number from 1 to "
            "100000");
  EXPECT_EQ(registration("\"seq-no\":4", "\"seq-no\":4.5"),
            "servers/i-1, field seq-no: must be a whole number from 0 to "
            "9007199254740992");
  EXPECT_EQ(registration("\"born\":1700000000000", "\"born\":1e300"),
            "servers/i-1, field born: must be a whole number from 0 to "
            "9007199254740992");
  EXPECT_EQ(registration("\"service\":\"a\",", ""),
            "servers/i-1, field service: must be a string");
  EXPECT_EQ(DecodeOutcome("servers/i-1", "\xff\xfe"),
            "servers/i-1: is not valid JSON: syntax error");
  EXPECT_EQ(DecodeOutcome("servers/i-1", kRegistration), "instance");
  EXPECT_EQ(DecodeOutcome("op/evacuate/mvd-a", "{}"), "evacuation");
  EXPECT_EQ(DecodeOutcome("something/else", "{}"), "nothing");
}

TEST(PlatformDecoder, CorruptedItemsDoNotCrash) {
  std::mt19937_64 random(42);
  for (int i = 0; i < 10000; ++i) {
    std::string text = i % 2 ? kConfig : kRegistration;
    for (std::size_t flips = 0; flips < 1 + random() % 8; ++flips) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    DecodeOutcome(i % 2 ? "op/config" : "servers/x", text);
  }
}

TEST(PlatformBounds, ParsesKnownNamesAndIgnoresOthers) {
  const bounds parsed =
      ParseBounds(
          "seed-lag-s=3,budget-ratio=0.1,budget-slack=64,"
          "budget-window-s=4,warmup-factor=1.5,warmup-slack=5,grace-s=2.5,x=y,"
          "quota-window-s=10,quota-over=0.5,quota-slack=7")
          .value();
  EXPECT_EQ(parsed.retry_ratio, 0.1);
  EXPECT_EQ(parsed.retry_slack, 64);
  EXPECT_EQ(parsed.retry_window, duration(seconds(4)));
  EXPECT_EQ(parsed.cold_rate_factor, 1.5);
  EXPECT_EQ(parsed.cold_rate_slack, 5);
  EXPECT_EQ(parsed.grace, duration(milliseconds(2500)));
  EXPECT_EQ(parsed.quota_window, duration(seconds(10)));
  EXPECT_EQ(parsed.quota_over, 0.5);
  EXPECT_EQ(parsed.quota_slack, 7);
  EXPECT_EQ(ParseBounds("quota-window-s=0").value().quota_window,
            duration(seconds(1)));
  EXPECT_EQ(ParseBounds("").value().quota_over, 0.25);
  EXPECT_EQ(ParseBounds("").value().retry_ratio, 0.2);
  EXPECT_EQ(ParseBounds("").value().grace, duration::zero());
  EXPECT_FALSE(ParseBounds("budget-ratio=much"));
  EXPECT_FALSE(ParseBounds("{\"budget-ratio\":0.1}"));
}

http_response Response(std::uint16_t status, std::vector<call_header> headers) {
  return {.status = status, .headers = std::move(headers)};
}

TEST(PlatformDialect, SuccessfulResponsesNeedASealAndNoEncoding) {
  const dialect d;
  EXPECT_FALSE(d.ParseResponse(Response(200, {})).authentic);
  EXPECT_TRUE(d.ParseResponse(Response(200, {{"Server-Seal", "x"}})).authentic);
  EXPECT_FALSE(d.ParseResponse(Response(200, {{"Server-Seal", "x"},
                                              {"Content-Encoding", "gzip"}}))
                   .authentic);
  EXPECT_TRUE(d.ParseResponse(Response(503, {{"not-executed", "1"}})).not_run);
  EXPECT_FALSE(d.ParseResponse(Response(503, {{"Server-Seal", "x"}})).not_run);
  EXPECT_TRUE(d.ParseResponse(Response(421, {})).wrong_instance);
}

TEST(PlatformDialect, MatchesResponsesToRequestsById) {
  const dialect d;
  EXPECT_FALSE(d.MatchesRequest(Response(200, {{"Attempt-Id", "a"}}), "b"));
  EXPECT_TRUE(d.MatchesRequest(Response(200, {{"Attempt-Id", "b"}}), "b"));
  EXPECT_TRUE(d.MatchesRequest(Response(502, {}), "b"));
}

TEST(PlatformDialect, SetsTargetCallerAndDeadlineHeaders) {
  const dialect d;
  std::vector<call_header> headers = {{"caller-service", "forged"},
                                      {"Deadline-Ms", "99999"}};
  d.SetCaller(headers, "agenda");
  d.SetTarget(headers, "i-1", milliseconds(250));
  EXPECT_EQ(*FindHeader(headers, "Caller-Service"), "agenda");
  EXPECT_EQ(*FindHeader(headers, "Deadline-Ms"), "250");
  EXPECT_EQ(*FindHeader(headers, "Target-Instance"), "i-1");
  EXPECT_EQ(headers.size(), 3u);
}

TEST(PlatformDialect, RejectedHealthCheckStatesNoWarmUp) {
  const dialect d;
  EXPECT_EQ(d.ParseHealthResponse(
                 {.status = 503,
                  .headers = {{.name = "Not-Executed", .value = "full"}}})
                .cold_left,
            std::nullopt);
  EXPECT_EQ(d.ParseHealthResponse(
                 {.status = 200,
                  .headers = {{.name = "Instance-Id", .value = "i-1"}}})
                .cold_left,
            duration::zero());
  EXPECT_EQ(d.ParseHealthResponse(
                 {.status = 200,
                  .headers = {{.name = "Instance-Id", .value = "i-1"},
                              {.name = "Warmup-Ms", .value = "250"}}})
                .cold_left,
            duration(milliseconds(250)));
}

TEST(PlatformDialect, WritesRetryAfterWithFractionsOfASecond) {
  http_response rejection;
  dialect().SetRetryAfter(rejection, milliseconds(250));
  EXPECT_EQ(*FindHeader(rejection.headers, "Retry-After"), "0.250");
}

}  // namespace
}  // namespace parsleyyard::platform
