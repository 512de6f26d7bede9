#include "tests/quota_world.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard::testing {

namespace {

constexpr duration kTick = milliseconds(20);
constexpr duration kConfirmInterval = milliseconds(250);
constexpr duration kWindow = seconds(5);

}  // namespace

// One daemon. Its view is that of the store some time ago.
struct quota_world::daemon : quota_port {
  daemon(quota_world& in, int own_index)
      : world(in),
        index(own_index),
        owner(in.AddressOf(own_index), in.random_),
        client({.address = in.AddressOf(own_index),
                .first_number = in.random_.Next() >> 1},
               in.random_,
               *this) {}

  std::optional<quota_grant> Request(const host_address& to,
                                     const quota_request& message) override {
    if (to == world.AddressOf(index)) {
      quota_grant grant = owner.OnRequest(message, world.now_);
      world.NoteGrant(index, grant);
      return grant;
    }
    ++world.counts_[message.workspace].messages;
    for (int i = 0; i < world.options_.hosts; ++i) {
      if (world.AddressOf(i) == to) {
        // The daemon that asks may have restarted before the answer.
        world.Deliver(index, i,
                      [&in = world, from = index, message](daemon& receiver) {
                        in.Answer(from, receiver, message);
                      });
      }
    }
    return std::nullopt;
  }

  quota_world& world;
  int index;
  bool cut_from_store = false;
  bool frozen = false;
  std::vector<std::function<void(daemon&)>> inbox;  // while frozen
  quota_owner owner;
  quota_client client;
  std::shared_ptr<const quota_map> map;
  std::uint64_t incarnation = 0;
};

quota_world::quota_world(quota_world_options options)
    : options_(options), random_(options.seed) {
  for (int i = 0; i < options_.hosts; ++i) {
    daemons_.push_back(std::make_unique<daemon>(*this, i));
    store_.hosts.push_back(AddressOf(i));
    const duration phase(random_.UniformBelow(kConfirmInterval.count()));
    Schedule(now_ + phase, [this, i] { Confirm(i); });
    Schedule(now_ + phase % kTick, [this, i] { TickDaemon(i); });
  }
}

quota_world::~quota_world() = default;

host_address quota_world::AddressOf(int host) const {
  return "10.0." + std::to_string(host / 250) + "." +
         std::to_string(host % 250 + 1);
}

double quota_world::Uniform() {
  constexpr double kRange = 1e9;
  return (static_cast<double>(
              random_.UniformBelow(static_cast<std::uint64_t>(kRange))) +
          1) /
         (kRange + 1);
}

void quota_world::Schedule(instant at, std::function<void()> action) {
  events_.push({.at = at, .order = ++last_order_, .action = std::move(action)});
}

void quota_world::Run(duration length) {
  const instant end = now_ + length;
  while (!events_.empty() && events_.top().at <= end) {
    event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.action();
  }
  now_ = end;
}

void quota_world::SetQuota(const std::string& workspace, quota limit) {
  store_.quotas[workspace] = limit;
}

void quota_world::SetListed(int host, bool listed) {
  std::erase(store_.hosts, AddressOf(host));
  if (listed) {
    store_.hosts.push_back(AddressOf(host));
  }
}

void quota_world::SetCutFromStore(int host, bool cut) {
  daemons_[host]->cut_from_store = cut;
}

void quota_world::SetFrozen(int host, bool frozen) {
  daemon& changed = *daemons_[host];
  changed.frozen = frozen;
  if (!frozen) {
    for (auto& handle : std::exchange(changed.inbox, {})) {
      handle(changed);
    }
  }
}

void quota_world::Restart(int host) {
  std::erase_if(open_, [&](const auto& entry) {
    return entry.first % options_.hosts == static_cast<unsigned>(host);
  });
  const std::uint64_t incarnation = daemons_[host]->incarnation + 1;
  const bool cut = daemons_[host]->cut_from_store;
  daemons_[host] = std::make_unique<daemon>(*this, host);
  daemons_[host]->incarnation = incarnation;
  daemons_[host]->cut_from_store = cut;
}

// The state that the store had at a moment reaches the daemon with a delay, and
// with it the time of the confirmation.
void quota_world::Confirm(int host) {
  Schedule(now_ + kConfirmInterval, [this, host] { Confirm(host); });
  daemon& receiver = *daemons_[host];
  if (receiver.cut_from_store) {
    return;
  }
  const instant confirmed_at = now_;
  const duration delay(random_.UniformBelow(options_.max_view_delay.count()));
  const std::uint64_t incarnation = receiver.incarnation;
  Schedule(now_ + delay,
           [this, host, confirmed_at, incarnation, state = store_] {
             daemon& updated = *daemons_[host];
             if (updated.incarnation != incarnation || updated.cut_from_store) {
               return;
             }
             const auto apply = [this, confirmed_at, state](daemon& to) {
               const bool same =
                   to.map != nullptr && to.map->quotas() == state.quotas &&
                   to.map->host_count() == state.hosts.size() &&
                   std::all_of(state.hosts.begin(), state.hosts.end(),
                               [&](const host_address& each) {
                                 return to.map->PositionOf(each).has_value();
                               });
               if (!same) {
                 to.map = std::make_shared<const quota_map>(
                     state.hosts, state.quotas, to.map.get());
               }
               to.owner.SetView(to.map, confirmed_at, now_);
               to.client.SetView(to.map, now_);
             };
             if (updated.frozen) {
               updated.inbox.emplace_back(apply);
             } else {
               apply(updated);
             }
           });
}

void quota_world::TickDaemon(int host) {
  Schedule(now_ + kTick, [this, host] { TickDaemon(host); });
  if (daemons_[host]->frozen) {
    return;
  }
  for (const auto& decision : daemons_[host]->client.Tick(now_)) {
    Finish(host, decision);
  }
}

void quota_world::Deliver(int from,
                          int to,
                          std::function<void(daemon&)> handle) {
  const bool lost = random_.UniformBelow(100) < options_.lost_percent;
  if (lost || cut_(from, to)) {
    return;
  }
  const duration delay =
      from % 2 == to % 2 ? options_.delay : options_.region_delay;
  const std::uint64_t incarnation = daemons_[to]->incarnation;
  Schedule(now_ + random_.Jitter(delay),
           [this, from, to, incarnation, handle = std::move(handle)] {
             daemon& receiver = *daemons_[to];
             if (receiver.incarnation != incarnation || cut_(from, to)) {
               return;
             }
             if (receiver.frozen) {
               receiver.inbox.push_back(handle);
             } else {
               handle(receiver);
             }
           });
}

void quota_world::Answer(int asking,
                         daemon& owner,
                         const quota_request& message) {
  const quota_grant grant = owner.owner.OnRequest(message, now_);
  NoteGrant(owner.index, grant);
  ++counts_[message.workspace].messages;
  Deliver(owner.index, asking, [this, asking, grant](daemon& receiver) {
    for (const auto& decision : receiver.client.OnGrant(grant, now_)) {
      Finish(asking, decision);
    }
  });
}

void quota_world::SetDemand(const std::string& workspace,
                            int host,
                            double rate) {
  double& demand = demand_[{workspace, host}];
  const bool was_idle = demand == 0;
  demand = rate;
  if (was_idle && rate > 0) {
    ScheduleArrival(workspace, host);
  }
}

void quota_world::ScheduleArrival(const std::string& workspace, int host) {
  const double rate = demand_[{workspace, host}];
  if (rate <= 0) {
    return;
  }
  const auto gap = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(-std::log(Uniform()) / rate));
  Schedule(now_ + gap, [this, workspace, host] {
    Arrive(workspace, host);
    ScheduleArrival(workspace, host);
  });
}

void quota_world::Arrive(const std::string& workspace, int host) {
  daemon& receiver = *daemons_[host];
  if (receiver.frozen || receiver.map == nullptr ||
      demand_[{workspace, host}] <= 0) {
    return;
  }
  ++counts_[workspace].sent;
  // The remainder is the host.
  const std::uint64_t request =
      ++last_request_ * static_cast<unsigned>(options_.hosts) +
      static_cast<unsigned>(host);
  open_[request] = {.workspace = workspace, .sent_at = now_};
  const quota_decision decision =
      receiver.client.Admit(request, workspace, options_.max_wait, now_);
  if (decision.verdict != quota_verdict::kWaiting) {
    Finish(host, decision);
  }
}

void quota_world::Finish(int host, const quota_decision& decision) {
  const auto found = open_.find(decision.request);
  if (found == open_.end()) {
    return;
  }
  const sent_request request = found->second;
  open_.erase(found);
  quota_counts& counts = counts_[request.workspace];
  if (decision.verdict == quota_verdict::kOverQuota) {
    ++counts.over_quota;
  } else if (decision.verdict == quota_verdict::kUnknown) {
    ++counts.unknown;
  } else if (random_.UniformBelow(100) < returned_percent_) {
    const std::uint64_t incarnation = daemons_[host]->incarnation;
    Schedule(now_ + duration(random_.UniformBelow(
                        duration(milliseconds(900)).count())),
             [this, host, incarnation, decision] {
               daemon& of = *daemons_[host];
               if (of.incarnation == incarnation) {
                 of.client.Return(decision.workspace, decision.token, now_);
               }
             });
  } else {
    ran_[request.workspace].push_back(request.sent_at);
  }
}

void quota_world::NoteGrant(int host, const quota_grant& grant) {
  if (grant.answer != quota_answer::kGranted) {
    return;
  }
  auto& [last_host, at] = last_grants_[grant.workspace];
  // A new owner grants from 3.2 s after the change, the former one for at most
  // 3 s after it.
  if (at != instant{} && last_host != host && now_ - at < milliseconds(100)) {
    ++double_grants_;
  }
  last_host = host;
  at = now_;
}

int quota_world::OwnerOf(const std::string& workspace) const {
  const quota_map map(store_.hosts, store_.quotas);
  for (int i = 0; i < options_.hosts; ++i) {
    if (AddressOf(i) == *map.OwnerOf(workspace)) {
      return i;
    }
  }
  return -1;
}

std::size_t quota_world::RunBetween(const std::string& workspace,
                                    instant from,
                                    instant to) const {
  const auto found = ran_.find(workspace);
  if (found == ran_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](instant sent_at) { return sent_at >= from && sent_at < to; }));
}

std::size_t quota_world::LargestWindow(const std::string& workspace,
                                       instant from) const {
  const auto found = ran_.find(workspace);
  if (found == ran_.end()) {
    return 0;
  }
  std::vector<instant> sent = found->second;
  std::erase_if(sent, [&](instant at) { return at < from; });
  std::sort(sent.begin(), sent.end());
  std::size_t largest = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < sent.size(); ++last) {
    while (sent[first] <= sent[last] - kWindow) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

double quota_world::Bound(const quota& limit) {
  const quota_limits rule;
  const double window = std::chrono::duration<double>(rule.window).count();
  return (limit.rate * window + limit.burst) * (1 + rule.over) + rule.slack;
}

std::size_t quota_world::waiting() const {
  std::size_t sum = 0;
  for (const auto& each : daemons_) {
    sum += each->client.waiting();
  }
  return sum;
}

}  // namespace parsleyyard::testing
