// Stand-in for an instance, as docs/PLATFORM.md describes it. It registers
// itself, runs as many requests at once as it has slots, starts cold, sheds
// load and drains. Its execution log records each request that it started and
// finished; scripts/check.py compares the logs with what the callers saw.

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

// Share of the slots that an upstream can use right after a cold start.
constexpr double kInitialCapacityShare = 0.1;
// A cold upstream collapses when it would run more requests than this multiple
// of its present capacity: it restarts cold and sheds all requests for a time.
constexpr double kCollapseLoadFactor = 2.0;
constexpr std::int64_t kCollapseDurationMs = 500;
// Time between two registrations; each one renews the lease.
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr auto kRegisterTimeout = std::chrono::seconds(1);
// Time from the registration as draining until new requests are rejected.
constexpr auto kDrainNotice = std::chrono::milliseconds(2000);

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
  int cold_ms = 0;  // time from a cold start to full capacity
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
    ScheduleHeartbeat();
  }

  std::optional<http_response> OnHead(const http_request& /*head*/) override {
    return std::nullopt;
  }

  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override {
    const std::lock_guard lock(mutex_);
    if (request.target.starts_with("/upstream/") ||
        request.target == "/health") {
      reply(HandleOwnRequest(request));
      return nullptr;
    }
    const std::string* target = request.Find("Target-Instance");
    if (target != nullptr && *target != instance_id_) {
      reply(WithInstanceHeaders(
          TextResponse(421, "the request is for another instance\n")));
      return nullptr;
    }
    const std::string reason = AdmissionError();
    if (!reason.empty()) {
      ++shed_;
      reply(WithInstanceHeaders(ShedResponse(reason)));
      return nullptr;
    }
    Execute(request, reply);
    return nullptr;
  }

  void BeginDrain() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
    RegisterInstance();
    auto timer = std::make_shared<asio::steady_timer>(context_, kDrainNotice);
    timer->async_wait([this, timer](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      rejects_work_ = true;
      StopWhenIdle();
    });
  }

 private:
  // Slots that can be used now; fewer than all while the upstream is cold.
  int Capacity() const {
    const std::int64_t age = EpochMs() - started_ms_;
    if (options_.cold_ms == 0 || age >= options_.cold_ms) {
      return options_.slots;
    }
    const double share = std::max(kInitialCapacityShare,
                                  static_cast<double>(age) / options_.cold_ms);
    return std::max(1, static_cast<int>(options_.slots * share));
  }

  // Why a request is rejected now; empty if it is accepted. Collapses a cold
  // upstream that gets too many requests.
  std::string AdmissionError() {
    if (rejects_work_) {
      return "draining";
    }
    if (EpochMs() < collapsed_until_ms_) {
      return "collapsed";
    }
    const int capacity = Capacity();
    if (capacity < options_.slots &&
        running_ + 1 > capacity * kCollapseLoadFactor) {
      ++collapses_;
      collapsed_until_ms_ = EpochMs() + kCollapseDurationMs;
      Restart();
      return "collapsed";
    }
    return running_ >= options_.slots ? "full" : "";
  }

  // Acts as a process restart without notice: a new instance id, cold again.
  void Restart() {
    static std::random_device device;
    started_ms_ = EpochMs();
    RemoveRegistration();
    instance_id_ = options_.instance + "-" + std::to_string(device());
    sequence_ = 0;
    last_state_.clear();
    RegisterInstance();
  }

  std::int64_t ColdMsLeft() const {
    return std::max<std::int64_t>(0,
                                  options_.cold_ms - (EpochMs() - started_ms_));
  }

  std::string StoreKey() const { return "servers/" + instance_id_; }

  void PostToStore(const std::string& admin_command, std::string body) {
    store_.Request({.method = "POST",
                    .target = "/admin/" + admin_command + "?key=" + StoreKey(),
                    .body = std::move(body)},
                   {.timeout = kRegisterTimeout}, [](const http_exchange&) {});
  }

  // A registration that says nothing new renews the lease; the entry in the
  // store stays as it is.
  void RegisterInstance() {
    boost::json::object registration = {
        {"service", options_.service},
        {"address", options_.address + ":" + std::to_string(options_.port)},
        {"zone", options_.failure_domain},
        {"version", "v1"},
        {"slots", options_.slots},
        {"state", draining_ ? "draining" : "ready"},
        {"warmup-left-ms", ColdMsLeft()},
        {"born", started_ms_}};
    std::string state = boost::json::serialize(registration);
    if (state != last_state_) {
      ++sequence_;
      last_state_ = std::move(state);
    }
    registration["seq-no"] = sequence_;
    PostToStore("register", boost::json::serialize(registration));
  }

  void RemoveRegistration() {
    if (!instance_id_.empty()) {
      PostToStore("remove", "");
    }
  }

  void ScheduleHeartbeat() {
    heartbeat_.expires_after(kHeartbeatInterval);
    heartbeat_.async_wait([this](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      RegisterInstance();
      ScheduleHeartbeat();
    });
  }

  http_response ShedResponse(const std::string& reason_text) {
    http_response response = TextResponse(503, reason_text + "\n");
    response.headers.push_back({.name = "Not-Executed", .value = "1"});
    return response;
  }

  http_response WithInstanceHeaders(http_response response) const {
    response.headers.push_back({.name = "Instance-Id", .value = instance_id_});
    response.headers.push_back(
        {.name = "Warmup-Ms", .value = std::to_string(ColdMsLeft())});
    return response;
  }

  void Execute(const http_request& request, const response_callback& reply) {
    ++running_;
    max_running_ = std::max(max_running_, running_);
    const std::string* id_header = request.Find("Attempt-Id");
    const std::string* work_header = request.Find("x-work-ms");
    const std::string* bytes_header = request.Find("x-want-bytes");
    const std::string request_id = id_header ? *id_header : "-";
    LogExecution("start " + request_id + " " + request.method + " " +
                 request.target);
    const int capacity = std::max(1, Capacity());
    // The execution takes longer if more requests run than the capacity allows.
    int work_ms =
        work_header ? std::atoi(work_header->c_str()) : options_.service_ms;
    work_ms = work_ms * std::max(1, running_ / capacity);
    const std::size_t size =
        bytes_header ? std::strtoul(bytes_header->c_str(), nullptr, 10) : 64;
    http_response response = TextResponse(
        200, request_id + " " + std::to_string(request.body.size()) + " ");
    response.body.resize(std::max(size, response.body.size()), 'p');
    response.headers.push_back({.name = "Attempt-Id", .value = request_id});
    response.headers.push_back({.name = "Server-Seal", .value = instance_id_});
    AddSeenWorkspace(request, response);
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(work_ms));
    timer->async_wait(
        [this, timer, request_id, reply, response = std::move(response)](
            const boost::system::error_code&) mutable {
          const std::lock_guard lock(mutex_);
          --running_;
          LogExecution("end " + request_id);
          reply(WithInstanceHeaders(std::move(response)));
        });
  }

  // States in a response what the request had of a workspace, for tests.
  static void AddSeenWorkspace(const http_request& request,
                               http_response& response) {
    if (const std::string* workspace = request.Find("Tenant-Id")) {
      response.headers.push_back(
          {.name = "x-seen-workspace", .value = *workspace});
    }
    if (request.Find("Key") != nullptr) {
      response.headers.push_back({.name = "x-seen-key", .value = "1"});
    }
  }

  // Handles /health, /upstream/load and /upstream/admin.
  http_response HandleOwnRequest(const http_request& request) {
    if (request.target.starts_with("/upstream/admin")) {
      if (QueryValue(request.target, "restart") == "1") {
        Restart();
      }
    }
    return WithInstanceHeaders(
        TextResponse(200, "running " + std::to_string(running_) + " most " +
                              std::to_string(max_running_) + " shed " +
                              std::to_string(shed_) + " collapses " +
                              std::to_string(collapses_) + "\n"));
  }

  // Stops the process once no request runs, after a delay in which the last
  // requests to the store are sent.
  void StopWhenIdle() {
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(50));
    timer->async_wait([this, timer](const boost::system::error_code&) {
      const std::lock_guard lock(mutex_);
      if (running_ > 0) {
        return StopWhenIdle();
      }
      RemoveRegistration();
      auto flush_timer = std::make_shared<asio::steady_timer>(
          context_, std::chrono::milliseconds(50));
      flush_timer->async_wait(
          [this, flush_timer](const boost::system::error_code&) {
            context_.stop();
          });
    });
  }

  void LogExecution(const std::string& text) const {
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
  std::int64_t collapsed_until_ms_ = 0;
  bool draining_ = false;       // registered as draining
  bool rejects_work_ = false;   // new requests are rejected
  std::uint64_t sequence_ = 0;  // counts the changes of the registration
  std::string last_state_;      // the last registration without its number
  int running_ = 0;
  int max_running_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t collapses_ = 0;
};

}  // namespace

int Main(int argc, char** argv) {
  upstream_options parsed;
  po::options_description options("standin_upstream: stand-in for an upstream");
  options.add_options()("address", po::value(&parsed.address)->required(),
                        "address to listen on")(
      "port", po::value(&parsed.port)->default_value(9000),
      "port to listen on")("instance", po::value(&parsed.instance)->required(),
                           "name of the instance")(
      "service", po::value(&parsed.service)->required(),
      "service that it runs")("store", po::value(&parsed.store),
                              "address of the store, port 7000")(
      "failure-domain", po::value(&parsed.failure_domain)->required(),
      "failure domain of the instance")(
      "log", po::value(&parsed.log)->required(), "execution log to append to")(
      "slots", po::value(&parsed.slots)->default_value(12),
      "requests that it runs at once")(
      "service-ms", po::value(&parsed.service_ms)->default_value(5),
      "duration of one request in milliseconds")(
      "cold-ms", po::value(&parsed.cold_ms)->default_value(0),
      "milliseconds from a cold start to full capacity")("help",
                                                         "print this help");
  ParseOrExit(argc, argv, options);
  asio::io_context context;
  upstream_service service(context, parsed);
  http_server server(context, {.address = parsed.address, .port = parsed.port},
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
