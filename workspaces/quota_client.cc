// Token pools of the requests that callers send to this daemon.

#include "workspaces/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleyyard {

namespace {

using float_seconds = std::chrono::duration<double>;

// An owner that has not answered by then is treated as silent. Between regions,
// the answer takes 24 ms and the processing on two busy hosts.
constexpr duration kSilentAfter = std::chrono::milliseconds(80);
// An answer that takes longer is not used.
constexpr duration kLatestAnswer = std::chrono::milliseconds(250);
// Interval of the requests to a silent owner. It doubles up to the longest one:
// while the store is lost, all daemons ask the owners of all workspaces in
// vain.
constexpr duration kFirstProbeInterval = std::chrono::milliseconds(100);
constexpr duration kLongestProbeInterval = std::chrono::milliseconds(800);
constexpr std::uint64_t kProbeTokens = 4;
// Time constant of the mean demand.
constexpr duration kDemandPeriod = std::chrono::milliseconds(500);
// Tokens are requested ahead for the demand of this time: several round trips
// between regions, and a fraction of their lifetime.
constexpr duration kPrefetch = std::chrono::milliseconds(100);
// A daemon that was refused asks less often, so it asks for more at a time.
constexpr duration kPrefetchOverQuota = std::chrono::milliseconds(250);
// Below that many requests in the lifetime of a token, most tokens that are
// requested ahead would expire.
constexpr double kMinPrefetchDemand = 2;
// A workspace without requests for this time needs no tokens.
constexpr duration kDemandEnds = std::chrono::seconds(1);
constexpr duration kPoolIdle = std::chrono::seconds(15);
// The fallback is divided by the largest number of hosts of this time, since
// the daemons may not all know that there are fewer now.
constexpr duration kHostCountMemory = std::chrono::seconds(10);
// Bounds on memory, and on numbers that come in messages.
constexpr std::size_t kMaxWaiting = 1000;
constexpr std::size_t kMaxAsked = 8;
constexpr std::uint64_t kMaxWanted = 100'000;
constexpr std::size_t kMaxFallback = 10'000;
constexpr duration kMaxRetryAfter = std::chrono::seconds(5);
constexpr duration kMinRetryAfter = std::chrono::milliseconds(10);
// Retry-after if nothing is known about the owner. A new owner starts to grant
// within seconds, an owner that was unreachable at once.
constexpr duration kUnknownRetryAfter = std::chrono::milliseconds(500);
// A quota that has not bound for this time is logged when it binds again.
constexpr duration kBindingEnds = std::chrono::seconds(10);

duration BoundRetryAfter(std::uint32_t ms) {
  return std::clamp<duration>(milliseconds(ms), kMinRetryAfter, kMaxRetryAfter);
}

double DecayedDemand(double demand, duration passed) {
  return demand * std::exp(-float_seconds(passed) / kDemandPeriod);
}

bool IsWithin(instant event, duration period, instant now) {
  return event != instant::min() && now - event < period;
}

}  // namespace

void quota_client::SetView(std::shared_ptr<const quota_map> map, instant now) {
  if (map == map_) {
    return;
  }
  const std::size_t before = map_ ? map_->host_count() : 0;
  const std::size_t after = map ? map->host_count() : 0;
  if (before != after) {
    host_counts_.push_back({.at = now, .before = before});
  }
  for (auto& [workspace, of] : pools_) {
    const host_address* old_owner = map_ ? map_->OwnerOf(workspace) : nullptr;
    const host_address* owner = map ? map->OwnerOf(workspace) : nullptr;
    const bool same =
        old_owner != nullptr && owner != nullptr && *old_owner == *owner;
    if (!same) {
      of.asked.clear();
      of.silent = false;
      of.refused_until = instant::min();
      of.owner_starts_in = duration::zero();
    }
  }
  if (map == nullptr || !map->PositionOf(options_.address)) {
    listed_since_.reset();
  } else if (!listed_since_) {
    listed_since_ = now;
  }
  map_ = std::move(map);
}

void quota_client::AddDemand(pool& of, instant now) {
  const duration passed = of.last_arrival == instant::min()
                              ? duration::zero()
                              : now - of.last_arrival;
  of.demand = DecayedDemand(of.demand, passed) +
              1 / float_seconds(kDemandPeriod).count();
  of.last_arrival = now;
}

void quota_client::DropExpired(pool& of, instant now) {
  while (!of.tokens.empty() && of.tokens.front().expires_at <= now) {
    of.tokens.pop_front();
  }
  std::erase_if(of.asked, [&](const auto& entry) {
    return now - entry.second.sent_at > kLatestAnswer;
  });
}

void quota_client::CheckSilence(pool& of, instant now) {
  if (of.silent || of.asked.empty()) {
    return;
  }
  const instant oldest = of.asked.begin()->second.sent_at;
  if (now - oldest > kSilentAfter && of.last_answer < oldest) {
    of.silent = true;
    of.next_probe = now;
    of.owner_starts_in = duration::zero();
  }
}

std::optional<quota_token> quota_client::TakeToken(pool& of) {
  if (of.tokens.empty()) {
    return std::nullopt;
  }
  token_batch& batch = of.tokens.front();
  const quota_token token{.kind = token_kind::kGranted,
                          .expires_at = batch.expires_at};
  if (--batch.count == 0) {
    of.tokens.pop_front();
  }
  return token;
}

std::uint64_t quota_client::TargetTokens(const pool& of, instant now) const {
  if (!IsWithin(of.last_arrival, kDemandEnds, now)) {
    return 0;
  }
  const double demand = DecayedDemand(of.demand, now - of.last_arrival);
  const duration lifetime = TokenLifetime(options_.limits);
  if (demand * float_seconds(lifetime).count() < kMinPrefetchDemand) {
    return 0;
  }
  const bool over_quota = IsWithin(of.last_refusal, kDemandEnds, now);
  const duration ahead =
      std::min(over_quota ? kPrefetchOverQuota : kPrefetch, lifetime / 2);
  return static_cast<std::uint64_t>(demand * float_seconds(ahead).count());
}

// Requests tokens for the waiting requests, for `arriving` more, and ahead.
void quota_client::RequestTokens(const std::string& workspace,
                                 pool& of,
                                 std::uint64_t arriving,
                                 instant now) {
  const host_address* owner = map_ ? map_->OwnerOf(workspace) : nullptr;
  if (owner == nullptr || now < of.refused_until ||
      of.asked.size() >= kMaxAsked || (of.silent && now < of.next_probe)) {
    return;
  }
  std::uint64_t held = 0;
  for (const token_batch& batch : of.tokens) {
    held += batch.count;
  }
  std::uint64_t asked = 0;
  for (const auto& [number, request] : of.asked) {
    asked += request.wanted;
  }
  const std::uint64_t at_once = of.waiting.size() + arriving;
  const std::uint64_t needed = at_once + TargetTokens(of, now);
  std::uint64_t wanted = 0;
  if (of.silent) {
    const bool in_demand = IsWithin(of.last_arrival, kDemandEnds, now);
    wanted = in_demand ? std::clamp<std::uint64_t>(needed, 1, kProbeTokens) : 0;
    of.probe_interval = std::clamp<duration>(
        of.probe_interval * 2, kFirstProbeInterval, kLongestProbeInterval);
    of.next_probe = now + of.probe_interval;
  } else if (at_once > held + asked || (held + asked) * 2 < needed) {
    wanted = std::min(needed - held - asked, kMaxWanted);
  }
  if (wanted == 0) {
    return;
  }
  const std::uint64_t number = ++last_number_;
  of.asked[number] = {.sent_at = now,
                      .wanted = static_cast<std::uint32_t>(wanted)};
  const auto answer =
      port_.Request(*owner, {.workspace = workspace,
                             .number = number,
                             .wanted = static_cast<std::uint32_t>(wanted)});
  if (answer) {
    ApplyGrant(of, *answer, now);
  }
}

void quota_client::AddTokens(pool& to, const token_batch& batch) {
  const auto after =
      std::upper_bound(to.tokens.begin(), to.tokens.end(), batch,
                       [](const token_batch& a, const token_batch& b) {
                         return a.expires_at < b.expires_at;
                       });
  to.tokens.insert(after, batch);
}

// A grant whose number is not expected is a duplicate or too late.
void quota_client::ApplyGrant(pool& of, const quota_grant& grant, instant now) {
  const auto found = of.asked.find(grant.number);
  if (found == of.asked.end()) {
    return;
  }
  const asked_tokens asked = found->second;
  of.asked.erase(found);
  if (now - asked.sent_at > kLatestAnswer) {
    return;
  }
  of.last_answer = now;
  if (grant.answer == quota_answer::kNotOwner) {
    of.silent = true;
    of.owner_starts_in =
        std::min<duration>(milliseconds(grant.retry_after_ms), kMaxRetryAfter);
    // An owner that starts states when; one that is cut off from the store
    // doesn't know.
    if (of.owner_starts_in > duration::zero()) {
      of.probe_interval = kFirstProbeInterval;
      of.next_probe = now + std::min(of.owner_starts_in, kLongestProbeInterval);
    } else {
      of.probe_interval = std::max(of.probe_interval, kFirstProbeInterval);
      of.next_probe = now + of.probe_interval;
    }
    return;
  }
  of.silent = false;
  of.probe_interval = duration::zero();
  of.owner_starts_in = duration::zero();
  const std::uint32_t tokens = grant.answer == quota_answer::kGranted
                                   ? std::min(grant.tokens, asked.wanted)
                                   : 0;
  const instant expires_at = asked.sent_at + TokenLifetime(options_.limits);
  if (tokens > 0 && expires_at > now) {
    AddTokens(of, {.expires_at = expires_at, .count = tokens});
  }
  if (tokens < asked.wanted) {
    of.refused_until = now + BoundRetryAfter(grant.retry_after_ms);
    of.refused_here = 0;
  }
}

std::size_t quota_client::LargestHostCount(instant now) const {
  std::size_t largest = map_ ? map_->host_count() : 0;
  for (const host_count_change& change : host_counts_) {
    if (IsWithin(change.at, kHostCountMemory, now)) {
      largest = std::max(largest, change.before);
    }
  }
  return largest;
}

// The shares of all hosts of one view add up to the total, rounded down. Which
// hosts get the remainder differs between workspaces. A host that was listed
// only now gets nothing: others may not know it yet, and an earlier process on
// it may have used its share.
std::size_t quota_client::FallbackShare(const std::string& workspace,
                                        const quota& limit,
                                        instant now) const {
  const auto position = map_->PositionOf(options_.address);
  if (!position || !listed_since_ ||
      now - *listed_since_ < options_.limits.window) {
    return 0;
  }
  const std::uint64_t hosts = map_->host_count();
  const double largest = static_cast<double>(LargestHostCount(now));
  // Above this, the share of each host is at its bound anyway.
  const double bound = static_cast<double>(kMaxFallback * hosts);
  const auto total = static_cast<std::uint64_t>(
      std::min(FallbackTotal(options_.limits, limit) *
                   (static_cast<double>(hosts) / largest),
               bound));
  const std::uint64_t offset =
      XXH3_64bits(workspace.data(), workspace.size()) % hosts;
  const std::uint64_t place = (*position + offset) % hosts;
  return static_cast<std::size_t>((place + 1) * total / hosts -
                                  place * total / hosts);
}

quota_decision quota_client::DecideUnknown(const std::string& workspace,
                                           pool& of,
                                           const quota& limit,
                                           instant now) {
  std::deque<instant>& used = of.fallback_used;
  while (!used.empty() && now - used.front() >= options_.limits.window) {
    used.pop_front();
  }
  if (used.size() < FallbackShare(workspace, limit, now)) {
    used.push_back(now);
    return {.token = {.kind = token_kind::kFallback, .taken_at = now}};
  }
  const duration wait = std::max(of.owner_starts_in, kUnknownRetryAfter);
  return {.verdict = quota_verdict::kUnknown,
          .retry_after = random_.Jitter(std::min(wait, kMaxRetryAfter), 25)};
}

// The fleet's rate bounds how soon several refused requests can be served here.
quota_decision quota_client::RefuseOverQuota(pool& of,
                                             const quota& limit,
                                             instant now) {
  const double behind = std::min(of.refused_here / limit.rate,
                                 float_seconds(kMaxRetryAfter).count());
  ++of.refused_here;
  const duration wait =
      of.refused_until - now +
      std::chrono::duration_cast<duration>(float_seconds(behind));
  const bool begins = !IsWithin(of.last_refusal, kBindingEnds, now);
  of.last_refusal = now;
  return {.verdict = quota_verdict::kOverQuota,
          .retry_after = random_.Jitter(
              std::clamp(wait, kMinRetryAfter, kMaxRetryAfter), 25),
          .begins_to_bind = begins};
}

std::optional<quota_decision> quota_client::Decide(const std::string& workspace,
                                                   pool& of,
                                                   bool may_wait,
                                                   instant now) {
  const quota* limit = map_ ? map_->FindQuota(workspace) : nullptr;
  if (limit == nullptr) {
    return quota_decision{};
  }
  if (const auto token = TakeToken(of)) {
    return quota_decision{.token = *token};
  }
  if (now < of.refused_until) {
    return RefuseOverQuota(of, *limit, now);
  }
  if (of.silent || !may_wait || map_->OwnerOf(workspace) == nullptr) {
    return DecideUnknown(workspace, of, *limit, now);
  }
  return std::nullopt;
}

quota_decision quota_client::Admit(std::uint64_t request,
                                   const std::string& workspace,
                                   duration max_wait,
                                   instant now) {
  if (map_ == nullptr || map_->FindQuota(workspace) == nullptr) {
    return {.request = request, .workspace = workspace};
  }
  pool& of = pools_[workspace];
  AddDemand(of, now);
  DropExpired(of, now);
  CheckSilence(of, now);
  RequestTokens(workspace, of, 1, now);
  const bool may_wait = max_wait > duration::zero() && waiting_ < kMaxWaiting;
  auto decision = Decide(workspace, of, may_wait, now);
  if (!decision) {
    of.waiting.push_back({.handle = request, .end = now + max_wait});
    ++waiting_;
    decision = quota_decision{.verdict = quota_verdict::kWaiting};
  }
  decision->request = request;
  decision->workspace = workspace;
  return std::move(*decision);
}

void quota_client::Resolve(const std::string& workspace,
                           pool& of,
                           instant now,
                           std::vector<quota_decision>& decisions) {
  std::deque<waiting_request> still_waiting;
  for (const waiting_request& request : of.waiting) {
    auto decision = Decide(workspace, of, now < request.end, now);
    if (!decision) {
      still_waiting.push_back(request);
      continue;
    }
    --waiting_;
    decision->request = request.handle;
    decision->workspace = workspace;
    decisions.push_back(std::move(*decision));
  }
  of.waiting.swap(still_waiting);
}

std::vector<quota_decision> quota_client::OnGrant(const quota_grant& grant,
                                                  instant now) {
  std::vector<quota_decision> decisions;
  const auto found = pools_.find(grant.workspace);
  if (found == pools_.end()) {
    return decisions;
  }
  pool& of = found->second;
  DropExpired(of, now);
  ApplyGrant(of, grant, now);
  Resolve(found->first, of, now, decisions);
  return decisions;
}

void quota_client::Cancel(std::uint64_t request, const std::string& workspace) {
  const auto found = pools_.find(workspace);
  if (found == pools_.end()) {
    return;
  }
  waiting_ -=
      std::erase_if(found->second.waiting, [&](const waiting_request& waiting) {
        return waiting.handle == request;
      });
}

void quota_client::Return(const std::string& workspace,
                          const quota_token& token,
                          instant now) {
  const auto found = pools_.find(workspace);
  if (found == pools_.end()) {
    return;
  }
  pool& of = found->second;
  if (token.kind == token_kind::kGranted && token.expires_at > now) {
    AddTokens(of, {.expires_at = token.expires_at, .count = 1});
  }
  if (token.kind == token_kind::kFallback) {
    const auto used = std::find(of.fallback_used.begin(),
                                of.fallback_used.end(), token.taken_at);
    if (used != of.fallback_used.end()) {
      of.fallback_used.erase(used);
    }
  }
}

std::vector<quota_decision> quota_client::Tick(instant now) {
  std::vector<quota_decision> decisions;
  while (!host_counts_.empty() &&
         !IsWithin(host_counts_.front().at, kHostCountMemory, now)) {
    host_counts_.pop_front();
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    auto& [workspace, of] = *it;
    DropExpired(of, now);
    CheckSilence(of, now);
    RequestTokens(workspace, of, 0, now);
    Resolve(workspace, of, now, decisions);
    const bool idle =
        of.waiting.empty() && !IsWithin(of.last_arrival, kPoolIdle, now);
    it = idle ? pools_.erase(it) : std::next(it);
  }
  return decisions;
}

}  // namespace parsleyyard
