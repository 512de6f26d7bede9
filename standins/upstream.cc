// Stand-in for an instance, as docs/PLATFORM.md describes it: it registers
// itself, has slots, starts cold, sheds, drains, and keeps an execution log
// that proves what ran where.

#include "standins/standin_options.h"

#include "net/net.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <mutex>
#include <random>

namespace parsleyyard::standins {

namespace {

constexpr double kColdShare = 0.1;  // of the slots, right after a start
constexpr double kCollapseFactor =
    2.0;  // load over what it bears that makes a cold upstream fall over
constexpr std::int64_t kCollapsedMs = 500;
constexpr auto kHeartbeat = std::chrono::milliseconds(1500);
constexpr auto kRegisterTimeout = std::chrono::seconds(1);
// Between the announcement of the leave and its end.
constexpr auto kDrainTime = std::chrono::milliseconds(2000);

struct upstream_options {
  std::string instance;
  std::string failure_domain;
  std::string log;
  std::string address;
  std::uint16_t port = 0;
  std::string service;
  std::string store = "127.1.0.1";
  int slots = 12;
  int service_ms = 5;
  int cold_ms = 0;
};

class upstream_service : public http_handler {
 public:
  upstream_service(asio::io_context& context, upstream_options options)
      : context_(context),
        options_(std::move(options)),
        store_(context, {.address = options_.store, .port = 7000}),
        heartbeat_(context) {
    log_ = ::open(options_.log.c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    Restart();
    Beat();
  }

  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }

  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const std::lock_guard lock(mutex_);
    if (request.target.starts_with("/upstream/") ||
        request.target == "/health") {
      reply(Own(request));
      return nullptr;
    }
    const std::string* target = request.Find("Target-Instance");
    if (target != nullptr && *target != instance_id_) {
      reply(Marked(Text(421, "another instance\n")));
      return nullptr;
    }
    const std::string refusal = WhyNot();
    if (!refusal.empty()) {
      ++shed_;
      reply(Marked(Shed(refusal)));
      return nullptr;
    }
    Run(request, reply);
    return nullptr;
  }

  void BeginDrain() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    Register();
    auto timer = std::make_shared<asio::steady_timer>(context_, kDrainTime);
    timer->async_wait([this, timer](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      leaving_ = true;
      WaitForIdle();
    });
  }

 private:
  int Capacity() const {
    const std::int64_t age = EpochMs() - started_ms_;
    if (options_.cold_ms == 0 || age >= options_.cold_ms) {
      return options_.slots;
    }
    const double share =
        std::max(kColdShare, static_cast<double>(age) / options_.cold_ms);
    return std::max(1, static_cast<int>(options_.slots * share));
  }

  std::string WhyNot() {
    if (leaving_) {
      return "draining";
    }
    if (EpochMs() < collapsed_until_) {
      return "collapsed";
    }
    const int capacity = Capacity();
    if (capacity < options_.slots &&
        running_ + 1 > capacity * kCollapseFactor) {
      ++collapses_;
      collapsed_until_ = EpochMs() + kCollapsedMs;
      Restart();
      return "collapsed";
    }
    return running_ >= options_.slots ? "full" : "";
  }

  void Restart() {
    static std::random_device device;
    started_ms_ = EpochMs();
    Unregister();
    instance_id_ = options_.instance + "-" + std::to_string(device());
    sequence_ = 0;
    Register();
  }

  std::int64_t ColdLeft() const {
    return std::max<std::int64_t>(0,
                                  options_.cold_ms - (EpochMs() - started_ms_));
  }

  std::string Key() const { return "servers/" + instance_id_; }

  void ToStore(const std::string& page, std::string body) {
    store_.Request({.method = "POST",
                    .target = "/admin/" + page + "?key=" + Key(),
                    .body = std::move(body)},
                   {.timeout = kRegisterTimeout}, [](const http_exchange&) {});
  }

  void Register() {
    const boost::json::object entry = {
        {"service", options_.service},
        {"address", options_.address + ":" + std::to_string(options_.port)},
        {"zone", options_.failure_domain},
        {"version", "v1"},
        {"slots", options_.slots},
        {"state", draining_ ? "draining" : "ready"},
        {"warmup-left-ms", ColdLeft()},
        {"seq-no", ++sequence_},
        {"born", started_ms_}};
    ToStore("register", boost::json::serialize(entry));
  }

  void Unregister() {
    if (!instance_id_.empty()) {
      ToStore("remove", "");
    }
  }

  void Beat() {
    heartbeat_.expires_after(kHeartbeat);
    heartbeat_.async_wait([this](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      Register();
      Beat();
    });
  }

  http_response Shed(const std::string& why) {
    http_response response = Text(503, why + "\n");
    response.headers.push_back({.name = "Not-Executed", .value = "1"});
    return response;
  }

  http_response Marked(http_response response) const {
    response.headers.push_back({.name = "Instance-Id", .value = instance_id_});
    response.headers.push_back(
        {.name = "Warmup-Ms", .value = std::to_string(ColdLeft())});
    return response;
  }

  void Run(const http_request& request, const response_callback& reply) {
    ++running_;
    most_running_ = std::max(most_running_, running_);
    const std::string* id = request.Find("Attempt-Id");
    const std::string* work = request.Find("x-work-ms");
    const std::string* bytes = request.Find("x-want-bytes");
    const std::string name = id ? *id : "-";
    Log("start " + name + " " + request.method + " " + request.target);
    const int capacity = std::max(1, Capacity());
    int work_ms = work ? std::atoi(work->c_str()) : options_.service_ms;
    work_ms = work_ms * std::max(1, running_ / capacity);
    const std::size_t size =
        bytes ? std::strtoul(bytes->c_str(), nullptr, 10) : 64;
    http_response response =
        Text(200, name + " " + std::to_string(request.body.size()) + " ");
    response.body.resize(std::max(size, response.body.size()), 'p');
    response.headers.push_back({.name = "Attempt-Id", .value = name});
    response.headers.push_back({.name = "Server-Seal", .value = instance_id_});
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(work_ms));
    timer->async_wait(
        [this, timer, name, reply, response = std::move(response)](
            const boost::system::error_code&) mutable {
          const std::lock_guard lock(mutex_);
          --running_;
          Log("end " + name);
          reply(Marked(std::move(response)));
        });
  }

  http_response Own(const http_request& request) {
    if (request.target.starts_with("/upstream/admin")) {
      if (QueryValue(request.target, "restart") == "1") {
        Restart();
      }
    }
    return Marked(Text(200, "running " + std::to_string(running_) + " most " +
                                std::to_string(most_running_) + " shed " +
                                std::to_string(shed_) + " collapses " +
                                std::to_string(collapses_) + "\n"));
  }

  void WaitForIdle() {
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(50));
    timer->async_wait([this, timer](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      if (running_ > 0) {
        return WaitForIdle();
      }
      Unregister();
      auto last = std::make_shared<asio::steady_timer>(
          context_, std::chrono::milliseconds(50));
      last->async_wait(
          [this, last](const boost::system::error_code&) { context_.stop(); });
    });
  }

  void Log(const std::string& text) const {
    const std::string line = std::to_string(EpochMs()) + " " +
                             options_.instance + " " + options_.failure_domain +
                             " " + text + "\n";
    [[maybe_unused]] const auto written =
        ::write(log_, line.data(), line.size());
  }

  asio::io_context& context_;
  const upstream_options options_;
  http_client store_;
  asio::steady_timer heartbeat_;
  std::mutex mutex_;
  int log_ = -1;
  std::string instance_id_;
  std::int64_t started_ms_ = 0;
  std::int64_t collapsed_until_ = 0;
  bool draining_ = false;  // told the store
  bool leaving_ = false;   // takes no more work
  std::uint64_t sequence_ = 0;
  int running_ = 0;
  int most_running_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t collapses_ = 0;
};

}  // namespace

int Main(int argc, char** argv) {
  upstream_options made;
  po::options_description options("upstream: stand-in for an upstream");
  options.add_options()("address", po::value(&made.address)->required(),
                        "address")(
      "port", po::value(&made.port)->default_value(9000), "port")(
      "instance", po::value(&made.instance)->required(),
      "name of the instance")("service", po::value(&made.service)->required(),
                              "its service")("store", po::value(&made.store),
                                             "address of the store, port 7000")(
      "failure-domain", po::value(&made.failure_domain)->required(),
      "its failure domain")("log", po::value(&made.log)->required(),
                            "execution log, appended to")(
      "slots", po::value(&made.slots)->default_value(12),
      "calls it runs at once")("service-ms",
                               po::value(&made.service_ms)->default_value(5),
                               "time of one call")(
      "cold-ms", po::value(&made.cold_ms)->default_value(0),
      "time from a cold start to full capacity")("help", "print this");
  ParseOrExit(argc, argv, options);
  asio::io_context context;
  upstream_service service(context, made);
  http_server server(context, {.address = made.address, .port = made.port},
                     service);
  ListenOrExit(server);
  asio::signal_set signals(context, SIGTERM);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { service.BeginDrain(); });
  context.run();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
