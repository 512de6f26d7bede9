// Stand-in for the callers: sends a mix of calls at a steady rate to random
// daemons, checks each answer, and writes one line a call for the checker.
//
// Line: start_ms end_ms id class never_repeat home outcome status whole entry
// took_us

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

// One kind of call in the mix, given as weight:class:never:home:METHOD:path.
struct call_kind {
  double weight = 1;
  std::string name;
  bool never_repeat = false;
  std::string home;  // "-" for none
  std::string method;
  std::string path;
};

struct load_options {
  std::vector<std::string> daemons;
  std::vector<std::string> mix;
  std::string log;
  double rate = 100;
  double seconds = 10;
  int timeout_ms = 5000;
  int body_bytes = 0;
  int want_bytes = 64;
  int work_ms = -1;
  std::uint16_t port = 8080;
  std::uint64_t seed = 1;
};

call_kind ParseKind(const std::string& text) {
  std::vector<std::string> fields;
  boost::split(fields, text, boost::is_any_of(":"));
  if (fields.size() != 6) {
    std::cerr
        << "callers: mix must be weight:class:never:home:METHOD:path, not "
        << text << "\n";
    std::exit(2);
  }
  return {.weight = std::atof(fields[0].c_str()),
          .name = fields[1],
          .never_repeat = fields[2] == "1",
          .home = fields[3],
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
      kinds_.push_back(ParseKind(text));
      weights.push_back(kinds_.back().weight);
    }
    choose_ =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    for (const std::string& daemon : options_.daemons) {
      clients_.push_back(std::make_unique<http_client>(
          context, http_client_options{.address = daemon,
                                       .port = options_.port,
                                       .max_idle_connections = 256}));
    }
  }

  void Start() {
    began_ = std::chrono::steady_clock::now();
    Next();
  }

 private:
  void Next() {
    const auto due =
        began_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                     std::chrono::duration<double>(static_cast<double>(sent_) /
                                                   options_.rate));
    if (static_cast<double>(sent_) >= options_.rate * options_.seconds) {
      return;
    }
    timer_.expires_at(due);
    timer_.async_wait([this](const boost::system::error_code&) {
      SendOne();
      Next();
    });
  }

  void SendOne() {
    const call_kind& kind = kinds_[choose_(random_)];
    const std::size_t entry = random_() % clients_.size();
    const std::string id =
        "c" + std::to_string(options_.seed) + "-" + std::to_string(++sent_);
    http_request request{.method = kind.method, .target = kind.path + id};
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
    const std::size_t body = request.body.size();
    clients_[entry]->Request(
        std::move(request),
        {.timeout = std::chrono::milliseconds(options_.timeout_ms)},
        [this, kind, id, start_ms, start, entry, body](http_exchange exchange) {
          const auto took = std::chrono::steady_clock::now() - start;
          const std::string expected = id + " " + std::to_string(body) + " ";
          const bool whole =
              exchange.response.body.starts_with(expected) &&
              exchange.response.body.size() ==
                  std::max<std::size_t>(options_.want_bytes, expected.size());
          const std::lock_guard lock(mutex_);
          log_ << start_ms << ' ' << EpochMs() << ' ' << id << ' ' << kind.name
               << ' ' << kind.never_repeat << ' ' << kind.home << ' '
               << OutcomeOf(exchange) << ' ' << exchange.response.status << ' '
               << whole << ' ' << options_.daemons[entry] << ' '
               << std::chrono::duration_cast<std::chrono::microseconds>(took)
                      .count()
               << '\n';
        });
  }

  // What the caller may conclude. A connection that was never made proves that
  // nothing ran; any other break proves nothing.
  static std::string OutcomeOf(const http_exchange& exchange) {
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
  std::vector<call_kind> kinds_;
  std::discrete_distribution<std::size_t> choose_;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::chrono::steady_clock::time_point began_;
  std::uint64_t sent_ = 0;
  std::mutex mutex_;
  std::ofstream log_;
};

}  // namespace

int Main(int argc, char** argv) {
  load_options made;
  po::options_description options("callers: stand-in for the callers");
  options.add_options()("daemons",
                        po::value(&made.daemons)->multitoken()->required(),
                        "addresses of daemons")(
      "mix", po::value(&made.mix)->multitoken()->required(),
      "weight:class:never:home:METHOD:path, one or more")(
      "log", po::value(&made.log)->required(),
      "where to write one line a call")(
      "rate", po::value(&made.rate)->default_value(100), "calls a second")(
      "seconds", po::value(&made.seconds)->default_value(10), "how long")(
      "timeout-ms", po::value(&made.timeout_ms)->default_value(5000),
      "longest wait for an answer")(
      "body-bytes", po::value(&made.body_bytes)->default_value(0),
      "size of request bodies")(
      "want-bytes", po::value(&made.want_bytes)->default_value(64),
      "size of answers")("work-ms", po::value(&made.work_ms)->default_value(-1),
                         "work of each call at the upstream; -1: its own")(
      "port", po::value(&made.port)->default_value(8080),
      "port of the daemons")("seed", po::value(&made.seed)->default_value(1),
                             "seed of the mix; part of each request id")(
      "help", "print this");
  ParseOrExit(argc, argv, options);
  asio::io_context context(2);
  load_generator load(context, made);
  load.Start();
  std::thread second([&] { context.run(); });
  context.run();
  second.join();
  return 0;
}

}  // namespace parsleyyard::standins

int main(int argc, char** argv) {
  return parsleyyard::standins::Main(argc, argv);
}
