// parsleyyard-burn: how fast each service uses up its error budget.

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
constexpr duration kPageTimeout = seconds(2);

// Reads [objective] service = percent, [windows] short = s and long = s.
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
    options.alert_rate = tree.get<double>("windows.alert", options.alert_rate);
  } catch (const pt::ptree_error& error) {
    std::cerr << "parsleyyard-burn: " << file << ": " << error.what() << "\n";
    return false;
  }
  for (const auto& [service, share] : options.objectives) {
    if (share <= 0 || share >= 1) {
      std::cerr << "parsleyyard-burn: " << file << ", [objective] " << service
                << ": must be above 0 and below 100\n";
      return false;
    }
  }
  return true;
}

// One page of each host; hosts that don't answer are named in the sample.
burn_sample Sample(const std::vector<std::string>& hosts,
                   std::uint16_t port,
                   duration at) {
  asio::io_context context;
  burn_sample sample{.at = at};
  std::vector<std::unique_ptr<http_client>> clients;
  for (const std::string& host : hosts) {
    clients.push_back(std::make_unique<http_client>(
        context, http_client_options{.address = host, .port = port}));
    clients.back()->Request(
        {.method = "GET", .target = "/metrics"}, {.timeout = kPageTimeout},
        [&sample, host](http_exchange exchange) {
          if (exchange.complete && exchange.response.status == 200) {
            AddPage(exchange.response.body, sample);
          } else {
            sample.unreachable.push_back(host);
          }
        });
  }
  context.run();
  return sample;
}

std::vector<burn_sample> Watch(const std::vector<std::string>& hosts,
                               std::uint16_t port,
                               int samples_wanted) {
  std::vector<burn_sample> samples;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < samples_wanted; ++i) {
    std::this_thread::sleep_until(began + std::chrono::seconds(i));
    samples.push_back(Sample(hosts, port, seconds(i)));
  }
  return samples;
}

int Report(const po::variables_map& given) {
  burn_options options;
  if (given.contains("objectives") &&
      !LoadObjectives(given["objectives"].as<std::string>(), options)) {
    return kExitUsage;
  }
  std::vector<burn_sample> samples;
  if (given.contains("saved")) {
    std::ifstream in(given["saved"].as<std::string>());
    samples = ReadSamples(in);
  } else {
    samples = Watch(given["hosts"].as<std::vector<std::string>>(),
                    given["port"].as<std::uint16_t>(),
                    given["seconds"].as<int>() + 1);
  }
  if (given.contains("save")) {
    std::ofstream out(given["save"].as<std::string>());
    WriteSamples(samples, out);
  }
  const std::vector<burn_row> rows = ComputeBurn(samples, options);
  std::cout << TextReport(rows, samples);
  if (given.contains("csv")) {
    std::ofstream(given["csv"].as<std::string>()) << CsvReport(rows);
  }
  if (given.contains("html")) {
    std::ofstream(given["html"].as<std::string>()) << HtmlReport(rows, samples);
  }
  const bool alert = std::any_of(rows.begin(), rows.end(),
                                 [](const burn_row& row) { return row.alert; });
  return alert ? kExitAlert : kExitOk;
}

}  // namespace

int Main(int argc, char** argv) {
  po::options_description options(
      "parsleyyard-burn: how fast each service uses up its error budget\n"
      "  parsleyyard-burn --hosts 127.1.1.1 127.1.2.1 --seconds 60 --html "
      "burn.html\n"
      "  parsleyyard-burn --saved samples.txt --objectives "
      "etc/parsleyyard-burn.ini\n"
      "Exit status 1 if a service burns too fast in both windows.\nOptions");
  options.add_options()("hosts",
                        po::value<std::vector<std::string>>()->multitoken(),
                        "daemons to ask each second")(
      "port", po::value<std::uint16_t>()->default_value(8082),
      "admin port of the daemons")(
      "seconds", po::value<int>()->default_value(60), "how long to watch")(
      "objectives", po::value<std::string>(), "objectives (INI)")(
      "saved", po::value<std::string>(), "read samples from a file")(
      "save", po::value<std::string>(), "write samples to a file")(
      "csv", po::value<std::string>(), "write a CSV file")(
      "html", po::value<std::string>(), "write a page with plots")(
      "help", "print this and exit");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
  } catch (const po::error& error) {
    std::cerr << "parsleyyard-burn: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (given.contains("help")) {
    std::cout << options;
    return kExitOk;
  }
  if (!given.contains("hosts") && !given.contains("saved")) {
    std::cerr << "parsleyyard-burn: --hosts or --saved is needed; see --help\n";
    return kExitUsage;
  }
  return Report(given);
}

}  // namespace parsleyyard::tools

int main(int argc, char** argv) {
  return parsleyyard::tools::Main(argc, argv);
}
