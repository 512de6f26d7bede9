#include "daemon/quota_service.h"

#include <algorithm>
#include <string_view>

namespace parsleyyard {

namespace {

// Least time between two maps. With 35,000 hosts and 5,000 workspaces, making
// one takes several milliseconds, and hosts come and go all the time.
constexpr duration kMapInterval = std::chrono::milliseconds(200);
// Workspaces named in a log line about many.
constexpr std::size_t kMaxNamesInLine = 5;

std::string_view ResultOf(const quota_decision& decision) {
  switch (decision.verdict) {
    case quota_verdict::kOverQuota:
      return "over_quota";
    case quota_verdict::kUnknown:
      return "unknown";
    case quota_verdict::kAdmitted:
    case quota_verdict::kWaiting:
      break;
  }
  return decision.token.kind == token_kind::kFallback ? "fallback" : "granted";
}

boost::json::array FirstNames(const std::vector<std::string>& names) {
  const std::size_t count = std::min(names.size(), kMaxNamesInLine);
  boost::json::array first;
  for (std::size_t i = 0; i < count; ++i) {
    first.emplace_back(names[i]);
  }
  return first;
}

}  // namespace

void quota_service::SetCallbacks(send_function send, decided_function decided) {
  send_ = std::move(send);
  decided_ = std::move(decided);
}

void quota_service::SetLimits(const quota_limits& limits) {
  const std::lock_guard lock(mutex_);
  client_.SetLimits(limits);
}

quota_decision quota_service::Admit(std::uint64_t call,
                                    const std::string& workspace,
                                    duration max_wait) {
  quota_ownership_change change;
  quota_decision decision;
  {
    const std::lock_guard lock(mutex_);
    const instant now = clock_.Now();
    // The quota may be new with the configuration that admits the request.
    if (HasNewConfiguration(*view_.Current())) {
      change = UpdateView(now);
    }
    decision = client_.Admit(call, workspace, max_wait, now);
  }
  LogChange(change);
  Record(decision);
  return decision;
}

void quota_service::Cancel(std::uint64_t call, const std::string& workspace) {
  const std::lock_guard lock(mutex_);
  client_.Cancel(call, workspace);
}

void quota_service::Return(const std::string& workspace,
                           const quota_token& token) {
  const std::lock_guard lock(mutex_);
  client_.Return(workspace, token, clock_.Now());
}

quota_grant quota_service::OnRequest(const quota_request& request) {
  const std::lock_guard lock(mutex_);
  ++messages_sent_;
  return owner_.OnRequest(request, clock_.Now());
}

void quota_service::OnGrant(const quota_grant& grant) {
  std::vector<quota_decision> decisions;
  {
    const std::lock_guard lock(mutex_);
    decisions = client_.OnGrant(grant, clock_.Now());
  }
  Report(decisions);
}

void quota_service::Tick() {
  quota_ownership_change change;
  std::vector<quota_decision> decisions;
  {
    const std::lock_guard lock(mutex_);
    const instant now = clock_.Now();
    change = UpdateView(now);
    decisions = client_.Tick(now);
  }
  LogChange(change);
  Report(decisions);
}

bool quota_service::HasNewConfiguration(const snapshot& view) const {
  return seen_ == nullptr || view.config != seen_->config;
}

// The time of the confirmation is read first, so that it never belongs to a
// newer view than the one that is used. A new configuration takes effect at
// once. While a new map is put off, no newer confirmation is passed on.
quota_ownership_change quota_service::UpdateView(instant now) {
  const instant confirmed_at = view_.ConfirmedAt();
  auto view = view_.Current();
  if (view != seen_) {
    if (!HasNewConfiguration(*view) && now - map_made_at_ < kMapInterval) {
      return {};
    }
    map_made_at_ = now;
    seen_ = std::move(view);
    auto map = BuildQuotaMap(*seen_, map_.get());
    const bool same = map != nullptr && map_ != nullptr && *map == *map_;
    map_ = same ? map_ : std::move(map);
    client_.SetView(map_, now);
  }
  return owner_.SetView(map_, confirmed_at, now);
}

std::optional<quota_grant> quota_service::Request(
    const host_address& owner,
    const quota_request& message) {
  if (owner == address_) {
    return owner_.OnRequest(message, clock_.Now());
  }
  ++messages_sent_;
  send_(owner, message);
  return std::nullopt;
}

// A decision that is still to come, or that needs no quota, is not counted.
void quota_service::Record(const quota_decision& decision) {
  if (decision.verdict == quota_verdict::kWaiting ||
      (decision.verdict == quota_verdict::kAdmitted &&
       decision.token.kind == token_kind::kNone)) {
    return;
  }
  metrics_.OnQuota(decision.workspace, ResultOf(decision));
  if (decision.begins_to_bind) {
    log_.Write(log_kind::kProcess, log_level::kInfo, "quota", "quota binds",
               {{"workspace", decision.workspace},
                {"retry_after_ms", decision.retry_after.count() / 1000}});
  }
}

void quota_service::Report(const std::vector<quota_decision>& decisions) {
  for (const quota_decision& decision : decisions) {
    Record(decision);
    decided_(decision);
  }
}

void quota_service::LogChange(const quota_ownership_change& change) {
  if (change.gained.empty() && change.lost.empty()) {
    return;
  }
  log_.Write(log_kind::kProcess, log_level::kInfo, "quota",
             "owner of quotas changed",
             {{"gained", change.gained.size()},
              {"lost", change.lost.size()},
              {"first_gained", FirstNames(change.gained)},
              {"first_lost", FirstNames(change.lost)}});
}

quota_service::counts quota_service::Counts() const {
  const std::lock_guard lock(mutex_);
  return {.owned = owner_.owned(),
          .waiting = client_.waiting(),
          .messages_sent = messages_sent_};
}

}  // namespace parsleyyard
