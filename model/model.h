// parsleyyard: data model of the fleet as one daemon knows it. No sockets, no
// clocks.
//
// Index
//   1. Basics          time, randomness, host addresses
//   2. Configuration   routes, services, workspaces, limits on callers
//   3. Instances       registered instances and their state
//   4. Snapshot        one immutable version of a daemon's view
//   5. Topology        failure domains and their regions
//
// How to use it: create a configuration with configuration::Create(), store it
// in a snapshot together with the instances, and share the snapshot as a
// pointer to const. A snapshot does not change once it is shared.

#ifndef PARSLEYYARD_MODEL_MODEL_H_
#define PARSLEYYARD_MODEL_MODEL_H_

#include "model/messages_generated.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

namespace leaf = boost::leaf;

// ---------------------------------------------------------------------------
// 1. Basics
// ---------------------------------------------------------------------------

// Monotonic time since an arbitrary origin of the host. It keeps running while
// the process or the host is suspended.
using instant = std::chrono::microseconds;
using duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// IPv4 address in dotted form. Identifies a host and its daemon.
using host_address = std::string;

// Source of the current time. Tests inject a clock that they set themselves.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual instant Now() const = 0;
};

// Source of random numbers. Tests inject a seeded one.
class random_source {
 public:
  virtual ~random_source() = default;
  virtual std::uint64_t Next() = 0;

  // Returns a uniform number in [0, bound), or 0 if `bound` is 0.
  std::uint64_t UniformBelow(std::uint64_t bound) {
    return bound ? Next() % bound : 0;
  }

  // Returns a uniform duration in [base, base + base * percent / 100].
  duration Jitter(duration base, unsigned percent = 50) {
    return base + duration(UniformBelow(base.count() * percent / 100 + 1));
  }
};

// ---------------------------------------------------------------------------
// 2. Configuration
// ---------------------------------------------------------------------------

// A configuration or a registration that is not valid.
struct model_error {
  std::string path;     // faulty element, such as "routes[3].service"
  std::string message;  // what is wrong and which values are allowed
};

// A service that a route sends requests to.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;  // relative to the sum of the route's weights
};

// Maps a virtual host and a path prefix to services.
struct route {
  std::string name;
  std::string virtual_host;               // lower case, without a port
  std::string prefix;                     // begins and ends with '/'
  std::vector<weighted_service> targets;  // at least one
  bool idempotent = false;                // a request may run more than once
  duration timeout = seconds(2);          // longest time until the response
  duration objective = seconds(1);        // latency objective
  std::uint32_t priority = 0;             // 0: most urgent
  std::uint32_t max_attempts = 1;  // instances that one request may reach
  std::vector<std::string> home_regions;  // allowed regions; empty: all
  // A request needs the key of a workspace, if the configuration has any.
  bool needs_key = true;
};

// A customer whose requests bear one of its keys.
struct workspace {
  std::string name;
  std::vector<std::string> keys;          // secret; never logged or passed on
  std::optional<std::uint32_t> priority;  // replaces the route's; empty: none
  double rate = 0;   // requests a second over all daemons; 0: no limit
  double burst = 0;  // requests beyond the rate
  std::vector<std::string> home_regions;  // allowed regions; empty: all
};

// A service, and the limits that hold for each of its instances.
struct service {
  std::string name;
  std::string health_path = "/health";
  std::uint32_t max_connections = 16;  // connections to one instance
  duration warm_up{};    // time after its start in which an instance is cold
  double cold_rate = 0;  // requests a second to a cold instance; 0: no limit
};

// Limits on the size and the duration of a caller's requests.
struct caller_limits {
  std::size_t max_header_bytes = 16384;  // size of a request head
  std::size_t max_body_bytes = 1 << 20;  // size of a request body
  duration header_timeout = seconds(3);  // first byte to the end of the head
  duration idle_timeout = seconds(15);   // between two requests
  bool operator==(const caller_limits&) const = default;
};

// A validated configuration. Immutable. Pointers and references that it returns
// are valid as long as the configuration exists.
class configuration {
 public:
  struct parts {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    caller_limits limits;
  };

  // Validates the parts and builds the lookup tables. Fails with a model_error
  // if a prefix does not begin and end with '/', a route has no service with a
  // weight above 0, a route names a service that is not configured, a workspace
  // has no proper name or an empty key, or two workspaces share a name or a
  // key. No error contains a key.
  static leaf::result<std::shared_ptr<const configuration>> Create(parts from);

  std::uint64_t version() const { return parts_.version; }
  const caller_limits& limits() const { return parts_.limits; }
  const std::vector<route>& routes() const { return parts_.routes; }
  const std::vector<service>& services() const { return parts_.services; }
  // Returns the route of `host` whose prefix is the longest that matches
  // `path`, or null if no route matches. `path` has no query; the case of
  // `host` and a port in it are ignored.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns null if the service is not configured.
  const service* FindService(std::string_view name) const;
  // If false, no request needs a key.
  bool has_workspaces() const { return !parts_.workspaces.empty(); }
  const std::vector<workspace>& workspaces() const { return parts_.workspaces; }
  // Return null if no workspace has that key, or that name.
  const workspace* FindWorkspaceByKey(const std::string& key) const;
  const workspace* FindWorkspace(std::string_view name) const;

 private:
  parts parts_;
  std::unordered_map<std::string, const route*>
      routes_by_key_;  // by RouteKey()
  std::map<std::string, const service*, std::less<>> services_by_name_;
  std::unordered_map<std::string, const workspace*> workspaces_by_key_;
  std::map<std::string, const workspace*, std::less<>> workspaces_by_name_;

  leaf::result<void> IndexWorkspaces();
};

// ---------------------------------------------------------------------------
// 3. Instances
// ---------------------------------------------------------------------------

// One instance of a service, as registered in the store.
struct instance {
  std::string id;
  std::string service;
  host_address host;  // calls reach the instance through this host's daemon
  std::uint16_t port = 0;  // port that the host's daemon connects to
  std::string failure_domain;
  std::uint32_t slots = 1;       // concurrent requests
  bool draining = false;         // takes no new work
  duration cold_left{};          // warm-up left at registration; zero: warm
  std::uint64_t started_ms = 0;  // Unix time of the start; 0: unknown
  std::uint64_t sequence = 0;    // number of the registration since the start
};

// Load of an instance as its responses state it.
struct instance_load {
  std::uint32_t running = 0;  // requests that the instance runs
  std::uint32_t waiting = 0;  // requests that wait in the instance
  std::uint32_t slots = 0;    // requests that it can run at once
  // Time that work takes on the host at this moment, in percent of the usual.
  // Empty: not stated, malformed or out of range.
  std::optional<double> work_time_percent;
};

// ---------------------------------------------------------------------------
// 4. Snapshot
// ---------------------------------------------------------------------------

// A state of the store. Within one era the revision rises with each change. A
// store that comes back from an older copy begins the next era, in which it
// gives out revisions again: revisions alone must not be compared.
struct store_position {
  std::uint64_t era = 0;  // 0: the store states none
  std::uint64_t revision = 0;
  auto operator<=>(const store_position&) const = default;
};

// A registered instance with what this daemon derives from its registration.
struct known_instance {
  instance registration;
  store_position position;  // of the last change
  instant cold_until{};     // end of the warm-up, on this daemon's clock
};

// One immutable version of a daemon's view.
struct snapshot {
  store_position position;                      // includes all changes up to it
  std::shared_ptr<const configuration> config;  // null: none received yet
  std::map<std::string, known_instance> instances;  // by id
  std::map<std::string, std::vector<const known_instance*>, std::less<>>
      by_service;                                // pointers into `instances`
  std::set<std::string, std::less<>> evacuated;  // failure domains

  // Returns true if nothing of the store is known yet.
  bool empty() const { return config == nullptr && instances.empty(); }
  // Returns the instance at that host and port that was changed last, or
  // null if none is registered there.
  const known_instance* FindAt(const host_address& host,
                               std::uint16_t port) const;
};

// ---------------------------------------------------------------------------
// 5. Topology
// ---------------------------------------------------------------------------

// Region of each failure domain, by the name of the domain.
using region_map = std::map<std::string, std::string, std::less<>>;

// Returns the region of a failure domain, or "" if the domain is unknown.
std::string_view RegionOf(const region_map& regions, std::string_view domain);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_MODEL_MODEL_H_
