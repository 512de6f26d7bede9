// The memory budget of the process, at connections of callers and at streams
// between daemons on loopback.

#include "net/memory_budget.h"
#include "tests/http_fixtures.h"

#include <boost/asio/read_until.hpp>

#include <mutex>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kMeshPort = 18491;
constexpr std::size_t kBodyBytes = std::size_t{1} << 20;

// Room for three bodies, apart from what is kept for small requests.
std::shared_ptr<memory_budget> SmallBudget() {
  return std::make_shared<memory_budget>(
      memory_limits{.total = 4 * kBodyBytes,
                    .reserved_for_small = kBodyBytes,
                    .max_small = kBodyBytes / 8});
}

// Polls for up to 10 seconds.
template <class Condition>
bool Eventually(const Condition& holds) {
  for (int i = 0; i < 1000 && !holds(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return holds();
}

class budget_fixture : public server_fixture {
 protected:
  budget_fixture() : budget_fixture(SmallBudget()) {}
  explicit budget_fixture(const std::shared_ptr<memory_budget>& budget)
      : server_fixture(
            {.address = kHost,
             .port = kHttpPort,
             .limits = [] { return http_limits{.max_body_bytes = kBodyBytes}; },
             .memory = budget}),
        budget_(budget) {}

  // Sends a request whose body lacks its last byte.
  void SendStalled() {
    tcp::socket& socket = stalled_.emplace_back(context_);
    socket.connect({asio::ip::make_address_v4(kHost), kHttpPort});
    WriteText(socket, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                          std::to_string(kBodyBytes) + "\r\n\r\n" +
                          std::string(kBodyBytes - 1, 'b'));
  }

  std::string Request(const std::string& body) {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address_v4(kHost), kHttpPort});
    WriteText(socket,
              "POST / HTTP/1.1\r\nhost: a\r\nconnection: "
              "close\r\ncontent-length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
    return ReadAll(socket);
  }

  const std::shared_ptr<memory_budget> budget_;
  asio::io_context context_;
  std::vector<tcp::socket> stalled_;
};

// Guards against clients that stop short of the end of their bodies and hold
// memory without bound.
TEST_F(budget_fixture, StalledBodiesGiveWay) {
  for (int i = 0; i < 12; ++i) {
    SendStalled();
  }
  EXPECT_TRUE(Eventually([&] { return budget_->Refusals() >= 9; }));
  EXPECT_LE(budget_->HeldBytes(), 4 * kBodyBytes);
  EXPECT_EQ(handler_.requests, 0);
  EXPECT_TRUE(Request("small").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(Eventually([&] {
    return Request(std::string(kBodyBytes, 'b')).starts_with("HTTP/1.1 200");
  }));
  stalled_.clear();
  EXPECT_TRUE(Eventually([&] { return server_.connections() == 0; }));
  EXPECT_EQ(budget_->HeldBytes(), 0);
}

// Guards against a refusal that the client can't tell from a lost request.
TEST_F(budget_fixture, RequestThatGivesWayIsRefusedAsNotRun) {
  const memory_limits none{.total = 64 << 10, .max_small = 64 << 10};
  const auto small = std::make_shared<memory_budget>(none);
  body_size_handler handler(workers_.context);
  http_server server(
      workers_.context,
      {.address = kHost,
       .port = kHttpPort + 3,
       .limits = [] { return http_limits{.max_body_bytes = kBodyBytes}; },
       .memory = small},
      handler);
  ASSERT_TRUE(server.Listen());
  tcp::socket socket(context_);
  socket.connect({asio::ip::make_address_v4(kHost), kHttpPort + 3});
  WriteText(socket, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                        std::to_string(kBodyBytes) + "\r\n\r\n" +
                        std::string(std::size_t{100} << 10, 'b'));
  std::string response;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n", error);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_NE(response.find("x-parsleyyard-outcome: not_run"), std::string::npos);
  EXPECT_NE(response.find("retry-after: "), std::string::npos);
  EXPECT_EQ(handler.requests, 0);
}

// Notes the calls that arrived and those that were dropped.
class call_listener_fake : public mesh_listener {
 public:
  void OnMessage(const host_address& /*from*/, any_message message) override {
    const std::lock_guard lock(mutex);
    if (const auto* call = std::get_if<call_request>(&message)) {
      arrived.push_back(call->id.sequence);
    }
  }
  void OnCallDropped(const host_address& /*from*/, const call_id& id) override {
    const std::lock_guard lock(mutex);
    dropped.push_back(id.sequence);
  }
  void OnLinkUp(const host_address& /*peer*/,
                std::uint64_t /*incarnation*/) override {
    up = true;
  }
  void OnPeerStops(const host_address& /*peer*/) override {}
  void OnLinkDown(const host_address& /*peer*/) override { down = true; }
  void OnLinkError(const host_address& /*peer*/,
                   const net_error& /*error*/) override {}
  void OnUndelivered(const host_address& /*to*/,
                     const any_message& /*message*/) override {}
  std::size_t CountArrived() {
    const std::lock_guard lock(mutex);
    return arrived.size();
  }

  std::mutex mutex;
  std::vector<std::uint64_t> arrived;
  std::vector<std::uint64_t> dropped;
  std::atomic<bool> up{false};
  std::atomic<bool> down{false};
};

// Guards against a daemon that runs out of memory by the calls of its peers,
// and against a stream that ends because one of its calls is too large.
TEST(MeshMemory, LargeCallsAreDroppedAndTheStreamStays) {
  worker_threads pool;
  call_listener_fake sender_events;
  call_listener_fake target_events;
  const auto budget = SmallBudget();
  peer_mesh target(pool.context,
                   {.address = "127.9.0.3",
                    .port = kMeshPort,
                    .incarnation = 3,
                    .memory = budget},
                   target_events);
  peer_mesh sender(pool.context, {.address = "127.9.0.2", .port = kMeshPort},
                   sender_events);
  ASSERT_TRUE(target.Listen());
  ASSERT_TRUE(sender.Listen());
  sender.Open("127.9.0.3");
  ASSERT_TRUE(Eventually([&] { return sender_events.up.load(); }));
  std::mt19937_64 random(5);
  const std::array<std::string, 3> bodies = {
      RandomBytes(random, 5 * kBodyBytes),   // too large on the wire
      std::string(5 * kBodyBytes, 'c'),      // too large when uncompressed
      RandomBytes(random, kBodyBytes / 2)};  // fits
  for (std::uint64_t i = 0; i < 9; ++i) {
    sender.Send("127.9.0.3",
                call_request{.id = {.origin = 7, .sequence = i},
                             .body = bodies[i % bodies.size()]},
                send_mode::kIfConnected);
  }
  EXPECT_TRUE(Eventually([&] { return target_events.CountArrived() == 3; }));
  {
    const std::lock_guard lock(target_events.mutex);
    EXPECT_EQ(target_events.arrived, (std::vector<std::uint64_t>{2, 5, 8}));
    EXPECT_EQ(target_events.dropped,
              (std::vector<std::uint64_t>{0, 1, 3, 4, 6, 7}));
  }
  EXPECT_FALSE(sender_events.down);
  EXPECT_EQ(target.counters().bad_frames, 0);
  EXPECT_LT(budget->HeldBytes(), kBodyBytes);
  sender.Close();
  target.Close();
}

}  // namespace
}  // namespace parsleyyard
