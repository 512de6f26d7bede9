// The items of the store as this daemon knows them: the part of the view keeper
// that applies changes to them and publishes the view that they make up.

#include "control/control.h"

#include <boost/leaf/handle_errors.hpp>

#include <set>
#include <tuple>

namespace parsleyyard {

namespace {

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

}  // namespace parsleyyard
