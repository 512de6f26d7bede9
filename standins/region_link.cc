// Stand-in for the link between two regions. For each host it listens on a
// second address, whose first two octets differ, and forwards TCP connections
// to the daemon there with a delay and a limited rate in each direction. It can
// cut a direction, let streams overtake each other, and counts the bytes.

#include "standins/standin_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <deque>
#include <memory>
#include <random>

namespace parsleyyard::standins {

namespace {

using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadSize = 16384;
constexpr auto kCutPollInterval = std::chrono::milliseconds(50);

// One direction of the link, shared by all connections. Needs no lock, because
// the process has one thread.
struct direction {
  std::uint64_t bytes = 0;
  bool cut = false;
  steady::time_point busy_until{};  // end of the transmission of accepted bytes
};

struct link_state {
  std::map<std::string, direction> directions;  // by destination region
  std::chrono::microseconds delay{12000};
  // Upper bound of ExtraDelay().
  std::chrono::microseconds max_extra_delay{0};
  std::mt19937_64 random{1};
  double bits_per_second = 30e6;

  // Random, so that bytes of different streams overtake each other.
  steady::duration ExtraDelay() {
    return std::chrono::microseconds(
        std::uniform_int_distribution<std::int64_t>(
            0, max_extra_delay.count())(random));
  }

  // Time at which `size` bytes that enter the link now arrive at its other end.
  steady::time_point ArrivalTime(direction& link_direction,
                                 std::size_t size) const {
    const auto now = steady::now();
    const auto sending = std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(static_cast<double>(size) * 8 /
                                      bits_per_second));
    link_direction.busy_until =
        std::max(now, link_direction.busy_until) + sending;
    link_direction.bytes += size;
    return link_direction.busy_until + delay;
  }
};

struct chunk {
  std::string bytes;
  steady::time_point due;
};

// Forwards one direction of one TCP connection until the source ends it. Bytes
// wait while the direction is cut.
asio::awaitable<void> ForwardBytes(std::shared_ptr<tcp::socket> from,
                                   std::shared_ptr<tcp::socket> to,
                                   link_state& link,
                                   direction& link_direction) {
  auto queue = std::make_shared<std::deque<chunk>>();
  auto queue_changed = std::make_shared<asio::steady_timer>(
      from->get_executor(), steady::time_point::max());
  auto input_ended = std::make_shared<bool>(false);
  const auto deliver =
      [](std::shared_ptr<tcp::socket> target,
         std::shared_ptr<std::deque<chunk>> chunks,
         std::shared_ptr<asio::steady_timer> chunks_changed,
         std::shared_ptr<bool> no_more_input,
         direction* delivery_direction) -> asio::awaitable<void> {
    asio::steady_timer timer(target->get_executor());
    while (!*no_more_input || !chunks->empty()) {
      if (chunks->empty()) {
        co_await chunks_changed->async_wait(kNothrowAwaitable);
        continue;
      }
      timer.expires_at(chunks->front().due);
      co_await timer.async_wait(kNothrowAwaitable);
      while (delivery_direction->cut) {
        timer.expires_after(kCutPollInterval);
        co_await timer.async_wait(kNothrowAwaitable);
      }
      const std::string bytes = std::move(chunks->front().bytes);
      chunks->pop_front();
      auto [error, size] = co_await asio::async_write(
          *target, asio::buffer(bytes), kNothrowAwaitable);
      if (error) {
        break;
      }
    }
    boost::system::error_code ignored;
    target->close(ignored);
  };
  asio::co_spawn(
      from->get_executor(),
      deliver(to, queue, queue_changed, input_ended, &link_direction),
      asio::detached);
  std::string buffer(kReadSize, '\0');
  steady::time_point last_due{};
  while (true) {
    auto [error, size] =
        co_await from->async_read_some(asio::buffer(buffer), kNothrowAwaitable);
    if (error) {
      break;
    }
    last_due = std::max(
        last_due, link.ArrivalTime(link_direction, size) + link.ExtraDelay());
    queue->push_back({.bytes = buffer.substr(0, size), .due = last_due});
    queue_changed->cancel();
  }
  *input_ended = true;
  queue_changed->cancel();
}

// Accepts connections for one daemon. Closes a new connection while either
// direction is cut.
asio::awaitable<void> AcceptConnections(asio::io_context& context,
                                        tcp::acceptor acceptor,
                                        tcp::endpoint daemon,
                                        link_state& link,
                                        direction& to_daemon,
                                        direction& from_daemon) {
  while (true) {
    auto [error, socket] = co_await acceptor.async_accept(kNothrowAwaitable);
    if (error) {
      co_return;
    }
    auto client_socket = std::make_shared<tcp::socket>(std::move(socket));
    auto daemon_socket = std::make_shared<tcp::socket>(context);
    auto [connect_error] =
        co_await daemon_socket->async_connect(daemon, kNothrowAwaitable);
    if (connect_error || to_daemon.cut || from_daemon.cut) {
      continue;
    }
    boost::system::error_code ignored;
    client_socket->set_option(tcp::no_delay(true), ignored);
    daemon_socket->set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context,
                   ForwardBytes(client_socket, daemon_socket, link, to_daemon),
                   asio::detached);
    asio::co_spawn(
        context, ForwardBytes(daemon_socket, client_socket, link, from_daemon),
        asio::detached);
  }
}

// Handles /?cut=REGION|both|none and /?reorder_ms=N. Each response lists the
// bytes sent so far by destination region.
class link_admin : public http_handler {
 public:
  explicit link_admin(link_state& link) : link_(link) {}
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const std::string cut = QueryValue(request.target, "cut");
    const std::string reorder_ms = QueryValue(request.target, "reorder_ms");
    if (!reorder_ms.empty()) {
      link_.max_extra_delay =
          std::chrono::milliseconds(std::atoi(reorder_ms.c_str()));
    }
    boost::json::object bytes;
    for (auto& [region, link_direction] : link_.directions) {
      if (!cut.empty()) {
        link_direction.cut = cut == "both" || cut == region;
      }
      bytes[region] = link_direction.bytes;
    }
    reply(TextResponse(200, boost::json::serialize(bytes) + "\n"));
    return nullptr;
  }

 private:
  link_state& link_;
};

}  // namespace

int Main(int argc, char** argv) {
  std::vector<std::string> hosts;
  std::string prefix;
  std::uint16_t port = 0;
  int delay_ms = 0;
  double megabits = 0;
  po::options_description options(
      "standin_region_link: stand-in for the link between two regions");
  options.add_options()("hosts", po::value(&hosts)->multitoken()->required(),
                        "one or more of address=region")(
      "prefix", po::value(&prefix)->default_value("127.201"),
      "first two octets of the addresses to listen on")(
      "port", po::value(&port)->default_value(8081), "port of the daemons")(
      "delay-ms", po::value(&delay_ms)->default_value(12),
      "delay of each direction in milliseconds")(
      "megabits", po::value(&megabits)->default_value(30),
      "rate of each direction in Mbit/s")(
      "admin", po::value<std::string>()->default_value("127.201.0.1"),
      "address of the admin page, port 7001")("help", "print this help");
  const auto values = ParseOrExit(argc, argv, options);
  asio::io_context context(1);
  link_state link;
  link.delay = std::chrono::milliseconds(delay_ms);
  link.bits_per_second = megabits * 1e6;
  std::vector<std::pair<std::string, std::string>> host_regions;
  for (const std::string& host : hosts) {
    const std::size_t equals = host.find('=');
    host_regions.emplace_back(host.substr(0, equals), host.substr(equals + 1));
    link.directions[host_regions.back().second];
  }
  for (const auto& [address, region] : host_regions) {
    const std::string listen_address =
        prefix + address.substr(address.find('.', address.find('.') + 1));
    direction& to_daemon = link.directions[region];
    direction& from_daemon = link.directions.begin()->first == region
                                 ? link.directions.rbegin()->second
                                 : link.directions.begin()->second;
    tcp::acceptor acceptor(context,
                           {asio::ip::make_address_v4(listen_address), port});
    const auto daemon = asio::ip::make_address_v4(address);
    asio::co_spawn(
        context,
        AcceptConnections(context, std::move(acceptor), {daemon, port}, link,
                          to_daemon, from_daemon),
        asio::detached);
  }
  link_admin admin(link);
  http_server server(
      context, {.address = values["admin"].as<std::string>(), .port = 7001},
      admin);
  ListenOrExit(server);
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
