// Stand-in for the platform's store: keys, paged range reads and watches, as
// docs/PLATFORM.md describes them. Requests to /admin/ write keys as the
// operator does, register and remove instances, and inject faults.

#include "standins/standin_options.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <deque>
#include <list>
#include <map>
#include <mutex>

namespace parsleyyard::standins {

namespace json = boost::json;

namespace {

constexpr int kMaxReadsPerSecond = 2000;  // requests beyond it get status 429
constexpr std::size_t kMaxAdminBody = 64u << 20;
constexpr std::size_t kItemsPerPage = 50;
// Changes kept for watches; a watch from an older revision gets status 410.
constexpr std::size_t kMaxHistory = 2000;
// Response delay of fault mode slow.
constexpr auto kSlowDelay = std::chrono::milliseconds(300);
constexpr std::int64_t kLeaseDurationMs = 4500;  // three heartbeats of 1.5 s
constexpr auto kLeaseCheckInterval = std::chrono::milliseconds(200);

struct stored_item {
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  // Unix time of the end of the lease; 0: no lease.
  std::int64_t expires_ms = 0;
};

struct change {
  std::string key;
  std::uint64_t revision = 0;
  bool removed = false;
};

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
                                  response_callback reply) override {
    const std::lock_guard lock(mutex_);
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
      const auto found = items_.find(QueryValue(request.target, "key"));
      reply(found == items_.end()
                ? TextResponse(404, "no such key\n")
                : JsonResponse(ItemJson(found->first, found->second)));
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
            {"lease", item.expires_ms == 0 ? 0 : 1}};
  }

  json::object ReadPage(const std::string& prefix,
                        const std::string& after) const {
    json::array items;
    bool has_more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (items.size() == kItemsPerPage) {
        has_more = true;
        break;
      }
      items.push_back(ItemJson(key, item));
    }
    return {{"items", items}, {"has-more", has_more}, {"as-of", revision_}};
  }

  // Changes of keys with that prefix after revision `after`. Empty if there are
  // none.
  json::array ChangesAfter(std::uint64_t after,
                           const std::string& prefix) const {
    json::array changes;
    for (const change& changed : history_) {
      if (changed.revision <= after || !changed.key.starts_with(prefix)) {
        continue;
      }
      const auto found = items_.find(changed.key);
      if (changed.removed) {
        changes.push_back({{"key", changed.key},
                           {"rev", changed.revision},
                           {"removed", true}});
      } else if (found != items_.end() &&
                 found->second.revision == changed.revision) {
        changes.push_back(ItemJson(changed.key, found->second));
      }
    }
    return changes;
  }

  void HandleWatch(const http_request& request,
                   const response_callback& reply) {
    const auto after =
        std::strtoull(QueryValue(request.target, "after").c_str(), nullptr, 10);
    const auto wait =
        std::strtol(QueryValue(request.target, "wait-ms").c_str(), nullptr, 10);
    const std::string prefix = QueryValue(request.target, "prefix");
    if (after < compacted_revision_) {
      reply(TextResponse(410, "history before this revision was compacted\n"));
      return;
    }
    json::array changes = ChangesAfter(after, prefix);
    if (!changes.empty() || wait <= 1) {
      reply(JsonResponse({{"events", changes}, {"as-of", revision_}}));
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
      watch.reply(
          JsonResponse({{"events", ChangesAfter(watch.after, watch.prefix)},
                        {"as-of", revision_}}));
      watch.reply = nullptr;
    }
  }

  void RecordChange(const std::string& key, bool removed) {
    history_.push_back({.key = key, .revision = revision_, .removed = removed});
    if (history_.size() > kMaxHistory) {
      compacted_revision_ = history_.front().revision;
      history_.pop_front();
    }
    // While the store is unreachable, a change finishes no pending watch.
    if (fault_ == "down" || fault_ == "silent") {
      return;
    }
    for (pending_watch& watch : watches_) {
      if (key.starts_with(watch.prefix)) {
        FinishWatch(watch);
      }
    }
  }

  std::uint64_t Put(const std::string& key,
                    const std::string& value,
                    std::int64_t expires_ms) {
    stored_item& item = items_[key];
    item.expires_ms = expires_ms;
    if (item.value != value) {
      item.value = value;
      item.revision = ++revision_;
      item.created = item.created == 0 ? revision_ : item.created;
      RecordChange(key, false);
    }
    return item.revision;
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      RecordChange(key, true);
    }
  }

  void ScheduleLeaseCheck() {
    lease_timer_.expires_after(kLeaseCheckInterval);
    lease_timer_.async_wait([this](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      std::vector<std::string> expired;
      for (const auto& [key, item] : items_) {
        if (item.expires_ms != 0 && item.expires_ms < EpochMs()) {
          expired.push_back(key);
        }
      }
      for (const std::string& key : expired) {
        Remove(key);
      }
      ScheduleLeaseCheck();
    });
  }

  http_response HandleAdmin(const std::string& path,
                            const http_request& request) {
    const std::string key = QueryValue(request.target, "key");
    if (path == "/admin/put") {
      return TextResponse(200,
                          std::to_string(Put(key, request.body, 0)) + "\n");
    }
    if (path == "/admin/register") {
      if (fault_ == "down" || fault_ == "silent") {
        return TextResponse(503, "store is down\n");
      }
      Put(key, request.body, EpochMs() + kLeaseDurationMs);
      return TextResponse(200, "registered\n");
    }
    if (path == "/admin/remove") {
      Remove(key);
      return TextResponse(200, "removed\n");
    }
    if (path == "/admin/fault") {
      fault_ = QueryValue(request.target, "mode");
      if (fault_ == "compact") {
        compacted_revision_ = revision_;
        history_.clear();
      }
      unanswered_.clear();
      return TextResponse(200, "fault " + fault_ + "\n");
    }
    const json::object stats = {{"calls", calls_},
                                {"refused", refused_},
                                {"most_in_a_second", max_reads_in_second_}};
    return TextResponse(200, json::serialize(stats) + "\n");
  }

  asio::io_context& context_;
  asio::steady_timer lease_timer_;
  std::mutex mutex_;
  std::uint64_t revision_ = 1;
  std::map<std::string, stored_item> items_;
  std::deque<change> history_;
  std::uint64_t compacted_revision_ = 0;  // changes up to it are no longer kept
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
