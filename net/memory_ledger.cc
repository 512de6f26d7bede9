#include "net/memory_ledger.h"

#include <algorithm>
#include <utility>

namespace parsleyyard {

namespace {

// Added to the age of an account, so that among those that have just begun, the
// largest gives way.
constexpr duration kMinAge = std::chrono::seconds(1);

double WeightOf(std::size_t bytes, duration age) {
  return static_cast<double>(bytes) *
         static_cast<double>((age + kMinAge).count());
}

}  // namespace

memory_ledger::account_id memory_ledger::Open() {
  accounts_[++last_id_] = {};
  return last_id_;
}

void memory_ledger::Close(account_id id) {
  Hold(id, 0);
  accounts_.erase(id);
}

std::size_t memory_ledger::LimitFor(std::size_t bytes) const {
  return IsSmall(bytes) ? limits_.total
                        : limits_.total - limits_.reserved_for_small;
}

void memory_ledger::Hold(account_id id, std::size_t bytes) {
  account& held = accounts_.at(id);
  held_ = held_ - held.bytes + bytes;
  if (held.leaving) {
    leaving_ = leaving_ - held.bytes + bytes;
  }
  held.bytes = bytes;
}

void memory_ledger::Begin(account_id id, instant now) {
  account& begun = accounts_.at(id);
  if (!std::exchange(begun.unfinished, true)) {
    begun.begun_at = now;
  }
}

void memory_ledger::End(account_id id) {
  account& ended = accounts_.at(id);
  ended.unfinished = false;
  if (std::exchange(ended.leaving, false)) {
    leaving_ -= ended.bytes;
  }
}

// Returns the accounts that may give way for one that asks for `bytes`, which
// is among them, in the order in which they do.
std::vector<memory_ledger::account_id> memory_ledger::ListUnfinished(
    account_id asking,
    std::size_t bytes,
    instant now) const {
  std::vector<std::pair<double, account_id>> weights;
  for (const auto& [id, each] : accounts_) {
    if (each.unfinished && !each.leaving) {
      weights.emplace_back(
          WeightOf(id == asking ? bytes : each.bytes, now - each.begun_at), id);
    }
  }
  std::sort(weights.begin(), weights.end(), std::greater<>());
  std::vector<account_id> ids;
  ids.reserve(weights.size());
  for (const auto& [weight, id] : weights) {
    ids.push_back(id);
  }
  return ids;
}

memory_ledger::decision memory_ledger::TryHold(account_id id,
                                               std::size_t bytes,
                                               instant now) {
  const account& asking = accounts_.at(id);
  if (asking.leaving) {
    return {.grant = memory_grant::kRefused};
  }
  const std::size_t limit = LimitFor(bytes);
  const std::size_t needed = held_ - asking.bytes + bytes;
  if (bytes <= asking.bytes || needed <= limit) {
    Hold(id, bytes);
    return {};
  }
  decision decided{.grant = memory_grant::kWait};
  std::size_t freed = leaving_;
  if (needed <= limit + freed) {
    return decided;
  }
  for (const account_id candidate : ListUnfinished(id, bytes, now)) {
    if (candidate == id || needed <= limit + freed) {
      break;
    }
    freed += accounts_.at(candidate).bytes;
    decided.shed.push_back(candidate);
  }
  if (needed > limit + freed) {
    return {.grant = memory_grant::kRefused, .refusals = 1};
  }
  decided.refusals = decided.shed.size();
  for (const account_id each : decided.shed) {
    account& leaving = accounts_.at(each);
    leaving.leaving = true;
    leaving_ += leaving.bytes;
  }
  return decided;
}

}  // namespace parsleyyard
