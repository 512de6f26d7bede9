// parsleyyard: what a daemon believes about the fleet. No sockets, no clocks.
//
// Index
//   1. Basics          time, randomness, host addresses
//   2. Configuration   routes, services, limits on callers
//   3. Instances       what runs where, and in which state
//   4. Snapshot        one consistent view of all three
//   5. Topology        failure domains and their regions
//
// How to use it: build a configuration with configuration::Create(), put it
// into a snapshot beside the instances, and hand the snapshot around as a
// pointer to const. A call keeps the snapshot that it began with.

#ifndef PARSLEYYARD_MODEL_MODEL_H_
#define PARSLEYYARD_MODEL_MODEL_H_

#include "model/messages_generated.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
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

// Monotonic time since an arbitrary origin of the host. It also runs while the
// process or the host is suspended.
using instant = std::chrono::microseconds;
using duration = std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// IPv4 address in dotted form; names a host and its daemon.
using host_address = std::string;

// Source of the current time. Inject a fixed one in tests.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual instant Now() const = 0;
};

// Source of random draws. Inject a seeded one in tests.
class random_source {
 public:
  virtual ~random_source() = default;
  virtual std::uint64_t Next() = 0;

  // Uniform in [0, bound); 0 if bound is 0.
  std::uint64_t UniformBelow(std::uint64_t bound) {
    return bound ? Next() % bound : 0;
  }

  // Uniform in [base, base + base * percent / 100].
  duration Jitter(duration base, unsigned percent = 50) {
    return base + duration(UniformBelow(base.count() * percent / 100 + 1));
  }
};

// ---------------------------------------------------------------------------
// 2. Configuration
// ---------------------------------------------------------------------------

// Error of this layer. `path` is a path such as "routes[3].service".
struct model_error {
  std::string path;     // where in the document
  std::string message;  // what is wrong and what is allowed
};

// One of the services that a route leads to.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;  // its part of the sum of all weights
};

// Maps a virtual host and a path prefix to services.
struct route {
  std::string name;
  std::string virtual_host;               // lower case, without a port
  std::string prefix;                     // begins and ends in '/'
  std::vector<weighted_service> targets;  // at least one
  bool idempotent = false;                // may run more than once
  duration timeout = seconds(2);    // longest time to keep a caller waiting
  duration objective = seconds(1);  // an answer in this time is a good one
  std::uint32_t priority = 0;       // 0 goes first
  std::uint32_t max_attempts = 1;   // instances that one request may reach
  std::vector<std::string> home_regions;  // empty: any region
};

// A service, and how its instances want to be treated.
struct service {
  std::string name;
  std::string health_path = "/health";
  std::uint32_t max_connections = 16;  // that one instance accepts
  duration warm_up{};                  // time that an instance stays cold
  double cold_rate = 0;  // requests a second that a cold one bears; 0: any
};

// What a caller may send, and how long it may take.
struct caller_limits {
  std::size_t max_header_bytes = 16384;  // bytes
  std::size_t max_body_bytes = 1 << 20;  // bytes
  duration header_timeout = seconds(3);  // from the first byte
  duration idle_timeout = seconds(15);   // between two requests
  bool operator==(const caller_limits&) const = default;
};

// A validated configuration. Immutable; lookups point into it.
class configuration {
 public:
  struct parts {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
  };

  // Joins the parts and checks that each route leads to services that exist.
  static leaf::result<std::shared_ptr<const configuration>> Create(parts from);

  std::uint64_t version() const { return parts_.version; }
  const caller_limits& limits() const { return parts_.limits; }
  const std::vector<route>& routes() const { return parts_.routes; }
  // The route with the longest prefix of `path` (without a query) among those
  // of the host; null if there is none.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const service* FindService(std::string_view name) const;

 private:
  parts parts_;
  std::unordered_map<std::string, const route*> by_place_;  // host + prefix
  std::map<std::string, const service*, std::less<>> by_name_;
};

// ---------------------------------------------------------------------------
// 3. Instances
// ---------------------------------------------------------------------------

// One instance of a service, as it registered itself.
struct instance {
  std::string id;
  std::string service;
  host_address host;       // its host; the daemon there is the way to it
  std::uint16_t port = 0;  // for the daemon beside it
  std::string failure_domain;
  std::uint32_t slots = 1;       // requests that it runs at once
  bool draining = false;         // leaves soon
  duration cold_left{};          // when registered; zero: warm
  std::uint64_t started_ms = 0;  // Unix time of its start; 0: not told
  std::uint64_t sequence = 0;    // counts its registrations since the start
};

// ---------------------------------------------------------------------------
// 4. Snapshot
// ---------------------------------------------------------------------------

// An instance, and when this daemon learnt of its state.
struct known_instance {
  instance registration;
  std::uint64_t revision = 0;  // of the store, when it last changed
  instant cold_until{};        // it is taken for cold until then
};

// One consistent view. Immutable; never null where a daemon serves.
struct snapshot {
  std::uint64_t revision = 0;  // of the store; all changes up to it are in here
  std::shared_ptr<const configuration> config;      // null: none yet
  std::map<std::string, known_instance> instances;  // by id
  std::map<std::string, std::vector<const known_instance*>, std::less<>>
      by_service;                                // points into `instances`
  std::set<std::string, std::less<>> evacuated;  // failure domains

  // The newest instance at that host and port; null if there is none.
  const known_instance* FindAt(const host_address& host,
                               std::uint16_t port) const;
};

// ---------------------------------------------------------------------------
// 5. Topology
// ---------------------------------------------------------------------------

// Failure domains by name, each with its region.
using region_map = std::map<std::string, std::string, std::less<>>;

// "" if the domain is not known.
std::string_view RegionOf(const region_map& regions, std::string_view domain);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_MODEL_MODEL_H_
