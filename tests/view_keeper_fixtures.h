// What the tests of the view keeper share: a keeper without a world around it.

#ifndef PARSLEYYARD_TESTS_VIEW_KEEPER_FIXTURES_H_
#define PARSLEYYARD_TESTS_VIEW_KEEPER_FIXTURES_H_

#include "tests/view_world.h"

#include <algorithm>
#include <set>
#include <vector>

namespace parsleyyard::testing {

inline constexpr int kDaemons = 13;

inline bool AllHaveVersion(const view_world& world, std::uint64_t version) {
  for (int i = 0; i < kDaemons; ++i) {
    if (world.Status(i).version != version) {
      return false;
    }
  }
  return true;
}

// Source, transport and listener of one view keeper. Records the updates that
// the view keeper sends.
struct recording_environment : public config_source,
                               public view_transport,
                               public view_listener {
  void ReadAll() override { ++full_reads; }
  void ReadState() override {}
  void Watch(std::uint64_t, duration) override { ++watches; }
  void SendUpdate(const host_address& to, const view_update& m) override {
    sent.push_back(m);
    if (m.to_revision != 0) {
      receivers.insert(std::upper_bound(receivers.begin(), receivers.end(), to),
                       to);
    }
  }
  bool IsReachable(const host_address& peer) const override {
    return !unreachable.contains(peer);
  }
  void OnSnapshot(std::shared_ptr<const snapshot>) override {}
  void OnEvent(const view_event&) override {}
  std::vector<view_update> sent;
  std::vector<host_address> receivers;  // of updates, sorted
  std::set<host_address> unreachable;
  int full_reads = 0;
  int watches = 0;
};

// A view keeper with the registration of one instance, "1".
struct keeper_with_instance {
  keeper_with_instance() {
    store.Put("i/1", InstanceText("10.0.0.5", "domain-0"), clock.now);
    keeper.Tick();
    keeper.OnStateRead(store.AllItems());
    keeper.Tick();
    keeper.OnFullRead(store.AllItems());
  }
  // Receives the removal of the instance from a peer that holds removals.
  void ReceiveHeldRemoval() {
    const std::uint64_t known = store.revision();
    store.Remove("i/1", clock.now);
    keeper.OnUpdate(
        {.root = "10.0.0.2",
         .era = store.Position().era,
         .from_revision = known,
         .to_revision = store.revision(),
         .removals_held_ms = 2000,
         .items = {
             {.key = "i/1", .revision = store.revision(), .removed = true}}});
  }

  manual_clock clock;
  text_decoder decoder;
  recording_environment environment;
  simulated_store store;
  view_keeper keeper{{.address = "10.0.0.1"},
                     clock,
                     decoder,
                     environment,
                     environment,
                     environment};
};

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_VIEW_KEEPER_FIXTURES_H_
