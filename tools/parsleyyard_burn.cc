// parsleyyard-burn: reports how fast each service uses up its error budget.

#include "tools/burn.h"

#include "net/net.h"

#include <boost/program_options.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace parsleyyard::tools {

namespace {

namespace po = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitAlert = 1;
constexpr int kExitUsage = 2;
constexpr duration kFetchTimeout = seconds(2);

// Reads an objectives file: in [objective], the percentage of good calls by
// service; in [windows], short and long in seconds, and alert, a burn rate. On
// an error, prints it and returns false.
bool LoadObjectives(const std::string& file, burn_options& options) {
  namespace pt = boost::property_tree;
  try {
    pt::ptree tree;
    pt::read_ini(file, tree);
    const pt::ptree objectives = tree.get_child("objective", {});
    for (const auto& [service, percent] : objectives) {
      options.objectives[service] = percent.get_value<double>() / 100;
    }
    options.short_window =
        std::chrono::seconds(tree.get<int>("windows.short", 5));
    options.long_window =
        std::chrono::seconds(tree.get<int>("windows.long", 60));
    options.alert_burn_rate =
        tree.get<double>("windows.alert", options.alert_burn_rate);
  } catch (const pt::ptree_error& error) {
    std::cerr << "parsleyyard-burn: " << file << ": " << error.what() << "\n";
    return false;
  }
  for (const auto& [service, share] : options.objectives) {
    if (share <= 0 || share >= 1) {
      std::cerr << "parsleyyard-burn: " << file << ", [objective] " << service
                << ": must be a percentage above 0 and below 100\n";
      return false;
    }
  }
  return true;
}

// Fetches the metrics of all hosts at once. Hosts that don't respond are listed
// as unreachable in the sample.
burn_sample FetchSample(const std::vector<std::string>& hosts,
                        std::uint16_t port,
                        duration at) {
  asio::io_context context;
  burn_sample sample{.at = at};
  std::vector<std::unique_ptr<http_client>> clients;
  for (const std::string& host : hosts) {
    clients.push_back(std::make_unique<http_client>(
        context, http_client_options{.address = host, .port = port}));
    clients.back()->Request(
        {.method = "GET", .target = "/metrics"}, {.timeout = kFetchTimeout},
        [&sample, host](http_exchange exchange) {
          if (exchange.complete && exchange.response.status == 200) {
            AddMetricsPage(exchange.response.body, sample);
          } else {
            sample.unreachable.push_back(host);
          }
        });
  }
  context.run();
  return sample;
}

// Fetches one sample a second.
std::vector<burn_sample> CollectSamples(const std::vector<std::string>& hosts,
                                        std::uint16_t port,
                                        int sample_count) {
  std::vector<burn_sample> samples;
  const auto started_at = std::chrono::steady_clock::now();
  for (int i = 0; i < sample_count; ++i) {
    std::this_thread::sleep_until(started_at + std::chrono::seconds(i));
    samples.push_back(FetchSample(hosts, port, seconds(i)));
  }
  return samples;
}

int RunReport(const po::variables_map& flags) {
  burn_options options;
  if (flags.contains("objectives") &&
      !LoadObjectives(flags["objectives"].as<std::string>(), options)) {
    return kExitUsage;
  }
  std::vector<burn_sample> samples;
  if (flags.contains("saved")) {
    std::ifstream in(flags["saved"].as<std::string>());
    samples = ReadSamples(in);
  } else {
    samples = CollectSamples(flags["hosts"].as<std::vector<std::string>>(),
                             flags["port"].as<std::uint16_t>(),
                             flags["seconds"].as<int>() + 1);
  }
  if (flags.contains("save")) {
    std::ofstream out(flags["save"].as<std::string>());
    WriteSamples(samples, out);
  }
  const std::vector<burn_row> rows = ComputeBurn(samples, options);
  std::cout << TextReport(rows, samples);
  if (flags.contains("csv")) {
    std::ofstream(flags["csv"].as<std::string>()) << CsvReport(rows);
  }
  if (flags.contains("html")) {
    std::ofstream(flags["html"].as<std::string>()) << HtmlReport(rows, samples);
  }
  const bool alert = std::any_of(rows.begin(), rows.end(),
                                 [](const burn_row& row) { return row.alert; });
  return alert ? kExitAlert : kExitOk;
}

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options(
      "parsleyyard-burn: reports how fast each service uses up its error "
      "budget\n"
      "  parsleyyard-burn --hosts 127.1.1.1 127.1.2.1 --seconds 60 --html "
      "burn.html\n"
      "  parsleyyard-burn --saved samples.txt --objectives "
      "etc/parsleyyard-burn.ini\n"
      "Exit status 1 if a service burns too fast in both windows.\nOptions");
  options.add_options()("hosts",
                        po::value<std::vector<std::string>>()->multitoken(),
                        "daemons to sample each second")(
      "port", po::value<std::uint16_t>()->default_value(8082),
      "admin port of the daemons")(
      "seconds", po::value<int>()->default_value(60), "duration of sampling")(
      "objectives", po::value<std::string>(), "objectives file (INI)")(
      "saved", po::value<std::string>(),
      "read samples from a file instead of daemons")(
      "save", po::value<std::string>(), "write samples to a file")(
      "csv", po::value<std::string>(), "write a CSV file")(
      "html", po::value<std::string>(), "write an HTML page with plots")(
      "help", "print this and exit");
  po::variables_map flags;
  try {
    po::store(po::parse_command_line(argc, argv, options), flags);
  } catch (const po::error& error) {
    std::cerr << "parsleyyard-burn: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (flags.contains("help")) {
    std::cout << options;
    return kExitOk;
  }
  if (!flags.contains("hosts") && !flags.contains("saved")) {
    std::cerr
        << "parsleyyard-burn: --hosts or --saved is required; see --help\n";
    return kExitUsage;
  }
  return RunReport(flags);
}

}  // namespace parsleyyard::tools

int main(int argc, char** argv) {
  return parsleyyard::tools::Main(argc, argv);
}
