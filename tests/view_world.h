// A fleet of view keepers around one modelled store, on an injected clock.
//
// Faults: the store is down, a daemon is cut off from the store or from all
// peers, is killed and starts anew, or stands still. Check() finds broken
// promises: a daemon never goes back, and a change is known within kInForce on
// each daemon that has reached the store for kContact.

#ifndef PARSLEYYARD_TESTS_VIEW_WORLD_H_
#define PARSLEYYARD_TESTS_VIEW_WORLD_H_

#include "control/control.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyyard::testing {

class manual_clock : public clock_source {
 public:
  instant Now() const override { return now; }
  instant now = seconds(100);
};

// Keys: "config" holds a version, "out/DOMAIN" an evacuation, "i/ID" an
// instance as "HOST DOMAIN STATE STARTED SEQUENCE COLD_MS".
class plain_decoder : public item_decoder {
 public:
  leaf::result<decoded_item> Decode(const std::string& key,
                                    const std::string& value) const override;
};

std::string InstanceText(const host_address& host,
                         const std::string& domain,
                         const std::string& state = "ready",
                         int started = 1,
                         int sequence = 1,
                         int cold_ms = 0);

// The store: one revision counter and a history.
class modelled_store {
 public:
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    instant at{};
  };

  void Put(const std::string& key, const std::string& value, instant now);
  void Remove(const std::string& key, instant now);
  source_update All() const;
  source_update After(std::uint64_t revision) const;
  void Forget() { forgotten_ = revision_; }
  bool Has(std::uint64_t revision) const { return revision >= forgotten_; }
  std::uint64_t revision() const { return revision_; }
  const std::vector<change>& history() const { return history_; }

 private:
  std::map<std::string, source_item> items_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;
};

class view_world {
 public:
  explicit view_world(int daemons);
  ~view_world();

  void Run(duration length);
  instant now() const { return clock_.now; }

  // Changes.
  void Configure();  // publishes the next version
  void Evacuate(int domain, bool out);
  void Announce(int daemon, const std::string& state);  // its instance
  void Withdraw(int daemon);  // the registration of its instance

  // Faults.
  void SetStoreDown(bool down);
  void SetCutFromStore(int daemon, bool cut);
  void SetCutFromPeers(int daemon, bool cut);
  void SetFrozen(int daemon, bool frozen);
  void Kill(int daemon);
  void Start(int daemon);
  modelled_store& store() { return store_; }

  const snapshot& View(int daemon) const;
  view_status Status(int daemon) const;
  std::uint64_t reads() const { return reads_; }
  std::uint64_t WholeReads() const { return whole_reads_; }
  // What broke a promise; empty if nothing.
  const std::vector<std::string>& broken() const { return broken_; }

 private:
  struct node;
  using event = std::function<void()>;

  void At(instant when, event act);
  void Deliver(int to, duration delay, std::function<void(node&)> act);
  void AnswerWatch(int daemon, std::uint64_t after, instant until, int life);
  bool ReachesStore(int daemon) const;
  void Check();
  void Touch(int daemon);
  int IndexOf(const host_address& host) const;

  manual_clock clock_;
  plain_decoder decoder_;
  modelled_store store_;
  std::multimap<instant, event> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  bool store_down_ = false;
  instant store_touched_{};
  std::uint64_t version_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t whole_reads_ = 0;  // of these
  std::vector<std::string> broken_;
};

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_VIEW_WORLD_H_
