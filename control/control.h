// parsleyyard: what this daemon believes, where that came from and how old it
// is. No sockets, clocks or random sources of its own.
//
// Index
//   1. Source        what is read from the store, and how it is decoded
//   2. Packing       values as compressed deltas between daemons
//   3. Relay plan    who passes an update on to whom
//   4. View keeper   reads, adopts and spreads the view
//
// How to use it: implement config_source, item_decoder, view_transport and
// view_listener, make one view_keeper, call Tick() every 20 ms or so, and hand
// it every result and every message. It is not thread-safe, and no function
// blocks. The same events with the same clock give the same decisions.

#ifndef PARSLEYYARD_CONTROL_CONTROL_H_
#define PARSLEYYARD_CONTROL_CONTROL_H_

#include "model/model.h"
#include "model/pause_guard.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleyyard {

// ---------------------------------------------------------------------------
// 1. Source
// ---------------------------------------------------------------------------

// One item of the store, or the news that it is gone.
struct source_item {
  std::string key;
  std::uint64_t revision = 0;  // of the store, when it changed
  bool removed = false;
  std::string value;
};

// What one read of the store brought.
struct source_update {
  std::vector<source_item> items;
  std::uint64_t as_of = 0;  // revision of the store that they lead to
};

enum class source_failure : std::uint8_t {
  kUnavailable,       // no answer, or a refusal
  kHistoryCompacted,  // the changes since that revision are no longer to be had
};

// Reads the store. Each call ends in one OnFullRead(), OnInstancesRead(),
// OnWatchResult() or OnSourceFailure() of the view keeper, in bounded time.
class config_source {
 public:
  virtual ~config_source() = default;
  virtual void ReadAll() = 0;
  virtual void ReadInstances() = 0;  // the registrations alone, which are small
  virtual void Watch(std::uint64_t after, duration wait) = 0;
};

// Hears what the reads of a config_source brought, from any thread.
class source_listener {
 public:
  virtual ~source_listener() = default;
  virtual void OnFullRead(source_update news) = 0;
  virtual void OnInstancesRead(source_update news) = 0;
  virtual void OnWatchResult(source_update news) = 0;
  virtual void OnSourceFailure(source_failure why, std::string detail) = 0;
};

// A failure domain that is to get no new work.
struct evacuation {
  std::string failure_domain;
};

// What an item means; std::monostate for nothing that concerns the daemon.
using decoded_item = std::variant<std::monostate,
                                  std::shared_ptr<const configuration>,
                                  instance,
                                  evacuation>;

// Turns items of the store into the model. The error says why it can't.
class item_decoder {
 public:
  virtual ~item_decoder() = default;
  virtual leaf::result<decoded_item> Decode(const std::string& key,
                                            const std::string& value) const = 0;
};

// ---------------------------------------------------------------------------
// 2. Packing
// ---------------------------------------------------------------------------

// Compresses `content`; with `base`, as a delta to it.
std::string Pack(std::string_view content, const std::string* base);

// Inverse of Pack(). Empty if damaged or of another size.
std::optional<std::string> Unpack(std::string_view packed,
                                  std::size_t size,
                                  const std::string* base);

// ---------------------------------------------------------------------------
// 3. Relay plan
// ---------------------------------------------------------------------------

// A daemon that can be told news.
struct relay_peer {
  host_address address;
  std::string region;
  bool reachable = true;  // false: its link is known to be down
};

// A part of a region, by the order of the daemons' addresses. The receiver of
// an update passes it on to the others of that part.
struct relay_range {
  std::uint64_t from = 1;
  std::uint64_t to = 0;  // inclusive; below `from`: nobody
};

struct relay_step {
  host_address to;
  relay_range span;  // what the receiver has to cover
};

// Position of a daemon in every list of daemons; the lowest reads the store.
std::uint64_t AddressOrder(const host_address& address);

// Whom the daemon that read the store tells: its own region in `fan_out` parts,
// and one daemon of each other region.
std::vector<relay_step> PlanFromOriginator(const host_address& self,
                                           const std::string& region,
                                           const std::vector<relay_peer>& peers,
                                           unsigned fan_out);

// Whom a receiver tells, which got `span` to cover.
std::vector<relay_step> PlanWithinRange(const host_address& self,
                                        const std::string& region,
                                        const host_address& root,
                                        const relay_range& span,
                                        const std::vector<relay_peer>& peers,
                                        unsigned fan_out);

// ---------------------------------------------------------------------------
// 4. View keeper
// ---------------------------------------------------------------------------

// Sends news to peers. Loss is allowed: who misses news reads the store.
class view_transport {
 public:
  virtual ~view_transport() = default;
  virtual void SendUpdate(const host_address& to,
                          const view_update& message) = 0;
  virtual bool IsReachable(const host_address& peer) const = 0;
};

// One change of what the daemon believes, for logs.
struct view_event {
  std::string_view name;  // such as "configuration adopted"
  std::string subject;    // instance, failure domain or version
  std::uint64_t revision = 0;
  duration age{};       // of the view
  std::string because;  // empty if that is plain
};

class view_listener {
 public:
  virtual ~view_listener() = default;
  virtual void OnSnapshot(std::shared_ptr<const snapshot> view) = 0;
  virtual void OnEvent(const view_event& event) = 0;
};

struct view_options {
  host_address address;                      // this daemon
  std::string region;                        // of this host
  region_map regions;                        // of all failure domains
  duration watch = milliseconds(500);        // longest wait of one watch
  duration pause = milliseconds(200);        // between two watches
  duration stale_after = milliseconds(900);  // age at which anyone reads
  unsigned fan_out = 16;                     // peers told by one daemon
};

struct view_status {
  std::uint64_t revision = 0;  // of the store
  std::uint64_t version = 0;   // of the configuration; 0: none yet
  duration age{};              // since the store confirmed the revision
  instant confirmed_at{};      // then
  bool active_reader = false;  // this daemon watches the store for the others
  std::uint64_t reads = 0;     // calls to the store since the start
  std::uint64_t failures = 0;  // of these, without an answer
};

class view_keeper {
 public:
  view_keeper(view_options options,
              const clock_source& clock,
              const item_decoder& decoder,
              config_source& source,
              view_transport& link,
              view_listener& listener);

  void Tick();

  // Results of the source.
  void OnFullRead(source_update news);
  void OnInstancesRead(source_update news);
  void OnWatchResult(source_update news);
  void OnSourceFailure(source_failure why);

  // A peer's news.
  void OnUpdate(const view_update& message);
  // A peer started anew. It is told everything if it can't read for itself.
  void OnPeerStarted(const host_address& peer);

  view_status Status() const;
  std::shared_ptr<const snapshot> Current() const { return view_; }

 private:
  struct held_item {
    std::uint64_t revision = 0;
    std::string value;
    decoded_item meaning;
    instant cold_until{};  // of an instance
    bool lapsed = false;   // removed, but kept since it may come back
  };

  duration Age(instant now) const { return now - confirmed_at_; }
  duration ReadAfter(instant now) const;
  std::size_t Rank() const;
  bool IsListed() const;
  bool IsInRegion(const host_address& host) const;
  std::size_t RankInRegion(const host_address& except) const;
  std::size_t PeersInRegion() const;
  void TellRegionEverything();
  void AskForNews() const;
  void AskIfNotListed(instant now);
  void TellGuests(const view_update& news);
  void DropWhatIsMissing(const view_update& everything);
  view_update Everything() const;
  duration WholeReadDelay() const;
  std::vector<relay_peer> Peers() const;
  void Read(instant now);
  void ObservePause(instant now);
  void AddRemovals(source_update& news) const;
  void TakeIn(std::vector<source_item> items,
              std::uint64_t as_of,
              instant confirmed);
  void Confirm(std::uint64_t revision, instant at);
  bool Apply(const source_item& item, instant learnt_at);
  bool ApplyRemoval(const source_item& item);
  bool Adopt(const source_item& item, held_item& held, instant learnt_at);
  bool IsOlder(const instance& offered, const held_item& held) const;
  void DropLapsed(instant now);
  void NoteReturn(instant now);
  void Publish();
  void Report(std::string_view what,
              const std::string& subject,
              std::string because = "");
  view_update EmptyUpdate(std::uint64_t from) const;
  static view_item PackItem(const source_item& item, const held_item& base);
  void Spread(const view_update& message,
              const std::vector<relay_step>& steps) const;
  std::vector<source_item> LatestOfEach(std::vector<source_item> items) const;
  std::optional<std::vector<source_item>> UnpackItems(
      const view_update& message) const;

  view_options options_;
  const clock_source& clock_;
  const item_decoder& decoder_;
  config_source& source_;
  view_transport& link_;
  view_listener& listener_;

  std::map<std::string, held_item> items_;  // by key
  std::uint64_t revision_ = 0;
  instant confirmed_at_{};
  std::shared_ptr<const snapshot> view_ = std::make_shared<const snapshot>();

  bool reading_ = false;     // a read is under way
  bool active_ = false;      // this daemon watches for the others
  instant next_question_{};  // to peers, not before
  std::map<host_address, instant> guests_;  // on no list; when they asked
  bool read_all_ = true;                    // the next read takes everything
  bool knows_peers_ = false;                // the registrations were read once
  bool catch_up_ = false;                   // a gap was seen; read at once
  bool failed_since_confirmed_ = false;     // a read failed after that
  instant config_changed_at_ = instant::min() / 2;
  instant read_began_{};
  instant next_read_{};     // not before
  instant yields_until_{};  // after a failure others go first
  instant removals_held_until_{};
  bool stale_reported_ = false;
  pause_guard pause_;
  instant read_confirmed_at_{};  // by the last read of this daemon itself
  std::uint64_t reads_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CONTROL_CONTROL_H_
