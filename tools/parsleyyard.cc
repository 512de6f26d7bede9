// parsleyyard: the operator's command line.

#include "daemon/settings.h"
#include "net/net.h"
#include "platform/platform.h"
#include "tools/request_story.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <iterator>
#include <map>
#include <thread>

namespace parsleyyard::tools {

namespace {

namespace po = boost::program_options;
namespace json = boost::json;

constexpr int kExitOk = 0;
constexpr int kExitNotYet = 1;  // wait-version: not in force everywhere in
                                // time; explain: no line names the request
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr duration kPageTimeout = seconds(2);
constexpr std::string_view kUsage =
    "parsleyyard: looks after a fleet of parsleyyardd\n"
    "  parsleyyard check config.json\n"
    "  parsleyyard diff old.json new.json\n"
    "  parsleyyard status 127.1.1.1 127.1.2.1\n"
    "  parsleyyard explain ID daemon-a.log daemon-b.log   (- reads a pipe)\n"
    "  parsleyyard explain 127.1.1.1 --request c7-12\n"
    "  parsleyyard explain 127.1.1.1 --route shop.example/vitrina/lamp\n"
    "  parsleyyard explain 127.1.1.1 --domain mvd-b\n"
    "  parsleyyard wait-version 12 127.1.1.1 127.1.2.1 --timeout 5\n"
    "Options";

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A configuration as the operator publishes it; see docs/PLATFORM.md.
leaf::result<std::shared_ptr<const configuration>> LoadConfiguration(
    const std::string& file) {
  auto load = leaf::on_error(
      [&](model_error& inner) { inner.path = file + ": " + inner.path; });
  return platform::DecodeConfiguration(ReadFile(file));
}

// Runs `act` and turns a model's error into one line and an exit status.
int OrOneLine(const std::function<leaf::result<int>()>& act) {
  return leaf::try_handle_all(
      act,
      [](const model_error& error) {
        std::cerr << "parsleyyard: " << error.path << ": " << error.message
                  << "\n";
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

int Check(const std::vector<std::string>& files) {
  return OrOneLine([&]() -> leaf::result<int> {
    for (const std::string& file : files) {
      BOOST_LEAF_AUTO(loaded, LoadConfiguration(file));
      std::cout << file << ": valid, version " << loaded->version() << ", "
                << loaded->routes().size() << " routes\n";
    }
    return kExitOk;
  });
}

bool SameRoute(const route& a, const route& b) {
  const auto same_part = [](const weighted_service& x,
                            const weighted_service& y) {
    return x.service == y.service && x.weight == y.weight;
  };
  return a.virtual_host == b.virtual_host && a.prefix == b.prefix &&
         a.idempotent == b.idempotent && a.timeout == b.timeout &&
         a.objective == b.objective && a.priority == b.priority &&
         a.max_attempts == b.max_attempts && a.home_regions == b.home_regions &&
         std::equal(a.targets.begin(), a.targets.end(), b.targets.begin(),
                    b.targets.end(), same_part);
}

std::map<std::string, const route*> RoutesByName(const configuration& from) {
  std::map<std::string, const route*> routes;
  for (const route& each : from.routes()) {
    routes[each.name] = &each;
  }
  return routes;
}

// Tells which routes come, change and go, and the bytes that each daemon gets.
int Diff(const std::string& before_file, const std::string& after_file) {
  return OrOneLine([&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(before, LoadConfiguration(before_file));
    BOOST_LEAF_AUTO(after, LoadConfiguration(after_file));
    const auto old_routes = RoutesByName(*before);
    const auto new_routes = RoutesByName(*after);
    for (const auto& [name, added] : new_routes) {
      const auto old = old_routes.find(name);
      if (old == old_routes.end()) {
        std::cout << "+ " << name << ": new\n";
      } else if (!SameRoute(*old->second, *added)) {
        std::cout << "~ " << name << ": changed\n";
      }
    }
    for (const auto& [name, gone] : old_routes) {
      if (!new_routes.contains(name)) {
        std::cout << "- " << name << ": gone\n";
      }
    }
    const std::string base = ReadFile(before_file);
    std::cout << Pack(ReadFile(after_file), &base).size()
              << " bytes as a delta\n";
    return kExitOk;
  });
}

// Fetches pages of admin ports, all at once.
class page_reader {
 public:
  explicit page_reader(std::uint16_t port) : port_(port) {}

  std::vector<std::optional<std::string>> Fetch(
      const std::vector<std::string>& hosts,
      const std::string& target) {
    asio::io_context context;
    std::vector<std::optional<std::string>> pages(hosts.size());
    std::vector<std::unique_ptr<http_client>> clients;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      clients.push_back(std::make_unique<http_client>(
          context, http_client_options{.address = hosts[i], .port = port_}));
      clients[i]->Request(
          {.method = "GET", .target = target}, {.timeout = kPageTimeout},
          [&pages, i](http_exchange exchange) {
            if (exchange.complete && exchange.response.status == 200) {
              pages[i] = std::move(exchange.response.body);
            }
          });
    }
    context.run();
    return pages;
  }

 private:
  std::uint16_t port_;
};

std::uint64_t VersionOf(const std::string& page) {
  return json::parse(page).at("version").to_number<std::uint64_t>();
}

std::string StatusLine(const std::string& page) {
  const json::value status = json::parse(page);
  const json::value& upstream = status.at("upstream");
  return std::string(status.at("failure_domain").as_string()) + ", version " +
         json::serialize(status.at("version")) + " at revision " +
         json::serialize(status.at("revision")) + ", " +
         json::serialize(status.at("view_age_ms")) + " ms old" +
         (status.at("admits").as_bool() ? ", admits work" : ", refuses work") +
         (status.at("reads_store").as_bool() ? ", reads the store" : "") +
         ", instance runs " + json::serialize(upstream.at("running")) + " of " +
         json::serialize(upstream.at("limit"));
}

int Status(page_reader& reader, const std::vector<std::string>& hosts) {
  const auto pages = reader.Fetch(hosts, "/status");
  int exit = kExitOk;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    std::cout << hosts[i] << ": "
              << (pages[i] ? StatusLine(*pages[i]) : "unreachable") << "\n";
    exit = pages[i] ? exit : kExitUnreachable;
  }
  return exit;
}

int Explain(page_reader& reader,
            const std::string& host,
            const std::string& query) {
  const auto pages = reader.Fetch({host}, "/explain" + query);
  std::cout << pages[0].value_or(host + ": unreachable\n");
  return pages[0] ? kExitOk : kExitUnreachable;
}

// Waits until every host serves at least `version`; names those that don't.
int WaitVersion(page_reader& reader,
                std::uint64_t version,
                const std::vector<std::string>& hosts,
                double timeout) {
  constexpr auto kBetween = std::chrono::milliseconds(100);
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout);
  std::vector<std::string> lag;
  do {
    lag.clear();
    const auto pages = reader.Fetch(hosts, "/status");
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (!pages[i]) {
        lag.push_back(hosts[i] + ": unreachable");
      } else if (VersionOf(*pages[i]) < version) {
        lag.push_back(hosts[i] + ": " + StatusLine(*pages[i]));
      }
    }
    if (lag.empty()) {
      std::cout << "Version " << version << " is in force on all "
                << hosts.size() << " hosts.\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kBetween);
  } while (std::chrono::steady_clock::now() < end);
  std::cout << "Version " << version << " is not in force on " << lag.size()
            << " of " << hosts.size() << " hosts:\n";
  for (const std::string& line : lag) {
    std::cout << "  " << line << "\n";
  }
  return kExitNotYet;
}

struct arguments {
  std::string command;
  std::vector<std::string> words;
  po::variables_map given;
};

// The story of a request from log files; the exit status says whether any line
// named it.
int ExplainFromLogs(const std::string& request,
                    const std::vector<std::string>& files) {
  request_story story(request);
  const bool terminal = isatty(STDERR_FILENO) == 1;
  for (const std::string& file : files) {
    const auto progress = [&](std::uint64_t bytes) {
      if (terminal) {
        std::cerr << "\r" << file << ": " << (bytes >> 20) << " MB read"
                  << std::flush;
      }
    };
    if (file == "-") {
      story.Read(std::cin, "standard input", progress);
      continue;
    }
    std::ifstream log(file);
    if (!log) {
      std::cerr << "parsleyyard: " << file << ": can't be opened\n";
      return kExitUsage;
    }
    story.Read(log, file, progress);
  }
  std::cout << (terminal ? "\n" : "") << story.Text();
  return story.empty() ? kExitNotYet : kExitOk;
}

// The query of `explain`; empty if none of its options is given.
std::string ExplainQuery(const po::variables_map& given) {
  for (const char* key : {"request", "route", "domain"}) {
    if (given.contains(key)) {
      return std::string("?") + key + "=" + given[key].as<std::string>();
    }
  }
  return "";
}

std::optional<int> RunCommand(const arguments& args) {
  page_reader reader(args.given["port"].as<std::uint16_t>());
  const auto& words = args.words;
  if (args.command == "check" && !words.empty()) {
    return Check(words);
  }
  if (args.command == "diff" && words.size() == 2) {
    return Diff(words[0], words[1]);
  }
  if (args.command == "status" && !words.empty()) {
    return Status(reader, words);
  }
  if (args.command == "explain" && words.size() == 1) {
    return Explain(reader, words[0], ExplainQuery(args.given));
  }
  if (args.command == "explain" && words.size() >= 2) {
    return ExplainFromLogs(words[0], {words.begin() + 1, words.end()});
  }
  if (args.command == "wait-version" && words.size() >= 2) {
    const std::uint64_t version = std::strtoull(words[0].c_str(), nullptr, 10);
    return WaitVersion(reader, version, {words.begin() + 1, words.end()},
                       args.given["timeout"].as<double>());
  }
  return std::nullopt;
}

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options{std::string(kUsage)};
  options.add_options()("request", po::value<std::string>(),
                        "explain a request by its id")(
      "route", po::value<std::string>(), "explain the route of HOST/PATH")(
      "domain", po::value<std::string>(), "explain a failure domain")(
      "timeout", po::value<double>()->default_value(5),
      "wait-version: seconds")(
      "port", po::value<std::uint16_t>()->default_value(8082),
      "admin port of the daemons")("help", "print this and exit");
  po::options_description hidden;
  arguments args;
  hidden.add_options()("command", po::value(&args.command))(
      "words", po::value(&args.words));
  po::options_description all;
  all.add(options).add(hidden);
  po::positional_options_description positions;
  positions.add("command", 1).add("words", -1);
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positions)
                  .run(),
              args.given);
    po::notify(args.given);
  } catch (const po::error& error) {
    std::cerr << "parsleyyard: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (args.given.contains("help")) {
    std::cout << options;
    return kExitOk;
  }
  const std::optional<int> status = RunCommand(args);
  if (!status) {
    std::cerr << "parsleyyard: "
              << (args.command.empty() ? "a command is needed"
                                       : "can't do \"" + args.command +
                                             "\" with these arguments")
              << "; see --help\n";
  }
  return status.value_or(kExitUsage);
}

}  // namespace parsleyyard::tools

int main(int argc, char** argv) {
  return parsleyyard::tools::Main(argc, argv);
}
