// Reads the store and applies its changes to the view. control/view_updates.cc
// has the updates between daemons.

#include "control/control.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <tuple>

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

bool HasSameState(const instance& a, const instance& b) {
  return a.service == b.service && a.host == b.host && a.port == b.port &&
         a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.draining == b.draining && a.started_ms == b.started_ms &&
         a.cold_left == b.cold_left;
}

// True if `a` started later than `b`. If the start times are equal or both
// unknown: true if `a` was changed later in the store.
bool IsNewer(const known_instance& a, const known_instance& b) {
  return std::tuple(a.registration.started_ms, a.revision) >
         std::tuple(b.registration.started_ms, b.revision);
}

// An instance that lost power stays registered for some seconds after another
// has started at its address. Only the newest instance at an address can
// respond.
void DropReplacedInstances(snapshot& view) {
  std::map<std::pair<host_address, std::uint16_t>, std::string> newest;
  for (const auto& [id, known] : view.instances) {
    std::string& newest_id =
        newest[{known.registration.host, known.registration.port}];
    if (newest_id.empty() || IsNewer(known, view.instances.at(newest_id))) {
      newest_id = id;
    }
  }
  std::erase_if(view.instances, [&](const auto& item) {
    const instance& registration = item.second.registration;
    return newest[{registration.host, registration.port}] != item.first;
  });
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
  return {.revision = revision_,
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

std::vector<relay_peer> view_keeper::Peers() const {
  std::map<host_address, relay_peer> peers;
  for (const auto& [id, known] : view_->instances) {
    if (known.registration.host == options_.address) {
      continue;
    }
    peers[known.registration.host] = {
        .address = known.registration.host,
        .region = std::string(
            RegionOf(options_.regions, known.registration.failure_domain)),
        .reachable = transport_.IsReachable(known.registration.host)};
  }
  std::vector<relay_peer> list;
  for (auto& [address, peer] : peers) {
    list.push_back(std::move(peer));
  }
  return list;
}

// Number of daemons before this one in the address order.
std::size_t view_keeper::Rank() const {
  const std::uint64_t own = AddressOrder(options_.address);
  std::set<host_address> before;
  for (const auto& [id, known] : view_->instances) {
    if (AddressOrder(known.registration.host) < own) {
      before.insert(known.registration.host);
    }
  }
  return before.size();
}

bool view_keeper::IsInOwnRegion(const host_address& host) const {
  return std::any_of(
      view_->instances.begin(), view_->instances.end(), [&](const auto& item) {
        const instance& registration = item.second.registration;
        return registration.host == host &&
               RegionOf(options_.regions, registration.failure_domain) ==
                   options_.region;
      });
}

std::size_t view_keeper::CountPeersInRegion() const {
  const std::vector<relay_peer> peers = Peers();
  return static_cast<std::size_t>(std::count_if(
      peers.begin(), peers.end(),
      [&](const relay_peer& peer) { return peer.region == options_.region; }));
}

// Number of peers of the region before this daemon in the address order,
// without `except`.
std::size_t view_keeper::RankInRegion(const host_address& except) const {
  const std::uint64_t own = AddressOrder(options_.address);
  const std::vector<relay_peer> peers = Peers();
  return static_cast<std::size_t>(
      std::count_if(peers.begin(), peers.end(), [&](const relay_peer& peer) {
        return peer.region == options_.region && peer.address != except &&
               AddressOrder(peer.address) < own;
      }));
}

// True if this daemon's instance is registered, so that peers know the daemon
// and send it updates.
bool view_keeper::IsListed() const {
  return std::any_of(view_->instances.begin(), view_->instances.end(),
                     [&](const auto& item) {
                       return item.second.registration.host == options_.address;
                     });
}

// Age of the view from which this daemon reads the store itself. The first
// daemon in the address order reads all the time, except for a time after a
// failed read; the others read only if no updates arrive.
duration view_keeper::TakeoverAge(instant now) const {
  const std::size_t rank = Rank();
  const bool is_first_choice = rank == 0 && now >= back_off_until_;
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

// Daemons behind the preferred readers delay a full read: the active reader
// sends its result to them. An unlisted daemon does not wait, since the active
// reader may not know of it.
duration view_keeper::FullReadDelay() const {
  const bool reads_at_once = Rank() < kPreferredReaders || !IsListed();
  return reads_at_once ? duration::zero() : kFullReadDelay;
}

// An update that waited in a socket while the process was suspended is older
// than its age_ms. After a pause only an own read of this daemon confirms the
// view.
void view_keeper::ObservePause(instant now) {
  if (pause_guard_.Observe(now) && revision_ != 0) {
    needs_catch_up_ = true;
    next_read_ = now;
    Report("process resumed after a pause", options_.address);
  }
}

void view_keeper::Tick() {
  const instant now = clock_.Now();
  ObservePause(now);
  DropExpired(now);
  RequestUpdatesIfUnlisted(now);
  const bool stale = revision_ != 0 && Age(now) > kStoreOutageAge;
  if (stale != stale_reported_) {
    stale_reported_ = stale;
    Report(stale ? "view stale" : "view no longer stale", "");
  }
  if (read_in_flight_ || now < next_read_) {
    return;
  }
  if (!active_reader_ && revision_ != 0 && !needs_catch_up_ &&
      TimeSinceNews(now) >= TakeoverAge(now)) {
    active_reader_ = true;
    Report("became active reader", options_.address);
    return StartRead(now);
  }
  if (active_reader_ || needs_catch_up_ || revision_ == 0) {
    StartRead(now);
  }
}

void view_keeper::StartRead(instant now) {
  read_in_flight_ = true;
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
  source_.Watch(revision_, behind ? kMinWatchWait : options_.watch);
}

void view_keeper::OnSourceFailure(source_failure why) {
  const instant now = clock_.Now();
  read_in_flight_ = false;
  if (why == source_failure::kHistoryCompacted) {
    Report("store history compacted", "");
    needs_full_read_ = true;
    needs_catch_up_ = true;
    next_read_ = now + FullReadDelay();
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
  back_off_until_ = now + kReaderBackOff;
}

// A view that was confirmed lately shows that the store was available, whatever
// another daemon has seen.
bool view_keeper::MayHaveMissedOutage(instant now) const {
  return revision_ == 0 || TimeSinceNews(now) >= kStoreOutageAge;
}

// Instances whose registration expired during a store outage are kept until
// they had time to register again. A view can be old for other reasons, such as
// a process pause: only a failed read shows that the store was unavailable.
void view_keeper::HoldRemovalsAfterOutage(instant now) {
  if (revision_ != 0 && failed_since_confirmed_ &&
      TimeSinceNews(now) >= kStoreOutageAge) {
    removals_held_until_ = now + kReregistrationTime;
    Report("store available again", "",
           "removals are delayed so that instances can register again");
  }
}

// ---------------------------------------------------------------------------
// Results of reads
// ---------------------------------------------------------------------------

void view_keeper::ConfirmRevision(std::uint64_t revision,
                                  instant at,
                                  instant news_at) {
  confirmed_at_ = revision_ == 0 ? at : std::max(confirmed_at_, at);
  news_at_ = revision_ == 0 ? news_at : std::max(news_at_, news_at);
  revision_ = std::max(revision_, revision);
  failed_since_confirmed_ &= TimeSinceNews(clock_.Now()) >= kStoreOutageAge;
}

// A full read does not list removals: a cached item that it lacks was removed.
void view_keeper::AddImpliedRemovals(source_update& update) const {
  std::set<std::string> present;
  for (const source_item& item : update.items) {
    present.insert(item.key);
  }
  for (const auto& [key, cached] : items_) {
    if (!present.contains(key) && cached.revision <= update.as_of.revision) {
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
  if (revision_ != 0) {
    return;
  }
  for (const source_item& item : update.items) {
    ApplyItem(item);
  }
  PublishSnapshot();
  const bool waits = WaitsForStartupReaders();
  next_read_ = waits ? now + kStartupReadDelay : now;
  if (waits) {
    RequestUpdates();
  }
}

void view_keeper::OnFullRead(source_update update) {
  const instant now = clock_.Now();
  read_in_flight_ = false;
  needs_full_read_ = false;
  needs_catch_up_ = false;
  next_read_ = now + options_.pause;
  if (update.as_of.revision < revision_) {
    return;
  }
  AddImpliedRemovals(update);
  ApplyRead(std::move(update.items), update.as_of, read_started_at_);
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
  const instant now = clock_.Now();
  read_in_flight_ = false;
  next_read_ = update.items.empty() ? now : now + options_.pause;
  // A revision cannot rise without a change, so the store omitted some.
  if (update.items.empty() && update.as_of.revision > revision_) {
    Report("store changes missing", std::to_string(update.as_of.revision));
    needs_full_read_ = true;
    needs_catch_up_ = true;
    return;
  }
  if (update.as_of.revision < revision_) {
    return;
  }
  // The store sends an empty response at the end of the wait, so it confirms
  // the view at that time and not at the start of the read.
  const bool waited =
      update.items.empty() && now - read_started_at_ >= options_.watch;
  const instant confirmed =
      waited ? read_started_at_ + options_.watch : read_started_at_;
  ApplyRead(LatestPerKey(std::move(update.items)), update.as_of, confirmed);
}

// Applies the items of a read and, if this daemon is the active reader, sends
// the changes to its peers.
void view_keeper::ApplyRead(std::vector<source_item> items,
                            store_position as_of,
                            instant confirmed) {
  HoldRemovalsAfterOutage(clock_.Now());
  const bool is_first_view = revision_ == 0;
  view_update update = EmptyUpdate(revision_);
  bool changed = is_first_view;
  for (const source_item& item : items) {
    const auto cached = items_.find(item.key);
    const cached_item base =
        cached == items_.end() ? cached_item() : cached->second;
    const bool applied = ApplyItem(item);
    changed |= applied;
    if (applied || item.removed) {
      update.items.push_back(PackItem(item, base));
    }
  }
  ConfirmRevision(as_of.revision, confirmed, confirmed);
  own_read_confirmed_at_ = read_started_at_;
  if (changed) {
    PublishSnapshot();
  }
  if (is_first_view) {
    return SendFullUpdateToRegion();
  }
  if (!active_reader_) {
    return;
  }
  StampUpdate(update);
  Relay(update, PlanFromOriginator(options_.address, options_.region, Peers(),
                                   options_.fan_out));
  SendToSubscribers(update);
}

// ---------------------------------------------------------------------------
// Applying items
// ---------------------------------------------------------------------------

// True if `offered` is older than the cached registration: delayed
// registrations may arrive out of order.
bool view_keeper::IsOlder(const instance& offered,
                          const cached_item& cached) const {
  const auto* known = std::get_if<instance>(&cached.decoded);
  if (known == nullptr) {
    return false;
  }
  if (offered.started_ms != known->started_ms) {
    return offered.started_ms < known->started_ms;
  }
  return offered.sequence < known->sequence;
}

bool view_keeper::ApplyItem(const source_item& item) {
  const auto found = items_.find(item.key);
  if (found != items_.end() && found->second.revision >= item.revision) {
    return false;
  }
  if (item.removed) {
    return ApplyRemoval(item);
  }
  return ApplyValue(item, items_[item.key]);
}

bool view_keeper::ApplyRemoval(const source_item& item) {
  const auto found = items_.find(item.key);
  if (found == items_.end()) {
    return false;
  }
  cached_item& cached = found->second;
  if (std::holds_alternative<std::shared_ptr<const configuration>>(
          cached.decoded)) {
    return false;
  }
  const auto* known = std::get_if<instance>(&cached.decoded);
  const bool may_reregister = known != nullptr && !known->draining;
  if (may_reregister && clock_.Now() < removals_held_until_) {
    cached.expired = true;
    cached.revision = item.revision;
    Report("instance expired", known->id,
           "kept until it had time to register again");
    return false;
  }
  Report("item removed", item.key);
  items_.erase(found);
  return true;
}

void view_keeper::DropExpired(instant now) {
  if (now < removals_held_until_) {
    return;
  }
  const std::size_t dropped = std::erase_if(
      items_, [](const auto& entry) { return entry.second.expired; });
  if (dropped > 0) {
    Report("expired instances removed", std::to_string(dropped),
           "they did not register again after the store outage");
    PublishSnapshot();
  }
}

// Decodes and applies the value of one item. Returns false if nothing changed
// that calls depend on.
bool view_keeper::ApplyValue(const source_item& item, cached_item& cached) {
  std::string problem;
  decoded_item decoded = leaf::try_handle_all(
      [&]() -> leaf::result<decoded_item> {
        return decoder_.Decode(item.key, item.value);
      },
      [&](const model_error& error) {
        problem = error.path + ": " + error.message;
        return decoded_item();
      },
      [&] {
        problem = "unknown error";
        return decoded_item();
      });
  cached.revision = item.revision;
  if (!problem.empty()) {
    Report("item rejected", item.key, problem);
  }
  const bool keeps_last_valid =
      !problem.empty() &&
      std::holds_alternative<std::shared_ptr<const configuration>>(
          cached.decoded);
  if (keeps_last_valid) {
    return false;
  }
  if (const auto* offered = std::get_if<instance>(&decoded)) {
    if (IsOlder(*offered, cached)) {
      Report("registration ignored", offered->id,
             "it is older than the last one");
      return false;
    }
    const auto* known = std::get_if<instance>(&cached.decoded);
    const bool same = known != nullptr && HasSameState(*known, *offered);
    const bool reregistered = std::exchange(cached.expired, false);
    const bool cold = offered->cold_left > duration::zero();
    if (!same || cold) {
      // Counted from now: when the registration was written is not known, and
      // a read may have begun before that.
      cached.cold_until = clock_.Now() + offered->cold_left;
    }
    if (!same) {
      Report(offered->draining ? "instance draining" : "instance ready",
             offered->id, cold ? "cold" : "");
    }
    cached.value = item.value;
    cached.decoded = std::move(decoded);
    return !same || reregistered || cold;
  }
  if (const auto* config =
          std::get_if<std::shared_ptr<const configuration>>(&decoded)) {
    config_changed_at_ = clock_.Now();
    Report("configuration adopted", std::to_string((*config)->version()));
  } else if (const auto* out = std::get_if<evacuation>(&decoded)) {
    Report("evacuation", out->failure_domain);
  }
  cached.value = item.value;
  cached.decoded = std::move(decoded);
  return true;
}

void view_keeper::PublishSnapshot() {
  auto next = std::make_shared<snapshot>();
  next->revision = revision_;
  for (const auto& [key, cached] : items_) {
    if (const auto* config = std::get_if<std::shared_ptr<const configuration>>(
            &cached.decoded)) {
      next->config = *config;
    } else if (const auto* known = std::get_if<instance>(&cached.decoded)) {
      next->instances[known->id] = {.registration = *known,
                                    .revision = cached.revision,
                                    .cold_until = cached.cold_until};
    } else if (const auto* out = std::get_if<evacuation>(&cached.decoded)) {
      next->evacuated.insert(out->failure_domain);
    }
  }
  DropReplacedInstances(*next);
  for (const auto& [id, known] : next->instances) {
    next->by_service[known.registration.service].push_back(&known);
  }
  view_ = std::move(next);
  listener_.OnSnapshot(view_);
}

void view_keeper::Report(std::string_view name,
                         const std::string& subject,
                         std::string because) {
  listener_.OnEvent({.name = name,
                     .subject = subject,
                     .revision = revision_,
                     .age = Age(clock_.Now()),
                     .because = std::move(because)});
}

}  // namespace parsleyyard
