// parsleyyard: every decision of the daemon, without sockets, clocks or random
// sources of its own.
//
// Index
//   1. Basics           time, randomness, host addresses
//   2. Documents        what the platform publishes, parsed and validated
//   3. Snapshots        the configuration that calls are served by
//   4. Control plane    reads, spreads and adopts documents
//   5. Admission lease  whether this daemon may accept new work now
//   6. Call sender      the side that accepts a caller's call and routes it
//   7. Call target      the side beside the upstream that admits and runs it
//
// How to use it: implement the interfaces (control_link, call_link, ...), make
// one control_plane, call_sender and call_target, and hand them every event.
// None of the classes is thread-safe; the owner serialises calls into each.
// No function blocks. The same events in the same order, with the same clock
// and random draws, give the same decisions.

#ifndef PARSLEYYARD_DECIDE_DECIDE_H_
#define PARSLEYYARD_DECIDE_DECIDE_H_

#include "decide/messages_generated.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <chrono>
#include <cstdint>
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

// Monotonic time since an arbitrary origin of the process.
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
  std::uint64_t Below(std::uint64_t bound) {
    return bound ? Next() % bound : 0;
  }

  // Uniform in [base, base + base * percent / 100].
  duration Jitter(duration base, unsigned percent = 50) {
    return base + duration(Below(base.count() * percent / 100 + 1));
  }
};

// ---------------------------------------------------------------------------
// 2. Documents
// ---------------------------------------------------------------------------

// Error of this layer. `place` is a path such as "routes[3].service".
struct document_error {
  std::string place;    // where in the document
  std::string message;  // what is wrong and what is allowed
};

// One instance of a service.
struct instance {
  std::string id;              // unique in the manifest
  host_address host;           // its host; the daemon there is the way to it
  std::string failure_domain;  // where that host stands
};

// A service and how much each of its instances bears.
struct service {
  std::string name;
  std::uint32_t slots = 1;         // calls that one instance runs at once
  std::uint32_t connections = 16;  // connections that one instance accepts
  duration warm_up{};              // from a cold start to full load
  std::vector<instance> instances;
};

// Whether a call may run more than once.
enum class repeat_rule : std::uint8_t {
  kByMethod,    // GET and HEAD may, all else may not
  kIdempotent,  // may
  kNever,       // may not
};

// Maps a path prefix to a service.
struct route {
  std::string name;
  std::string prefix;  // longest match wins; ends in '/'
  std::string service;
  call_class priority = call_class::kBrowse;
  repeat_rule repeat = repeat_rule::kByMethod;
  duration deadline = seconds(2);
  std::vector<std::string> home_regions;  // empty: any region
};

// A customer, with the regions that its calls are bound to.
struct workspace {
  std::string name;
  std::vector<std::string> home_regions;  // empty: any region
};

// A region and its failure domains.
struct region {
  std::string name;
  std::vector<std::string> failure_domains;
};

// One parsed part of a manifest. The manifest is the union of its parts.
struct manifest_part {
  std::vector<region> regions;
  std::vector<service> services;
  std::vector<route> routes;
  std::vector<workspace> workspaces;
};

// A validated manifest. Immutable; lookups point into it.
class manifest {
 public:
  using part_list = std::vector<std::shared_ptr<const manifest_part>>;

  // Joins parts and checks the closure: names are unique, each route has its
  // service, each home region exists, each instance's domain is in a region.
  static leaf::result<std::shared_ptr<const manifest>> Link(
      std::uint64_t version,
      part_list parts);

  std::uint64_t version() const { return version_; }
  const route* FindRoute(std::string_view path) const;  // path without query
  const service* FindService(std::string_view name) const;
  const workspace* FindWorkspace(std::string_view name) const;
  std::string_view RegionOf(
      std::string_view failure_domain) const;  // "" if unknown
  const instance* FindInstanceAt(const host_address& host,
                                 std::string_view service_name) const;
  const service* FindServiceAt(
      const host_address& host) const;  // the one an upstream host runs
  std::size_t service_count() const { return services_.size(); }
  std::size_t instance_count() const { return by_host_.size(); }

 private:
  std::uint64_t version_ = 0;
  part_list parts_;
  std::unordered_map<std::string_view, const route*> routes_;
  std::unordered_map<std::string_view, const service*> services_;
  std::unordered_map<std::string_view, const workspace*> workspaces_;
  std::unordered_map<std::string_view, std::string_view> region_of_;
  std::unordered_map<std::string_view, const service*> by_host_;
};

// One host as the platform lists it.
struct host_entry {
  host_address address;
  std::string failure_domain;
  std::string region;
  bool leaving = false;
};

// The platform's list of hosts. It may lag.
struct host_list {
  std::uint64_t revision = 0;
  std::vector<host_entry> hosts;
};

// What the monitoring group declared out.
struct declarations {
  std::uint64_t revision = 0;
  std::set<std::string, std::less<>> failure_domains;
  std::set<host_address, std::less<>> hosts;

  bool IsOut(const host_address& host, std::string_view failure_domain) const;
};

// Parses one part. Unknown keys, wrong types and values out of range are
// errors.
leaf::result<std::shared_ptr<const manifest_part>> ParseManifestPart(
    std::string_view json);
leaf::result<std::vector<host_entry>> ParseHostsPart(std::string_view json);
leaf::result<declarations> ParseDeclarationsPart(std::string_view json);

// Heads of all documents, as the platform answers them in one read.
struct source_heads {
  std::uint64_t index = 0;  // grows with each change of any document
  std::vector<document_head> heads;
};
leaf::result<source_heads> ParseSourceHeads(std::string_view json);

// XXH3-128 of a part's content, 32 lower-case hex digits.
std::string ContentHash(std::string_view content);

// Packs a part for a peer; with `base`, as a delta to that content.
part_payload PackPart(std::string_view content, const std::string* base);

// Inverse of PackPart. Empty if damaged, oversized or of another hash.
std::optional<std::string> UnpackPart(const part_payload& payload,
                                      const std::string* base);

// ---------------------------------------------------------------------------
// 3. Snapshots
// ---------------------------------------------------------------------------

// One consistent view. Immutable; a call keeps the one it began with.
struct snapshot {
  std::shared_ptr<const manifest> manifest_in_force;  // never null once serving
  std::shared_ptr<const host_list> hosts;
  std::shared_ptr<const declarations> out;

  bool IsLeaving(const host_address& host) const {
    return leaving.contains(host);
  }
  std::set<host_address, std::less<>>
      leaving;  // hosts that are on the list as leaving
};

// ---------------------------------------------------------------------------
// 4. Control plane
// ---------------------------------------------------------------------------

// Sends control messages to peers. Loss is allowed.
class control_link {
 public:
  virtual ~control_link() = default;
  virtual void SendDigest(const host_address& to, const digest& message) = 0;
  virtual void SendUpdate(const host_address& to,
                          std::shared_ptr<const document_update> message) = 0;
  virtual void SendRequest(const host_address& to,
                           const document_request& message) = 0;
};

// Reads the platform. Each call ends in one On...() call of the control plane.
class config_source {
 public:
  virtual ~config_source() = default;
  virtual void ReadHeads(std::uint64_t after_index, duration wait) = 0;
  virtual void ReadPart(document_kind kind, const part_ref& part) = 0;
};

// Until when new work may be admitted, and why not after that.
struct admission_lease {
  instant until{};                                       // exclusive
  refusal_reason otherwise = refusal_reason::kStarting;  // reason from then on
};

// Hears what the control plane decides.
class control_listener {
 public:
  virtual ~control_listener() = default;
  virtual void OnSnapshot(std::shared_ptr<const snapshot> view) = 0;
  virtual void OnLease(const admission_lease& lease) = 0;
  virtual void OnDecision(std::string_view line) = 0;  // for logs and `explain`
};

// Parsed documents by content. Several control planes of one process may share
// one.
class document_cache;
std::shared_ptr<document_cache> MakeDocumentCache();

struct control_options {
  host_address address;           // this daemon
  std::string failure_domain;     // of this host
  std::string region;             // of this host
  std::string source_region;      // region of the platform's service
  std::uint64_t incarnation = 1;  // drawn anew at each start
  std::vector<host_address>
      seeds;                   // asked first, before the host list is known
  unsigned readers = 2;        // daemons that watch the platform
  unsigned fan_out = 4;        // children in the tree
  unsigned startup_peers = 2;  // peers to hear before serving
  unsigned expected_hosts =
      35000;                    // paces reads while the host list is unknown
  unsigned read_rate = 400;     // reads a second of a fleet without a reader
  duration watch = seconds(1);  // longest wait of one watch
  duration digest_interval = milliseconds(500);
  duration startup_timeout = seconds(8);
  duration pause_threshold = seconds(1);
  duration isolation_lease = seconds(3);
  bool deltas = true;                     // false: whole parts, for comparison
  bool push = true;                       // false: digests only, for comparison
  std::shared_ptr<document_cache> cache;  // empty: one of its own
};

// Where a document stands, for `status`.
struct document_status {
  std::uint64_t revision = 0;  // in force
  std::uint64_t rejected = 0;  // newest rejected revision; 0 for none
  std::string rejected_because;
};

struct control_status {
  std::array<document_status, kDocumentKindNames.size()> documents;
  bool ready = false;
  bool reading = false;  // this daemon watches the platform
  duration source_age{};
  duration outside_age{};
  std::uint64_t required_manifest =
      0;  // version this daemon is known to have held
  std::uint64_t peers_heard = 0;
};

class control_internals;

// Reads, spreads and adopts documents; grants the admission lease.
// Call Tick() every 100 ms or so, and the On...() functions for each event.
class control_plane {
 public:
  control_plane(control_options options,
                const clock_source& clock,
                random_source& random,
                control_link& link,
                config_source& source,
                control_listener& listener);
  ~control_plane();

  void Tick();
  void BeginDrain();  // announces the stop in all further digests

  void OnDigest(const digest& message);
  void OnUpdate(const host_address& from, const document_update& message);
  void OnRequest(const host_address& from, const document_request& message);
  void OnUndelivered(const host_address& to,
                     std::shared_ptr<const document_update> message);
  void OnHeads(const source_heads& heads);
  void OnPart(document_kind kind, const part_ref& part, std::string content);
  void OnSourceError();

  control_status Status() const;
  std::shared_ptr<const snapshot> Current() const;

 private:
  std::unique_ptr<control_internals> internals_;
};

// ---------------------------------------------------------------------------
// 5. Admission lease
// ---------------------------------------------------------------------------

// What both sides of a call ask before any step that starts work.
class admission_view {
 public:
  virtual ~admission_view() = default;
  virtual std::shared_ptr<const snapshot> Current() const = 0;
  virtual refusal_reason MayAdmit(instant now) const = 0;  // kNone: yes
};

// ---------------------------------------------------------------------------
// 6. Call sender
// ---------------------------------------------------------------------------

// What a caller asked for, after its head has been decided on.
struct call_plan {
  std::string service;
  std::string route;
  std::string workspace;
  std::vector<std::string> home_regions;  // empty: any
  call_class priority = call_class::kBrowse;
  bool never_repeat = true;
  std::uint32_t depth = 0;
  duration deadline{};  // time left
};

// Facts of a request head that the decision needs.
struct request_facts {
  std::string method;
  std::string path;       // without query
  std::string workspace;  // empty: none
  std::uint32_t depth = 0;
  duration deadline{};  // caller's; zero: the route's
};

// Either a plan or the reason for a refusal.
struct head_verdict {
  refusal_reason refusal = refusal_reason::kNone;
  std::vector<host_address>
      home_hosts;  // where a refused restricted call may go
  call_plan plan;
};

// Decides on a request head alone, before any of the body is read.
head_verdict DecideHead(const snapshot& view,
                        const request_facts& facts,
                        std::string_view own_region,
                        std::uint32_t max_depth);

// How strictly calls stay near. The paper "Flexible Data-Aware Scheduling for
// Workflows over an In-Memory Object Store" calls these soft and hard
// placement.
enum class locality_mode : std::uint8_t { kSoft, kHard, kNone };

// Result of a call as its caller sees it.
struct call_result {
  call_outcome outcome = call_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  std::uint16_t status = 0;
  std::vector<call_header> headers;
  std::string body;
  std::uint32_t tries = 0;
};

// Streams between daemons. A call message handed over while a link is up may
// have been sent; one that was never handed over has not been.
class call_link {
 public:
  virtual ~call_link() = default;
  virtual std::optional<std::uint64_t> PeerIncarnation(
      const host_address& to) = 0;  // empty: not up
  virtual void Open(
      const host_address& to) = 0;  // ends later in OnLinkUp or OnLinkDown,
                                    // never before it returns
  virtual void SendCall(const host_address& to,
                        std::shared_ptr<const call_request> message) = 0;
  virtual void SendAttach(const host_address& to,
                          const call_attach& message) = 0;
  virtual void SendCancel(const host_address& to,
                          const call_cancel& message) = 0;
};

// Receives the end of each call, exactly once.
class call_sink {
 public:
  virtual ~call_sink() = default;
  virtual void OnResult(std::uint64_t call, call_result result) = 0;
};

struct sender_options {
  host_address address;           // this daemon
  std::string failure_domain;     // of this host
  std::string region;             // of this host
  std::uint64_t incarnation = 1;  // part of each call id
  locality_mode locality = locality_mode::kSoft;
  unsigned subset = 24;         // instances of a service sent to
  unsigned retry_percent = 20;  // of recent calls
  unsigned spill_percent = 80;  // utilisation that lets calls leave the tier
  duration load_validity = seconds(1);  // age at which a load report is ignored
  duration reconnect_delay = milliseconds(50);
  bool attach = true;  // false: plain resend, for comparison
};

class sender_internals;

// Routes calls, retries what is proved not run, and attaches to calls whose
// link was lost. Call Tick() every 10 ms or so.
class call_sender {
 public:
  call_sender(sender_options options,
              const clock_source& clock,
              random_source& random,
              const admission_view& admission,
              call_link& link,
              call_sink& sink);
  ~call_sender();

  // Begins a call under a handle of the owner's, never used before; OnResult()
  // gets it, perhaps before Begin() returns. `message` carries method, path,
  // headers and body; the rest is filled in.
  void Begin(std::uint64_t call, const call_plan& plan, call_request message);
  void Cancel(
      std::uint64_t call);  // the caller went away; OnResult() is not called

  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnLinkDown(const host_address& peer);
  void OnAnswer(const host_address& from, call_answer message);
  std::size_t in_flight() const;

 private:
  std::unique_ptr<sender_internals> internals_;
};

// ---------------------------------------------------------------------------
// 7. Call target
// ---------------------------------------------------------------------------

// How a try at the upstream ended.
struct upstream_result {
  bool sent = false;      // any byte may have reached the upstream
  bool complete = false;  // the whole answer arrived
  bool reset = false;     // the upstream closed the connection in mid-call
  bool shed = false;      // the upstream said that it did not run the call
  std::uint16_t status = 0;
  std::string
      instance_id;        // changes when the upstream restarts; empty: not told
  bool draining = false;  // the upstream's own drain signal
  std::vector<call_header> headers;
  std::string body;
};

// Runs calls at the upstream. Each Run() ends in one OnUpstreamDone().
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  virtual void Run(const call_id& id,
                   std::shared_ptr<const call_request> message,
                   duration time_left) = 0;
  virtual void Cancel(const call_id& id) = 0;
};

// Sends answers back.
class answer_link {
 public:
  virtual ~answer_link() = default;
  virtual void SendAnswer(const host_address& to,
                          std::shared_ptr<const call_answer> message) = 0;
};

struct target_options {
  host_address address;                     // this daemon
  std::string failure_domain;               // of this host
  std::string region;                       // of this host
  std::uint64_t incarnation = 1;            // the only one it accepts calls for
  unsigned queue = 64;                      // calls that wait
  unsigned table = 65536;                   // call ids remembered
  std::uint64_t kept_bytes = 32u << 20;     // answers kept for attach
  duration queue_wait = milliseconds(500);  // longest wait
  duration keep_margin =
      seconds(5);  // ids are kept this long past the deadline
  duration domain_ramp = seconds(3);  // ramp after a return to service
  bool limit = true;                  // false: admit all, for comparison
};

class target_internals;

// The only place that admits work for the upstream of this host.
class call_target {
 public:
  call_target(target_options options,
              const clock_source& clock,
              const admission_view& admission,
              upstream_port& upstream,
              answer_link& link);
  ~call_target();

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamProbe(
      const upstream_result& result);  // from the load endpoint
  void BeginDrain();                   // refuse new work, finish the rest
  bool idle() const;                   // nothing runs or waits
  load_report Load() const;
  std::string_view UpstreamState() const;

 private:
  std::unique_ptr<target_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_DECIDE_H_
