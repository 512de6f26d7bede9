// parsleyyard: keeps this daemon's view of the fleet: reads it from the store,
// exchanges updates with peers and tracks the age of the view. Has no sockets,
// clocks or random sources of its own.
//
// Index
//   1. Source        reading the store and decoding its items
//   2. Packing       values as compressed deltas between daemons
//   3. Relay plan    which peers an update is passed on to
//   4. View keeper   reads, applies and relays updates of the view
//
// How to use it: implement config_source, item_decoder, view_transport and
// view_listener, create one view_keeper, call Tick() every 20 ms or so, and
// pass it every read result and every message of a peer. It is not thread-safe,
// and no function blocks. The same events with the same clock give the same
// decisions.

#ifndef PARSLEYYARD_CONTROL_CONTROL_H_
#define PARSLEYYARD_CONTROL_CONTROL_H_

#include "control/update_log.h"
#include "model/model.h"
#include "model/pause_guard.h"
#include "model/transit_clock.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace parsleyyard {

// ---------------------------------------------------------------------------
// 1. Source
// ---------------------------------------------------------------------------

// One item of the store, or its removal.
struct source_item {
  std::string key;
  // Revision of the item's last change, in the era of the read or the update.
  std::uint64_t revision = 0;
  bool removed = false;
  // The store lacks this value; a peer keeps it, since it may be written again.
  bool held = false;
  std::string value;
};

// Result of one read of the store.
struct source_update {
  std::vector<source_item> items;
  store_position as_of;  // state of the store once all items are applied
  // Revision of the newest page of a range read. The items may have changes
  // between `as_of` and it, and may lack what was removed in between.
  std::uint64_t known_to_revision = 0;
};

enum class source_failure : std::uint8_t {
  kUnavailable,       // the store sent no response or refused the request
  kIncomplete,        // a response began and did not arrive whole in time
  kHistoryCompacted,  // the store no longer has the changes since that revision
  kEraChanged,        // the pages of a read come from two eras
};

// Reads the store. Each call leads to exactly one OnFullRead(),
// OnStateRead(), OnWatchResult() or OnSourceFailure() of the view keeper,
// in bounded time.
class config_source {
 public:
  virtual ~config_source() = default;
  virtual void ReadAll() = 0;
  // Reads all but the configuration: the registrations and the evacuations,
  // which are small.
  virtual void ReadState() = 0;
  // Waits up to `wait` for changes after store revision `after`. The result
  // may be of another era than that revision; it lists the wrong changes then.
  virtual void Watch(std::uint64_t after, duration wait) = 0;
};

// Receives the results of a config_source. Called from any thread.
class source_listener {
 public:
  virtual ~source_listener() = default;
  virtual void OnFullRead(source_update update) = 0;
  virtual void OnStateRead(source_update update) = 0;
  virtual void OnWatchResult(source_update update) = 0;
  virtual void OnSourceFailure(source_failure why, std::string detail) = 0;
};

// A failure domain that must get no new work.
struct evacuation {
  std::string failure_domain;
};

// Decoded content of an item; std::monostate if the daemon does not use it.
using decoded_item = std::variant<std::monostate,
                                  std::shared_ptr<const configuration>,
                                  instance,
                                  evacuation>;

// Decodes items of the store into the model. Fails with a model_error if the
// value is not valid.
class item_decoder {
 public:
  virtual ~item_decoder() = default;
  virtual leaf::result<decoded_item> Decode(const std::string& key,
                                            const std::string& value) const = 0;
};

// ---------------------------------------------------------------------------
// 2. Packing
// ---------------------------------------------------------------------------

// Compresses `content`; with `base`, as a delta to `base`.
std::string Pack(std::string_view content, const std::string* base);

// Inverse of Pack(). Returns std::nullopt if `packed` is damaged or does not
// unpack to exactly `size` bytes.
std::optional<std::string> Unpack(std::string_view packed,
                                  std::size_t size,
                                  const std::string* base);

// ---------------------------------------------------------------------------
// 3. Relay plan
// ---------------------------------------------------------------------------

// A daemon that updates can be sent to.
struct relay_peer {
  host_address address;
  std::string region;
  std::string failure_domain;
  bool reachable = true;  // false: the link to it is known to be down
};

// Returns the daemons beside the instances of the view, in the order of their
// addresses, without `self`.
std::vector<relay_peer> ListPeers(const snapshot& view,
                                  const host_address& self,
                                  const region_map& regions);

// A daemon's place among its peers.
struct fleet_place {
  std::vector<relay_peer> peers;    // as ListPeers() returns them
  std::size_t peers_in_region = 0;  // peers of the daemon's region
  std::size_t rank = 0;             // peers before it in the address order
  std::size_t rank_in_region = 0;   // those of its region
  // Its instance is registered, so that peers know it and send it updates.
  bool is_listed = false;
};

fleet_place FindPlace(const snapshot& view,
                      const host_address& self,
                      const std::string& region,
                      const region_map& regions);

// A part of a region in the address order. The receiver of an update passes it
// on to the other daemons within the range.
struct relay_range {
  std::uint64_t first = 1;
  std::uint64_t last = 0;  // inclusive; an empty range if below `first`
};

struct relay_step {
  host_address receiver;
  relay_range range;  // the part of its region that the receiver must cover
};

// Position of a daemon in the address order: a hash of its address, the same on
// all daemons. The daemon with the lowest position is the first choice for the
// active reader.
std::uint64_t AddressOrder(const host_address& address);

// Receivers of an update from its originator, the daemon that read the store:
// its own region in `fan_out` parts, and one daemon of each other region.
std::vector<relay_step> PlanFromOriginator(const host_address& self,
                                           const std::string& region,
                                           const std::vector<relay_peer>& peers,
                                           unsigned fan_out);

// Receivers of an update from a daemon that must cover `range`.
std::vector<relay_step> PlanWithinRange(const host_address& self,
                                        const std::string& region,
                                        const host_address& originator,
                                        const relay_range& range,
                                        const std::vector<relay_peer>& peers,
                                        unsigned fan_out);

// Number of daemons at the start of a region's address order that read the
// whole store for a large region and send the full view to it.
inline constexpr std::size_t kRegionReaders = 2;

// The first `count` peers of the region in the address order.
std::vector<host_address> FirstOfRegion(const std::string& region,
                                        const std::vector<relay_peer>& peers,
                                        std::size_t count);

// The peers of the region that a daemon brings up to date if they restart while
// the store is unavailable: the few before it in the address order, which goes
// round.
std::vector<host_address> PredecessorsOf(const host_address& self,
                                         const std::string& region,
                                         const std::vector<relay_peer>& peers);

// The peers that a daemon keeps links to. In a small fleet these are all. In a
// large one, links between all pairs would cost more than the calls that they
// speed up: a daemon keeps those to its failure domain, where most calls go, to
// its predecessors and to the readers of its region; the readers of all regions
// keep links to each other. Other links are opened when they are needed.
std::vector<host_address> PlanLinks(const relay_peer& self,
                                    const std::vector<relay_peer>& peers);

// ---------------------------------------------------------------------------
// 4. View keeper
// ---------------------------------------------------------------------------

// Sends updates to peers. Updates may be lost: a peer that misses one requests
// it from others or reads the store.
class view_transport {
 public:
  virtual ~view_transport() = default;
  virtual void SendUpdate(const host_address& to,
                          const view_update& message) = 0;
  virtual bool IsReachable(const host_address& peer) const = 0;
};

// A change of the view or of this daemon's part in reading it, for logs.
struct view_event {
  std::string_view name;  // such as "configuration adopted"
  std::string subject;    // such as an instance, a key or a version
  store_position position;
  duration age{};       // age of the view
  std::string because;  // empty if the event needs no explanation
};

class view_listener {
 public:
  virtual ~view_listener() = default;
  virtual void OnSnapshot(std::shared_ptr<const snapshot> view) = 0;
  virtual void OnEvent(const view_event& event) = 0;
};

struct view_options {
  host_address address;                // address of this daemon
  std::uint64_t incarnation = 1;       // of this daemon
  std::string region;                  // region of this host
  region_map regions;                  // regions of all failure domains
  duration watch = milliseconds(500);  // longest wait of one watch
  duration pause = milliseconds(200);  // delay between two watches
  // Age of the view from which any daemon reads the store.
  duration stale_after = milliseconds(900);
  unsigned fan_out = 16;  // peers that one daemon sends an update to
};

struct view_status {
  store_position position;     // state of the store that the view reflects
  std::uint64_t version = 0;   // configuration version; 0: no configuration
  duration age{};              // time since the store confirmed `position`
  instant confirmed_at{};      // when the store confirmed `position`
  bool active_reader = false;  // this daemon polls the store for the others
  std::uint64_t reads = 0;     // reads of the store since the start
  // Reads that failed, but for kHistoryCompacted and kEraChanged.
  std::uint64_t failures = 0;
};

class view_keeper {
 public:
  view_keeper(view_options options,
              const clock_source& clock,
              const item_decoder& decoder,
              config_source& source,
              view_transport& transport,
              view_listener& listener);

  void Tick();

  // Results of the source.
  void OnFullRead(source_update update);
  void OnStateRead(source_update update);
  void OnWatchResult(source_update update);
  void OnSourceFailure(source_failure why);

  // Applies an update of a peer and relays it. If the message requests updates,
  // the peer gets them for some time.
  void OnUpdate(view_update message);
  // The update could not be sent to the peer. What the peer was to pass on is
  // sent to the other daemons that it was for.
  void OnUndelivered(const host_address& to, view_update message);
  // Handles the start of a peer. Sends it the full view if this daemon's view
  // is at least `stale_after` old, as in a store outage, or has what the store
  // lacks, and if it is one of the daemons that bring the peer up to date.
  void OnPeerStarted(const host_address& peer);

  view_status Status() const;
  std::shared_ptr<const snapshot> Current() const { return view_; }

 private:
  // Local copy of one store item.
  struct cached_item {
    store_position position;  // of the last change
    std::string value;
    decoded_item decoded;
    instant cold_until{};  // end of the warm-up, if the item is an instance
    // The store lacks the item. Kept, since it may be written again.
    bool held = false;
    // Left out of the view until then: the store lists an instance that had
    // left before the store was restored.
    instant hidden_until{};
  };

  // An instance that has left, to recognise its registration in an older copy.
  struct departed_instance {
    instance registration;  // the last one
    std::uint64_t era = 0;  // in which it left
    instant at{};
  };

  duration Age(instant now) const { return now - confirmed_at_; }
  // Age of the view but for what updates took on their way.
  duration TimeSinceNews(instant now) const { return now - news_at_; }
  void Send(const host_address& to, view_update copy) const;
  duration TakeoverAge(instant now) const;
  bool BringsUpToDate(const host_address& peer) const;
  bool WaitsForStartupReaders() const;
  bool ReadsForRegionAtStart() const;
  void RelayToRegion(const view_update& update) const;
  void SendFullUpdateToRegion() const;
  void ShareFirstView() const;
  void RelayWithinRange(const view_update& message);
  void RelayDeferred();
  bool AsksPeers() const;
  void MissUpdate();
  duration HelpTime() const;
  void RequestMissedUpdates(instant now);
  std::optional<host_address> PickPeerToAsk() const;
  std::string OwnFailureDomain() const;
  void EndCatchUp();
  void SendUpdatesSince(std::uint64_t revision, const host_address& peer) const;
  void RequestUpdates() const;
  void RequestUpdatesIfUnlisted(instant now);
  void SendToSubscribers(const view_update& update);
  void DropItemsMissingFrom(const view_update& full_update);
  bool DropItemsThatCameAndWent(const view_update& update);
  bool HasView() const { return position_.revision != 0; }
  bool BeginsEra(const store_position& offered) const {
    return HasView() && offered.era > position_.era;
  }
  bool IsOfEarlierEra(const store_position& offered) const {
    return HasView() && offered.era < position_.era;
  }
  void RejectRead(const store_position& offered);
  void PlanFullRead();
  void BeginEra(const std::set<std::string>& present,
                const store_position& as_of);
  void AnswerRequest(const view_update& request);
  void SendRequest(const host_address& peer) const;
  void MissEra(const host_address& originator);
  view_update BuildFullUpdate() const;
  duration FullReadDelay() const;
  duration OutageReadDelay() const;
  std::vector<relay_peer> Peers() const;
  void StartRead(instant now);
  void ObservePause(instant now);
  void AddImpliedRemovals(source_update& update) const;
  // What the result of a read is made of.
  enum class read_kind : std::uint8_t { kAllItems, kChanges };
  void ApplyRead(const source_update& read, instant confirmed, read_kind kind);
  void NoteKnownTo(std::uint64_t revision, bool begins_era);
  bool KnowsLaterChanges() const {
    return known_to_revision_ > position_.revision;
  }
  view_update ApplyItemsOfRead(const std::vector<source_item>& items,
                               std::uint64_t era,
                               bool begins_era,
                               bool& changed);
  void ConfirmPosition(const store_position& position,
                       instant at,
                       instant news_at);
  bool ApplyItem(const source_item& item, std::uint64_t era);
  void KeepUnchanged(const store_position& position, cached_item& cached);
  bool ApplyHeldItem(const source_item& item, std::uint64_t era);
  void ApplyHeldItems(const view_update& message);
  bool HoldsItems() const;
  bool ApplyRemoval(const source_item& item, std::uint64_t era);
  bool ApplyValue(const source_item& item, cached_item& cached);
  bool ApplyInstance(const source_item& item,
                     const instance& offered,
                     cached_item& cached);
  bool ApplyConfiguration(const source_item& item,
                          const std::shared_ptr<const configuration>& offered,
                          cached_item& cached);
  bool HasDeparted(const std::string& key,
                   const instance& offered,
                   std::uint64_t era) const;
  void NoteDeparture(const std::string& key, const cached_item& cached);
  bool IsHoldOver(const cached_item& cached, instant now) const;
  void DropHeldItems(instant now);
  void ShowHiddenItems(instant now);
  bool MayHaveMissedOutage(instant now) const;
  void HoldRemovals();
  void HoldRemovalsAfterOutage(instant now);
  void PublishSnapshot();
  void Report(std::string_view name,
              const std::string& subject,
              std::string because = "");
  view_update EmptyUpdate(std::uint64_t from_revision) const;
  void StampUpdate(view_update& update) const;
  static view_item PackItem(const source_item& item, const std::string& base);
  void Relay(const view_update& message,
             const std::vector<relay_step>& steps) const;
  std::vector<source_item> LatestPerKey(std::vector<source_item> items) const;
  std::optional<std::vector<source_item>> UnpackItems(
      const view_update& message) const;

  view_options options_;
  const clock_source& clock_;
  const item_decoder& decoder_;
  config_source& source_;
  view_transport& transport_;
  view_listener& listener_;

  std::map<std::string, cached_item> items_;           // by key
  std::map<std::string, departed_instance> departed_;  // by key
  store_position position_;  // revision 0: no view yet
  // The items may have changes of its era up to this revision already.
  std::uint64_t known_to_revision_ = 0;
  // When the store confirmed `position_`, at the latest possible age.
  instant confirmed_at_{};
  // The same for updates that took no time on their way. It decides when this
  // daemon reads the store itself, which would be no faster.
  instant news_at_{};
  transit_clock transit_clock_;
  std::shared_ptr<const snapshot> view_ = std::make_shared<const snapshot>();
  fleet_place place_;  // in `view_`

  bool read_in_flight_ = false;
  bool era_began_during_read_ = false;  // by an update of a peer
  bool active_reader_ = false;     // this daemon polls the store for the others
  instant next_update_request_{};  // earliest time of the next request to peers
  // Peers that requested updates, with the time of their last request.
  std::map<host_address, instant> subscribers_;
  bool needs_full_read_ = true;  // the next read must be a full one
  bool state_read_ = false;      // the first read is complete
  // Updates were missed: they are requested from peers, or read.
  bool needs_catch_up_ = false;
  bool needs_whole_view_ = false;   // what peers sent can't be unpacked
  instant next_request_{};          // earliest time of the next such request
  instant last_news_arrived_at_{};  // the last update or read that was applied
  unsigned requests_without_news_ = 0;  // in a row
  bool shares_next_read_ = false;       // send the result to the region
  update_log update_log_;               // for peers that missed updates
  // Updates that arrived before this daemon knew its peers, with the time.
  std::vector<std::pair<view_update, instant>> deferred_relays_;
  bool failed_since_confirmed_ = false;  // a read failed after confirmed_at_
  instant config_changed_at_ = instant::min() / 2;
  instant read_started_at_{};
  duration watch_wait_{};             // of the last watch
  instant next_read_{};               // earliest time of the next read
  instant next_takeover_{};           // earliest time of the next takeover
  instant back_off_until_{};          // end of the back-off after a failed read
  instant removals_held_until_{};     // held instances are kept until then
  instant evacuations_held_until_{};  // held evacuations are kept until then
  // The store lists an older configuration than the one in force.
  bool config_ahead_of_store_ = false;
  bool stale_reported_ = false;
  pause_guard pause_guard_;
  // Start of this daemon's last successful read of the store.
  instant own_read_confirmed_at_{};
  std::uint64_t reads_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CONTROL_CONTROL_H_
