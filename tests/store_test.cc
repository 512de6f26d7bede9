// The client of the platform's store against an HTTP server on loopback.

#include "platform/platform.h"
#include "tests/net_fixtures.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>

namespace parsleyyard {
namespace {

constexpr std::uint16_t kStorePort = 18487;

// Responds to each range read with one item, whose key is the prefix and "x".
class one_item_store : public http_handler {
 public:
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const bool evacuations =
        request.target.find("prefix=op%2Fevacuate%2F") != std::string::npos;
    const std::string key = evacuations ? "op/evacuate/x" : "servers/x";
    reply({.body = R"({"items":[{"key":")" + key +
                   R"(","rev":3,"value":""}],"has-more":false,"as-of":)" +
                   (evacuations ? "9" : "8") + "}"});
    return nullptr;
  }
};

class state_listener : public source_listener {
 public:
  void OnFullRead(source_update /*update*/) override {}
  void OnStateRead(source_update update) override {
    state.set_value(std::move(update));
  }
  void OnWatchResult(source_update /*update*/) override {}
  void OnSourceFailure(source_failure why, std::string /*detail*/) override {
    failure.set_value(why);
  }

  std::promise<source_update> state;
  std::promise<source_failure> failure;
};

TEST(StoreClient, StateReadBringsRegistrationsAndEvacuations) {
  worker_threads workers;
  one_item_store store;
  http_server server(workers.context, {.address = kHost, .port = kStorePort},
                     store);
  ASSERT_TRUE(server.Listen());
  state_listener listener;
  platform::store_client client(
      workers.context, {.address = kHost, .port = kStorePort}, listener);
  client.ReadState();
  const source_update update = listener.state.get_future().get();
  ASSERT_EQ(update.items.size(), 2u);
  EXPECT_EQ(update.items[0].key, "servers/x");
  EXPECT_EQ(update.items[1].key, "op/evacuate/x");
  EXPECT_EQ(update.as_of.revision, 8u) << "the revision of the older page";
}

// Responds to each range read with two pages, of the given eras.
class two_page_store : public http_handler {
 public:
  two_page_store(std::string first_era, std::string second_era)
      : first_era_(std::move(first_era)), second_era_(std::move(second_era)) {}
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const bool second = request.target.find("&after=") != std::string::npos;
    reply({.headers = {{.name = "Store-Era",
                        .value = second ? second_era_ : first_era_}},
           .body = std::string(R"({"items":[{"key":")") +
                   (second ? "servers/y" : "servers/x") +
                   R"(","rev":3,"value":""}],"has-more":)" +
                   (second ? "false" : "true") + R"(,"as-of":7})"});
    return nullptr;
  }

 private:
  const std::string first_era_;
  const std::string second_era_;
};

class read_listener : public state_listener {
 public:
  void OnFullRead(source_update update) override {
    state.set_value(std::move(update));
  }
};

// Reads all of a store whose two pages are of the given eras.
void ReadTwoPages(const std::string& first_era,
                  const std::string& second_era,
                  const std::function<void(read_listener&)>& check) {
  worker_threads workers;
  two_page_store store(first_era, second_era);
  http_server server(workers.context, {.address = kHost, .port = kStorePort},
                     store);
  ASSERT_TRUE(server.Listen());
  read_listener listener;
  platform::store_client client(
      workers.context, {.address = kHost, .port = kStorePort}, listener);
  client.ReadAll();
  check(listener);
}

TEST(StoreClient, ReadStatesTheEraOfTheStore) {
  ReadTwoPages("4", "4", [](read_listener& listener) {
    const source_update update = listener.state.get_future().get();
    EXPECT_EQ(update.as_of, (store_position{.era = 4, .revision = 7}));
    EXPECT_EQ(update.items.size(), 2u);
  });
}

TEST(StoreClient, PagesOfTwoErasMakeNoResult) {
  ReadTwoPages("4", "5", [](read_listener& listener) {
    EXPECT_EQ(listener.failure.get_future().get(), source_failure::kEraChanged);
  });
}

// Responds to each range read with a page that another one follows.
class endless_store : public http_handler {
 public:
  explicit endless_store(std::string items) : items_(std::move(items)) {}
  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }
  std::function<void()> OnRequest(http_request /*request*/,
                                  response_callback reply) override {
    reply(
        {.body = R"({"items":[)" + items_ + R"(],"has-more":true,"as-of":7})"});
    return nullptr;
  }

 private:
  const std::string items_;
};

// Reads all of a store whose pages never end. True if the client reports a
// failure, and false if it reports a result.
bool EndlessReadFails(const std::string& items) {
  worker_threads workers;
  endless_store store(items);
  http_server server(workers.context, {.address = kHost, .port = kStorePort},
                     store);
  EXPECT_TRUE(server.Listen());
  read_listener listener;
  platform::store_client client(
      workers.context, {.address = kHost, .port = kStorePort}, listener);
  auto failure = listener.failure.get_future();
  auto state = listener.state.get_future();
  client.ReadAll();
  while (true) {
    if (failure.wait_for(milliseconds(1)) == std::future_status::ready) {
      return true;
    }
    if (state.wait_for(milliseconds(1)) == std::future_status::ready) {
      return false;
    }
  }
}

TEST(StoreClient, ReadThatReachesItsLimitOfPagesMakesNoResult) {
  EXPECT_TRUE(EndlessReadFails(R"({"key":"servers/x","rev":3,"value":""})"));
}

TEST(StoreClient, EmptyPageThatAnnouncesMoreMakesNoResult) {
  EXPECT_TRUE(EndlessReadFails(""));
}

TEST(StoreClient, TellsIncompleteResponseFromNoResponse) {
  const std::string half = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
  for (const bool begins : {true, false}) {
    worker_threads workers;
    asio::io_context context;
    tcp::acceptor acceptor(context,
                           {asio::ip::make_address_v4(kHost), kStorePort});
    state_listener listener;
    platform::store_client client(
        workers.context, {.address = kHost, .port = kStorePort}, listener);
    client.Watch(1, milliseconds(1));
    tcp::socket socket = acceptor.accept();
    if (begins) {
      WriteText(socket, half);
    }
    EXPECT_EQ(
        listener.failure.get_future().get(),
        begins ? source_failure::kIncomplete : source_failure::kUnavailable);
  }
}

}  // namespace
}  // namespace parsleyyard
