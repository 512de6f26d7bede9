// parsleyyard: fleet-wide quotas of workspaces. Messages are passed through
// quota_port; there is no other I/O, and all times are arguments.
//
// Index
//   1. Limits         the platform's rule for quotas, and what follows from it
//   2. Quota map      quotas, hosts and the owner of each workspace
//   3. Quota owner    grants the tokens of the workspaces that a host owns
//   4. Quota client   admits requests, each with one token
//
// Each workspace with a quota has one owner among the hosts of the view. The
// owner grants tokens out of a token bucket; a daemon needs one token for each
// request. Tokens expire soon after they were requested, so that at most
// rate x token_lifetime of them are carried into a window.
//
// How to use it: build a quota_map whenever the snapshot changes, and pass it
// with the time of its confirmation to the quota_owner and the quota_client of
// the daemon. Pass them each message, and call quota_client::Tick() every 10 to
// 20 ms. Neither is thread-safe, and no function blocks. docs/design/quotas.md
// states why the rule holds.

#ifndef PARSLEYYARD_WORKSPACES_QUOTA_H_
#define PARSLEYYARD_WORKSPACES_QUOTA_H_

#include "model/model.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyyard {

// ---------------------------------------------------------------------------
// 1. Limits
// ---------------------------------------------------------------------------

// The platform's rule: in any window, the requests of a workspace that are sent
// and run are at most (rate x window + burst) x (1 + over) + slack, from all
// daemons together.
struct quota_limits {
  duration window = seconds(5);
  double over = 0.25;
  double slack = 20;  // requests
};

// Quota of one workspace.
struct quota {
  double rate = 0;   // requests a second
  double burst = 0;  // requests
  bool operator==(const quota&) const = default;
};

// Time after its request for which a token is valid.
duration TokenLifetime(const quota_limits& limits);

// Requests of the workspace that all daemons together may admit in one window
// without tokens.
double FallbackTotal(const quota_limits& limits, const quota& of);

// ---------------------------------------------------------------------------
// 2. Quota map
// ---------------------------------------------------------------------------

// Quotas and hosts of one snapshot. Immutable. The owner of a workspace is the
// host with the greatest hash of both names (rendezvous hashing): a host that
// joins or leaves moves only its own workspaces.
class quota_map {
 public:
  // Duplicates among the hosts are removed. `previous`, if not null, is an
  // earlier map, from which owners that have not changed are taken.
  quota_map(std::vector<host_address> hosts,
            std::map<std::string, quota, std::less<>> quotas,
            const quota_map* previous = nullptr);

  const std::map<std::string, quota, std::less<>>& quotas() const {
    return quotas_;
  }
  std::size_t host_count() const { return hosts_.size(); }
  // Position among the hosts in the order of their addresses; empty if it is
  // not one of them.
  std::optional<std::size_t> PositionOf(const host_address& host) const;
  // Null if the workspace has no quota or there is no host.
  const host_address* OwnerOf(std::string_view workspace) const;
  // True if hosts and quotas are the same.
  bool operator==(const quota_map& other) const {
    return hosts_ == other.hosts_ && quotas_ == other.quotas_;
  }
  // Null if the workspace has no quota.
  const quota* FindQuota(std::string_view workspace) const;

 private:
  struct owner_choice {
    host_address host;
    std::uint64_t weight = 0;
  };
  owner_choice ChooseOwner(const std::string& workspace) const;

  std::vector<host_address> hosts_;  // sorted
  std::map<std::string, quota, std::less<>> quotas_;
  std::map<std::string, owner_choice, std::less<>> owners_;
};

// Returns the map of a snapshot: the workspaces with a rate above 0, and the
// hosts of its instances. Null if no workspace has a quota.
std::shared_ptr<const quota_map> BuildQuotaMap(const snapshot& view,
                                               const quota_map* previous);

// ---------------------------------------------------------------------------
// 3. Quota owner
// ---------------------------------------------------------------------------

// Workspaces whose quota this host has begun or ceased to own, for the log.
struct quota_ownership_change {
  std::vector<std::string> gained;
  std::vector<std::string> lost;
};

// Grants tokens of the workspaces that this host owns. Two hosts never grant
// tokens of the same workspace at the same time: each grants only while the
// store has confirmed its view lately, and a new owner waits until the view of
// the former one, if it lags, is too old for that.
class quota_owner {
 public:
  quota_owner(host_address self, random_source& random)
      : self_(std::move(self)), random_(random) {}

  // `map` (null: no quotas) reflects a state of the store that was confirmed at
  // `confirmed_at` or later. Call this often enough that no confirmation within
  // the last second is missed.
  quota_ownership_change SetView(std::shared_ptr<const quota_map> map,
                                 instant confirmed_at,
                                 instant now);
  quota_grant OnRequest(const quota_request& request, instant now);
  // Workspaces that this host owns.
  std::size_t owned() const { return buckets_.size(); }

 private:
  struct bucket {
    quota limit;
    instant owner_since{};
    double tokens = 0;  // at `filled_at`
    instant filled_at{};
    // Tokens that come in until then are expected to be taken by daemons that
    // were told to come back.
    instant promised_until{};
  };
  double CapacityOf(const bucket& of) const;
  void Fill(bucket& filled, instant now) const;
  void Restart(bucket& restarted, instant now) const;
  std::optional<duration> TimeUntilGrants(const bucket& of, instant now) const;
  duration PromiseTurn(bucket& of, instant now);

  host_address self_;
  random_source& random_;
  std::shared_ptr<const quota_map> map_;
  std::optional<instant> confirmed_at_;
  std::map<std::string, bucket, std::less<>> buckets_;  // by workspace
};

// ---------------------------------------------------------------------------
// 4. Quota client
// ---------------------------------------------------------------------------

// Sends requests for tokens.
class quota_port {
 public:
  virtual ~quota_port() = default;
  // Sends a request to `owner`, or returns the answer at once if the owner is
  // this host.
  virtual std::optional<quota_grant> Request(const host_address& owner,
                                             const quota_request& message) = 0;
};

enum class quota_verdict : std::uint8_t {
  kAdmitted,
  kWaiting,    // a quota_decision follows
  kOverQuota,  // refused: the quota is used up
  kUnknown,    // refused: the owner does not answer
};

enum class token_kind : std::uint8_t {
  kNone,  // the workspace has no quota
  kGranted,
  kFallback,
};

// What an admitted request holds. Return it if the request has not run.
struct quota_token {
  token_kind kind = token_kind::kNone;
  instant expires_at{};  // kGranted
  instant taken_at{};    // kFallback
};

// Decision on one request.
struct quota_decision {
  std::uint64_t request = 0;  // handle that the owner of the client chose
  quota_verdict verdict = quota_verdict::kAdmitted;
  quota_token token;       // kAdmitted
  duration retry_after{};  // kOverQuota and kUnknown
  std::string workspace;
  // The first refusal as over quota after a time without one.
  bool begins_to_bind = false;
};

struct quota_client_options {
  host_address address;  // of this host
  quota_limits limits;
  // Numbers of the requests begin here; must differ between restarts.
  std::uint64_t first_number = 1;
};

class quota_client {
 public:
  quota_client(quota_client_options options,
               random_source& random,
               quota_port& port)
      : options_(std::move(options)),
        random_(random),
        port_(port),
        last_number_(options_.first_number) {}

  void SetLimits(const quota_limits& limits) { options_.limits = limits; }
  // `map` may be null: no workspace has a quota.
  void SetView(std::shared_ptr<const quota_map> map, instant now);
  // Decides on a request. If the verdict is kWaiting, the final decision is
  // returned by OnGrant() or Tick(), at the latest once `max_wait` has passed.
  quota_decision Admit(std::uint64_t request,
                       const std::string& workspace,
                       duration max_wait,
                       instant now);
  // Returns the decisions on requests that waited for the grant.
  std::vector<quota_decision> OnGrant(const quota_grant& grant, instant now);
  // Forgets a waiting request whose caller has disconnected.
  void Cancel(std::uint64_t request, const std::string& workspace);
  // Takes back the token of a request that has not run.
  void Return(const std::string& workspace,
              const quota_token& token,
              instant now);
  // Ends waits, requests tokens ahead of the demand, and drops what is idle.
  std::vector<quota_decision> Tick(instant now);
  std::size_t waiting() const { return waiting_; }

 private:
  struct asked_tokens {
    instant sent_at{};
    std::uint32_t wanted = 0;
  };
  struct token_batch {
    instant expires_at{};
    std::uint32_t count = 0;
  };
  struct waiting_request {
    std::uint64_t handle = 0;
    instant end{};
  };
  struct pool {
    std::deque<token_batch> tokens;  // in the order of their expiry
    std::map<std::uint64_t, asked_tokens> asked;  // by number, not answered
    std::deque<waiting_request> waiting;
    std::deque<instant> fallback_used;       // within the last window
    instant refused_until = instant::min();  // by the owner, as used up
    double refused_here = 0;                 // requests since that answer
    instant last_refusal = instant::min();   // as over quota
    instant last_answer = instant::min();    // of the owner
    bool silent = false;                     // the owner does not grant
    duration probe_interval{};               // of a silent owner
    instant next_probe = instant::min();     // of a silent owner
    duration owner_starts_in{};              // as the owner stated it
    double demand = 0;                       // requests a second, at:
    instant last_arrival = instant::min();
  };
  struct host_count_change {
    instant at{};
    std::size_t before = 0;
  };

  static void AddDemand(pool& of, instant now);
  static void DropExpired(pool& of, instant now);
  static void CheckSilence(pool& of, instant now);
  static std::optional<quota_token> TakeToken(pool& of);
  std::uint64_t TargetTokens(const pool& of, instant now) const;
  void RequestTokens(const std::string& workspace,
                     pool& of,
                     std::uint64_t arriving,
                     instant now);
  void ApplyGrant(pool& of, const quota_grant& grant, instant now);
  static void AddTokens(pool& to, const token_batch& batch);
  // Empty: the request has to wait.
  std::optional<quota_decision> Decide(const std::string& workspace,
                                       pool& of,
                                       bool may_wait,
                                       instant now);
  void Resolve(const std::string& workspace,
               pool& of,
               instant now,
               std::vector<quota_decision>& decisions);
  quota_decision RefuseOverQuota(pool& of, const quota& limit, instant now);
  quota_decision DecideUnknown(const std::string& workspace,
                               pool& of,
                               const quota& limit,
                               instant now);
  std::size_t FallbackShare(const std::string& workspace,
                            const quota& limit,
                            instant now) const;
  std::size_t LargestHostCount(instant now) const;

  quota_client_options options_;
  random_source& random_;
  quota_port& port_;
  std::uint64_t last_number_;
  std::shared_ptr<const quota_map> map_;
  std::optional<instant> listed_since_;  // this host is one of the map's
  std::deque<host_count_change> host_counts_;
  std::map<std::string, pool, std::less<>> pools_;  // by workspace
  std::size_t waiting_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_WORKSPACES_QUOTA_H_
