#include "net/memory_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleyyard {

memory_limits LimitsForHost(std::uint64_t host_bytes) {
  // Half of the host's memory. The rest is for the process without requests,
  // for unread input in the system and for the short-lived copies made while
  // one message is encoded or decoded.
  const auto total = static_cast<std::size_t>(host_bytes / 2);
  constexpr std::size_t kReservedDivisor = 4;
  // A body of 30,000 bytes with its copies and a head of usual size is small.
  constexpr std::size_t kMaxSmallBytes = std::size_t{128} * 1024;
  return {.total = total,
          .reserved_for_small = total / kReservedDivisor,
          .max_small = kMaxSmallBytes};
}

std::size_t memory_budget::HeldBytes() const {
  const std::lock_guard lock(mutex_);
  return ledger_.HeldBytes();
}

memory_account::memory_account(std::shared_ptr<memory_budget> budget)
    : budget_(std::move(budget)) {
  if (budget_ == nullptr) {
    return;
  }
  const std::lock_guard lock(budget_->mutex_);
  id_ = budget_->ledger_.Open();
}

void memory_account::SetOnShed(std::function<void()> on_shed) {
  if (budget_ == nullptr) {
    return;
  }
  const std::lock_guard lock(budget_->mutex_);
  budget_->on_shed_[id_] = std::move(on_shed);
}

memory_account::~memory_account() {
  if (budget_ == nullptr) {
    return;
  }
  std::function<void()> on_shed;  // destroyed without the lock
  const std::lock_guard lock(budget_->mutex_);
  budget_->ledger_.Close(id_);
  const auto found = budget_->on_shed_.find(id_);
  if (found != budget_->on_shed_.end()) {
    on_shed = std::move(found->second);
    budget_->on_shed_.erase(found);
  }
}

memory_grant memory_account::TryHold(std::size_t bytes) {
  if (bytes == held_ || budget_ == nullptr) {
    held_ = bytes;
    return memory_grant::kGranted;
  }
  std::vector<std::function<void()>> shed;
  memory_grant grant = memory_grant::kGranted;
  {
    const std::lock_guard lock(budget_->mutex_);
    const memory_ledger::decision decided =
        budget_->ledger_.TryHold(id_, bytes, budget_->clock_.Now());
    grant = decided.grant;
    budget_->refusals_ += decided.refusals;
    for (const memory_ledger::account_id id : decided.shed) {
      shed.push_back(budget_->on_shed_.at(id));
    }
  }
  if (grant == memory_grant::kGranted) {
    held_ = bytes;
  }
  for (const std::function<void()>& each : shed) {
    each();
  }
  return grant;
}

void memory_account::Hold(std::size_t bytes) {
  if (bytes == std::exchange(held_, bytes) || budget_ == nullptr) {
    return;
  }
  const std::lock_guard lock(budget_->mutex_);
  budget_->ledger_.Hold(id_, bytes);
}

void memory_account::Begin() {
  if (std::exchange(unfinished_, true) || budget_ == nullptr) {
    return;
  }
  const std::lock_guard lock(budget_->mutex_);
  budget_->ledger_.Begin(id_, budget_->clock_.Now());
}

void memory_account::End() {
  if (!std::exchange(unfinished_, false) || budget_ == nullptr) {
    return;
  }
  const std::lock_guard lock(budget_->mutex_);
  budget_->ledger_.End(id_);
}

bool memory_account::GivesWay() const {
  if (budget_ == nullptr) {
    return false;
  }
  const std::lock_guard lock(budget_->mutex_);
  return budget_->ledger_.GivesWay(id_);
}

}  // namespace parsleyyard
