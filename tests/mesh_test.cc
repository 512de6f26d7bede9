// Streams between daemons under hostile and unlucky peers, on loopback.

#include "tests/net_fixtures.h"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <functional>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kMeshPort = 18481;

// Counts what arrives.
class counting_listener : public mesh_listener {
 public:
  void OnMessage(const host_address& /*from*/,
                 any_message /*message*/) override {
    ++messages;
  }
  void OnLinkUp(const host_address& /*peer*/,
                std::uint64_t incarnation) override {
    up = incarnation;
  }
  void OnLinkDown(const host_address& /*peer*/) override { ++downs; }
  void OnUndelivered(const host_address& /*to*/,
                     const any_message& /*message*/) override {
    ++undelivered;
  }
  std::atomic<int> messages{0};
  std::atomic<int> downs{0};
  std::atomic<int> undelivered{0};
  std::atomic<std::uint64_t> up{0};
};

bool ListenOn(peer_mesh& mesh) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(mesh.Listen());
        return true;
      },
      [] { return false; });
}

template <class Condition>
bool Eventually(const Condition& holds) {
  for (int i = 0; i < 1000 && !holds(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return holds();
}

// Sends `make(i)` 10,000 times. The mesh must hand nothing to its listener,
// count `least_bad` bad frames or more and still answer a true peer.
void ExpectRefused(const std::function<std::string(int)>& make,
                   std::uint64_t least_bad) {
  workers pool;
  counting_listener heard;
  peer_mesh mesh(pool.context,
                 {.address = kHost, .port = kMeshPort, .incarnation = 5},
                 heard);
  ASSERT_TRUE(ListenOn(mesh));
  const auto address = asio::ip::make_address_v4(kHost);
  asio::io_context context;
  for (int i = 0; i < 10000; ++i) {
    const std::string bytes = make(i);
    tcp::socket socket(context);
    socket.connect({address, kMeshPort});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
  }
  EXPECT_TRUE(
      Eventually([&] { return mesh.counters().bad_frames >= least_bad; }));
  EXPECT_EQ(heard.messages, 0);
  EXPECT_EQ(heard.up, 0u);
  counting_listener friendly;
  peer_mesh peer(pool.context,
                 {.address = "127.9.0.2", .port = kMeshPort, .incarnation = 6},
                 friendly);
  ASSERT_TRUE(ListenOn(peer));
  peer.Open(kHost);
  EXPECT_TRUE(Eventually([&] { return friendly.up == 5; }));
  peer.Close();
  mesh.Close();
}

TEST(Mesh, RandomBytesOnThePeerPortsAreRefused) {
  std::mt19937_64 random(9);
  ExpectRefused([&](int) { return RandomBytes(random, 8 + random() % 60); },
                1000);
}

TEST(Mesh, TruncatedMessagesOnThePeerPortsAreRefused) {
  const std::array<std::string, 3> frames = {
      Encode(link_hello{.from = "127.9.0.3", .incarnation = 7}),
      Encode(view_update{.root = "127.9.0.3", .items = {{.key = "k"}}}),
      Encode(call_request{.method = "GET", .target = "/x", .body = "abc"})};
  ExpectRefused(
      [&](int i) {
        const std::string& whole = frames[i % frames.size()];
        return whole.substr(0, i % whole.size());
      },
      0);  // a stream that ends within a frame holds no bad frame
}

TEST(Mesh, LinksTellTheIncarnationAndTheirEnd) {
  workers pool;
  counting_listener first;
  counting_listener second;
  peer_mesh a(pool.context,
              {.address = "127.9.0.2", .port = kMeshPort, .incarnation = 2},
              first);
  auto b = std::make_unique<peer_mesh>(
      pool.context,
      mesh_options{.address = "127.9.0.3", .port = kMeshPort, .incarnation = 3},
      second);
  ASSERT_TRUE(ListenOn(a) && ListenOn(*b));
  a.Open("127.9.0.3");
  EXPECT_TRUE(Eventually([&] { return first.up == 3; }));
  a.Send("127.9.0.3", call_cancel{}, send_mode::kIfConnected);
  EXPECT_TRUE(Eventually([&] { return second.messages == 1; }));
  b->Send("127.9.0.2", call_answer{}, send_mode::kReply);
  EXPECT_TRUE(Eventually([&] { return first.messages == 1; }));
  b->Close();
  EXPECT_TRUE(Eventually([&] { return first.downs == 1; }));
  a.Send("127.9.0.3", view_update{}, send_mode::kOpenIfNeeded);
  EXPECT_TRUE(Eventually([&] { return first.undelivered == 1; }));
  a.Close();
}

// A peer whose stream goes silent without a reset: it says hello and then reads
// nothing more.
TEST(Mesh, ASilentStreamIsClosed) {
  workers pool;
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         {asio::ip::make_address_v4("127.9.0.4"), kMeshPort});
  counting_listener heard;
  peer_mesh mesh(pool.context,
                 {.address = "127.9.0.2",
                  .port = kMeshPort,
                  .incarnation = 2,
                  .probe_delay = milliseconds(50),
                  .probe_timeout = milliseconds(100)},
                 heard);
  ASSERT_TRUE(ListenOn(mesh));
  mesh.Open("127.9.0.4");
  tcp::socket silent = acceptor.accept();
  Say(silent, Encode(link_hello{.from = "127.9.0.4", .incarnation = 4}));
  EXPECT_TRUE(Eventually([&] { return heard.up == 4; }));
  EXPECT_TRUE(mesh.IsReachable("127.9.0.4"));
  mesh.Send("127.9.0.4", call_cancel{}, send_mode::kIfConnected);
  EXPECT_TRUE(Eventually([&] { return heard.downs == 1; }));
  EXPECT_FALSE(mesh.IsReachable("127.9.0.4"));
  mesh.Close();
}

}  // namespace
}  // namespace parsleyyard
