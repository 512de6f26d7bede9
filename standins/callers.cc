// Stand-in for the callers: sends a mix of calls at a steady rate to randomly
// chosen daemons, checks each response and writes one log line per call for
// scripts/check.py.
//
// Line: start_ms end_ms id class never_repeat home outcome status whole entry
// took_us
//
// "home" is the region to which the route is bound, "-" for none; "whole" is 1
// if the response is that of this request and complete; "entry" is the daemon
// that accepted the call.

#include "standins/standin_options.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace parsleyyard::standins {

namespace {

// One class of calls in the mix, given as weight:class:never:home:METHOD:path.
struct call_class {
  double weight = 1;
  std::string name;
  bool never_repeat = false;
  std::string home_region;  // region to which the route is bound; "-" for none
  std::string method;
  std::string path;  // the call id is appended
};

struct load_options {
  std::vector<std::string> daemons;
  std::vector<std::string> mix;
  std::string log;
  double rate = 100;  // calls per second
  double seconds = 10;
  int timeout_ms = 5000;
  int body_bytes = 0;
  int want_bytes = 64;
  int work_ms = -1;  // -1: the upstream's own service time
  std::uint16_t port = 8080;
  std::uint64_t seed = 1;
};

call_class ParseCallClass(const std::string& text) {
  std::vector<std::string> fields;
  boost::split(fields, text, boost::is_any_of(":"));
  if (fields.size() != 6) {
    std::cerr << "standin_callers: --mix must be "
                 "weight:class:never:home:METHOD:path, is "
              << text << "\n";
    std::exit(2);
  }
  return {.weight = std::atof(fields[0].c_str()),
          .name = fields[1],
          .never_repeat = fields[2] == "1",
          .home_region = fields[3],
          .method = fields[4],
          .path = fields[5]};
}

class load_generator {
 public:
  load_generator(asio::io_context& context, load_options options)
      : options_(std::move(options)),
        timer_(context),
        random_(options_.seed),
        log_(options_.log) {
    std::vector<double> weights;
    for (const std::string& text : options_.mix) {
      classes_.push_back(ParseCallClass(text));
      weights.push_back(classes_.back().weight);
    }
    class_distribution_ =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (const std::string& daemon : options_.daemons) {
      clients_.push_back(std::make_unique<http_client>(
          context, http_client_options{.address = daemon,
                                       .port = options_.port,
                                       .max_idle_connections = 256}));
    }
  }

  void Start() {
    start_time_ = std::chrono::steady_clock::now();
    ScheduleNext();
  }

 private:
  void ScheduleNext() {
    const auto due =
        start_time_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                          std::chrono::duration<double>(
                              static_cast<double>(sent_) / options_.rate));
    if (static_cast<double>(sent_) >= options_.rate * options_.seconds) {
      return;
    }
    timer_.expires_at(due);
    timer_.async_wait([this](const boost::system::error_code&) {
      SendCall();
      ScheduleNext();
    });
  }

  void SendCall() {
    const call_class& chosen_class = classes_[class_distribution_(random_)];
    const std::size_t entry = random_() % clients_.size();
    const std::string id =
        "c" + std::to_string(options_.seed) + "-" + std::to_string(++sent_);
    http_request request{.method = chosen_class.method,
                         .target = chosen_class.path + id};
    request.headers = {
        {.name = "Host", .value = "shop.example"},
        {.name = "Attempt-Id", .value = id},
        {.name = "Deadline-Ms", .value = std::to_string(options_.timeout_ms)},
        {.name = "x-want-bytes", .value = std::to_string(options_.want_bytes)}};
    if (options_.work_ms >= 0) {
      request.headers.push_back(
          {.name = "x-work-ms", .value = std::to_string(options_.work_ms)});
    }
    request.body.assign(options_.body_bytes, 'b');
    const std::int64_t start_ms = EpochMs();
    const auto start = std::chrono::steady_clock::now();
    const std::size_t body_size = request.body.size();
    clients_[entry]->Request(
        std::move(request),
        {.timeout = std::chrono::milliseconds(options_.timeout_ms)},
        [this, chosen_class, id, start_ms, start, entry,
         body_size](http_exchange exchange) {
          const auto elapsed = std::chrono::steady_clock::now() - start;
          const std::string expected =
              id + " " + std::to_string(body_size) + " ";
          const bool is_whole =
              exchange.response.body.starts_with(expected) &&
              exchange.response.body.size() ==
                  std::max<std::size_t>(options_.want_bytes, expected.size());
          const std::lock_guard lock(mutex_);
          log_ << start_ms << ' ' << EpochMs() << ' ' << id << ' '
               << chosen_class.name << ' ' << chosen_class.never_repeat << ' '
               << chosen_class.home_region << ' ' << OutcomeFor(exchange) << ' '
               << exchange.response.status << ' ' << is_whole << ' '
               << options_.daemons[entry] << ' '
               << std::chrono::duration_cast<std::chrono::microseconds>(elapsed)
                      .count()
               << '\n';
        });
  }

  // What the caller can conclude. If nothing was sent, the request did not run;
  // after any other failure it may have run.
  static std::string OutcomeFor(const http_exchange& exchange) {
    if (!exchange.complete) {
      return exchange.sent ? "broken" : "not_connected";
    }
    const auto& headers = exchange.response.headers;
    if (FindHeader(headers, "Server-Seal") != nullptr) {
      return "answer";
    }
    const std::string* outcome = FindHeader(headers, "x-parsleyyard-outcome");
    return outcome ? *outcome : "none";
  }

  const load_options options_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::vector<call_class> classes_;
  std::discrete_distribution<std::size_t> class_distribution_;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::chrono::steady_clock::time_point start_time_;
  std::uint64_t sent_ = 0;
  std::mutex mutex_;
  std::ofstream log_;
};

}  // namespace

int Main(int argc, char** argv) {
  load_options parsed;
  po::options_description options("standin_callers: stand-in for the callers");
  options.add_options()("daemons",
                        po::value(&parsed.daemons)->multitoken()->required(),
                        "addresses of daemons")(
      "mix", po::value(&parsed.mix)->multitoken()->required(),
      "one or more of weight:class:never:home:METHOD:path")(
      "log", po::value(&parsed.log)->required(),
      "file to write one line per call to")(
      "rate", po::value(&parsed.rate)->default_value(100), "calls per second")(
      "seconds", po::value(&parsed.seconds)->default_value(10),
      "duration of the load")(
      "timeout-ms", po::value(&parsed.timeout_ms)->default_value(5000),
      "timeout of each call")("body-bytes",
                              po::value(&parsed.body_bytes)->default_value(0),
                              "size of each request body")(
      "want-bytes", po::value(&parsed.want_bytes)->default_value(64),
      "size of each response body")(
      "work-ms", po::value(&parsed.work_ms)->default_value(-1),
      "time that the upstream spends on each call; -1: its own service time")(
      "port", po::value(&parsed.port)->default_value(8080),
      "port of the daemons")("seed", po::value(&parsed.seed)->default_value(1),
                             "seed of the mix; part of each call id")(
      "help", "print this help");
  ParseOrExit(argc, argv, options);
  asio::io_context context(2);
  load_generator load(context, parsed);
  load.Start();
  std::thread worker([&] { context.run(); });
  context.run();
  worker.join();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
