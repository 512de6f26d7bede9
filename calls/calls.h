// parsleyyard: every decision about a call. Time, random numbers and network
// I/O are injected through interfaces.
//
// Index
//   1. Plan          service, route and limits of a request, from its head
//   2. Call sender   places calls from the entry daemon and retries them
//   3. Call target   admits calls beside the instance and runs them
//
// How to use it: implement the interfaces (call_link, upstream_port, ...),
// create one call_sender and one call_target, and pass every event to them.
// None of the classes is thread-safe; the owner must serialise the calls into
// each. No function blocks. The same events in the same order, with the same
// clock and random numbers, give the same decisions.

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

// How a call is to be handled. It is made once, from the configuration at the
// arrival of the request; later decisions about instances use the newest
// snapshot.
struct call_plan {
  std::string service;
  std::string route;
  std::string workspace;                  // empty: the request needs no key
  std::vector<std::string> home_regions;  // allowed regions; empty: all
  std::uint32_t priority = 0;             // 0: most urgent
  bool never_repeat = true;               // must run at most once
  std::uint32_t max_attempts = 1;  // instances that the request may reach
  duration deadline{};             // time left until the deadline
  duration objective{};            // time left until the latency objective
};

// Fields of a request head that DecideHead() reads.
struct request_facts {
  std::string virtual_host;
  std::string path;     // without a query
  duration deadline{};  // time that the caller allows; zero: no limit stated
  duration waited{};    // time since the request arrived
};

// Either a plan, or the reason for which the request is refused.
struct head_decision {
  refusal_reason refusal = refusal_reason::kNone;  // kNone: `plan` is set
  call_plan plan;
};

// Distributes the requests of a route over its services in proportion to their
// weights. The load of a service does not matter: requests beyond its capacity
// are refused and not moved to another service.
class route_splitter {
 public:
  explicit route_splitter(random_source& random) : random_(random) {}
  // Returns the service for the next request of the route.
  const std::string& PickService(const route& from);

 private:
  struct split_state {
    std::vector<weighted_service> targets;
    std::vector<std::int64_t> credit;  // one per target
  };

  random_source& random_;
  std::map<std::string, split_state, std::less<>> states_;  // by route name
};

// Returns why the daemon may not know the configuration in force: kStarting if
// it has none, kStaleView if the store last confirmed the view too long ago,
// `view_age`. kNone if it knows. Only then may a request be refused for good.
refusal_reason FindDoubt(const snapshot& view, duration view_age);

// A size limit that a request exceeds.
struct exceeded_limit {
  std::size_t caller_limits::*configured = nullptr;  // the configuration's
  std::size_t applied = 0;  // the limit that was applied to the request
};

// Returns kNone if the configuration in force refuses a request over the limit
// for good. Otherwise the reason for which the caller may try again: kOverBound
// if the configuration allows more than the limit that was applied.
refusal_reason CheckLimit(const snapshot& view,
                          duration view_age,
                          const exceeded_limit& exceeded);

// Returns the reason for which a request is refused by its head, or kNone.
// kNoRoute is for good; the other reasons tell the caller to try again.
refusal_reason CheckHead(const snapshot& view,
                         duration view_age,
                         const request_facts& facts);

// Plans or refuses a request by its head, before any of the body is read. The
// deadline is the shorter of the route's timeout and the caller's deadline. All
// times count from the arrival of the request.
head_decision DecideHead(const snapshot& view,
                         duration view_age,
                         const request_facts& facts,
                         route_splitter& splitter);

// Returns true if the route of the request is known and idempotent.
bool IsIdempotent(const snapshot& view, const request_facts& facts);

// Provides the current snapshot.
class view_source {
 public:
  virtual ~view_source() = default;
  virtual std::shared_ptr<const snapshot> Current() const = 0;  // never null
  // Time at which the store last confirmed the snapshot, on this daemon's
  // clock.
  virtual instant ConfirmedAt() const = 0;
};

// ---------------------------------------------------------------------------
// 2. Call sender
// ---------------------------------------------------------------------------

// One event of a call, for the log.
struct call_event_line {
  std::string_view event;  // such as "sent" or "refused by target"
  std::string request;     // the caller's id of the request
  std::string instance;    // id of the chosen instance
  refusal_reason reason = refusal_reason::kNone;
  std::uint32_t attempts = 0;
  std::uint32_t waiting = 0;  // calls in the target's queue; 0 at the sender
  duration estimate{};        // expected wait in the queue; zero: not estimated
  // Time left until the deadline; at the target, the time left when the call
  // was sent.
  duration left{};
};

// Receives the events of calls.
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
  std::string instance;    // instance of the last attempt
  duration retry_after{};  // delay before a refused caller may retry
};

// Links to other daemons. A message that was passed to SendCall() may have been
// sent, even if the link is lost at once. Any other message has not been sent.
class call_link {
 public:
  virtual ~call_link() = default;
  // Returns the incarnation of the peer, or nothing if the link is not up.
  virtual std::optional<std::uint64_t> PeerIncarnation(
      const host_address& to) = 0;
  // Opens a link. Reports to OnLinkUp() or OnLinkDown(), but never before
  // Open() has returned.
  virtual void Open(const host_address& to) = 0;
  virtual void SendCall(const host_address& to,
                        std::shared_ptr<const call_request> message) = 0;
  virtual void SendAttach(const host_address& to,
                          const call_attach& message) = 0;
  virtual void SendCancel(const host_address& to,
                          const call_cancel& message) = 0;
};

// Receives the result of each call exactly once, unless the call is cancelled.
class call_sink {
 public:
  virtual ~call_sink() = default;
  virtual void OnResult(std::uint64_t call, call_result result) = 0;
};

// The platform's limit on the retries to one service from all daemons together:
// in each sliding window, `ratio` of the requests and `slack` more.
struct retry_limits {
  double ratio = 0.2;             // retries per request
  double slack = 60;              // additional retries per window
  duration window = seconds(10);  // length of the sliding window
};

struct sender_options {
  host_address address;           // address of this daemon
  std::string failure_domain;     // failure domain of this host
  std::string region;             // region of this host
  region_map regions;             // region of each failure domain
  std::uint64_t incarnation = 1;  // origin in the id of each attempt
  retry_limits retries;
  duration reconnect_delay = milliseconds(50);  // retry interval of a lost link
  bool attach = true;  // false: resend after a lost link without attaching;
                       // unsafe, for tests that compare both
};

class sender_internals;

// Places calls at instances and retries them. A never-repeat call is retried
// only if the last attempt is proved not to have run. If the link is lost, the
// sender attaches to the attempt over a new link to learn its outcome. If an
// attempt of an idempotent call is slow or its link is lost, another one runs
// beside it, and the first response is the result: no attempt is given up for
// one that may be refused. Call Tick() every 10 to 20 ms.
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

  // Begins a call. `call` is a handle that the owner chooses and never reuses;
  // it is passed to OnResult(), possibly before Begin() returns. The owner sets
  // method, target, headers, body and request_id of `message`; the sender sets
  // all other fields.
  void Begin(std::uint64_t call, const call_plan& plan, call_request message);
  // Ends a call whose caller has disconnected. OnResult() is not called.
  void Cancel(std::uint64_t call);
  // The daemon stops at `end`: each call has its result by then. Attempts that
  // could not end by then any more are recalled, so that calls that have not
  // run end as such while their callers still listen.
  void EndBy(instant end);

  // Applies deadlines and timeouts, and reconnects lost links.
  void Tick();
  void OnLinkUp(const host_address& peer, std::uint64_t incarnation);
  // The peer takes no further calls. Those that were sent go on.
  void OnPeerStops(const host_address& peer);
  void OnLinkDown(const host_address& peer);
  // The call was not sent, since it is over a limit of the messages between
  // daemons. It ends at once.
  void OnUndelivered(const host_address& to, const call_id& id);
  void OnAnswer(const host_address& from, call_answer message);
  void OnLoadUpdate(const host_address& from, const load_update& message);
  void SetRetryLimits(const retry_limits& limits);
  // Returns the number of calls that have no result yet.
  std::size_t in_flight() const;

 private:
  std::unique_ptr<sender_internals> internals_;
};

// ---------------------------------------------------------------------------
// 3. Call target
// ---------------------------------------------------------------------------

// Result of one attempt at the instance.
struct upstream_result {
  bool sent = false;            // some bytes may have reached the instance
  bool complete = false;        // the whole response to this request arrived
  bool not_run = false;         // the instance reports that it did not run it
  bool wrong_instance = false;  // another instance uses the address
  bool cancelled = false;       // aborted by this daemon
  bool timed_out = false;       // no response within the time left
  std::uint16_t status = 0;
  std::vector<call_header> headers;
  std::string body;
  std::optional<instance_load> load;  // empty: not stated or malformed
};

// Result of a health check of the instance.
struct upstream_report {
  bool reachable = false;  // a whole response arrived
  bool healthy = false;
  std::string instance;  // id of the instance; empty: not stated
  // Rest of the warm-up; zero: warm; empty: not stated.
  std::optional<duration> cold_left;
  std::optional<instance_load> load;  // empty: not stated or malformed
};

// Runs calls at the instance. Each Run() leads to one OnUpstreamDone().
class upstream_port {
 public:
  virtual ~upstream_port() = default;
  virtual void Run(const call_id& id,
                   std::shared_ptr<const call_request> message,
                   duration time_left) = 0;
  virtual void Cancel(const call_id& id) = 0;
  // Starts a health check, which leads to one OnUpstreamReport().
  virtual void Probe() = 0;
};

// Sends answers to the daemons that sent the calls.
class answer_link {
 public:
  virtual ~answer_link() = default;
  virtual void SendAnswer(const host_address& to,
                          std::shared_ptr<const call_answer> message) = 0;
};

// Bound on the requests to a cold instance in any second: the cold rate of its
// service times `factor`, plus `slack`.
struct cold_limits {
  double factor = 1;
  double slack = 0;  // requests
};

// A change of the limit on the requests to the instance of this host, for the
// log.
struct cold_limit_line {
  // The instance counts as cold from now on, or may be.
  bool cold = false;
  std::string_view source;         // latest source of the warm-up
  std::optional<double> max_rate;  // requests a second; empty: no limit
  std::optional<duration> left;    // rest of the warm-up; empty: not known
};

// A request that is about to be written to a cold instance, for the log.
struct cold_request_line {
  std::string request;     // the caller's id of the request
  std::string instance;    // id of the instance
  duration since_start{};  // time since the call was started
};

// Begin or end of the ramp-up of the instance of this host, for the log.
struct ramp_up_line {
  bool begins = false;
  std::string_view cause;   // why the instance has to prove itself
  std::uint32_t limit = 0;  // limit of concurrent calls from now on
  std::uint32_t slots = 0;
  duration took{};  // time since the begin
};

// Speed and ramp-up of the instance of this host, for metrics.
struct instance_pace {
  bool speed_stated = false;   // the responses state the speed
  bool speed_trusted = false;  // the service times do not contradict it
  double work_time = 1;        // time that work takes, relative to the usual
  bool ramping_up = false;
  std::uint32_t limit = 0;  // limit of concurrent calls
  std::uint64_t ramp_ups = 0;
  std::uint64_t raises = 0;  // of the limit
  std::uint64_t cuts = 0;    // of the limit
};

// Receives the events of calls and of the instance of this host.
class target_listener : public call_listener {
 public:
  virtual void OnColdLimit(const cold_limit_line& line) = 0;
  virtual void OnColdRequest(const cold_request_line& line) = 0;
  virtual void OnRampUp(const ramp_up_line& line) = 0;
};

struct target_options {
  host_address address;                   // address of this daemon
  std::string failure_domain;             // failure domain of this host
  std::string service;                    // service of the instance
  std::uint16_t instance_port = 0;        // port of the instance on this host
  std::uint64_t incarnation = 1;          // calls for another one are refused
  cold_limits cold;                       // bound while the instance is cold
  unsigned max_waiting_calls = 256;       // length of the queue
  unsigned max_tracked_attempts = 65536;  // size of the call table
  std::uint64_t max_kept_answer_bytes = 16u << 20;  // bodies kept for attach
  duration id_retention = seconds(5);  // time after the deadline for which the
                                       // id of an attempt is kept
  bool limit_admission = true;  // false: admit every call, for comparison
  // false: an instance that has started or recovered gets calls for all slots
  bool ramp_up = true;
};

class target_internals;

// Admits the calls for the instance of this host, runs each attempt at most
// once and keeps its answer for a sender that lost its link. No other part of
// the daemon sends calls to the instance. Call Tick() every 10 to 20 ms.
class call_target {
 public:
  call_target(target_options options,
              const clock_source& clock,
              const view_source& view,
              upstream_port& upstream,
              answer_link& link,
              target_listener& listener);
  ~call_target();

  // Starts waiting calls, updates the state of the instance from the view,
  // probes an instance that is down, and removes expired ids of attempts.
  void Tick();
  void OnCall(const host_address& from,
              std::shared_ptr<const call_request> message);
  void OnAttach(const host_address& from, const call_attach& message);
  void OnCancel(const call_cancel& message);
  // Call this when the request of a started call is about to be written to the
  // instance, which can be long after its start. Write it only if this returns
  // true; otherwise end the call with `sent` unset.
  bool OnUpstreamWrite(const call_id& id);
  void OnUpstreamDone(const call_id& id, upstream_result result);
  void OnUpstreamReport(const upstream_report& report);
  // Advertises in each load report that the daemon drains. New calls are still
  // admitted.
  void BeginDrain();
  // Refuses new calls from now on. Admitted calls are finished.
  void RefuseNewCalls();
  // The daemon stops at `end`. Calls that are not expected to end by then are
  // refused, also those that wait, so that their senders can place them
  // elsewhere. Calls whose request was written go on.
  void EndBy(instant end);
  void SetColdLimits(const cold_limits& limits);
  // Returns true if no call runs or waits.
  bool idle() const;
  // Returns the load of the instance for a load report to other daemons.
  load_report Load() const;
  instance_pace Pace() const;

 private:
  std::unique_ptr<target_internals> internals_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALLS_H_
