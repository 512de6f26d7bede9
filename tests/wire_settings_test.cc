// Frames and settings from hostile or mistaken input.

#include "daemon/settings.h"
#include "wire/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <boost/leaf/handle_errors.hpp>

#include <cstdio>
#include <fstream>
#include <random>

namespace parsleyyard {
namespace {

// The error of a frame; "" if it decodes.
std::string ErrorOf(std::string_view frame) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(Decode(frame));
        return std::string();
      },
      [](wire_error error) {
        return std::string(kWireErrorNames[static_cast<std::size_t>(error)]);
      },
      [] { return std::string("another error"); });
}

std::string GoodFrame() {
  call_request call{.id = {.origin = 1, .sequence = 2}, .service = "agenda"};
  call.headers = {{.name = "a", .value = "b"}};
  call.body = std::string(100, 'x');
  return Encode(call);
}

TEST(Wire, MessagesComeBackEqual) {
  rc::check("calls survive the way",
            [](const std::string& body, std::uint64_t sequence,
               std::uint32_t deadline) {
              call_request call{.id = {.origin = 3, .sequence = sequence},
                                .deadline_ms = deadline};
              call.body = body;
              const bool equal = leaf::try_handle_all(
                  [&]() -> leaf::result<bool> {
                    BOOST_LEAF_AUTO(message, Decode(Encode(call)));
                    return std::get<call_request>(message) == call;
                  },
                  [] { return false; });
              RC_ASSERT(equal);
            });
}

TEST(Wire, EveryTruncationIsRefused) {
  const std::string frame = GoodFrame();
  for (std::size_t size = 0; size < frame.size(); ++size) {
    EXPECT_NE(ErrorOf(std::string_view(frame).substr(0, size)), "") << size;
  }
}

TEST(Wire, OtherVersionsTypesAndLengthsHaveTheirErrors) {
  std::string frame = GoodFrame();
  frame[4] = 99;
  EXPECT_EQ(ErrorOf(frame), "other format version");
  frame = GoodFrame();
  frame[6] = 99;
  EXPECT_EQ(ErrorOf(frame), "unknown type");
  frame = GoodFrame();
  frame[3] = 0x7f;
  EXPECT_EQ(ErrorOf(frame), "too long");
}

// A length field within a message that claims gigabytes must not allocate.
TEST(Wire, InnerLengthsAreBoundedBeforeAllocation) {
  std::string frame = Encode(link_hello{.from = "x"});
  frame[kFrameHeaderBytes + 1] = '\xff';
  frame[kFrameHeaderBytes + 2] = '\xff';
  frame[kFrameHeaderBytes + 3] = '\xff';
  EXPECT_EQ(ErrorOf(frame), "damaged");
}

TEST(Wire, RandomBytesNeverCrash) {
  std::mt19937_64 random(42);
  for (int i = 0; i < 10000; ++i) {
    std::string frame = i % 2 ? GoodFrame() : std::string(random() % 200, '\0');
    for (std::size_t flips = 0; flips < 1 + random() % 8 && !frame.empty();
         ++flips) {
      frame[random() % frame.size()] = static_cast<char>(random());
    }
    ErrorOf(frame);
  }
}

// The message of settings with these lines; "" if they are valid.
std::string SettingsError(const std::string& lines) {
  const std::string file =
      ::testing::TempDir() + "parsleyyard_settings_test.ini";
  std::ofstream(file) << lines;
  const std::string message = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(LoadSettings(file));
        return std::string();
      },
      [&](const settings_error& error) {
        return error.Line().substr(file.size());
      },
      [] { return std::string("another error"); });
  std::remove(file.c_str());
  return message;
}

TEST(Settings, TenMistakesHaveTheirMessages) {
  EXPECT_EQ(
      SettingsError("[host]\naddress = here\n"),
      ", [host] address: \"here\" must be an IPv4 address such as 127.1.1.1");
  EXPECT_EQ(
      SettingsError("[ports]\ncallers = 70000\n"),
      ", [ports] callers: \"70000\" must be a whole number from 0 to 65535");
  EXPECT_EQ(SettingsError("[platform]\nwatch = 1s\n"),
            ", [platform] watch: \"1s\" must be a whole number from 100 to "
            "60000 milliseconds, without a unit");
  EXPECT_EQ(SettingsError("[platform]\nreaders = 0\n"),
            ", [platform] readers: \"0\" must be a whole number from 1 to 8");
  EXPECT_EQ(SettingsError("[fleet]\nseeds = 127.1.1.1, there\n"),
            ", [fleet] seeds: \"127.1.1.1, there\" item there must be an IPv4 "
            "address such as 127.1.1.1");
  EXPECT_EQ(SettingsError("[calls]\nlocality = near\n"),
            ", [calls] locality: \"near\" must be one of soft, hard, none");
  EXPECT_EQ(
      SettingsError("[calls]\nspeed = 1\n"),
      ", [calls] speed: is not a known setting; see etc/parsleyyardd.ini");
  EXPECT_EQ(SettingsError("[extra]\na = 1\n"),
            ", [extra] a: is not a known setting; see etc/parsleyyardd.ini");
  EXPECT_EQ(SettingsError("address = 127.1.1.1\n"),
            " address: stands outside a section");
  EXPECT_EQ(SettingsError("[fleet]\nother_region_prefix = 300.1\n"),
            ", [fleet] other_region_prefix: \"300.1\" must be empty or two "
            "octets such as 127.201");
  EXPECT_EQ(
      SettingsError("[fleet]\nisolation_lease = 500\ndigest_interval = 500\n"),
      ", [fleet] isolation_lease: must be longer than digest_interval, or no "
      "peer is ever heard in time");
}

TEST(Settings, AMissingFileIsOneLine) {
  const std::string line = leaf::try_handle_all(
      []() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(LoadSettings("no-such-file.ini"));
        return std::string();
      },
      [](const settings_error& error) { return error.Line(); },
      [] { return std::string(); });
  EXPECT_EQ(line, "no-such-file.ini: cannot open file");
}

TEST(Settings, TheDefaultsAreValid) {
  std::string lines;
  EXPECT_EQ(SettingsError("[host]\nregion = litoral\n"), "");
}

}  // namespace
}  // namespace parsleyyard
