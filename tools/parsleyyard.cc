// parsleyyard: the operator's command line.

#include "daemon/settings.h"
#include "net/net.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

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
constexpr int kExitNotYet = 1;  // wait-version: not in force everywhere in time
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr duration kPageTimeout = seconds(2);
constexpr std::size_t kMaxPart = 1 << 20;
constexpr std::string_view kUsage =
    "parsleyyard: looks after a fleet of parsleyyardd\n"
    "  parsleyyard check manifest.json\n"
    "  parsleyyard diff old.json new.json\n"
    "  parsleyyard status 127.1.1.1 127.1.2.1\n"
    "  parsleyyard explain 127.1.1.1 --request c7-12\n"
    "  parsleyyard explain 127.1.1.1 --route /vitrina/lamp\n"
    "  parsleyyard explain 127.1.1.1 --domain mvd-b\n"
    "  parsleyyard wait-version 12 127.1.1.1 127.1.2.1 --timeout 5\n"
    "Options";

std::string ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A manifest file is {"part name": {...}, ...}; see docs/MANIFEST.md.
leaf::result<std::shared_ptr<const manifest>> LoadManifest(
    const std::string& file) {
  json::error_code error;
  const json::value root = json::parse(ReadFile(file), error);
  if (error || !root.is_object()) {
    return leaf::new_error(
        document_error{file, "must be an object of parts: " +
                                 (error ? error.message() : "it is not")});
  }
  manifest::part_list parts;
  for (const auto& item : root.get_object()) {
    const std::string text = json::serialize(item.value());
    if (text.size() > kMaxPart) {
      return leaf::new_error(document_error{
          file + ", part " + std::string(item.key()), "is over 1 MB"});
    }
    auto load = leaf::on_error([&](document_error& inner) {
      inner.place =
          file + ", part " + std::string(item.key()) + ": " + inner.place;
    });
    BOOST_LEAF_AUTO(part, ParseManifestPart(text));
    parts.push_back(std::move(part));
  }
  return manifest::Link(1, std::move(parts));
}

// Runs `act` and turns a document's error into one line and an exit status.
int OrOneLine(const std::function<leaf::result<int>()>& act) {
  return leaf::try_handle_all(
      act,
      [](const document_error& error) {
        std::cerr << "parsleyyard: " << error.place << ": " << error.message
                  << "\n";
        return kExitUsage;
      },
      [] { return kExitUsage; });
}

int Check(const std::vector<std::string>& files) {
  return OrOneLine([&]() -> leaf::result<int> {
    for (const std::string& file : files) {
      BOOST_LEAF_AUTO(loaded, LoadManifest(file));
      std::cout << file << ": valid, " << loaded->service_count()
                << " services, " << loaded->instance_count() << " instances\n";
    }
    return kExitOk;
  });
}

// Parts by name, as text.
std::map<std::string, std::string> PartsOf(const std::string& file) {
  std::map<std::string, std::string> parts;
  json::error_code error;
  const json::value root = json::parse(ReadFile(file), error);
  if (!error && root.is_object()) {
    for (const auto& item : root.get_object()) {
      parts[std::string(item.key())] = json::serialize(item.value());
    }
  }
  return parts;
}

// Tells what changes, and how many bytes of delta it costs over the region
// link.
int Diff(const std::string& before_file, const std::string& after_file) {
  return OrOneLine([&]() -> leaf::result<int> {
    BOOST_LEAF_CHECK(LoadManifest(before_file));
    BOOST_LEAF_CHECK(LoadManifest(after_file));
    const auto before = PartsOf(before_file);
    const auto after = PartsOf(after_file);
    for (const auto& [name, content] : after) {
      const auto old = before.find(name);
      if (old == before.end()) {
        std::cout << "+ " << name << ": new, "
                  << PackPart(content, nullptr).bytes.size()
                  << " bytes packed\n";
      } else if (old->second != content) {
        std::cout << "~ " << name << ": changed, "
                  << PackPart(content, &old->second).bytes.size()
                  << " bytes as a delta\n";
      }
    }
    for (const auto& [name, content] : before) {
      if (!after.contains(name)) {
        std::cout << "- " << name << ": gone\n";
      }
    }
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
          {.method = "GET", .target = target}, kPageTimeout,
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

std::uint64_t RevisionOf(const json::value& status, std::string_view document) {
  return status.at("documents")
      .at(document)
      .at("revision")
      .to_number<std::uint64_t>();
}

std::string StatusLine(const std::string& page) {
  const json::value status = json::parse(page);
  std::string line =
      std::string(status.at("failure_domain").as_string()) + ", manifest " +
      std::to_string(RevisionOf(status, "manifest")) + ", declarations " +
      std::to_string(RevisionOf(status, "declared_out")) + ", hosts " +
      std::to_string(RevisionOf(status, "hosts"));
  line += status.at("admits").as_bool()
              ? ", admits work"
              : ", refuses work (" +
                    std::string(status.at("why_not").as_string()) + ")";
  line += ", upstream " +
          std::string(status.at("upstream").at("state").as_string());
  const json::value& document = status.at("documents").at("manifest");
  if (document.at("rejected").to_number<std::uint64_t>() > 0) {
    line += ", rejected manifest " + json::serialize(document.at("rejected")) +
            " because " +
            std::string(document.at("rejected_because").as_string());
  }
  return line;
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
      } else if (RevisionOf(json::parse(*pages[i]), "manifest") < version) {
        lag.push_back(hosts[i] + ": " + StatusLine(*pages[i]));
      }
    }
    if (lag.empty()) {
      std::cout << "Manifest " << version << " is in force on all "
                << hosts.size() << " hosts.\n";
      return kExitOk;
    }
    std::this_thread::sleep_for(kBetween);
  } while (std::chrono::steady_clock::now() < end);
  std::cout << "Manifest " << version << " is not in force on " << lag.size()
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
      "route", po::value<std::string>(), "explain the route of a path")(
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
