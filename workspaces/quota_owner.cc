// Token buckets of the workspaces that this host owns.

#include "workspaces/quota.h"

#include <algorithm>
#include <cmath>

namespace parsleyyard {

namespace {

using float_seconds = std::chrono::duration<double>;

// An owner grants only while the store has confirmed its view within this time.
constexpr duration kGrantAge = std::chrono::seconds(3);
// A new owner grants only after this time. A former owner whose view lags has
// ceased by then; the excess over kGrantAge covers the drift of clocks.
constexpr duration kTakeoverDelay = std::chrono::milliseconds(3200);
// Time for which a new owner typically waits for one more confirmation.
constexpr duration kNextConfirmation = std::chrono::milliseconds(100);
// Refill time of the spare capacity of a bucket. Without it, a bucket with a
// small burst would overflow between two requests for its tokens.
constexpr double kSpareSeconds = 0.05;
constexpr double kSpareTokens = 2;
// Most tokens in one grant. A daemon requests those for a tenth of a second.
constexpr std::uint32_t kMaxTokens = 100'000;
// Daemons that are refused come back in turn, but within this time: a later
// turn would be of no use to their callers.
constexpr duration kLongestTurn = std::chrono::seconds(2);
// Daemons that want tokens of one workspace come back at most this often
// together, however large the rate.
constexpr duration kMinTurn = std::chrono::milliseconds(10);

duration ToDuration(double seconds) {
  // An hour is far above all times that are returned.
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<duration>(
      float_seconds(std::clamp(seconds, 0.0, kLongest)));
}

std::uint32_t ToMilliseconds(duration value) {
  const auto rounded_up = std::chrono::ceil<milliseconds>(value).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(rounded_up, 0, 3'600'000));
}

}  // namespace

double quota_owner::CapacityOf(const bucket& of) const {
  return of.limit.burst + kSpareSeconds * of.limit.rate + kSpareTokens;
}

void quota_owner::Fill(bucket& filled, instant now) const {
  if (now <= filled.filled_at) {
    return;
  }
  const double passed = float_seconds(now - filled.filled_at).count();
  filled.tokens =
      std::min(CapacityOf(filled), filled.tokens + passed * filled.limit.rate);
  filled.filled_at = now;
}

// The bucket begins empty and fills from the first time at which it may grant,
// so that its grants and those of a former owner keep to one rate.
void quota_owner::Restart(bucket& restarted, instant now) const {
  restarted.owner_since = now;
  restarted.tokens = 0;
  restarted.filled_at = now + kTakeoverDelay;
  restarted.promised_until = restarted.filled_at;
}

quota_ownership_change quota_owner::SetView(
    std::shared_ptr<const quota_map> map,
    instant confirmed_at,
    instant now) {
  quota_ownership_change change;
  // While no confirmation arrived, another host may have been the owner and
  // have ceased again. It can't have granted anything within kGrantAge.
  const bool lapsed =
      !confirmed_at_ || confirmed_at - *confirmed_at_ >= kGrantAge;
  confirmed_at_ = std::max(confirmed_at, confirmed_at_.value_or(confirmed_at));
  if (lapsed) {
    for (auto& [name, owned] : buckets_) {
      Restart(owned, now);
    }
  }
  if (map == map_) {
    return change;
  }
  map_ = std::move(map);
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const host_address* owner = map_ ? map_->OwnerOf(it->first) : nullptr;
    if (owner == nullptr || *owner != self_) {
      change.lost.push_back(it->first);
      it = buckets_.erase(it);
    } else {
      ++it;
    }
  }
  if (map_ == nullptr) {
    return change;
  }
  for (const auto& [name, limit] : map_->quotas()) {
    const host_address* owner = map_->OwnerOf(name);
    if (owner == nullptr || *owner != self_) {
      continue;
    }
    const auto [entry, is_new] = buckets_.try_emplace(name);
    bucket& owned = entry->second;
    if (is_new) {
      owned.limit = limit;
      Restart(owned, now);
      change.gained.push_back(name);
    } else if (owned.limit != limit) {
      Fill(owned, now);
      owned.limit = limit;
      owned.tokens = std::min(owned.tokens, CapacityOf(owned));
    }
  }
  return change;
}

// Empty if the owner may grant now; zero if it is not known when it may.
std::optional<duration> quota_owner::TimeUntilGrants(const bucket& of,
                                                     instant now) const {
  // The view must have been confirmed for as long as no former owner can have
  // missed that it is one no more; see SetView().
  const instant grants_from = of.owner_since + kTakeoverDelay;
  const bool long_enough = *confirmed_at_ >= of.owner_since + kGrantAge;
  if (now - *confirmed_at_ > kGrantAge) {
    return duration::zero();
  }
  if (now < grants_from) {
    return grants_from - now;
  }
  return long_enough ? std::nullopt : std::optional(kNextConfirmation);
}

quota_grant quota_owner::OnRequest(const quota_request& request, instant now) {
  quota_grant grant{.workspace = request.workspace,
                    .number = request.number,
                    .answer = quota_answer::kNotOwner};
  const auto found = buckets_.find(request.workspace);
  if (found == buckets_.end()) {
    return grant;
  }
  bucket& owned = found->second;
  if (const auto wait = TimeUntilGrants(owned, now)) {
    grant.retry_after_ms = ToMilliseconds(*wait);
    return grant;
  }
  Fill(owned, now);
  const std::uint32_t wanted =
      std::clamp<std::uint32_t>(request.wanted, 1, kMaxTokens);
  const auto granted = static_cast<std::uint32_t>(
      std::min(std::floor(owned.tokens), static_cast<double>(wanted)));
  owned.tokens -= granted;
  grant.tokens = granted;
  grant.answer = granted > 0 ? quota_answer::kGranted : quota_answer::kUsedUp;
  if (granted < wanted) {
    grant.retry_after_ms = ToMilliseconds(PromiseTurn(owned, now));
  } else if (owned.tokens >= 1) {
    // Daemons whose turn it was have not come back.
    owned.promised_until = now;
  }
  return grant;
}

// Returns the time until a daemon that did not get enough is to come back. Each
// one gets a turn of its own, so that they don't all come at once.
duration quota_owner::PromiseTurn(bucket& of, instant now) {
  const duration until_next = ToDuration((1 - of.tokens) / of.limit.rate);
  const instant turn = std::max(of.promised_until, now + until_next);
  if (turn - now > kLongestTurn) {
    return random_.Jitter(kLongestTurn / 2, 100);
  }
  of.promised_until = turn + std::max(kMinTurn, ToDuration(1 / of.limit.rate));
  return std::max(turn - now, kMinTurn);
}

}  // namespace parsleyyard
