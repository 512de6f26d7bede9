// Updates between daemons: the part of the view keeper that packs, relays and
// applies them.

#include "control/control.h"
#include "control/view_internals.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace parsleyyard {

namespace {

// Values of fewer bytes are sent whole: a delta saves nothing.
constexpr std::size_t kMinDeltaBytes = 4096;
// An update without a newer revision that confirms the view by no more than
// this is a duplicate. Forwarding it would create a loop between two daemons
// that requested updates from each other.
constexpr duration kDuplicateUpdateWindow = std::chrono::milliseconds(100);

std::uint64_t HashOf(const std::string& value) {
  return XXH3_64bits(value.data(), value.size());
}

store_position PositionOf(const view_update& update) {
  return {.era = update.era, .revision = update.to_revision};
}

}  // namespace

// True if two other daemons of the region read the whole store at its start and
// send it to this one.
bool view_keeper::WaitsForStartupReaders() const {
  return place_.peers_in_region > kSmallRegionPeers && place_.is_listed &&
         place_.rank_in_region >= kRegionReaders;
}

// True if this daemon is the first of a large region.
bool view_keeper::ReadsForRegionAtStart() const {
  return place_.peers_in_region > kSmallRegionPeers &&
         place_.rank_in_region == 0;
}

view_update view_keeper::EmptyUpdate(std::uint64_t from_revision) const {
  view_update update{
      .root = options_.address,
      .cover_from = relay_range().first,
      .cover_to = relay_range().last,
      .from_revision = from_revision,
      .removals_held_ms = ToMilliseconds(removals_held_until_ - clock_.Now())};
  StampUpdate(update);
  return update;
}

// Sets the position that the update leads to, and the age of the view.
void view_keeper::StampUpdate(view_update& update) const {
  update.era = position_.era;
  update.to_revision = position_.revision;
  update.known_to_revision = KnowsLaterChanges() ? known_to_revision_ : 0;
  update.age_ms = ToMilliseconds(Age(clock_.Now()));
}

// `base` is the value of the same key from before the change. A receiver whose
// value is another one can't unpack a delta to it.
view_item view_keeper::PackItem(const source_item& item,
                                const std::string& base) {
  view_item packed_item{.key = item.key,
                        .revision = item.revision,
                        .removed = item.removed,
                        .held = item.held,
                        .size = static_cast<std::uint32_t>(item.value.size())};
  const bool delta = base.size() >= kMinDeltaBytes && !item.removed;
  if (delta) {
    packed_item.base_hash = HashOf(base);
  }
  if (!item.removed) {
    packed_item.packed = Pack(item.value, delta ? &base : nullptr);
  }
  return packed_item;
}

// Sends a copy of an update, whose age is the one of this moment.
void view_keeper::Send(const host_address& to, view_update copy) const {
  copy.sender = options_.incarnation;
  copy.sent_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now())
          .count();
  transport_.SendUpdate(to, copy);
}

void view_keeper::Relay(const view_update& message,
                        const std::vector<relay_step>& steps) const {
  for (const relay_step& step : steps) {
    view_update copy = message;
    copy.cover_from = step.range.first;
    copy.cover_to = step.range.last;
    Send(step.receiver, copy);
  }
}

std::optional<std::vector<source_item>> view_keeper::UnpackItems(
    const view_update& message) const {
  std::vector<source_item> items;
  for (const view_item& offered : message.items) {
    source_item item{.key = offered.key,
                     .revision = offered.revision,
                     .removed = offered.removed,
                     .held = offered.held};
    const auto cached = items_.find(offered.key);
    const bool known = cached != items_.end();
    const store_position position{.era = message.era,
                                  .revision = offered.revision};
    if (known && cached->second.position >= position && !offered.held) {
      continue;
    }
    if (!offered.removed) {
      const bool has_base = offered.base_hash != 0 && known &&
                            HashOf(cached->second.value) == offered.base_hash;
      if (offered.base_hash != 0 && !has_base) {
        return std::nullopt;
      }
      auto value = Unpack(offered.packed, offered.size,
                          has_base ? &cached->second.value : nullptr);
      if (!value) {
        return std::nullopt;
      }
      item.value = std::move(*value);
    }
    items.push_back(std::move(item));
  }
  return items;
}

// A full update does not list removals: what it lacks was removed, unless its
// sender had not seen it yet.
void view_keeper::DropItemsMissingFrom(const view_update& full_update) {
  const store_position as_of = PositionOf(full_update);
  std::set<std::string> listed;
  std::set<std::string> present;
  for (const view_item& item : full_update.items) {
    present.insert(item.key);
    if (!item.held) {
      listed.insert(item.key);
    }
  }
  if (BeginsEra(as_of)) {
    return BeginEra(listed, as_of);
  }
  std::vector<std::string> missing;
  for (const auto& [key, cached] : items_) {
    if (!cached.held && !present.contains(key) && cached.position <= as_of) {
      missing.push_back(key);
    }
  }
  for (const std::string& key : missing) {
    ApplyRemoval({.key = key, .revision = as_of.revision, .removed = true},
                 as_of.era);
  }
}

// An update lists each item that changed after `from_revision` and is still
// there. What changed then as far as this daemon knows, and is not listed, came
// and went before its originator read the whole store, and the originator knows
// nothing of it.
bool view_keeper::DropItemsThatCameAndWent(const view_update& update) {
  std::set<std::string> listed;
  for (const view_item& item : update.items) {
    listed.insert(item.key);
  }
  const store_position from{.era = update.era,
                            .revision = update.from_revision};
  std::vector<std::string> gone;
  for (const auto& [key, cached] : items_) {
    const bool changed_meanwhile =
        cached.position > from && cached.position <= PositionOf(update);
    if (changed_meanwhile && !cached.held && !listed.contains(key)) {
      gone.push_back(key);
    }
  }
  bool changed = false;
  for (const std::string& key : gone) {
    changed |= ApplyRemoval(
        {.key = key, .revision = update.to_revision, .removed = true},
        update.era);
  }
  return changed;
}

void view_keeper::OnUpdate(view_update message) {
  const instant now = clock_.Now();
  ObservePause(now);
  const instant news_at = now - std::chrono::milliseconds(message.age_ms);
  message.age_ms += ToMilliseconds(transit_clock_.Observe(
      message.sender, std::chrono::milliseconds(message.sent_ms), now));
  RelayWithinRange(message);
  const bool is_request = message.to_revision == 0;
  if (is_request) {
    return AnswerRequest(message);
  }
  const store_position offered = PositionOf(message);
  if (IsOfEarlierEra(offered)) {
    return;
  }
  const instant confirmed = now - std::chrono::milliseconds(message.age_ms);
  const bool is_new =
      offered > position_ || confirmed > confirmed_at_ + kDuplicateUpdateWindow;
  if (MayHaveMissedOutage(now)) {
    removals_held_until_ =
        std::max(removals_held_until_,
                 now + std::chrono::milliseconds(message.removals_held_ms));
  }
  if (HasView() && offered < position_) {
    return ApplyHeldItems(message);
  }
  const auto items = UnpackItems(message);
  const bool is_full = message.from_revision == 0;
  if (BeginsEra(offered) && (!is_full || !items)) {
    return MissEra(message.root);
  }
  if (message.from_revision > position_.revision || !items) {
    needs_whole_view_ |= message.from_revision <= position_.revision;
    return MissUpdate();
  }
  // Only what is applied here: two daemons that miss the same update and have
  // requested it from each other would else send the next one round and round.
  if (is_new) {
    SendToSubscribers(message);
  }
  const bool originator_comes_first =
      AddressOrder(message.root) < AddressOrder(options_.address);
  if (active_reader_ && originator_comes_first) {
    active_reader_ = false;
    Report("no longer active reader", options_.address,
           "a daemon earlier in the address order reads the store");
  }
  bool changed = !HasView() || is_full;
  NoteKnownTo(message.known_to_revision, !HasView() || BeginsEra(offered));
  if (is_full) {
    DropItemsMissingFrom(message);
  } else {
    changed |= DropItemsThatCameAndWent(message);
  }
  for (const source_item& item : *items) {
    changed |= item.held ? ApplyHeldItem(item, offered.era)
                         : ApplyItem(item, offered.era);
  }
  // No change is missing any more, but after a pause an own read is needed.
  const bool may_have_waited =
      pause_guard_.AwaitsConfirmation(own_read_confirmed_at_, now);
  needs_full_read_ = false;
  shares_next_read_ = false;
  if (!may_have_waited) {
    EndCatchUp();
  }
  // Without a view nothing was confirmed before.
  const bool is_first_view = !HasView();
  const instant known_at = is_first_view ? instant::min() / 2 : confirmed_at_;
  ConfirmPosition(offered, may_have_waited ? known_at : confirmed,
                  may_have_waited ? news_at_ : news_at);
  is_full ? update_log_.Clear()
          : update_log_.Add(std::move(message), confirmed);
  if (changed) {
    PublishSnapshot();
  }
  if (is_first_view) {
    ShareFirstView();
  }
}

// A daemon that has read the store since may still lack what its peers hold.
void view_keeper::ApplyHeldItems(const view_update& message) {
  const auto items = UnpackItems(message);
  bool changed = false;
  for (const source_item& item : items.value_or(std::vector<source_item>())) {
    changed |= item.held && ApplyHeldItem(item, message.era);
  }
  if (changed) {
    PublishSnapshot();
  }
}

bool view_keeper::HoldsItems() const {
  return config_ahead_of_store_ ||
         std::any_of(items_.begin(), items_.end(),
                     [](const auto& entry) { return entry.second.held; });
}

view_update view_keeper::BuildFullUpdate() const {
  view_update full_update = EmptyUpdate(0);
  for (const auto& [key, cached] : items_) {
    const bool is_config =
        std::holds_alternative<std::shared_ptr<const configuration>>(
            cached.decoded);
    full_update.items.push_back(
        PackItem({.key = key,
                  .revision = cached.position.revision,
                  .held = cached.held || (is_config && config_ahead_of_store_),
                  .value = cached.value},
                 ""));
  }
  return full_update;
}

// Sends an update to all daemons of this region.
void view_keeper::RelayToRegion(const view_update& update) const {
  const relay_range all{.first = 0,
                        .last = std::numeric_limits<std::uint64_t>::max()};
  Relay(update,
        PlanWithinRange(options_.address, options_.region, options_.address,
                        all, Peers(), options_.fan_out));
}

// Sends the full view to all daemons of a large region, which wait for it when
// the whole fleet starts.
void view_keeper::SendFullUpdateToRegion() const {
  RelayToRegion(BuildFullUpdate());
}

// Handles an update of a new era that can't be applied.
void view_keeper::MissEra(const host_address& originator) {
  const instant now = clock_.Now();
  if (!needs_full_read_) {
    Report("store era ended", originator);
    PlanFullRead();
  }
  if (failed_since_confirmed_ && now >= next_update_request_) {
    next_update_request_ = now + kUpdateRequestInterval;
    SendRequest(originator);
  }
}

// True if this daemon is one of the few that send the full view to a peer that
// has started. Between two large regions only their readers send it.
bool view_keeper::BringsUpToDate(const host_address& peer) const {
  const std::vector<relay_peer> peers = Peers();
  const auto found = std::find_if(
      peers.begin(), peers.end(),
      [&](const relay_peer& each) { return each.address == peer; });
  const bool is_large = place_.peers_in_region > kSmallRegionPeers;
  if (found == peers.end() || !is_large) {
    return true;
  }
  if (found->region != options_.region) {
    const auto readers = FirstOfRegion(found->region, peers, kRegionReaders);
    return place_.rank_in_region < kRegionReaders &&
           std::find(readers.begin(), readers.end(), peer) != readers.end();
  }
  const auto predecessors =
      PredecessorsOf(options_.address, options_.region, peers);
  return std::find(predecessors.begin(), predecessors.end(), peer) !=
         predecessors.end();
}

void view_keeper::OnPeerStarted(const host_address& peer) {
  if (!HasView()) {
    return;
  }
  const bool store_unavailable =
      TimeSinceNews(clock_.Now()) >= options_.stale_after;
  if ((store_unavailable || HoldsItems()) && BringsUpToDate(peer)) {
    Send(peer, BuildFullUpdate());
  }
}

// A region that restarts while the store is unavailable gets the view from
// another region through its readers.
void view_keeper::ShareFirstView() const {
  if (TimeSinceNews(clock_.Now()) >= options_.stale_after &&
      place_.peers_in_region > kSmallRegionPeers &&
      place_.rank_in_region < kRegionReaders) {
    SendFullUpdateToRegion();
  }
}

}  // namespace parsleyyard
