#include "tests/view_world.h"

#include <algorithm>
#include <sstream>

namespace parsleyyard::testing {

namespace {

constexpr int kDomains = 4;
constexpr duration kTick = std::chrono::milliseconds(20);
constexpr duration kStoreTravel = std::chrono::milliseconds(4);
constexpr duration kPeerTravel = std::chrono::milliseconds(12);
constexpr duration kReadTimeout = std::chrono::milliseconds(900);
// From the platform's bounds: drain-ms and config-apply-ms, and contact-ms.
constexpr duration kInForce = std::chrono::seconds(2);
constexpr duration kContact = std::chrono::seconds(3);

std::string DomainOf(int daemon) {
  return "domain-" + std::to_string(daemon % kDomains);
}

std::string RegionOfDomain(int domain) {
  return domain < kDomains / 2 ? "north" : "south";
}

host_address HostOf(int daemon) {
  return "10.0.0." + std::to_string(daemon + 1);
}

region_map Regions() {
  region_map regions;
  for (int domain = 0; domain < kDomains; ++domain) {
    regions["domain-" + std::to_string(domain)] = RegionOfDomain(domain);
  }
  return regions;
}

}  // namespace

leaf::result<decoded_item> plain_decoder::Decode(
    const std::string& key,
    const std::string& value) const {
  if (key == "config") {
    if (value == "bad") {
      return leaf::new_error(model_error{key, "is bad"});
    }
    // A value may be long, so that deltas are used: the version comes first.
    BOOST_LEAF_AUTO(made,
                    configuration::Create({.version = std::stoull(value)}));
    return decoded_item(std::move(made));
  }
  if (key.starts_with("out/")) {
    return decoded_item(evacuation{.failure_domain = key.substr(4)});
  }
  std::istringstream text(value);
  instance made{.id = key.substr(2), .service = "s", .port = 1};
  std::string state;
  std::int64_t cold_ms = 0;
  text >> made.host >> made.failure_domain >> state >> made.started_ms >>
      made.sequence >> cold_ms;
  if (!text) {
    return leaf::new_error(model_error{key, "can't be read"});
  }
  made.draining = state == "draining";
  made.cold_left = std::chrono::milliseconds(cold_ms);
  return decoded_item(std::move(made));
}

std::string InstanceText(const host_address& host,
                         const std::string& domain,
                         const std::string& state,
                         int started,
                         int sequence,
                         int cold_ms) {
  std::ostringstream text;
  text << host << ' ' << domain << ' ' << state << ' ' << started << ' '
       << sequence << ' ' << cold_ms;
  return text.str();
}

void modelled_store::Put(const std::string& key,
                         const std::string& value,
                         instant now) {
  items_[key] = {.key = key, .revision = ++revision_, .value = value};
  history_.push_back({.key = key, .revision = revision_, .at = now});
}

void modelled_store::Remove(const std::string& key, instant now) {
  if (items_.erase(key) > 0) {
    history_.push_back({.key = key, .revision = ++revision_, .at = now});
  }
}

source_update modelled_store::All() const {
  source_update news{.as_of = revision_};
  for (const auto& [key, item] : items_) {
    news.items.push_back(item);
  }
  return news;
}

source_update modelled_store::After(std::uint64_t revision) const {
  source_update news{.as_of = revision_};
  for (const change& each : history_) {
    const auto found = items_.find(each.key);
    if (each.revision <= revision) {
      continue;
    }
    if (found == items_.end()) {
      news.items.push_back(
          {.key = each.key, .revision = each.revision, .removed = true});
    } else if (found->second.revision == each.revision) {
      news.items.push_back(found->second);
    }
  }
  return news;
}

struct view_world::node : public config_source,
                          public view_transport,
                          public view_listener {
  node(view_world& world, int index) : world(world), index(index) {}

  void Begin() {
    ++life;
    alive = true;
    lives_seen.clear();
    keeper = std::make_unique<view_keeper>(
        view_options{.address = HostOf(index),
                     .region = RegionOfDomain(index % kDomains),
                     .regions = Regions()},
        world.clock_, world.decoder_, *this, *this, *this);
    highest_version = 0;
    highest_revision = 0;
  }

  void ReadAll() override {
    ++world.reads_;
    ++world.whole_reads_;
    Ask([this] { keeper->OnFullRead(world.store_.All()); });
  }

  void ReadInstances() override {
    ++world.reads_;
    Ask([this] {
      source_update news = world.store_.All();
      std::erase_if(news.items, [](const source_item& item) {
        return !item.key.starts_with("i/");
      });
      keeper->OnInstancesRead(std::move(news));
    });
  }

  void Watch(std::uint64_t after, duration wait) override {
    ++world.reads_;
    Ask([this, after, wait] {
      if (!world.store_.Has(after)) {
        return keeper->OnSourceFailure(source_failure::kHistoryCompacted);
      }
      world.AnswerWatch(index, after, world.clock_.now + wait, life);
    });
  }

  // As a link does that comes up with a new incarnation.
  void NoticeStart(int from, int from_life) {
    int& seen = lives_seen[from];
    if (std::exchange(seen, from_life) != from_life) {
      keeper->OnPeerStarted(HostOf(from));
    }
  }

  // Runs `act` once the request is at the store, or fails after a while.
  void Ask(std::function<void()> act) {
    const int asked_in = life;
    const bool lost = !world.ReachesStore(index);
    world.At(world.clock_.now + (lost ? kReadTimeout : 2 * kStoreTravel),
             [this, asked_in, lost, act = std::move(act)] {
               if (life != asked_in || !alive) {
                 return;
               }
               if (frozen) {
                 missed.push_back([this, lost, act] { Answer(lost, act); });
                 return;
               }
               Answer(lost, act);
             });
  }

  void Answer(bool lost, const std::function<void()>& act) {
    if (!alive) {
      return;
    }
    lost ? keeper->OnSourceFailure(source_failure::kUnavailable) : act();
  }

  void SendUpdate(const host_address& to, const view_update& message) override {
    const int target = world.IndexOf(to);
    if (cut_from_peers || world.nodes_[target]->cut_from_peers) {
      return;
    }
    world.Deliver(target, kPeerTravel,
                  [message, from = index, from_life = life](node& n) {
                    n.NoticeStart(from, from_life);
                    n.keeper->OnUpdate(message);
                  });
  }
  bool IsReachable(const host_address& peer) const override {
    return world.nodes_[world.IndexOf(peer)]->alive;
  }
  void OnSnapshot(std::shared_ptr<const snapshot> /*view*/) override {}
  void OnEvent(const view_event& /*event*/) override {}

  view_world& world;
  const int index;
  int life = 0;
  bool alive = false;
  bool frozen = false;
  bool cut_from_store = false;
  bool cut_from_peers = false;
  instant touched{};
  std::uint64_t highest_version = 0;
  std::uint64_t highest_revision = 0;
  std::vector<std::function<void()>> missed;  // while it stood still
  std::map<int, int> lives_seen;              // of each peer
  std::unique_ptr<view_keeper> keeper;
};

view_world::view_world(int daemons) {
  Configure();
  for (int i = 0; i < daemons; ++i) {
    nodes_.push_back(std::make_unique<node>(*this, i));
    Announce(i, "ready");
  }
  for (int i = 0; i < daemons; ++i) {
    Start(i);
  }
}

view_world::~view_world() = default;

int view_world::IndexOf(const host_address& host) const {
  return std::stoi(host.substr(host.rfind('.') + 1)) - 1;
}

void view_world::At(instant when, event act) {
  events_.emplace(when, std::move(act));
}

void view_world::Deliver(int to,
                         duration delay,
                         std::function<void(node&)> act) {
  At(clock_.now + delay, [this, to, act = std::move(act)] {
    node& target = *nodes_[to];
    if (!target.alive) {
      return;
    }
    if (target.frozen) {
      target.missed.push_back([&target, act] { act(target); });
      return;
    }
    act(target);
  });
}

// Answers when there is news or the wait is over; a store that goes away loses
// the answer.
void view_world::AnswerWatch(int daemon,
                             std::uint64_t after,
                             instant until,
                             int life) {
  node& asking = *nodes_[daemon];
  if (asking.life != life || !asking.alive) {
    return;
  }
  if (!ReachesStore(daemon)) {
    At(clock_.now + kReadTimeout, [this, daemon, life] {
      if (nodes_[daemon]->life == life && nodes_[daemon]->alive) {
        nodes_[daemon]->keeper->OnSourceFailure(source_failure::kUnavailable);
      }
    });
    return;
  }
  const source_update news = store_.After(after);
  if (!news.items.empty() || clock_.now >= until) {
    Deliver(daemon, kStoreTravel, [news, life](node& n) {
      if (n.life == life) {
        n.keeper->OnWatchResult(news);
      }
    });
    return;
  }
  At(clock_.now + std::chrono::milliseconds(5),
     [this, daemon, after, until, life] {
       AnswerWatch(daemon, after, until, life);
     });
}

bool view_world::ReachesStore(int daemon) const {
  return !store_down_ && !nodes_[daemon]->cut_from_store;
}

void view_world::Run(duration length) {
  const instant end = clock_.now + length;
  while (clock_.now < end) {
    const instant next = clock_.now + kTick;
    while (!events_.empty() && events_.begin()->first <= next) {
      const auto first = events_.begin();
      clock_.now = std::max(clock_.now, first->first);
      const event act = std::move(first->second);
      events_.erase(first);
      act();
    }
    clock_.now = next;
    for (const auto& each : nodes_) {
      if (each->alive && !each->frozen) {
        each->keeper->Tick();
      }
    }
    Check();
  }
}

void view_world::Touch(int daemon) {
  nodes_[daemon]->touched = clock_.now;
}

void view_world::Configure() {
  ++version_;
  std::string value = std::to_string(version_) + " ";
  while (value.size() < 6000) {
    value += "a route that stays as it is; ";
  }
  store_.Put("config", value, clock_.now);
}

void view_world::Evacuate(int domain, bool out) {
  const std::string key = "out/domain-" + std::to_string(domain % kDomains);
  out ? store_.Put(key, "", clock_.now) : store_.Remove(key, clock_.now);
}

void view_world::Announce(int daemon, const std::string& state) {
  store_.Put("i/" + std::to_string(daemon),
             InstanceText(HostOf(daemon), DomainOf(daemon), state, 1,
                          static_cast<int>(store_.revision())),
             clock_.now);
}

void view_world::Withdraw(int daemon) {
  store_.Remove("i/" + std::to_string(daemon), clock_.now);
}

void view_world::SetStoreDown(bool down) {
  store_down_ = down;
  store_touched_ = clock_.now;
}

void view_world::SetCutFromStore(int daemon, bool cut) {
  nodes_[daemon]->cut_from_store = cut;
  Touch(daemon);
}

void view_world::SetCutFromPeers(int daemon, bool cut) {
  nodes_[daemon]->cut_from_peers = cut;
}

void view_world::SetFrozen(int daemon, bool frozen) {
  node& target = *nodes_[daemon];
  target.frozen = frozen;
  Touch(daemon);
  if (!frozen) {
    const auto missed = std::exchange(target.missed, {});
    for (const auto& act : missed) {
      act();
    }
  }
}

void view_world::Kill(int daemon) {
  node& target = *nodes_[daemon];
  target.alive = false;
  target.frozen = false;
  target.missed.clear();
  Touch(daemon);
}

void view_world::Start(int daemon) {
  nodes_[daemon]->Begin();
  Touch(daemon);
}

const snapshot& view_world::View(int daemon) const {
  return *nodes_[daemon]->keeper->Current();
}

view_status view_world::Status(int daemon) const {
  return nodes_[daemon]->keeper->Status();
}

void view_world::Check() {
  for (const auto& each : nodes_) {
    if (!each->alive || each->frozen) {
      continue;
    }
    const view_status status = each->keeper->Status();
    const std::string who = HostOf(each->index);
    if (status.version < each->highest_version ||
        status.revision < each->highest_revision) {
      broken_.push_back(who + " went back to version " +
                        std::to_string(status.version));
    }
    each->highest_version = status.version;
    each->highest_revision = status.revision;
    const instant calm = std::max(each->touched, store_touched_) + kContact;
    const bool in_touch = ReachesStore(each->index) && clock_.now >= calm;
    if (!in_touch) {
      continue;
    }
    for (const auto& change : store_.history()) {
      const bool due = clock_.now - change.at > kInForce;
      if (due && change.revision > status.revision) {
        broken_.push_back(
            who + " does not know revision " + std::to_string(change.revision) +
            " of " + change.key + " after " +
            std::to_string((clock_.now - change.at).count() / 1000) + " ms");
        break;
      }
    }
  }
}

}  // namespace parsleyyard::testing
