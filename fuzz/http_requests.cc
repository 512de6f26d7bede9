// Requests as the HTTP server reads them: what it reads does not depend on how
// the bytes arrive, and no request has two lengths. The input is the position
// at which the bytes are divided, as two bytes, and the bytes.

#include "fuzz/check.h"
#include "net/http_server_internals.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <vector>

#include <sys/socket.h>

namespace parsleyyard {
namespace {

using tcp = asio::ip::tcp;

constexpr http_limits kLimits{.max_header_bytes = 2048, .max_body_bytes = 4096};

// What the server made of the bytes of one connection.
struct reading {
  std::vector<http_request> requests;
  std::size_t rejections = 0;
  std::string responses;
};

// Responds at once with the number of the request.
class recording_handler : public http_handler {
 public:
  explicit recording_handler(reading& result) : result_(result) {}
  std::optional<http_response> OnHead(const http_request& head) override {
    CheckOneFraming(head);
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    CheckLength(request);
    Check(request.body.size() <= kLimits.max_body_bytes,
          "a body is within its limit");
    result_.requests.push_back(std::move(request));
    reply({.body = std::to_string(result_.requests.size())});
    return nullptr;
  }
  std::optional<http_response> OnRejected(
      const http_rejection& rejection) override {
    constexpr std::array<int, 5> kStatuses = {400, 408, 413, 431, 503};
    Check(std::find(kStatuses.begin(), kStatuses.end(), rejection.status) !=
              kStatuses.end(),
          "a rejection has a status that states the cause");
    ++result_.rejections;
    return std::nullopt;
  }

 private:
  static void CheckOneFraming(const http_request& head) {
    const bool chunked = head.Find("transfer-encoding") != nullptr;
    Check(!chunked || head.Find("content-length") == nullptr,
          "a chunked request has no content length");
  }

  static void CheckLength(const http_request& request) {
    for (const call_header& header : request.headers) {
      Check(!boost::beast::iequals(header.name, "content-length") ||
                request.body.size() ==
                    std::strtoull(header.value.c_str(), nullptr, 10),
            "a body has each length that is stated");
    }
  }

  reading& result_;
};

// A session of the server and the caller's end of its connection.
class served_connection {
 public:
  served_connection()
      : handler_(result_),
        server_(std::make_shared<http_server_internals>(
            context_,
            http_server_options{.limits = [] { return kLimits; }},
            handler_)),
        caller_(context_) {
    std::array<int, 2> ends{};
    Check(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0,
          "there is a pair of sockets");
    caller_.assign(tcp::v4(), ends[0]);
    caller_.non_blocking(true);
    auto session = std::make_shared<http_session>(
        tcp::socket(context_, tcp::v4(), ends[1]), server_);
    asio::co_spawn(
        context_,
        [session]() -> asio::awaitable<void> { co_await session->Run(); },
        asio::detached);
  }

  // Sends bytes and lets the server do all that it can.
  void Send(std::string_view bytes) {
    boost::system::error_code error;
    asio::write(caller_, asio::buffer(bytes), error);
    Settle();
  }

  // Closes the sending side and waits for the end of the session.
  reading Finish() {
    boost::system::error_code error;
    caller_.shutdown(tcp::socket::shutdown_send, error);
    Settle();
    caller_.close(error);
    context_.restart();
    context_.run();
    Check(server_->connections_ == 0, "a connection ends with its caller's");
    return std::move(result_);
  }

 private:
  void Settle() {
    context_.restart();
    std::size_t progress = 1;
    while (progress > 0) {
      progress = context_.poll() + Receive();
    }
  }

  // Returns the number of bytes that the server has sent since the last call.
  std::size_t Receive() {
    std::array<char, 4096> block{};
    boost::system::error_code error;
    const std::size_t size = caller_.read_some(asio::buffer(block), error);
    result_.responses.append(block.data(), size);
    return size;
  }

  asio::io_context context_{1};
  reading result_;
  recording_handler handler_;
  std::shared_ptr<http_server_internals> server_;
  tcp::socket caller_;
};

reading Read(std::string_view bytes, std::size_t divided_at) {
  served_connection connection;
  connection.Send(bytes.substr(0, divided_at));
  connection.Send(bytes.substr(divided_at));
  return connection.Finish();
}

bool SameRequest(const http_request& a, const http_request& b) {
  return a.method == b.method && a.target == b.target &&
         a.headers == b.headers && a.body == b.body;
}

// The server sends one response for each request and each rejection.
void CheckResponses(const reading& result) {
  constexpr std::string_view kStart = "HTTP/1.";
  std::size_t responses = 0;
  for (std::size_t at = result.responses.find(kStart); at != std::string::npos;
       at = result.responses.find(kStart, at + 1)) {
    ++responses;
  }
  Check(result.rejections <= 1, "nothing is read behind a rejection");
  Check(responses >= result.requests.size() + result.rejections,
        "each request and rejection gets a response");
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  std::string_view bytes = ToText(data, size);
  const std::size_t high = TakeByte(bytes);
  const std::size_t divided_at =
      bytes.empty() ? 0 : (high * 256 + TakeByte(bytes)) % (bytes.size() + 1);
  const reading whole = Read(bytes, bytes.size());
  const reading divided = Read(bytes, std::min(divided_at, bytes.size()));
  Check(
      std::equal(whole.requests.begin(), whole.requests.end(),
                 divided.requests.begin(), divided.requests.end(), SameRequest),
      "the requests that are read do not depend on how the bytes arrive");
  CheckResponses(whole);
  CheckResponses(divided);
  return 0;
}
