// Stand-in for the link between regions. For each host it listens on a second
// address (other first two octets) and passes TCP on with a delay and
// a rate for each direction. It can cut, delay and reorder, and counts bytes.

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
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunk = 16384;
constexpr auto kPollWhileCut = std::chrono::milliseconds(50);

// One direction of the link. Everything runs on one thread.
struct direction {
  std::uint64_t bytes = 0;
  bool cut = false;
  steady::time_point next_free{};
};

struct link_state {
  std::map<std::string, direction> towards;  // by region
  std::chrono::microseconds delay{12000};
  std::chrono::microseconds reorder{0};  // longest extra delay
  std::mt19937_64 random{1};
  double bits_a_second = 30e6;

  // The bytes of different streams overtake each other.
  steady::duration ExtraDelay() {
    return std::chrono::microseconds(
        std::uniform_int_distribution<std::int64_t>(0,
                                                    reorder.count())(random));
  }

  // When `size` bytes that enter now arrive at the other end.
  steady::time_point Schedule(direction& way, std::size_t size) const {
    const auto now = steady::now();
    const auto sending = std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double>(static_cast<double>(size) * 8 /
                                      bits_a_second));
    way.next_free = std::max(now, way.next_free) + sending;
    way.bytes += size;
    return way.next_free + delay;
  }
};

struct chunk {
  std::string bytes;
  steady::time_point due;
};

// Carries one direction of one TCP connection.
asio::awaitable<void> Carry(std::shared_ptr<tcp::socket> from,
                            std::shared_ptr<tcp::socket> to,
                            link_state& link,
                            direction& way) {
  auto queue = std::make_shared<std::deque<chunk>>();
  auto signal = std::make_shared<asio::steady_timer>(from->get_executor(),
                                                     steady::time_point::max());
  auto ended = std::make_shared<bool>(false);
  const auto deliver = [](std::shared_ptr<tcp::socket> target,
                          std::shared_ptr<std::deque<chunk>> chunks,
                          std::shared_ptr<asio::steady_timer> wake,
                          std::shared_ptr<bool> over,
                          direction* direction_used) -> asio::awaitable<void> {
    asio::steady_timer timer(target->get_executor());
    while (!*over || !chunks->empty()) {
      if (chunks->empty()) {
        co_await wake->async_wait(kTuple);
        continue;
      }
      timer.expires_at(chunks->front().due);
      co_await timer.async_wait(kTuple);
      while (direction_used->cut) {
        timer.expires_after(kPollWhileCut);
        co_await timer.async_wait(kTuple);
      }
      const std::string bytes = std::move(chunks->front().bytes);
      chunks->pop_front();
      auto [error, size] =
          co_await asio::async_write(*target, asio::buffer(bytes), kTuple);
      if (error) {
        break;
      }
    }
    boost::system::error_code ignored;
    target->close(ignored);
  };
  asio::co_spawn(from->get_executor(), deliver(to, queue, signal, ended, &way),
                 asio::detached);
  std::string buffer(kChunk, '\0');
  steady::time_point last_due{};
  while (true) {
    auto [error, size] =
        co_await from->async_read_some(asio::buffer(buffer), kTuple);
    if (error) {
      break;
    }
    last_due = std::max(last_due, link.Schedule(way, size) + link.ExtraDelay());
    queue->push_back({.bytes = buffer.substr(0, size), .due = last_due});
    signal->cancel();
  }
  *ended = true;
  signal->cancel();
}

asio::awaitable<void> AcceptFor(asio::io_context& context,
                                tcp::acceptor acceptor,
                                tcp::endpoint real,
                                link_state& link,
                                direction& there,
                                direction& back) {
  while (true) {
    auto [error, socket] = co_await acceptor.async_accept(kTuple);
    if (error) {
      co_return;
    }
    auto near = std::make_shared<tcp::socket>(std::move(socket));
    auto far = std::make_shared<tcp::socket>(context);
    auto [connect_error] = co_await far->async_connect(real, kTuple);
    if (connect_error || there.cut || back.cut) {
      continue;
    }
    boost::system::error_code ignored;
    near->set_option(tcp::no_delay(true), ignored);
    far->set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(context, Carry(near, far, link, there), asio::detached);
    asio::co_spawn(context, Carry(far, near, link, back), asio::detached);
  }
}

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
      link_.reorder = std::chrono::milliseconds(std::atoi(reorder_ms.c_str()));
    }
    boost::json::object bytes;
    for (auto& [region, way] : link_.towards) {
      if (!cut.empty()) {
        way.cut = cut == "both" || cut == region;
      }
      bytes[region] = way.bytes;
    }
    reply(Text(200, boost::json::serialize(bytes) + "\n"));
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
      "region_link: stand-in for the link between two regions");
  options.add_options()("hosts", po::value(&hosts)->multitoken()->required(),
                        "address=region, one or more")(
      "prefix", po::value(&prefix)->default_value("127.201"),
      "first two octets to listen on")(
      "port", po::value(&port)->default_value(8081), "port of the daemons")(
      "delay-ms", po::value(&delay_ms)->default_value(12), "delay of one way")(
      "megabits", po::value(&megabits)->default_value(30), "rate of one way")(
      "admin", po::value<std::string>()->default_value("127.201.0.1"),
      "address of the admin page, port 7001")("help", "print this");
  const auto given = ParseOrExit(argc, argv, options);
  asio::io_context context(1);
  link_state link;
  link.delay = std::chrono::milliseconds(delay_ms);
  link.bits_a_second = megabits * 1e6;
  std::vector<std::pair<std::string, std::string>> listed;
  for (const std::string& host : hosts) {
    const std::size_t equals = host.find('=');
    listed.emplace_back(host.substr(0, equals), host.substr(equals + 1));
    link.towards[listed.back().second];
  }
  for (const auto& [address, region] : listed) {
    const std::string seen =
        prefix + address.substr(address.find('.', address.find('.') + 1));
    direction& there = link.towards[region];
    direction& back = link.towards.begin()->first == region
                          ? link.towards.rbegin()->second
                          : link.towards.begin()->second;
    tcp::acceptor acceptor(context, {asio::ip::make_address_v4(seen), port});
    const auto real = asio::ip::make_address_v4(address);
    asio::co_spawn(context,
                   AcceptFor(context, std::move(acceptor), {real, port}, link,
                             there, back),
                   asio::detached);
  }
  link_admin admin(link);
  http_server server(
      context, {.address = given["admin"].as<std::string>(), .port = 7001},
      admin);
  ListenOrExit(server);
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
