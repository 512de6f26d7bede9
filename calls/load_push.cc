#include "calls/load_push.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Change of the rejected share, in percent, from which senders choose
// otherwise.
constexpr std::uint32_t kRejectedStep = 25;

bool HasFreeSlot(const load_report& load) {
  return load.running + load.waiting < load.limit;
}

// Returns true if the values differ by a fifth of the smaller one or more.
bool DifferByAFifth(std::uint32_t a, std::uint32_t b) {
  const std::uint64_t difference = a > b ? a - b : b - a;
  return difference > 0 && difference * 5 >= std::min(a, b);
}

// Returns 0 for an empty queue, 1 for one of up to half as many calls as there
// are slots, and one more for each growth by half.
int QueueLevel(std::uint32_t waiting, std::uint32_t limit) {
  int level = 0;
  for (double bound = std::max(1U, limit) / 2.0 + 1; waiting > 0;
       bound *= 1.5) {
    ++level;
    if (waiting < bound) {
      break;
    }
  }
  return level;
}

std::uint32_t CountUpTo(const load_report& load, std::uint32_t priority) {
  std::uint32_t calls = 0;
  for (const waiting_group& group : load.waiting_by_priority) {
    calls += group.priority <= priority ? group.calls : 0;
  }
  return calls;
}

// Compares the queues as calls of each priority see them.
bool SameQueues(const load_report& a, const load_report& b) {
  const auto same_from = [&](const load_report& groups) {
    return std::all_of(
        groups.waiting_by_priority.begin(), groups.waiting_by_priority.end(),
        [&](const waiting_group& group) {
          return QueueLevel(CountUpTo(a, group.priority), a.limit) ==
                 QueueLevel(CountUpTo(b, group.priority), b.limit);
        });
  };
  return same_from(a) && same_from(b);
}

}  // namespace

bool IsMaterialChange(const load_report& told, const load_report& load) {
  const std::uint32_t rejected_change =
      std::max(told.rejected_percent, load.rejected_percent) -
      std::min(told.rejected_percent, load.rejected_percent);
  return told.limit != load.limit || HasFreeSlot(told) != HasFreeSlot(load) ||
         DifferByAFifth(told.service_us, load.service_us) ||
         DifferByAFifth(told.speed_percent, load.speed_percent) ||
         rejected_change >= kRejectedStep || !SameQueues(told, load);
}

void load_push::OnCall(const host_address& from, instant now) {
  const auto [known, added] = receivers_.try_emplace(from);
  known->second.called_at = now;
  // The answer to its first call may tell the load soon.
  known->second.told_at = added ? now : known->second.told_at;
  allowance_ = std::min(allowance_ + options_.max_per_call, options_.max_burst);
}

void load_push::OnAnswer(const host_address& to,
                         const load_report& load,
                         instant now) {
  const auto known = receivers_.find(to);
  if (known != receivers_.end()) {
    known->second.told = load;
    known->second.told_at = now;
  }
}

std::vector<host_address> load_push::TakeReceivers(const load_report& load,
                                                   instant now) {
  std::erase_if(receivers_, [&](const auto& entry) {
    return now - entry.second.called_at > options_.window;
  });
  std::vector<std::map<host_address, receiver>::iterator> due;
  if (load.speed_percent == 0 || load.leaving) {
    return {};
  }
  for (auto it = receivers_.begin(); it != receivers_.end(); ++it) {
    const duration age = now - it->second.told_at;
    const bool refresh = age >= options_.refresh_interval && !HasFreeSlot(load);
    if (refresh || (age >= options_.min_interval &&
                    IsMaterialChange(it->second.told, load))) {
      due.push_back(it);
    }
  }
  // Those that called last are the most likely to call next.
  std::stable_sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
    return a->second.called_at > b->second.called_at;
  });
  std::vector<host_address> chosen;
  for (const auto& it : due) {
    if (allowance_ < 1) {
      break;
    }
    allowance_ -= 1;
    ++pushes_;
    it->second.told = load;
    it->second.told_at = now;
    chosen.push_back(it->first);
  }
  return chosen;
}

}  // namespace parsleyyard
