// Parsing of the platform's documents into typed values.

#include "decide/decide.h"
#include "decide/json_reader.h"

#include <boost/asio/ip/address_v4.hpp>

namespace parsleyyard {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> kRepeatRuleNames = {
    "by_method", "idempotent", "never"};
constexpr std::array<std::string_view, 2> kHostStateNames = {"live", "leaving"};
constexpr std::uint64_t kMaxSlots = 10000;
constexpr std::uint64_t kMaxConnections = 100000;
constexpr std::uint64_t kMaxMilliseconds = 600000;

host_address ReadAddress(object_reader& reader,
                         const std::string& place,
                         error_slot& errors) {
  host_address address = reader.Name("host");
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(address, error);
  if (error) {
    errors.Set(place + ".host", "\"" + address + "\" must be an IPv4 address");
  }
  return address;
}

region ReadRegion(const json::value& value,
                  std::string place,
                  error_slot& errors) {
  object_reader reader(value, std::move(place), errors);
  region result{.name = reader.Name("name"),
                .failure_domains = reader.Names("failure_domains")};
  reader.Finish();
  return result;
}

instance ReadInstance(const json::value& value,
                      const std::string& place,
                      error_slot& errors) {
  object_reader reader(value, place, errors);
  instance result{.id = reader.Name("id"),
                  .host = ReadAddress(reader, place, errors),
                  .failure_domain = reader.Name("failure_domain")};
  reader.Finish();
  return result;
}

service ReadService(const json::value& value,
                    std::string place,
                    error_slot& errors) {
  object_reader reader(value, std::move(place), errors);
  service result{.name = reader.Name("name"),
                 .slots = static_cast<std::uint32_t>(
                     reader.Count("slots", 1, 1, kMaxSlots)),
                 .connections = static_cast<std::uint32_t>(
                     reader.Count("connections", 16, 1, kMaxConnections)),
                 .warm_up = std::chrono::milliseconds(
                     reader.Count("warm_up_ms", 0, 0, kMaxMilliseconds)),
                 .instances = {}};
  reader.Each(
      "instances", [&](const json::value& item, const std::string& item_place) {
        result.instances.push_back(ReadInstance(item, item_place, errors));
      });
  reader.Finish();
  return result;
}

route ReadRoute(const json::value& value,
                const std::string& place,
                error_slot& errors) {
  object_reader reader(value, place, errors);
  route result{.name = reader.Name("name"),
               .prefix = reader.Text("prefix", ""),
               .service = reader.Name("service")};
  result.priority =
      static_cast<call_class>(reader.OneOf("class", kCallClassNames, 0));
  result.repeat =
      static_cast<repeat_rule>(reader.OneOf("repeat", kRepeatRuleNames, 0));
  result.deadline = std::chrono::milliseconds(
      reader.Count("deadline_ms", 2000, 1, kMaxMilliseconds));
  result.home_regions = reader.Names("home_regions");
  if (!result.prefix.starts_with('/') || !result.prefix.ends_with('/')) {
    errors.Set(place + ".prefix", "must begin and end with '/'");
  }
  reader.Finish();
  return result;
}

workspace ReadWorkspace(const json::value& value,
                        std::string place,
                        error_slot& errors) {
  object_reader reader(value, std::move(place), errors);
  workspace result{.name = reader.Name("name"),
                   .home_regions = reader.Names("home_regions")};
  reader.Finish();
  return result;
}

host_entry ReadHost(const json::value& value,
                    const std::string& place,
                    error_slot& errors) {
  object_reader reader(value, place, errors);
  host_entry result{.address = ReadAddress(reader, place, errors),
                    .failure_domain = reader.Name("failure_domain"),
                    .region = reader.Name("region")};
  result.leaving = reader.OneOf("state", kHostStateNames, 0) == 1;
  reader.Finish();
  return result;
}

document_head ReadHead(const json::value& value,
                       std::string place,
                       error_slot& errors) {
  object_reader reader(value, std::move(place), errors);
  document_head head;
  head.kind =
      static_cast<document_kind>(reader.OneOf("kind", kDocumentKindNames, 0));
  head.revision = reader.Count("revision", 0, 0, UINT64_MAX);
  reader.Each("parts",
              [&](const json::value& item, const std::string& item_place) {
                object_reader part(item, item_place, errors);
                head.parts.push_back(
                    {.name = part.Name("name"), .hash = part.Name("hash")});
                part.Finish();
              });
  reader.Finish();
  return head;
}

}  // namespace

leaf::result<std::shared_ptr<const manifest_part>> ParseManifestPart(
    std::string_view text) {
  auto part = std::make_shared<manifest_part>();
  BOOST_LEAF_CHECK(ReadDocument(text, [&](object_reader& root,
                                          error_slot& errors) {
    root.Each("regions", [&](const json::value& value, std::string place) {
      part->regions.push_back(ReadRegion(value, std::move(place), errors));
    });
    root.Each("services", [&](const json::value& value, std::string place) {
      part->services.push_back(ReadService(value, std::move(place), errors));
    });
    root.Each("routes",
              [&](const json::value& value, const std::string& place) {
                part->routes.push_back(ReadRoute(value, place, errors));
              });
    root.Each("workspaces", [&](const json::value& value, std::string place) {
      part->workspaces.push_back(
          ReadWorkspace(value, std::move(place), errors));
    });
  }));
  return std::shared_ptr<const manifest_part>(std::move(part));
}

leaf::result<std::vector<host_entry>> ParseHostsPart(std::string_view text) {
  std::vector<host_entry> hosts;
  BOOST_LEAF_CHECK(ReadDocument(text, [&](object_reader& root,
                                          error_slot& errors) {
    root.Each("hosts", [&](const json::value& value, const std::string& place) {
      hosts.push_back(ReadHost(value, place, errors));
    });
  }));
  return hosts;
}

leaf::result<declarations> ParseDeclarationsPart(std::string_view text) {
  declarations result;
  BOOST_LEAF_CHECK(ReadDocument(text, [&](object_reader& root, error_slot&) {
    for (std::string& name : root.Names("failure_domains")) {
      result.failure_domains.insert(std::move(name));
    }
    for (std::string& name : root.Names("hosts")) {
      result.hosts.insert(std::move(name));
    }
  }));
  return result;
}

leaf::result<source_heads> ParseSourceHeads(std::string_view text) {
  source_heads result;
  BOOST_LEAF_CHECK(ReadDocument(text, [&](object_reader& root,
                                          error_slot& errors) {
    result.index = root.Count("index", 0, 0, UINT64_MAX);
    root.Each("documents", [&](const json::value& value, std::string place) {
      result.heads.push_back(ReadHead(value, std::move(place), errors));
    });
  }));
  return result;
}

bool declarations::IsOut(const host_address& host,
                         std::string_view failure_domain) const {
  return hosts.contains(host) || failure_domains.contains(failure_domain);
}

}  // namespace parsleyyard
