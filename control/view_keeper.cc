// Reads the store. control/view_items.cc applies the items that it reads to the
// view, and control/view_updates.cc has the updates between daemons.

#include "control/control.h"

#include <algorithm>
#include <limits>

namespace parsleyyard {

namespace {

// Time from the end of a store outage within which a live instance registers
// again if its registration expired meanwhile; an instance that does not is
// gone. The platform states "about two seconds".
constexpr duration kReregistrationTime = std::chrono::milliseconds(2300);
// Age of the view from which the store counts as unavailable. Registrations
// expire after three missed heartbeats, which takes longer.
constexpr duration kStoreOutageAge = std::chrono::milliseconds(1500);
// Delay after a failed read; the store charges for refused requests too.
constexpr duration kFailedReadDelay = std::chrono::milliseconds(350);
// Time after a failed read in which the first daemon in the address order reads
// the store only once its view is `stale_after` old, so that another daemon can
// take over.
constexpr duration kReaderBackOff = std::chrono::seconds(2);
// Difference between the view ages at which two successive preferred readers
// take over from a lost active reader.
constexpr duration kPreferredReaderStep = std::chrono::milliseconds(80);
// Reads per second of the fleet in an outage of the store, beside those of the
// preferred readers. The first that succeeds brings the others up to date.
constexpr int kOutageReadsPerSecond = 100;
// Number of daemons at the start of the address order that take over first.
constexpr std::size_t kPreferredReaders = 3;
// Added per rank to the view age at which a daemon takes over, up to
// kMaxFollowerDelay. The later daemons take over one by one, so that an update
// of a preferred reader reaches them and they need not read: many reads at once
// fill the link between two regions.
constexpr duration kFollowerDelayPerRank = std::chrono::milliseconds(5);
constexpr duration kMaxFollowerDelay = std::chrono::milliseconds(250);
// Reads per second of all daemons together when the active reader is lost, half
// of the rate that the platform allows. Spreads the reads by rank.
constexpr std::size_t kTakeoverReadsPerSecond = 1000;
// A configuration that changed within this time may be one of a burst.
constexpr duration kConfigurationBurstWindow = std::chrono::seconds(2);
// Time for the preferred readers to do a full read and to send the result to
// the other daemons.
constexpr duration kFullReadDelay = std::chrono::milliseconds(700);
// Wait of a daemon for the full view from the startup readers of its region.
constexpr duration kStartupReadDelay = std::chrono::milliseconds(1200);
// Shortest wait that the store accepts for a watch; it responds at once.
constexpr duration kMinWatchWait = std::chrono::milliseconds(1);

std::vector<relay_peer> UnionOf(const std::vector<relay_peer>& before,
                                std::vector<relay_peer> now) {
  std::set<host_address> known;
  for (const relay_peer& peer : now) {
    known.insert(peer.address);
  }
  for (const relay_peer& peer : before) {
    if (!known.contains(peer.address)) {
      now.push_back(peer);
    }
  }
  return now;
}

std::set<std::string> KeysOf(const std::vector<source_item>& items) {
  std::set<std::string> keys;
  for (const source_item& item : items) {
    keys.insert(item.key);
  }
  return keys;
}

}  // namespace

view_keeper::view_keeper(view_options options,
                         const clock_source& clock,
                         const item_decoder& decoder,
                         config_source& source,
                         view_transport& transport,
                         view_listener& listener)
    : options_(std::move(options)),
      clock_(clock),
      decoder_(decoder),
      source_(source),
      transport_(transport),
      listener_(listener),
      confirmed_at_(clock.Now()),
      news_at_(clock.Now()),
      pause_guard_(clock.Now()) {}

view_status view_keeper::Status() const {
  return {.position = position_,
          .version = view_->config ? view_->config->version() : 0,
          .age = Age(clock_.Now()),
          .confirmed_at = confirmed_at_,
          .active_reader = active_reader_,
          .reads = reads_,
          .failures = failures_};
}

// ---------------------------------------------------------------------------
// When to read
// ---------------------------------------------------------------------------

// Peers with the state of the links to them.
std::vector<relay_peer> view_keeper::Peers() const {
  std::vector<relay_peer> peers = place_.peers;
  for (relay_peer& peer : peers) {
    peer.reachable = transport_.IsReachable(peer.address);
  }
  return peers;
}

// Age of the view from which this daemon reads the store itself. The first
// daemon in the address order reads all the time, except for a time after a
// failed read; the others read only if no updates arrive.
duration view_keeper::TakeoverAge(instant now) const {
  const std::size_t rank = place_.rank;
  const bool is_first_choice =
      rank == 0 && place_.is_listed && now >= back_off_until_;
  if (is_first_choice) {
    return duration::zero();
  }
  const duration load_spread =
      std::chrono::microseconds(seconds(1)) * rank / kTakeoverReadsPerSecond;
  const duration follower_delay = std::min<duration>(
      kFollowerDelayPerRank * static_cast<int>(rank), kMaxFollowerDelay);
  return options_.stale_after +
         kPreferredReaderStep * std::min(rank, kPreferredReaders) +
         follower_delay + load_spread;
}

// Delay after a failed read until this daemon tries to take over again. All
// daemons lose the store in an outage; spread over the fleet, their reads find
// its end as soon as if each read all the time.
duration view_keeper::OutageReadDelay() const {
  const bool is_preferred =
      place_.rank < kPreferredReaders || place_.rank_in_region < kRegionReaders;
  if (is_preferred) {
    return kFailedReadDelay;
  }
  const duration interval = duration(seconds(1)) *
                            static_cast<int>(place_.peers.size()) /
                            kOutageReadsPerSecond;
  const double spread =
      static_cast<double>(AddressOrder(options_.address)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return std::max(kFailedReadDelay, std::chrono::duration_cast<duration>(
                                        interval * (0.5 + spread)));
}

// Daemons behind the preferred readers delay a full read: the active reader
// sends its result to them. An unlisted daemon does not wait, since the active
// reader may not know of it.
duration view_keeper::FullReadDelay() const {
  const bool reads_at_once =
      place_.rank < kPreferredReaders || !place_.is_listed;
  return reads_at_once ? duration::zero() : kFullReadDelay;
}

void view_keeper::PlanFullRead() {
  needs_full_read_ = true;
  needs_catch_up_ = true;
  next_read_ = clock_.Now() + FullReadDelay();
}

// An update that waited in a socket while the process was suspended is older
// than its age_ms. After a pause only an own read of this daemon confirms the
// view.
void view_keeper::ObservePause(instant now) {
  if (pause_guard_.Observe(now) && HasView()) {
    needs_catch_up_ = true;
    next_read_ = now;
    Report("process resumed after a pause", options_.address);
  }
}

void view_keeper::Tick() {
  const instant now = clock_.Now();
  ObservePause(now);
  DropHeldItems(now);
  ShowHiddenItems(now);
  RequestUpdatesIfUnlisted(now);
  RequestMissedUpdates(now);
  const bool stale = HasView() && Age(now) > kStoreOutageAge;
  if (stale != stale_reported_) {
    stale_reported_ = stale;
    Report(stale ? "view stale" : "view no longer stale", "");
  }
  if (read_in_flight_ || now < next_read_) {
    return;
  }
  if (!active_reader_ && HasView() && !needs_catch_up_ &&
      now >= next_takeover_ && TimeSinceNews(now) >= TakeoverAge(now)) {
    // An unlisted daemon reads for itself: when a fleet starts, none is listed
    // yet, and each would read for all.
    active_reader_ = place_.is_listed;
    needs_catch_up_ = !active_reader_;
    if (active_reader_) {
      Report("became active reader", options_.address);
    }
    return StartRead(now);
  }
  if (active_reader_ || needs_catch_up_ || !HasView()) {
    StartRead(now);
  }
}

void view_keeper::StartRead(instant now) {
  read_in_flight_ = true;
  era_began_during_read_ = false;
  read_started_at_ = now;
  ++reads_;
  if (!state_read_) {
    return source_.ReadState();
  }
  const bool behind =
      needs_catch_up_ || TimeSinceNews(now) > options_.watch + options_.pause;
  // A watch returns each missed configuration version; a full read only the
  // latest.
  const bool many_missed_versions =
      behind && now - config_changed_at_ < kConfigurationBurstWindow;
  if (needs_full_read_ || many_missed_versions) {
    return source_.ReadAll();
  }
  needs_catch_up_ = false;
  watch_wait_ = behind ? kMinWatchWait : options_.watch;
  source_.Watch(position_.revision, watch_wait_);
}

void view_keeper::OnSourceFailure(source_failure why) {
  const instant now = clock_.Now();
  read_in_flight_ = false;
  if (why == source_failure::kHistoryCompacted) {
    Report("store history compacted", "");
    return PlanFullRead();
  }
  if (why == source_failure::kEraChanged) {
    next_read_ = now + options_.pause;
    return;
  }
  // A watch returns all that was missed, which can be more than the link
  // carries in time, however often it is repeated.
  needs_full_read_ |= why == source_failure::kIncomplete;
  ++failures_;
  failed_since_confirmed_ = true;
  if (active_reader_) {
    active_reader_ = false;
    Report("no longer active reader", options_.address,
           "the store read failed");
  }
  next_read_ = now + kFailedReadDelay;
  next_takeover_ = now + OutageReadDelay();
  back_off_until_ = now + kReaderBackOff;
}

// A view that was confirmed lately shows that the store was available, whatever
// another daemon has seen.
bool view_keeper::MayHaveMissedOutage(instant now) const {
  return !HasView() || TimeSinceNews(now) >= kStoreOutageAge;
}

void view_keeper::HoldRemovals() {
  removals_held_until_ = clock_.Now() + kReregistrationTime;
}

// Instances whose registration expired during a store outage are kept until
// they had time to register again. A view can be old for other reasons, such as
// a process pause: only a failed read shows that the store was unavailable.
void view_keeper::HoldRemovalsAfterOutage(instant now) {
  if (HasView() && failed_since_confirmed_ &&
      TimeSinceNews(now) >= kStoreOutageAge) {
    HoldRemovals();
    Report("store available again", "",
           "removals are delayed so that instances can register again");
  }
}

// ---------------------------------------------------------------------------
// Results of reads
// ---------------------------------------------------------------------------

void view_keeper::ConfirmPosition(const store_position& position,
                                  instant at,
                                  instant news_at) {
  confirmed_at_ = HasView() ? std::max(confirmed_at_, at) : at;
  news_at_ = HasView() ? std::max(news_at_, news_at) : news_at;
  position_ = HasView() ? std::max(position_, position) : position;
  failed_since_confirmed_ &= TimeSinceNews(clock_.Now()) >= kStoreOutageAge;
  next_takeover_ = instant();
  requests_without_news_ = 0;
  last_news_arrived_at_ = clock_.Now();
}

// Revisions of two eras can't be compared.
void view_keeper::NoteKnownTo(std::uint64_t revision, bool begins_era) {
  known_to_revision_ =
      begins_era ? revision : std::max(known_to_revision_, revision);
}

// A full read does not list removals: a cached item that it lacks was removed.
// Held items are missing from it until they are written again.
void view_keeper::AddImpliedRemovals(source_update& update) const {
  const std::set<std::string> present = KeysOf(update.items);
  for (const auto& [key, cached] : items_) {
    if (!cached.held && !present.contains(key) &&
        cached.position <= update.as_of) {
      update.items.push_back(
          {.key = key, .revision = update.as_of.revision, .removed = true});
    }
  }
}

// The first read of a process. It shows the peers, whether this daemon is one
// of those that read the whole store at the start of a large region, and all
// that the call target must respect but the limits of the configuration.
void view_keeper::OnStateRead(source_update update) {
  const instant now = clock_.Now();
  read_in_flight_ = false;
  state_read_ = true;
  if (HasView()) {
    return;
  }
  NoteKnownTo(update.known_to_revision, true);
  for (const source_item& item : update.items) {
    ApplyItem(item, update.as_of.era);
  }
  PublishSnapshot();
  const bool waits = WaitsForStartupReaders();
  next_read_ = waits ? now + kStartupReadDelay : now;
  if (waits) {
    RequestUpdates();
  }
}

// Drops a read that is not of the store's present history: its answer is late
// or states no era.
void view_keeper::RejectRead(const store_position& offered) {
  Report("read ignored",
         std::to_string(offered.era) + "/" + std::to_string(offered.revision),
         "its era is over or not stated");
  OnSourceFailure(source_failure::kUnavailable);
}

void view_keeper::OnFullRead(source_update update) {
  if (IsOfEarlierEra(update.as_of)) {
    return RejectRead(update.as_of);
  }
  read_in_flight_ = false;
  needs_full_read_ = false;
  needs_catch_up_ = false;
  next_read_ = clock_.Now() + options_.pause;
  if (HasView() && update.as_of < position_) {
    return;
  }
  const bool begins_era = BeginsEra(update.as_of);
  if (begins_era) {
    BeginEra(KeysOf(update.items), update.as_of);
  } else {
    AddImpliedRemovals(update);
  }
  ApplyRead(update, read_started_at_, read_kind::kAllItems);
}

std::vector<source_item> view_keeper::LatestPerKey(
    std::vector<source_item> items) const {
  std::map<std::string, std::size_t> last;
  for (std::size_t i = 0; i < items.size(); ++i) {
    last[items[i].key] = i;
  }
  std::vector<source_item> latest;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (last[items[i].key] == i) {
      latest.push_back(std::move(items[i]));
    }
  }
  return latest;
}

void view_keeper::OnWatchResult(source_update update) {
  if (IsOfEarlierEra(update.as_of)) {
    return RejectRead(update.as_of);
  }
  const instant now = clock_.Now();
  read_in_flight_ = false;
  // The watch began at a revision of the earlier era, so that its changes
  // belong to another history.
  if (BeginsEra(update.as_of)) {
    Report("store era ended", std::to_string(update.as_of.era));
    return PlanFullRead();
  }
  // A peer's update began the era meanwhile: the watch began in the one before.
  if (std::exchange(era_began_during_read_, false)) {
    Report("read ignored", std::to_string(update.as_of.revision),
           "it began in another era of the store");
    next_read_ = now;
    return;
  }
  next_read_ = update.items.empty() ? now : now + options_.pause;
  // A revision cannot rise without a change, so the store omitted some.
  if (update.items.empty() && update.as_of > position_) {
    Report("store changes missing", std::to_string(update.as_of.revision));
    needs_full_read_ = true;
    needs_catch_up_ = true;
    return;
  }
  if (update.as_of < position_) {
    return;
  }
  // The store sends an empty response at the end of the wait, so it confirms
  // the view at that time and not at the start of the read.
  const bool waited =
      update.items.empty() && now - read_started_at_ >= watch_wait_;
  const instant confirmed =
      waited ? read_started_at_ + watch_wait_ : read_started_at_;
  update.items = LatestPerKey(std::move(update.items));
  ApplyRead(update, confirmed, read_kind::kChanges);
}

// Applies the items of a read and packs the update that leads peers from the
// revision of this daemon's view to that of the read. It has each change in
// between, also one that this daemon knows already: a page of an earlier range
// read can be newer than the whole read, and peers know nothing of it. In a new
// era they get all items.
view_update view_keeper::ApplyItemsOfRead(const std::vector<source_item>& items,
                                          std::uint64_t era,
                                          bool begins_era,
                                          bool& changed) {
  view_update update = EmptyUpdate(begins_era ? 0 : position_.revision);
  std::size_t known_before = 0;
  for (const source_item& item : items) {
    const auto cached = items_.find(item.key);
    const bool known = cached != items_.end();
    const bool was_applied =
        known && cached->second.position >=
                     store_position{.era = era, .revision = item.revision};
    // Peers have no value that a delta to the applied one could start from.
    const std::string base =
        known && !was_applied ? cached->second.value : std::string();
    changed |= ApplyItem(item, era);
    const bool is_after_update_base = item.revision > update.from_revision;
    if (is_after_update_base || item.removed || begins_era) {
      update.items.push_back(PackItem(item, base));
      known_before += was_applied ? 1 : 0;
    }
  }
  if (known_before > 0 && HasView() && !begins_era) {
    Report("known changes sent again", std::to_string(known_before),
           "they were read before the changes of an earlier revision");
  }
  return update;
}

// Applies the result of a read and, if this daemon is the active reader, sends
// the changes to its peers.
void view_keeper::ApplyRead(const source_update& read,
                            instant confirmed,
                            read_kind kind) {
  HoldRemovalsAfterOutage(clock_.Now());
  const bool is_first_view = !HasView();
  const bool begins_era = BeginsEra(read.as_of);
  const std::vector<relay_peer> peers_before = Peers();
  // A removal that this daemon knew already is not implied by a read of all
  // items. Only a full view tells peers of it.
  const bool lacks_removals = kind == read_kind::kAllItems &&
                              KnowsLaterChanges() && !is_first_view &&
                              !begins_era;
  bool changed = is_first_view || begins_era;
  view_update update =
      ApplyItemsOfRead(read.items, read.as_of.era, begins_era, changed);
  ConfirmPosition(read.as_of, confirmed, confirmed);
  NoteKnownTo(read.known_to_revision, begins_era);
  own_read_confirmed_at_ = read_started_at_;
  if (changed) {
    PublishSnapshot();
  }
  const bool shares_read = std::exchange(shares_next_read_, false);
  if (lacks_removals) {
    Report("full view sent", "", "some removals were known before");
    update = BuildFullUpdate();
  }
  StampUpdate(update);
  const bool follows_log = !is_first_view && !begins_era && !lacks_removals;
  follows_log ? update_log_.Add(update, confirmed_at_) : update_log_.Clear();
  if (is_first_view) {
    return ReadsForRegionAtStart() ? SendFullUpdateToRegion() : void();
  }
  SendToSubscribers(update);
  if (active_reader_) {
    // The daemon beside an instance that was removed is no peer any more, but
    // must hear of it.
    Relay(update,
          PlanFromOriginator(options_.address, options_.region,
                             UnionOf(peers_before, Peers()), options_.fan_out));
  } else if (shares_read) {
    RelayToRegion(update);
  }
}

void view_keeper::Report(std::string_view name,
                         const std::string& subject,
                         std::string because) {
  listener_.OnEvent({.name = name,
                     .subject = subject,
                     .position = position_,
                     .age = Age(clock_.Now()),
                     .because = std::move(because)});
}

}  // namespace parsleyyard
