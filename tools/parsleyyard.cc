// parsleyyard: the command-line tool for operators.

#include "daemon/settings.h"
#include "net/net.h"
#include "platform/platform.h"
#include "tools/request_trace.h"

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
// wait-version: the version was not in force everywhere in time; explain: no
// line names the request.
constexpr int kExitConditionNotMet = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr duration kFetchTimeout = seconds(2);
constexpr std::string_view kUsage =
    "parsleyyard: checks configurations and inspects a fleet of parsleyyardd\n"
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

// Loads a configuration document as an operator publishes it; see
// docs/PLATFORM.md. The path of a model_error begins with the file name.
leaf::result<std::shared_ptr<const configuration>> LoadConfiguration(
    const std::string& file) {
  auto add_file_name = leaf::on_error(
      [&](model_error& error) { error.path = file + ": " + error.path; });
  return platform::DecodeConfiguration(ReadFile(file));
}

// Runs `action` and returns its exit status. On a model_error, prints one line
// and returns kExitUsage.
int RunAndReportErrors(const std::function<leaf::result<int>()>& action) {
  return leaf::try_handle_all(
      action,
      [](const model_error& error) {
        std::cerr << "parsleyyard: " << error.path << ": " << error.message
                  << "\n";
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

// Empty if the configuration has no workspaces.
std::string DescribeWorkspaces(const configuration& config) {
  if (!config.has_workspaces()) {
    return "";
  }
  const auto keyless =
      std::count_if(config.workspaces().begin(), config.workspaces().end(),
                    [](const workspace& each) { return each.keys.empty(); });
  const auto open =
      std::count_if(config.routes().begin(), config.routes().end(),
                    [](const route& each) { return !each.needs_key; });
  return ", " + std::to_string(config.workspaces().size()) + " workspaces (" +
         std::to_string(keyless) + " without a key), " + std::to_string(open) +
         " routes without keys";
}

int CheckConfigurations(const std::vector<std::string>& files) {
  return RunAndReportErrors([&]() -> leaf::result<int> {
    for (const std::string& file : files) {
      BOOST_LEAF_AUTO(loaded, LoadConfiguration(file));
      std::cout << file << ": valid, version " << loaded->version() << ", "
                << loaded->routes().size() << " routes"
                << DescribeWorkspaces(*loaded) << "\n";
    }
    return kExitOk;
  });
}

bool SameRoute(const route& a, const route& b) {
  const auto same_target = [](const weighted_service& x,
                              const weighted_service& y) {
    return x.service == y.service && x.weight == y.weight;
  };
  return a.virtual_host == b.virtual_host && a.prefix == b.prefix &&
         a.idempotent == b.idempotent && a.needs_key == b.needs_key &&
         a.timeout == b.timeout && a.objective == b.objective &&
         a.priority == b.priority && a.max_attempts == b.max_attempts &&
         a.home_regions == b.home_regions &&
         std::equal(a.targets.begin(), a.targets.end(), b.targets.begin(),
                    b.targets.end(), same_target);
}

std::map<std::string, const route*> RoutesByName(const configuration& from) {
  std::map<std::string, const route*> routes;
  for (const route& each : from.routes()) {
    routes[each.name] = &each;
  }
  return routes;
}

bool SameWorkspace(const workspace& a, const workspace& b) {
  return a.keys == b.keys && a.priority == b.priority && a.rate == b.rate &&
         a.burst == b.burst && a.home_regions == b.home_regions;
}

// Prints the workspaces that are added, changed and removed, without their
// keys.
void PrintChangedWorkspaces(const configuration& before,
                            const configuration& after) {
  for (const workspace& added : after.workspaces()) {
    const workspace* old = before.FindWorkspace(added.name);
    if (old == nullptr) {
      std::cout << "+ workspace " << added.name << ": new\n";
    } else if (!SameWorkspace(*old, added)) {
      std::cout << "~ workspace " << added.name << ": changed\n";
    }
  }
  for (const workspace& removed : before.workspaces()) {
    if (after.FindWorkspace(removed.name) == nullptr) {
      std::cout << "- workspace " << removed.name << ": gone\n";
    }
  }
}

// Prints the routes and workspaces that are added, changed and removed, and the
// size of the update from the old document to the new one as a packed delta.
int DiffConfigurations(const std::string& before_file,
                       const std::string& after_file) {
  return RunAndReportErrors([&]() -> leaf::result<int> {
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
    for (const auto& [name, removed] : old_routes) {
      if (!new_routes.contains(name)) {
        std::cout << "- " << name << ": gone\n";
      }
    }
    PrintChangedWorkspaces(*before, *after);
    const std::string base = ReadFile(before_file);
    std::cout << Pack(ReadFile(after_file), &base).size()
              << " bytes as a delta\n";
    return kExitOk;
  });
}

// Fetches pages from the admin ports of several hosts at once.
class page_fetcher {
 public:
  explicit page_fetcher(std::uint16_t port) : port_(port) {}

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
          {.method = "GET", .target = target}, {.timeout = kFetchTimeout},
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

std::uint64_t ParseVersion(const std::string& page) {
  return json::parse(page).at("version").to_number<std::uint64_t>();
}

std::string FormatStatusLine(const std::string& page) {
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

int PrintStatus(page_fetcher& fetcher, const std::vector<std::string>& hosts) {
  const auto pages = fetcher.Fetch(hosts, "/status");
  int exit = kExitOk;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    std::cout << hosts[i] << ": "
              << (pages[i] ? FormatStatusLine(*pages[i]) : "unreachable")
              << "\n";
    exit = pages[i] ? exit : kExitUnreachable;
  }
  return exit;
}

int ExplainFromDaemon(page_fetcher& fetcher,
                      const std::string& host,
                      const std::string& query) {
  const auto pages = fetcher.Fetch({host}, "/explain" + query);
  std::cout << pages[0].value_or(host + ": unreachable\n");
  return pages[0] ? kExitOk : kExitUnreachable;
}

// Waits until at least `version` is in force on every host. At the timeout,
// prints the hosts where it is not.
int WaitVersion(page_fetcher& fetcher,
                std::uint64_t version,
                const std::vector<std::string>& hosts,
                double timeout) {
  constexpr auto kPollInterval = std::chrono::milliseconds(100);
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(timeout);
  std::vector<std::string> lagging;
  do {
    lagging.clear();
    const auto pages = fetcher.Fetch(hosts, "/status");
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (!pages[i]) {
        lagging.push_back(hosts[i] + ": unreachable");
      } else if (ParseVersion(*pages[i]) < version) {
        lagging.push_back(hosts[i] + ": " + FormatStatusLine(*pages[i]));
      }
    }
    if (lagging.empty()) {
      std::cout << "Version " << version << " is in force on all "
                << hosts.size() << " hosts.\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < end);
  std::cout << "Version " << version << " is not in force on " << lagging.size()
            << " of " << hosts.size() << " hosts:\n";
  for (const std::string& line : lagging) {
    std::cout << "  " << line << "\n";
  }
  return kExitConditionNotMet;
}

struct arguments {
  std::string command;
  std::vector<std::string> operands;
  po::variables_map flags;
};

// Prints what happened to a request, from log files. Returns
// kExitConditionNotMet if no line names the request.
int ExplainFromLogs(const std::string& request,
                    const std::vector<std::string>& files) {
  request_trace trace(request);
  const bool terminal = isatty(STDERR_FILENO) == 1;
  for (const std::string& file : files) {
    const auto progress = [&](std::uint64_t bytes) {
      if (terminal) {
        std::cerr << "\r" << file << ": " << (bytes >> 20) << " MB read"
                  << std::flush;
      }
    };
    if (file == "-") {
      trace.Read(std::cin, "standard input", progress);
      continue;
    }
    std::ifstream log(file);
    if (!log) {
      std::cerr << "parsleyyard: " << file << ": cannot be opened\n";
      return kExitUsage;
    }
    trace.Read(log, file, progress);
  }
  std::cout << (terminal ? "\n" : "") << trace.Text();
  return trace.empty() ? kExitConditionNotMet : kExitOk;
}

// Returns the query string for /explain; empty if none of --request, --route
// and --domain is given.
std::string ExplainQuery(const po::variables_map& flags) {
  for (const char* key : {"request", "route", "domain"}) {
    if (flags.contains(key)) {
      return std::string("?") + key + "=" + flags[key].as<std::string>();
    }
  }
  return "";
}

std::optional<int> RunCommand(const arguments& args) {
  page_fetcher fetcher(args.flags["port"].as<std::uint16_t>());
  const auto& operands = args.operands;
  if (args.command == "check" && !operands.empty()) {
    return CheckConfigurations(operands);
  }
  if (args.command == "diff" && operands.size() == 2) {
    return DiffConfigurations(operands[0], operands[1]);
  }
  if (args.command == "status" && !operands.empty()) {
    return PrintStatus(fetcher, operands);
  }
  if (args.command == "explain" && operands.size() == 1) {
    return ExplainFromDaemon(fetcher, operands[0], ExplainQuery(args.flags));
  }
  if (args.command == "explain" && operands.size() >= 2) {
    return ExplainFromLogs(operands[0], {operands.begin() + 1, operands.end()});
  }
  if (args.command == "wait-version" && operands.size() >= 2) {
    const std::uint64_t version =
        std::strtoull(operands[0].c_str(), nullptr, 10);
    return WaitVersion(fetcher, version, {operands.begin() + 1, operands.end()},
                       args.flags["timeout"].as<double>());
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
      "wait-version: longest wait in seconds")(
      "port", po::value<std::uint16_t>()->default_value(8082),
      "admin port of the daemons")("help", "print this and exit");
  po::options_description hidden;
  arguments args;
  hidden.add_options()("command", po::value(&args.command))(
      "words", po::value(&args.operands));
  po::options_description all;
  all.add(options).add(hidden);
  po::positional_options_description positions;
  positions.add("command", 1).add("words", -1);
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positions)
                  .run(),
              args.flags);
    po::notify(args.flags);
  } catch (const po::error& error) {
    std::cerr << "parsleyyard: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (args.flags.contains("help")) {
    std::cout << options;
    return kExitOk;
  }
  const std::optional<int> status = RunCommand(args);
  if (!status) {
    std::cerr << "parsleyyard: "
              << (args.command.empty()
                      ? "a command is required"
                      : "unknown command or wrong arguments: \"" +
                            args.command + "\"")
              << "; see --help\n";
  }
  return status.value_or(kExitUsage);
}

}  // namespace parsleyyard::tools

int main(int argc, char** argv) {
  return parsleyyard::tools::Main(argc, argv);
}
