// Options of the components that the daemon builds from its settings.

#include "daemon/component_options.h"
#include "platform/platform.h"
#include "wire/wire.h"

#include <gtest/gtest.h>

namespace parsleyyard {
namespace {

// Guards against a daemon that ends with an exception on one long request.
TEST(CallerServerOptions, RequestWithMostHeaderFieldsFitsIntoAMessage) {
  const http_server_options options = BuildCallerServerOptions({}, {});
  call_request message;
  for (std::size_t i = 0; i < options.max_header_fields; ++i) {
    message.headers.push_back({.name = "x-" + std::to_string(i), .value = "y"});
  }
  platform::dialect().SetCaller(message.headers, "agenda");
  EXPECT_NO_THROW(Encode(message));
}

}  // namespace
}  // namespace parsleyyard
