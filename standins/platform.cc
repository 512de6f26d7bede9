// Stand-in for the platform's store: keys, paged range reads and watches, as
// docs/PLATFORM.md describes them. Requests to /admin/ write keys as the
// operator does, register and remove instances, copy and restore the store, and
// inject faults.

#include "standins/standin_options.h"
#include "standins/store_data.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <list>
#include <mutex>

namespace parsleyyard::standins {

namespace json = boost::json;

namespace {

constexpr int kMaxReadsPerSecond = 2000;  // requests beyond it get status 429
constexpr std::size_t kMaxAdminBody = 64u << 20;
constexpr std::size_t kItemsPerPage = 50;
// Every response states the era of the store's history.
constexpr const char* kEraHeader = "Store-Era";
// Response delay of fault mode slow.
constexpr auto kSlowDelay = std::chrono::milliseconds(300);
constexpr auto kLeaseCheckInterval = std::chrono::milliseconds(200);

// A watch whose response is still pending.
struct pending_watch {
  std::uint64_t after = 0;
  std::string prefix;
  response_callback reply;
  std::shared_ptr<asio::steady_timer> timer;
};

std::string Base64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

class store_service : public http_handler {
 public:
  explicit store_service(asio::io_context& context)
      : context_(context), lease_timer_(context) {
    ScheduleLeaseCheck();
  }

  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }

  std::function<void()> OnRequest(http_request request,
                                  response_callback send) override {
    const std::lock_guard lock(mutex_);
    response_callback reply = [this, send](http_response response) {
      response.headers.push_back(
          {.name = kEraHeader, .value = std::to_string(data_.Era())});
      send(std::move(response));
    };
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.starts_with("/admin/")) {
      reply(HandleAdmin(path, request));
      return nullptr;
    }
    ++calls_;
    if (!AdmitRead()) {
      ++refused_;
      reply(TextResponse(429, "read rate limit exceeded\n"));
    } else if (fault_ == "down") {
      reply(TextResponse(503, "store is down\n"));
    } else if (fault_ == "silent") {
      unanswered_.push_back(std::move(reply));
    } else if (fault_ == "slow") {
      RunAfter(kSlowDelay, [this, path, request, reply] {
        HandleRead(path, request, reply);
      });
    } else {
      HandleRead(path, request, reply);
    }
    return nullptr;
  }

 private:
  // Counts a read. False if the reads of this second exceed the limit.
  bool AdmitRead() {
    const std::int64_t second = EpochMs() / 1000;
    if (second != current_second_) {
      current_second_ = second;
      reads_in_second_ = 0;
    }
    max_reads_in_second_ = std::max(max_reads_in_second_, reads_in_second_ + 1);
    return ++reads_in_second_ <= kMaxReadsPerSecond;
  }

  // Runs `action` after the delay, with the lock held.
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, action = std::move(action)](
                          const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      action();
    });
  }

  void HandleRead(const std::string& path,
                  const http_request& request,
                  const response_callback& reply) {
    if (path == "/api/kv-watch") {
      HandleWatch(request, reply);
    } else if (path == "/api/kv-range") {
      reply(JsonResponse(ReadPage(QueryValue(request.target, "prefix"),
                                  QueryValue(request.target, "after"))));
    } else if (path == "/api/kv-key") {
      const std::string key = QueryValue(request.target, "key");
      const stored_item* item = data_.Find(key);
      reply(item == nullptr ? TextResponse(404, "no such key\n")
                            : JsonResponse(ItemJson(key, *item)));
    } else {
      reply(TextResponse(404, "unknown path\n"));
    }
  }

  static http_response JsonResponse(const json::object& body) {
    return {.status = 200,
            .headers = {{.name = "content-type", .value = "application/json"}},
            .body = json::serialize(body)};
  }

  static json::object ItemJson(const std::string& key,
                               const stored_item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"rev", item.revision},
            {"created", item.created},
            {"lease", item.lease_ends_ms == 0 ? 0 : 1}};
  }

  json::object ReadPage(const std::string& prefix,
                        const std::string& after) const {
    const range_page page = data_.Range(prefix, after, kItemsPerPage);
    return {{"items", EventsJson(page.items)},
            {"has-more", page.has_more},
            {"as-of", data_.Revision()}};
  }

  static json::array EventsJson(const std::vector<store_event>& events) {
    json::array array;
    for (const store_event& event : events) {
      if (event.item == nullptr) {
        array.push_back(
            {{"key", event.key}, {"rev", event.revision}, {"removed", true}});
      } else {
        array.push_back(ItemJson(event.key, *event.item));
      }
    }
    return array;
  }

  json::object ChangesJson(const std::vector<store_event>& changes) const {
    return {{"events", EventsJson(changes)}, {"as-of", data_.Revision()}};
  }

  void HandleWatch(const http_request& request,
                   const response_callback& reply) {
    const auto after =
        std::strtoull(QueryValue(request.target, "after").c_str(), nullptr, 10);
    const auto wait =
        std::strtol(QueryValue(request.target, "wait-ms").c_str(), nullptr, 10);
    const std::string prefix = QueryValue(request.target, "prefix");
    if (!data_.HasHistorySince(after)) {
      reply(TextResponse(410, "no history from this revision on\n"));
      return;
    }
    const std::vector<store_event> changes = data_.ChangesAfter(after, prefix);
    if (!changes.empty() || wait <= 1) {
      reply(JsonResponse(ChangesJson(changes)));
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(wait));
    watches_.push_back(
        {.after = after, .prefix = prefix, .reply = reply, .timer = timer});
    const auto position = std::prev(watches_.end());
    timer->async_wait([this, position](const boost::system::error_code& error) {
      if (!error) {
        const std::lock_guard lock(mutex_);
        FinishWatch(*position);
        watches_.erase(position);
      }
    });
  }

  void FinishWatch(pending_watch& watch) {
    if (watch.reply) {
      watch.reply(JsonResponse(
          ChangesJson(data_.ChangesAfter(watch.after, watch.prefix))));
      watch.reply = nullptr;
    }
  }

  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::uint64_t before = data_.Revision();
    const std::uint64_t revision = data_.Put(key, value);
    FinishWatches(key, before);
    return revision;
  }

  void Register(const std::string& key, const std::string& value) {
    const std::uint64_t before = data_.Revision();
    data_.PutLeased(key, value, EpochMs());
    FinishWatches(key, before);
  }

  void Remove(const std::string& key) {
    const std::uint64_t before = data_.Revision();
    data_.Remove(key);
    FinishWatches(key, before);
  }

  // Finishes the watches of that key if it changed the store, which was at
  // revision `before`. While the store is unreachable, a change finishes none.
  void FinishWatches(const std::string& key, std::uint64_t before) {
    if (data_.Revision() == before || IsUnreachable()) {
      return;
    }
    for (pending_watch& watch : watches_) {
      if (key.starts_with(watch.prefix)) {
        FinishWatch(watch);
      }
    }
  }

  // A restore ends the watches that wait; they may be from a revision that the
  // store no longer has.
  void CutWatches() {
    for (pending_watch& watch : watches_) {
      if (watch.reply) {
        http_response response = TextResponse(503, "the watch was cut\n");
        response.close = true;
        watch.reply(std::move(response));
        watch.reply = nullptr;
      }
    }
  }

  bool IsUnreachable() const { return fault_ == "down" || fault_ == "silent"; }

  void ScheduleLeaseCheck() {
    lease_timer_.expires_after(kLeaseCheckInterval);
    lease_timer_.async_wait([this](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      for (const std::string& key : data_.ExpiredKeys(EpochMs())) {
        Remove(key);
      }
      ScheduleLeaseCheck();
    });
  }

  http_response HandleAdmin(const std::string& path,
                            const http_request& request) {
    const std::string key = QueryValue(request.target, "key");
    if (path == "/admin/put") {
      return TextResponse(200, std::to_string(Put(key, request.body)) + "\n");
    }
    if (path == "/admin/register") {
      if (IsUnreachable()) {
        return TextResponse(503, "store is down\n");
      }
      Register(key, request.body);
      return TextResponse(200, "registered\n");
    }
    if (path == "/admin/remove") {
      Remove(key);
      return TextResponse(200, "removed\n");
    }
    if (path == "/admin/copy") {
      data_.Copy();
      return TextResponse(200, std::to_string(data_.Revision()) + "\n");
    }
    if (path == "/admin/restore") {
      return RestoreCopy();
    }
    if (path == "/admin/fault") {
      fault_ = QueryValue(request.target, "mode");
      if (fault_ == "compact") {
        data_.DropHistory();
      }
      unanswered_.clear();
      return TextResponse(200, "fault " + fault_ + "\n");
    }
    const json::object stats = {{"calls", calls_},
                                {"refused", refused_},
                                {"most_in_a_second", max_reads_in_second_}};
    return TextResponse(200, json::serialize(stats) + "\n");
  }

  http_response RestoreCopy() {
    if (!data_.Restore(EpochMs())) {
      return TextResponse(409, "there is no copy\n");
    }
    CutWatches();
    return TextResponse(200, std::to_string(data_.Revision()) + "\n");
  }

  asio::io_context& context_;
  asio::steady_timer lease_timer_;
  std::mutex mutex_;
  store_data data_;
  std::list<pending_watch> watches_;
  std::vector<response_callback> unanswered_;  // requests of fault mode silent
  std::string fault_ = "none";  // none, down, silent, slow or compact
  std::uint64_t calls_ = 0;     // requests other than to /admin/
  std::uint64_t refused_ = 0;   // with status 429
  std::int64_t current_second_ = 0;
  int reads_in_second_ = 0;
  int max_reads_in_second_ = 0;
};

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options(
      "standin_platform: stand-in for the platform's store");
  options.add_options()("address",
                        po::value<std::string>()->default_value("127.1.0.1"),
                        "address to listen on")(
      "port", po::value<std::uint16_t>()->default_value(7000),
      "port to listen on")("help", "print this help");
  const auto values = ParseOrExit(argc, argv, options);
  asio::io_context context;
  store_service service(context);
  http_server server(
      context,
      {.address = values["address"].as<std::string>(),
       .port = values["port"].as<std::uint16_t>(),
       .limits = [] { return http_limits{.max_body_bytes = kMaxAdminBody}; }},
      service);
  ListenOrExit(server);
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
