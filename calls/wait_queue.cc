#include "calls/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace parsleyyard {

namespace {

// Each step of priority counts as this much time: a call is ordered as if it
// had that much less time left than one of the next lower priority.
constexpr duration kPriorityStep = std::chrono::milliseconds(60);

// Latest time at which the call can start and end in time, adjusted by
// priority.
instant SchedulingKey(const waiting_call& call) {
  return call.due_at - call.service_time + kPriorityStep * call.priority;
}

// Expected wait of a call behind `ahead` others.
duration WaitBehind(std::size_t ahead, const instance_capacity& capacity) {
  const std::size_t free_slots =
      capacity.limit > capacity.running ? capacity.limit - capacity.running : 0;
  duration wait{};
  if (ahead >= free_slots) {
    const double completions_needed =
        static_cast<double>(ahead - free_slots + 1);
    wait = std::chrono::duration_cast<duration>(
        capacity.service_time *
        (completions_needed / std::max(1U, capacity.limit)));
  }
  if (capacity.max_start_rate) {
    const std::chrono::duration<double> paced_wait(static_cast<double>(ahead) /
                                                   *capacity.max_start_rate);
    wait = std::max(wait, std::chrono::duration_cast<duration>(paced_wait));
  }
  return wait;
}

}  // namespace

bool wait_queue::starts_before::operator()(const waiting_call& a,
                                           const waiting_call& b) const {
  return std::tuple(SchedulingKey(a), a.arrival_number, a.id.origin,
                    a.id.sequence) < std::tuple(SchedulingKey(b),
                                                b.arrival_number, b.id.origin,
                                                b.id.sequence);
}

std::size_t wait_queue::CountAhead(const waiting_call& candidate) const {
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const waiting_call& c) {
        return SchedulingKey(c) <= SchedulingKey(candidate);
      }));
}

duration wait_queue::ExpectedWait(const waiting_call& candidate,
                                  const instance_capacity& capacity) const {
  return WaitBehind(CountAhead(candidate), capacity);
}

std::vector<waiting_call> wait_queue::PopCallsThatOutlast(
    duration left,
    const instance_capacity& capacity) {
  std::vector<waiting_call> popped;
  std::size_t ahead = 0;
  for (auto next = calls_.begin(); next != calls_.end();) {
    const auto call = next++;
    if (WaitBehind(ahead, capacity) + call->service_time > left) {
      popped.push_back(*call);
      calls_.erase(call);
    } else {
      ++ahead;
    }
  }
  return popped;
}

std::vector<waiting_group> wait_queue::CountByPriority() const {
  // Must match schema/messages.toml.
  constexpr std::size_t kMaxGroups = 16;
  std::map<std::uint32_t, std::uint32_t> counts;
  for (const waiting_call& call : calls_) {
    ++counts[call.priority];
  }
  std::vector<waiting_group> groups;
  for (const auto& [priority, calls] : counts) {
    if (groups.size() < kMaxGroups) {
      groups.push_back({.priority = priority, .calls = calls});
    } else {
      groups.back().calls += calls;
    }
  }
  return groups;
}

void wait_queue::Enqueue(waiting_call candidate) {
  candidate.arrival_number = ++last_arrival_number_;
  calls_.insert(candidate);
}

std::optional<waiting_call> wait_queue::PopFirst() {
  if (calls_.empty()) {
    return std::nullopt;
  }
  return calls_.extract(calls_.begin()).value();
}

std::optional<waiting_call> wait_queue::PopLessUrgent(std::uint32_t priority) {
  auto chosen = calls_.end();
  for (auto it = calls_.begin(); it != calls_.end(); ++it) {
    const bool later = chosen == calls_.end() ||
                       std::tuple(it->priority, it->arrival_number) >
                           std::tuple(chosen->priority, chosen->arrival_number);
    if (it->priority > priority && later) {
      chosen = it;
    }
  }
  if (chosen == calls_.end()) {
    return std::nullopt;
  }
  return calls_.extract(chosen).value();
}

void wait_queue::UpdateServiceTimes(
    const std::function<duration(const waiting_call&)>& estimate) {
  decltype(calls_) updated;
  for (waiting_call call : calls_) {
    call.service_time = estimate(call);
    updated.insert(call);
  }
  calls_ = std::move(updated);
}

void wait_queue::Remove(const call_id& id) {
  std::erase_if(calls_,
                [&](const waiting_call& call) { return call.id == id; });
}

}  // namespace parsleyyard
