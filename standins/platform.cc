// Stand-in for the platform's store: keys, ranges with pages and watches, as
// docs/PLATFORM.md describes them. The /admin/ pages play the operator, the
// registrations of instances and the faults.

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

constexpr int kReadsASecond = 2000;
constexpr std::size_t kMaxAdminBody = 64u << 20;
constexpr std::size_t kPage = 50;       // items
constexpr std::size_t kHistory = 2000;  // changes
constexpr auto kSlowness = std::chrono::milliseconds(300);
constexpr std::int64_t kLeaseMs = 4500;  // three heartbeats of 1.5 s
constexpr auto kLeaseCheck = std::chrono::milliseconds(200);

struct stored_item {
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  std::int64_t lapses_ms = 0;  // 0: never
};

struct change {
  std::string key;
  std::uint64_t revision = 0;
  bool removed = false;
};

struct watcher {
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
    CheckLeases();
  }

  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }

  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const std::lock_guard lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.starts_with("/admin/")) {
      reply(Admin(path, request));
      return nullptr;
    }
    ++calls_;
    if (!TakeRead()) {
      ++refused_;
      reply(Text(429, "over the rate\n"));
    } else if (fault_ == "down") {
      reply(Text(503, "down\n"));
    } else if (fault_ == "silent") {
      silent_.push_back(std::move(reply));
    } else if (fault_ == "slow") {
      Later(kSlowness,
            [this, path, request, reply] { Read(path, request, reply); });
    } else {
      Read(path, request, reply);
    }
    return nullptr;
  }

 private:
  bool TakeRead() {
    const std::int64_t second = EpochMs() / 1000;
    if (second != this_second_) {
      this_second_ = second;
      reads_this_second_ = 0;
    }
    most_in_a_second_ = std::max(most_in_a_second_, reads_this_second_ + 1);
    return ++reads_this_second_ <= kReadsASecond;
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> act) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait(
        [this, timer, act = std::move(act)](const boost::system::error_code&) {
          const std::lock_guard lock(mutex_);
          act();
        });
  }

  void Read(const std::string& path,
            const http_request& request,
            const response_callback& reply) {
    if (path == "/api/kv-watch") {
      Watch(request, reply);
    } else if (path == "/api/kv-range") {
      reply(Json(Range(QueryValue(request.target, "prefix"),
                       QueryValue(request.target, "after"))));
    } else if (path == "/api/kv-key") {
      const auto found = items_.find(QueryValue(request.target, "key"));
      reply(found == items_.end() ? Text(404, "no such key\n")
                                  : Json(ItemOf(found->first, found->second)));
    } else {
      reply(Text(404, "no such page\n"));
    }
  }

  static http_response Json(const json::object& body) {
    return {.status = 200,
            .headers = {{.name = "content-type", .value = "application/json"}},
            .body = json::serialize(body)};
  }

  static json::object ItemOf(const std::string& key, const stored_item& item) {
    return {{"key", key},
            {"value", Base64(item.value)},
            {"rev", item.revision},
            {"created", item.created},
            {"lease", item.lapses_ms == 0 ? 0 : 1}};
  }

  json::object Range(const std::string& prefix,
                     const std::string& after) const {
    json::array items;
    bool more = false;
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (items.size() == kPage) {
        more = true;
        break;
      }
      items.push_back(ItemOf(key, item));
    }
    return {{"items", items}, {"has-more", more}, {"as-of", revision_}};
  }

  // Empty if nothing has changed since.
  json::array EventsAfter(std::uint64_t after,
                          const std::string& prefix) const {
    json::array events;
    for (const change& each : history_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) {
        continue;
      }
      const auto found = items_.find(each.key);
      if (each.removed) {
        events.push_back(
            {{"key", each.key}, {"rev", each.revision}, {"removed", true}});
      } else if (found != items_.end() &&
                 found->second.revision == each.revision) {
        events.push_back(ItemOf(each.key, found->second));
      }
    }
    return events;
  }

  void Watch(const http_request& request, const response_callback& reply) {
    const auto after =
        std::strtoull(QueryValue(request.target, "after").c_str(), nullptr, 10);
    const auto wait =
        std::strtol(QueryValue(request.target, "wait-ms").c_str(), nullptr, 10);
    const std::string prefix = QueryValue(request.target, "prefix");
    if (after < forgotten_) {
      reply(Text(410, "that history is gone\n"));
      return;
    }
    json::array events = EventsAfter(after, prefix);
    if (!events.empty() || wait <= 1) {
      reply(Json({{"events", events}, {"as-of", revision_}}));
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(wait));
    watchers_.push_back(
        {.after = after, .prefix = prefix, .reply = reply, .timer = timer});
    const auto at = std::prev(watchers_.end());
    timer->async_wait([this, at](const boost::system::error_code& error) {
      if (!error) {
        const std::lock_guard lock(mutex_);
        Answer(*at);
        watchers_.erase(at);
      }
    });
  }

  void Answer(watcher& waiting) {
    if (waiting.reply) {
      waiting.reply(
          Json({{"events", EventsAfter(waiting.after, waiting.prefix)},
                {"as-of", revision_}}));
      waiting.reply = nullptr;
    }
  }

  void Changed(const std::string& key, bool removed) {
    history_.push_back({.key = key, .revision = revision_, .removed = removed});
    if (history_.size() > kHistory) {
      forgotten_ = history_.front().revision;
      history_.pop_front();
    }
    if (fault_ == "down" || fault_ == "silent") {
      return;
    }
    for (watcher& waiting : watchers_) {
      if (key.starts_with(waiting.prefix)) {
        Answer(waiting);
      }
    }
  }

  std::uint64_t Put(const std::string& key,
                    const std::string& value,
                    std::int64_t lapses_ms) {
    stored_item& item = items_[key];
    item.lapses_ms = lapses_ms;
    if (item.value != value) {
      item.value = value;
      item.revision = ++revision_;
      item.created = item.created == 0 ? revision_ : item.created;
      Changed(key, false);
    }
    return item.revision;
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      Changed(key, true);
    }
  }

  void CheckLeases() {
    lease_timer_.expires_after(kLeaseCheck);
    lease_timer_.async_wait([this](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      std::vector<std::string> lapsed;
      for (const auto& [key, item] : items_) {
        if (item.lapses_ms != 0 && item.lapses_ms < EpochMs()) {
          lapsed.push_back(key);
        }
      }
      for (const std::string& key : lapsed) {
        Remove(key);
      }
      CheckLeases();
    });
  }

  http_response Admin(const std::string& path, const http_request& request) {
    const std::string key = QueryValue(request.target, "key");
    if (path == "/admin/put") {
      return Text(200, std::to_string(Put(key, request.body, 0)) + "\n");
    }
    if (path == "/admin/register") {
      if (fault_ == "down" || fault_ == "silent") {
        return Text(503, "down\n");
      }
      Put(key, request.body, EpochMs() + kLeaseMs);
      return Text(200, "registered\n");
    }
    if (path == "/admin/remove") {
      Remove(key);
      return Text(200, "removed\n");
    }
    if (path == "/admin/fault") {
      fault_ = QueryValue(request.target, "mode");
      if (fault_ == "compact") {
        forgotten_ = revision_;
        history_.clear();
      }
      silent_.clear();
      return Text(200, "fault " + fault_ + "\n");
    }
    const json::object stats = {{"calls", calls_},
                                {"refused", refused_},
                                {"most_in_a_second", most_in_a_second_}};
    return Text(200, json::serialize(stats) + "\n");
  }

  asio::io_context& context_;
  asio::steady_timer lease_timer_;
  std::mutex mutex_;
  std::uint64_t revision_ = 1;
  std::map<std::string, stored_item> items_;
  std::deque<change> history_;
  std::uint64_t forgotten_ = 0;  // changes up to it are not to be had
  std::list<watcher> watchers_;
  std::vector<response_callback> silent_;  // never answered
  std::string fault_ = "none";
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::int64_t this_second_ = 0;
  int reads_this_second_ = 0;
  int most_in_a_second_ = 0;
};

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options(
      "platform: stand-in for the platform's store");
  options.add_options()(
      "address", po::value<std::string>()->default_value("127.1.0.1"),
      "address")("port", po::value<std::uint16_t>()->default_value(7000),
                 "port")("help", "print this");
  const auto given = ParseOrExit(argc, argv, options);
  asio::io_context context;
  store_service service(context);
  http_server server(
      context,
      {.address = given["address"].as<std::string>(),
       .port = given["port"].as<std::uint16_t>(),
       .limits = [] { return http_limits{.max_body = kMaxAdminBody}; }},
      service);
  ListenOrExit(server);
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
