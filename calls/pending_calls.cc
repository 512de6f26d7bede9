#include "calls/pending_calls.h"

#include <algorithm>
#include <utility>

namespace parsleyyard {

bool SelectAttempt(pending_call& call, std::uint64_t sequence) {
  if (call.other && call.other->sequence == sequence) {
    std::swap(call.current, *call.other);
  }
  return call.current.sequence == sequence;
}

bool SelectAttempt(pending_call& call, const host_address& host) {
  if (call.other && call.other->target_host == host) {
    std::swap(call.current, *call.other);
  }
  return call.current.target_host == host;
}

call_request BuildAttempt(const pending_call& call,
                          std::uint64_t origin,
                          instant now) {
  call_request message = call.message;
  message.id = {.origin = origin, .sequence = call.current.sequence};
  message.target_incarnation = call.current.target_incarnation;
  message.instance = call.current.instance;
  message.service = call.plan.service;
  message.route = call.plan.route;
  message.priority = call.plan.priority;
  message.never_repeat = call.plan.never_repeat;
  message.wants_load = !call.current.leaves_region;
  message.sent_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  message.deadline_ms =
      static_cast<std::uint32_t>((call.deadline - now).count() / 1000);
  message.objective_ms = static_cast<std::uint32_t>(
      std::max<duration::rep>(0, (call.objective - now).count() / 1000));
  return message;
}

pending_call& pending_calls::Add(std::uint64_t handle) {
  pending_call& call = calls_[handle];
  call.handle = handle;
  return call;
}

pending_call* pending_calls::Find(std::uint64_t handle) {
  const auto found = calls_.find(handle);
  return found == calls_.end() ? nullptr : &found->second;
}

pending_call* pending_calls::FindBySequence(std::uint64_t sequence) {
  const auto handle = handle_by_sequence_.find(sequence);
  return handle == handle_by_sequence_.end() ? nullptr : Find(handle->second);
}

std::vector<std::uint64_t> pending_calls::Handles() const {
  std::vector<std::uint64_t> handles;
  handles.reserve(calls_.size());
  for (const auto& [handle, call] : calls_) {
    handles.push_back(handle);
  }
  std::sort(handles.begin(), handles.end());
  return handles;
}

std::vector<std::uint64_t> pending_calls::HandlesAt(
    const host_address& host) const {
  const auto handles = handles_by_target_.find(host);
  if (handles == handles_by_target_.end()) {
    return {};
  }
  return {handles->second.begin(), handles->second.end()};
}

void pending_calls::SetTarget(pending_call& call, const host_address& host) {
  call.current.target_host = host;
  handles_by_target_[host].insert(call.handle);
}

void pending_calls::AssignSequence(pending_call& call) {
  call.current.sequence = ++last_sequence_;
  handle_by_sequence_[call.current.sequence] = call.handle;
}

void pending_calls::ReleaseTarget(const pending_call& call,
                                  const call_attempt& attempt) {
  handles_by_target_[attempt.target_host].erase(call.handle);
  handle_by_sequence_.erase(attempt.sequence);
}

void pending_calls::Remove(std::uint64_t handle) {
  calls_.erase(handle);
}

}  // namespace parsleyyard
