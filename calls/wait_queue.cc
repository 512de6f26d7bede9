#include "calls/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace parsleyyard {

namespace {

// A class goes before the next one as if it had this much less time.
constexpr duration kPriorityStep = std::chrono::milliseconds(60);

instant OrderOf(const waiting_call& call) {
  return call.horizon - call.service_time + kPriorityStep * call.priority;
}

}  // namespace

bool wait_queue::goes_before::operator()(const waiting_call& a,
                                         const waiting_call& b) const {
  return std::tuple(OrderOf(a), a.arrival, a.id.origin, a.id.sequence) <
         std::tuple(OrderOf(b), b.arrival, b.id.origin, b.id.sequence);
}

std::size_t wait_queue::Before(const waiting_call& joining) const {
  return static_cast<std::size_t>(std::count_if(
      calls_.begin(), calls_.end(),
      [&](const waiting_call& c) { return OrderOf(c) <= OrderOf(joining); }));
}

duration wait_queue::ExpectedWait(const waiting_call& joining,
                                  const instance_room& room) const {
  const std::size_t before = Before(joining);
  const std::size_t free =
      room.limit > room.running ? room.limit - room.running : 0;
  duration wait{};
  if (before >= free) {
    const double ends_needed = static_cast<double>(before - free + 1);
    wait = std::chrono::duration_cast<duration>(
        room.service_time * (ends_needed / std::max(1U, room.limit)));
  }
  if (room.rate > 0) {
    const std::chrono::duration<double> paced(static_cast<double>(before) /
                                              room.rate);
    wait = std::max(wait, std::chrono::duration_cast<duration>(paced));
  }
  return wait;
}

void wait_queue::Join(waiting_call joining) {
  joining.arrival = ++arrivals_;
  calls_.insert(joining);
}

std::optional<waiting_call> wait_queue::TakeFirst() {
  if (calls_.empty()) {
    return std::nullopt;
  }
  return calls_.extract(calls_.begin()).value();
}

std::optional<waiting_call> wait_queue::TakeLessUrgent(std::uint32_t priority) {
  auto chosen = calls_.end();
  for (auto it = calls_.begin(); it != calls_.end(); ++it) {
    const bool later = chosen == calls_.end() ||
                       std::tuple(it->priority, it->arrival) >
                           std::tuple(chosen->priority, chosen->arrival);
    if (it->priority > priority && later) {
      chosen = it;
    }
  }
  if (chosen == calls_.end()) {
    return std::nullopt;
  }
  return calls_.extract(chosen).value();
}

void wait_queue::Remove(const call_id& id) {
  std::erase_if(calls_,
                [&](const waiting_call& call) { return call.id == id; });
}

}  // namespace parsleyyard
