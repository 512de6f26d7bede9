// parsleyyard: every decision about a call, without sockets, clocks or random
// sources of its own.
//
// Index
//   1. Plan          route, service and limits of a request, from its head
//   2. Call sender   the side that accepts a caller's request and places it
//   3. Call target   the side beside the instance that admits and runs it
//
// How to use it: implement the interfaces (call_link, upstream_port, ...), make
// one call_sender and one call_target, and hand them every event. None of the
// classes is thread-safe; the owner serialises calls into each. No function
// blocks. The same events in the same order, with the same clock and random
// draws, give the same decisions.

#ifndef PARSLEYYARD_CALLS_CALLS_H_
#define PARSLEYYARD_CALLS_CALLS_H_

#include "model/model.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyyard {

// ---------------------------------------------------------------------------
// 1. Plan
// ---------------------------------------------------------------------------

// What a caller asked for, after its head has been decided on.
struct call_plan {
  std::string service;
  std::string route;
  std::vector<std::string> home_regions;  // empty: any
  std::uint32_t priority = 0;             // 0 goes first
  bool never_repeat = true;
  std::uint32_t max_attempts = 1;  // instances that it may reach
  duration deadline{};             // time left to answer
  duration objective{};            // time left to answer well
};

// Facts of a request head that the decision needs.
struct request_facts {
  std::string virtual_host;
  std::string path;     // without query
  duration deadline{};  // caller's; zero: the route's timeout
};

// Either a plan or the reason for a refusal.
struct head_decision {
  refusal_reason refusal = refusal_reason::kNone;
  call_plan plan;
};

// Deals the requests of a route to its services in proportion to the weights,
// whatever room they have: what does not fit is refused, not moved.
class route_splitter {
 public:
  explicit route_splitter(random_source& random) : random_(random) {}
  const std::string& PickService(const route& from);

 private:
  struct split_state {
    std::vector<weighted_service> targets;
    std::vector<std::int64_t> credit;  // one for each target
  };

  random_source& random_;
  std::map<std::string, split_state, std::less<>> states_;  // by route
};

// Decides on a request head alone, before any of the body is read.
head_decision DecideHead(const snapshot& view,
                         const request_facts& facts,
                         route_splitter& splitter);

// The snapshot that decisions are made by.
class view_source {
 public:
  virtual ~view_source() = default;
  virtual std::shared_ptr<const snapshot> Current() const = 0;  // never null
  // When the store last confirmed the snapshot, on this daemon's clock.
  virtual instant ConfirmedAt() const = 0;
};

// ---------------------------------------------------------------------------
// 2. Call sender
// ---------------------------------------------------------------------------

// One step in the life of a call, for logs.
struct call_event_line {
  std::string_view event;  // such as "sent" or "refused by target"
  std::string request;     // the caller's id
  std::string instance;    // instance or host
  refusal_reason reason = refusal_reason::kNone;
  std::uint32_t attempts = 0;
  std::uint32_t waiting = 0;  // calls before it, where that decided
  duration estimate{};        // expected wait, where that decided
  duration left{};            // to the deadline
};

class call_listener {
 public:
  virtual ~call_listener() = default;
  virtual void OnCallEvent(const call_event_line& line) = 0;
};

// Result of a call as its caller sees it.
struct call_result {
  call_outcome outcome = call_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  std::uint16_t status = 0;
  std::vector<call_header> headers;
  std::string body;
  std::uint32_t attempts = 0;
  std::string instance;    // that answered, or was tried last
  duration retry_after{};  // when to try again, if the call has not run
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

// How many requests a service may be sent again by all daemons together.
struct retry_limits {
  double ratio = 0.2;             // of the requests for it
  double slack = 60;              // besides, in one window
  duration window = seconds(10);  // sliding
};

struct sender_options {
  host_address address;           // this daemon
  std::string failure_domain;     // of this host
  std::string region;             // of this host
  region_map regions;             // of all failure domains
  std::uint64_t incarnation = 1;  // part of each call id
  retry_limits retries;
  duration reconnect_delay = milliseconds(50);
  bool attach = true;  // false: plain resend, for comparison
};

class sender_internals;

// Places calls, retries what is proved not run, and attaches to calls whose
// link was lost. Call Tick() every 10 to 20 ms.
class call_sender {
 public:
  call_sender(sender_options options,
              const clock_source& clock,
              random_source& random,
              const view_source& view,
              call_link& link,
              call_sink& sink,
              call_listener& listener);
  ~call_sender();

  // Begins a call under a handle of the owner's, never used before; OnResult()
  // gets it, perhaps before Begin() returns. `message` carries method, target,
  // headers, body and request id; the rest is filled in.
  void Begin(std::uint64_t call, const call_plan& plan, call_request message);
  void Cancel(
      std::uint64_t call);  // the caller went away; OnResult() is not called

  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  void OnLinkDown(const host_address& peer);
  void OnAnswer(const host_address& from, call_answer message);
  void SetRetryLimits(const retry_limits& limits);
  std::size_t in_flight() const;

 private:
  std::unique_ptr<sender_internals> internals_;
};

// ---------------------------------------------------------------------------
// 3. Call target
// ---------------------------------------------------------------------------

// How a try at the instance ended.
struct upstream_result {
  bool sent = false;            // any byte may have reached the instance
  bool complete = false;        // a whole answer to this very request arrived
  bool not_run = false;         // the instance says that it has not run it
  bool other_instance = false;  // another instance has the address
  bool cancelled = false;       // broken off by this daemon
  bool timed_out = false;       // no answer within the time left
  std::uint16_t status = 0;
  std::vector<call_header> headers;
  std::string body;
};

// What the instance says of itself outside of calls.
struct upstream_report {
  bool reachable = false;
  bool healthy = false;
  std::string instance;  // empty: not told
  duration cold_left{};
};

// Runs calls at the instance. Each Run() ends in one OnUpstreamDone().
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  virtual void Run(const call_id& id,
                   std::shared_ptr<const call_request> message,
                   duration time_left) = 0;
  virtual void Cancel(const call_id& id) = 0;
  // Asks for the health; ends in one OnUpstreamReport().
  virtual void Probe() = 0;
};

// Sends answers back.
class answer_link {
 public:
  virtual ~answer_link() = default;
  virtual void SendAnswer(const host_address& to,
                          std::shared_ptr<const call_answer> message) = 0;
};

// What a cold instance may get in any second, from the rate that the
// configuration states for its service.
struct cold_limits {
  double factor = 1;  // times the stated rate
  double slack = 0;   // besides, in any second
};

struct target_options {
  host_address address;                   // this daemon
  std::string failure_domain;             // of this host
  std::string service;                    // that the instance runs
  std::uint16_t instance_port = 0;        // of the instance on this host
  std::uint64_t incarnation = 1;          // the only one it accepts calls for
  cold_limits cold;                       // bound on a cold instance
  unsigned max_waiting_calls = 256;       // calls that wait
  unsigned max_tracked_attempts = 65536;  // call ids remembered
  std::uint64_t max_kept_answer_bytes = 16u << 20;  // answers kept for attach
  duration id_retention = seconds(5);  // ids are kept this long past the
                                       // deadline
  bool limit_admission = true;         // false: admit all, for comparison
};

class target_internals;

// The only place that admits work for the instance of this host.
class call_target {
 public:
  call_target(target_options options,
              const clock_source& clock,
              const view_source& view,
              upstream_port& upstream,
              answer_link& link,
              call_listener& listener);
  ~call_target();

  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamReport(const upstream_report& report);
  void BeginDrain();      // say in each load report that the daemon leaves
  void RefuseNewCalls();  // refuse new work, finish the rest
  void SetColdLimits(const cold_limits& limits);
  bool idle() const;  // nothing runs or waits
  load_report Load() const;

 private:
  std::unique_ptr<target_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALLS_H_
