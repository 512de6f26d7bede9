#include "net/response_queue.h"

#include <algorithm>

namespace parsleyyard {

namespace {

std::size_t BytesOf(const std::vector<call_header>& headers) {
  std::size_t bytes = 0;
  for (const call_header& header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

std::uint64_t response_queue::Add(pending_response added) {
  added.number = ++last_number_;
  pending_.push_back(std::move(added));
  return last_number_;
}

pending_response* response_queue::Find(std::uint64_t number) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(),
      [&](const pending_response& each) { return each.number == number; });
  return found == pending_.end() ? nullptr : &*found;
}

void response_queue::SetAbort(std::uint64_t number,
                              std::function<void()> abort) {
  if (pending_response* pending = Find(number)) {
    pending->abort = std::move(abort);
  }
}

void response_queue::SetResponse(std::uint64_t number, http_response response) {
  if (pending_response* pending = Find(number)) {
    pending->held_bytes = response.body.size();
    pending->budget_bytes = BytesOf(response.headers) + response.body.size();
    pending->response = std::move(response);
  }
}

pending_response* response_queue::Front() {
  const bool ready = !pending_.empty() && pending_.front().response;
  return ready ? &pending_.front() : nullptr;
}

void response_queue::PopFront() {
  pending_.pop_front();
}

void response_queue::AbortUnanswered() {
  const auto first_unanswered =
      std::find_if(pending_.begin(), pending_.end(),
                   [](const pending_response& each) { return !each.response; });
  for (auto it = first_unanswered; it != pending_.end(); ++it) {
    if (!it->response && it->abort) {
      it->abort();
    }
  }
  pending_.erase(first_unanswered, pending_.end());
}

std::size_t response_queue::HeldBytes() const {
  std::size_t bytes = 0;
  for (const pending_response& each : pending_) {
    bytes += each.held_bytes;
  }
  return bytes;
}

std::size_t response_queue::BudgetBytes() const {
  std::size_t bytes = 0;
  for (const pending_response& each : pending_) {
    bytes += each.budget_bytes;
  }
  return bytes;
}

}  // namespace parsleyyard
