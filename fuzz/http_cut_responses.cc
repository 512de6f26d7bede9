// A valid response is complete if it arrives whole, with the body that was
// sent, and never if it broke off. The input is the place of the cut, a choice
// of the framing, the size of the chunks and the body.

#include "fuzz/client_runner.h"

#include <algorithm>
#include <sstream>

namespace parsleyyard {
namespace {

std::string MakeChunked(std::string_view body, std::size_t chunk_bytes) {
  std::ostringstream response;
  response << "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
           << std::hex;
  for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
    const std::string_view chunk = body.substr(at, chunk_bytes);
    response << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  response << "0\r\n\r\n";
  return response.str();
}

std::string MakePlain(std::string_view body) {
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) +
         "\r\n\r\n" + std::string(body);
}

void CheckWhole(const std::string& response, std::string_view body) {
  const http_exchange whole = client_runner().Exchange(
      {.method = "GET", .target = "/"}, response, server_end::kStaysOpen);
  Check(whole.complete && whole.response.body == body,
        "a response that arrived whole is complete");
}

void CheckCut(std::string_view part, server_end end) {
  const http_exchange cut =
      client_runner().Exchange({.method = "GET", .target = "/"}, part, end);
  Check(!cut.complete, "a response that broke off is not complete");
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  std::string_view body = ToText(data, size);
  const std::size_t high = TakeByte(body);
  const std::size_t cut_at = high * 256 + TakeByte(body);
  const std::uint8_t choice = TakeByte(body);
  const std::size_t chunk_bytes = TakeByte(body) + 1u;
  body = body.substr(0, client_runner::kMaxBodyBytes);
  const bool chunked = (choice & 1) != 0;
  const std::string response =
      chunked ? MakeChunked(body, chunk_bytes) : MakePlain(body);
  CheckWhole(response, body);
  CheckCut(std::string_view(response).substr(0, cut_at % response.size()),
           (choice & 2) != 0 ? server_end::kClose : server_end::kReset);
  return 0;
}
