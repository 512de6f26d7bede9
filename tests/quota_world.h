// A fleet of quota clients and owners on an injected clock, with a store that
// changes, message delay and loss, partitions, frozen and restarted daemons.

#ifndef PARSLEYYARD_TESTS_QUOTA_WORLD_H_
#define PARSLEYYARD_TESTS_QUOTA_WORLD_H_

#include "net/net.h"
#include "workspaces/quota.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace parsleyyard::testing {

struct quota_world_options {
  int hosts = 12;
  std::uint64_t seed = 1;
  duration delay = milliseconds(1);          // one way, within a region
  duration region_delay = milliseconds(12);  // one way, between the two regions
  unsigned lost_percent = 0;                 // of the messages
  duration max_view_delay = milliseconds(900);  // of a change of the store
  duration max_wait = milliseconds(80);         // of a request for its grant
};

struct quota_counts {
  std::uint64_t sent = 0;
  std::uint64_t over_quota = 0;
  std::uint64_t unknown = 0;
  std::uint64_t messages = 0;  // between hosts, both directions
};

class quota_world {
 public:
  explicit quota_world(quota_world_options options);
  ~quota_world();

  // Changes of the store.
  void SetQuota(const std::string& workspace, quota limit);
  void SetListed(int host, bool listed);
  // Faults.
  void SetCutFromStore(int host, bool cut);
  void SetCut(std::function<bool(int, int)> cut) { cut_ = std::move(cut); }
  void SetFrozen(int host, bool frozen);
  void Restart(int host);

  // Requests a second, sent at random times.
  void SetDemand(const std::string& workspace, int host, double rate);
  // Share of the admitted requests that are refused later, as not run.
  void SetReturned(unsigned percent) { returned_percent_ = percent; }
  void Run(duration length);

  instant now() const { return now_; }
  int OwnerOf(const std::string& workspace) const;
  const quota_counts& CountsOf(const std::string& workspace) {
    return counts_[workspace];
  }
  // When the requests that ran were sent.
  std::size_t RunBetween(const std::string& workspace,
                         instant from,
                         instant to) const;
  std::size_t LargestWindow(const std::string& workspace,
                            instant from = instant::min()) const;
  static double Bound(const quota& limit);
  // Workspaces of which two hosts granted tokens at the same moment.
  std::size_t double_grants() const { return double_grants_; }
  std::size_t waiting() const;

 private:
  struct daemon;
  struct event {
    instant at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct store_state {
    std::vector<host_address> hosts;
    std::map<std::string, quota, std::less<>> quotas;
  };
  struct sent_request {
    std::string workspace;
    instant sent_at{};
  };

  void Schedule(instant at, std::function<void()> action);
  void ScheduleArrival(const std::string& workspace, int host);
  void ChangeStore(store_state changed);
  void Confirm(int host);
  void TickDaemon(int host);
  void Deliver(int from, int to, std::function<void(daemon&)> handle);
  void Answer(int asking, daemon& owner, const quota_request& message);
  void Arrive(const std::string& workspace, int host);
  void Finish(int host, const quota_decision& decision);
  void NoteGrant(int host, const quota_grant& grant);
  double Uniform();
  host_address AddressOf(int host) const;

  quota_world_options options_;
  seeded_random random_;
  instant now_ = seconds(1000);
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  store_state store_;
  std::function<bool(int, int)> cut_ = [](int, int) { return false; };
  std::map<std::pair<std::string, int>, double> demand_;
  std::map<std::uint64_t, sent_request> open_;  // by request
  std::map<std::string, std::vector<instant>> ran_;
  std::map<std::string, quota_counts> counts_;
  unsigned returned_percent_ = 0;
  // Last host that granted, and when.
  std::map<std::string, std::pair<int, instant>> last_grants_;
  std::size_t double_grants_ = 0;
};

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_QUOTA_WORLD_H_
