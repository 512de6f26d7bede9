// Responses as the HTTP client reads them: a second response on a connection is
// never given to the next request, and a response without a length that broke
// off is never complete. The input is a byte that chooses the request and how
// the server ends the connection, and the bytes that the server sends.

#include "fuzz/client_runner.h"

namespace parsleyyard {
namespace {

constexpr std::string_view kNextBody = "the response to the next request";

http_request MakeRequest(std::uint8_t choice) {
  constexpr std::array<const char*, 3> kMethods = {"GET", "HEAD", "POST"};
  return {.method = kMethods[choice % kMethods.size()], .target = "/"};
}

server_end ChooseEnd(std::uint8_t choice) {
  constexpr std::array<server_end, 3> kEnds = {
      server_end::kStaysOpen, server_end::kClose, server_end::kReset};
  return kEnds[choice / 3 % kEnds.size()];
}

void CheckComplete(const http_exchange& exchange, server_end end) {
  Check(exchange.begun, "a complete response has begun");
  Check(exchange.response.body.size() <= client_runner::kMaxBodyBytes,
        "a body is within its limit");
  const auto& headers = exchange.response.headers;
  const std::string* length = FindHeader(headers, "content-length");
  const bool bodiless = exchange.response.body.empty();
  Check(length == nullptr || bodiless ||
            exchange.response.body.size() ==
                std::strtoull(length->c_str(), nullptr, 10),
        "a body has the stated length");
  const bool framed =
      length != nullptr || FindHeader(headers, "transfer-encoding") != nullptr;
  Check(framed || bodiless || end != server_end::kReset,
        "a response without a length that broke off is not complete");
}

void CheckNextExchange(client_runner& runner) {
  const std::string response =
      "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(kNextBody.size()) +
      "\r\n\r\n" + std::string(kNextBody);
  const http_exchange next = runner.Exchange({.method = "GET", .target = "/"},
                                             response, server_end::kStaysOpen);
  Check(next.complete && next.response.body == kNextBody,
        "a request gets its own response only");
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  std::string_view bytes = ToText(data, size);
  const std::uint8_t choice = TakeByte(bytes);
  client_runner runner;
  const http_exchange exchange =
      runner.Exchange(MakeRequest(choice), bytes, ChooseEnd(choice));
  if (exchange.complete) {
    CheckComplete(exchange, ChooseEnd(choice));
  }
  CheckNextExchange(runner);
  return 0;
}
