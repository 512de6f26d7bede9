// Stand-in for the platform's read-and-watch service; see docs/PLATFORM.md.
// The /admin/ pages play the operators, the pipeline and the faults.

#include "standins/standin_options.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <list>
#include <map>
#include <mutex>

namespace parsleyyard::standins {

namespace json = boost::json;

namespace {

constexpr int kReadsASecond = 2000;
constexpr std::size_t kMaxAdminBody = 64u << 20;
constexpr auto kSlowness = std::chrono::seconds(3);

struct document {
  std::uint64_t revision = 0;
  std::map<std::string, std::string> parts;  // by name
};

struct watcher {
  std::uint64_t after = 0;
  http_reply reply;
  std::shared_ptr<asio::steady_timer> timer;
};

class platform_service : public http_handler {
 public:
  explicit platform_service(asio::io_context& context) : context_(context) {
    documents_["declared_out"] = {
        .revision = 1,
        .parts = {{"all", R"({"failure_domains":[],"hosts":[]})"}}};
  }

  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }

  std::function<void()> OnRequest(http_request request,
                                  http_reply reply) override {
    const std::lock_guard lock(mutex_);
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.starts_with("/admin/")) {
      reply(Admin(path, request));
      return nullptr;
    }
    ++calls_;
    if (!TakeRead()) {
      ++refused_;
      reply(Text(429, "over the budget\n"));
    } else if (fault_ == "down") {
      reply(Text(503, "down\n"));
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
            const http_reply& reply) {
    if (path == "/v1/heads") {
      Watch(request, reply);
      return;
    }
    const std::string prefix = "/v1/parts/";
    const std::size_t slash = path.rfind('/');
    if (path.starts_with(prefix) &&
        contents_.contains(path.substr(slash + 1))) {
      reply(Text(200, contents_[path.substr(slash + 1)]));
      return;
    }
    reply(Text(404, "no such page\n"));
  }

  void Watch(const http_request& request, const http_reply& reply) {
    const auto after =
        std::strtoull(QueryValue(request.target, "after").c_str(), nullptr, 10);
    const auto wait =
        std::strtol(QueryValue(request.target, "wait_ms").c_str(), nullptr, 10);
    if (wait == 0 || (index_ > after && fault_ != "stale")) {
      reply(Text(200, fault_ == "stale" ? stale_heads_ : Heads()));
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(wait));
    watchers_.push_back({.after = after, .reply = reply, .timer = timer});
    const auto at = std::prev(watchers_.end());
    timer->async_wait([this, at](const boost::system::error_code& error) {
      if (!error) {
        const std::lock_guard lock(mutex_);
        if (at->reply) {
          at->reply(Text(200, fault_ == "stale" ? stale_heads_ : Heads()));
        }
        watchers_.erase(at);
      }
    });
  }

  std::string Heads() const {
    json::array documents;
    for (const auto& [kind, document] : documents_) {
      json::array parts;
      for (const auto& [name, content] : document.parts) {
        parts.push_back({{"name", name}, {"hash", ContentHash(content)}});
      }
      documents.push_back(
          {{"kind", kind}, {"revision", document.revision}, {"parts", parts}});
    }
    return json::serialize(
        json::object{{"index", index_}, {"documents", documents}});
  }

  void Changed(const std::string& kind) {
    for (const auto& [name, content] : documents_[kind].parts) {
      contents_[ContentHash(content)] = content;
    }
    ++index_;
    if (fault_ == "stale" || fault_ == "down") {
      return;
    }
    for (watcher& waiting : watchers_) {
      if (waiting.reply) {
        waiting.reply(Text(200, Heads()));
        waiting.reply = nullptr;
      }
    }
  }

  http_response Admin(const std::string& path, const http_request& request) {
    if (path == "/admin/manifest") {
      return Commit("manifest", request);
    }
    if (path == "/admin/hosts") {
      return Commit("hosts", request);
    }
    if (path == "/admin/declare") {
      return Declare(request);
    }
    if (path == "/admin/fault") {
      fault_ = QueryValue(request.target, "mode");
      stale_heads_ = Heads();
      return Text(200, "fault " + fault_ + "\n");
    }
    const json::object stats = {{"calls", calls_},
                                {"refused", refused_},
                                {"most_in_a_second", most_in_a_second_}};
    return Text(200, json::serialize(stats) + "\n");
  }

  // The body is {"part name": {...}, ...}: parts as they are to be published.
  http_response Commit(const std::string& kind, const http_request& request) {
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) {
      return Text(400, "the body must be an object of parts\n");
    }
    document& target = documents_[kind];
    target.parts.clear();
    for (const auto& item : body.get_object()) {
      target.parts[std::string(item.key())] = json::serialize(item.value());
    }
    const std::string revision = QueryValue(request.target, "revision");
    target.revision = revision.empty()
                          ? target.revision + 1
                          : std::strtoull(revision.c_str(), nullptr, 10);
    Changed(kind);
    return Text(200, std::to_string(target.revision) + "\n");
  }

  http_response Declare(const http_request& request) {
    const std::string out = QueryValue(request.target, "out");
    const std::string in = QueryValue(request.target, "in");
    const std::string what = out.empty() ? in : out;
    const bool is_host = what.find('.') != std::string::npos;
    std::set<std::string>& names = is_host ? hosts_out_ : domains_out_;
    out.empty() ? static_cast<void>(names.erase(what))
                : static_cast<void>(names.insert(what));
    const json::object all = {
        {"failure_domains", json::value_from(domains_out_)},
        {"hosts", json::value_from(hosts_out_)}};
    document& target = documents_["declared_out"];
    target.parts = {{"all", json::serialize(all)}};
    ++target.revision;
    Changed("declared_out");
    return Text(200, std::to_string(target.revision) + "\n");
  }

  asio::io_context& context_;
  std::mutex mutex_;
  std::uint64_t index_ = 1;
  std::map<std::string, document> documents_;
  std::map<std::string, std::string> contents_ = {
      {ContentHash(R"({"failure_domains":[],"hosts":[]})"),
       R"({"failure_domains":[],"hosts":[]})"}};
  std::set<std::string> domains_out_;
  std::set<std::string> hosts_out_;
  std::list<watcher> watchers_;
  std::string fault_ = "none";
  std::string stale_heads_;
  std::uint64_t calls_ = 0;
  std::uint64_t refused_ = 0;
  std::int64_t this_second_ = 0;
  int reads_this_second_ = 0;
  int most_in_a_second_ = 0;
};

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options(
      "platform: stand-in for the platform's service");
  options.add_options()(
      "address", po::value<std::string>()->default_value("127.1.0.1"),
      "address")("port", po::value<std::uint16_t>()->default_value(7000),
                 "port")("help", "print this");
  const auto given = ParseOrExit(argc, argv, options);
  asio::io_context context;
  platform_service service(context);
  http_server server(context,
                     {.address = given["address"].as<std::string>(),
                      .port = given["port"].as<std::uint16_t>(),
                      .max_body = kMaxAdminBody},
                     service);
  ListenOrExit(server);
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
