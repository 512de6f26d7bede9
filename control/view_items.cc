// The items of the store as this daemon knows them: the part of the view keeper
// that applies changes to them and publishes the view that they make up.

#include "control/control.h"

#include <boost/leaf/handle_errors.hpp>

#include <set>
#include <tuple>

namespace parsleyyard {

namespace {

using config_pointer = std::shared_ptr<const configuration>;

// Time after which the store removes the registration of an instance that has
// been silent: three heartbeats of 1.5 s, and some margin.
constexpr duration kRegistrationLifetime = std::chrono::milliseconds(5000);
// Time from a restore within which the operator writes again what the store
// lost. An evacuation that it does not write again is over after that: to end
// it sooner would send calls into a failure domain that is down.
constexpr duration kRewriteTime = std::chrono::seconds(10);
// Time for which an instance that has left is remembered. Copies that a store
// is restored from are some seconds old.
constexpr duration kDepartureMemory = std::chrono::seconds(60);

bool HasSameState(const instance& a, const instance& b) {
  return a.service == b.service && a.host == b.host && a.port == b.port &&
         a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.draining == b.draining && a.started_ms == b.started_ms &&
         a.cold_left == b.cold_left;
}

// True if registration `a` was written before `b`.
bool HasOrderBefore(const instance& a, const instance& b) {
  return std::tuple(a.started_ms, a.sequence) <
         std::tuple(b.started_ms, b.sequence);
}

// True if the configuration of the view names the service of the instance.
bool IsConfigured(const snapshot& view, const known_instance& known) {
  return view.config && view.config->FindService(known.registration.service);
}

// True if `a` replaces `b` at their address: an instance of a configured
// service replaces any other, a later start an earlier one. If the start times
// are equal or both unknown, the later change in the store decides.
bool Replaces(const snapshot& view,
              const known_instance& a,
              const known_instance& b) {
  return std::tuple(IsConfigured(view, a), a.registration.started_ms,
                    a.position) > std::tuple(IsConfigured(view, b),
                                             b.registration.started_ms,
                                             b.position);
}

// An instance that lost power stays registered for some seconds after another
// has started at its address. Only the newest instance at an address can
// respond. An entry of a service that the configuration doesn't name may come
// from another writer and names no instance.
void DropReplacedInstances(snapshot& view) {
  std::map<std::pair<host_address, std::uint16_t>, std::string> newest;
  for (const auto& [id, known] : view.instances) {
    std::string& newest_id =
        newest[{known.registration.host, known.registration.port}];
    if (newest_id.empty() ||
        Replaces(view, known, view.instances.at(newest_id))) {
      newest_id = id;
    }
  }
  std::erase_if(view.instances, [&](const auto& item) {
    const instance& registration = item.second.registration;
    return newest[{registration.host, registration.port}] != item.first;
  });
}

}  // namespace

// ---------------------------------------------------------------------------
// Instances that have left
// ---------------------------------------------------------------------------

void view_keeper::NoteDeparture(const std::string& key,
                                const cached_item& cached) {
  const auto* known = std::get_if<instance>(&cached.decoded);
  if (known == nullptr) {
    return;
  }
  const instant now = clock_.Now();
  std::erase_if(departed_, [&](const auto& entry) {
    return now - entry.second.at > kDepartureMemory;
  });
  const auto found = departed_.find(key);
  const bool is_older = found != departed_.end() &&
                        HasOrderBefore(*known, found->second.registration);
  departed_[key] = {
      .registration = is_older ? found->second.registration : *known,
      .era = position_.era,
      .at = now};
}

// True if `offered` is no newer than the last registration of an instance that
// left in an earlier era: a restored store lists it until it expires, unless
// the instance is there after all and registers again.
bool view_keeper::HasDeparted(const std::string& key,
                              const instance& offered,
                              std::uint64_t era) const {
  const auto found = departed_.find(key);
  return found != departed_.end() && found->second.era < era &&
         !HasOrderBefore(found->second.registration, offered);
}

void view_keeper::ShowHiddenItems(instant now) {
  bool changed = false;
  for (auto& [key, cached] : items_) {
    const bool is_over =
        cached.hidden_until != instant() && now >= cached.hidden_until;
    if (is_over && !cached.held) {
      cached.hidden_until = instant();
      departed_.erase(key);
      changed = true;
      Report("instance ready", key, "its registration has not expired");
    }
  }
  if (changed) {
    PublishSnapshot();
  }
}

// ---------------------------------------------------------------------------
// Applying items
// ---------------------------------------------------------------------------

bool view_keeper::ApplyItem(const source_item& item, std::uint64_t era) {
  const store_position position{.era = era, .revision = item.revision};
  const auto found = items_.find(item.key);
  const bool known = found != items_.end();
  if (known && found->second.position >= position) {
    return false;
  }
  if (item.removed) {
    return ApplyRemoval(item, era);
  }
  // A restored store lists most items as they were.
  const bool is_unchanged = known && found->second.position.era != era &&
                            found->second.value == item.value;
  if (is_unchanged) {
    KeepUnchanged(position, found->second);
    return false;
  }
  cached_item& cached = items_[item.key];
  cached.position = position;
  return ApplyValue(item, cached);
}

// A registration that stays hidden expires later: its lease runs anew.
void view_keeper::KeepUnchanged(const store_position& position,
                                cached_item& cached) {
  cached.position = position;
  if (std::holds_alternative<config_pointer>(cached.decoded)) {
    config_ahead_of_store_ = false;
  }
  if (cached.hidden_until != instant()) {
    cached.hidden_until = clock_.Now() + kRegistrationLifetime;
  }
}

// Applies an item that a peer keeps although the store lacks it.
bool view_keeper::ApplyHeldItem(const source_item& item, std::uint64_t era) {
  const auto found = items_.find(item.key);
  if (found == items_.end()) {
    const bool changed = ApplyItem(item, era);
    cached_item& cached = items_[item.key];
    cached.held = !std::holds_alternative<config_pointer>(cached.decoded);
    config_ahead_of_store_ |= !cached.held;
    evacuations_held_until_ = clock_.Now() + kRewriteTime;
    return changed;
  }
  cached_item& cached = found->second;
  if (!std::holds_alternative<config_pointer>(cached.decoded)) {
    return false;
  }
  const bool changed = ApplyValue(item, cached);
  config_ahead_of_store_ |= changed;
  return changed;
}

bool view_keeper::ApplyRemoval(const source_item& item, std::uint64_t era) {
  const auto found = items_.find(item.key);
  if (found == items_.end()) {
    return false;
  }
  cached_item& cached = found->second;
  if (std::holds_alternative<config_pointer>(cached.decoded)) {
    return false;
  }
  const auto* known = std::get_if<instance>(&cached.decoded);
  const bool may_reregister = known != nullptr && !known->draining;
  if (may_reregister && clock_.Now() < removals_held_until_) {
    cached.held = true;
    cached.position = {.era = era, .revision = item.revision};
    Report("instance expired", known->id,
           "kept until it had time to register again");
    return false;
  }
  Report("item removed", item.key);
  NoteDeparture(item.key, cached);
  items_.erase(found);
  return true;
}

// The store lost what was written after the copy, and its writers write it
// again. Until then items that the copy lacks are held.
void view_keeper::BeginEra(const std::set<std::string>& present,
                           const store_position& as_of) {
  Report("store restored from an older copy", std::to_string(as_of.era),
         "what it lacks is kept until it had time to be written again");
  era_began_during_read_ = read_in_flight_;
  HoldRemovals();
  evacuations_held_until_ = clock_.Now() + kRewriteTime;
  for (auto& [key, cached] : items_) {
    const bool listed = present.contains(key);
    const bool is_config =
        std::holds_alternative<config_pointer>(cached.decoded);
    cached.held = !listed && !is_config;
    config_ahead_of_store_ |= !listed && is_config;
    cached.position = listed ? cached.position : as_of;
  }
}

bool view_keeper::IsHoldOver(const cached_item& cached, instant now) const {
  const bool is_evacuation = std::holds_alternative<evacuation>(cached.decoded);
  return cached.held && now >= (is_evacuation ? evacuations_held_until_
                                              : removals_held_until_);
}

void view_keeper::DropHeldItems(instant now) {
  std::size_t dropped = 0;
  for (auto next = items_.begin(); next != items_.end();) {
    const auto entry = next++;
    if (IsHoldOver(entry->second, now)) {
      NoteDeparture(entry->first, entry->second);
      items_.erase(entry);
      ++dropped;
    }
  }
  if (dropped > 0) {
    Report("held items removed", std::to_string(dropped),
           "they were not written again in time");
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
  if (!problem.empty()) {
    Report("item rejected", item.key, problem);
  }
  const bool keeps_last_valid =
      !problem.empty() &&
      std::holds_alternative<config_pointer>(cached.decoded);
  if (keeps_last_valid) {
    return false;
  }
  if (const auto* offered = std::get_if<instance>(&decoded)) {
    return ApplyInstance(item, *offered, cached);
  }
  if (const auto* offered = std::get_if<config_pointer>(&decoded)) {
    return ApplyConfiguration(item, *offered, cached);
  }
  if (const auto* out = std::get_if<evacuation>(&decoded)) {
    Report("evacuation", out->failure_domain);
  }
  cached.held = false;
  cached.value = item.value;
  cached.decoded = std::move(decoded);
  return true;
}

bool view_keeper::ApplyInstance(const source_item& item,
                                const instance& offered,
                                cached_item& cached) {
  const auto* known = std::get_if<instance>(&cached.decoded);
  // Delayed registrations may arrive out of order.
  if (known != nullptr && HasOrderBefore(offered, *known)) {
    Report("registration ignored", offered.id, "it is older than the last one");
    return false;
  }
  const bool was_hidden = cached.hidden_until != instant();
  const bool is_hidden = HasDeparted(item.key, offered, cached.position.era);
  cached.hidden_until =
      is_hidden ? clock_.Now() + kRegistrationLifetime : instant();
  const bool same = known != nullptr && HasSameState(*known, offered);
  const bool reregistered = std::exchange(cached.held, false);
  const bool cold = offered.cold_left > duration::zero();
  if (!same || cold) {
    // Counted from now: when the registration was written is not known, and
    // a read may have begun before that.
    cached.cold_until = clock_.Now() + offered.cold_left;
  }
  if (is_hidden) {
    Report("registration ignored", offered.id,
           "it left before the store was restored");
  } else if (!same || was_hidden) {
    Report(offered.draining ? "instance draining" : "instance ready",
           offered.id, cold ? "cold" : "");
  }
  cached.value = item.value;
  cached.decoded = offered;
  return !same || reregistered || cold || was_hidden;
}

// Versions only rise. A store that was restored from an older copy lists an
// older configuration until the operator has written the latest one again.
bool view_keeper::ApplyConfiguration(const source_item& item,
                                     const config_pointer& offered,
                                     cached_item& cached) {
  const auto* known = std::get_if<config_pointer>(&cached.decoded);
  const std::string version = std::to_string(offered->version());
  config_ahead_of_store_ =
      known != nullptr && offered->version() < (*known)->version();
  if (config_ahead_of_store_) {
    Report("configuration ignored", version,
           "it is older than version " + std::to_string((*known)->version()));
    return false;
  }
  config_changed_at_ = clock_.Now();
  Report("configuration adopted", version);
  cached.value = item.value;
  cached.decoded = offered;
  return true;
}

// ---------------------------------------------------------------------------
// Publishing
// ---------------------------------------------------------------------------

void view_keeper::PublishSnapshot() {
  auto next = std::make_shared<snapshot>();
  next->position = position_;
  for (const auto& [key, cached] : items_) {
    if (cached.hidden_until != instant()) {
      continue;
    }
    if (const auto* config = std::get_if<config_pointer>(&cached.decoded)) {
      next->config = *config;
    } else if (const auto* known = std::get_if<instance>(&cached.decoded)) {
      next->instances[known->id] = {.registration = *known,
                                    .position = cached.position,
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
  place_ =
      FindPlace(*view_, options_.address, options_.region, options_.regions);
  RelayDeferred();
  listener_.OnSnapshot(view_);
}

}  // namespace parsleyyard
