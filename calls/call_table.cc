#include "calls/call_table.h"

namespace parsleyyard {

table_entry* call_table::Find(const call_id& id) {
  const auto found = entries_.find(KeyOf(id));
  return found == entries_.end() ? nullptr : &found->second;
}

table_entry& call_table::Add(const call_id& id, table_entry entry) {
  return entries_[KeyOf(id)] = std::move(entry);
}

void call_table::End(const call_id& id,
                     std::shared_ptr<const call_answer> answer) {
  table_entry& ended = entries_.at(KeyOf(id));
  ended.state = attempt_state::kEnded;
  ended.message.reset();
  kept_bytes_ += answer->body.size();
  ended.answer = std::move(answer);
  kept_answers_.push_back(KeyOf(id));
  while (kept_bytes_ > max_kept_bytes_ && !kept_answers_.empty()) {
    const auto oldest = entries_.find(kept_answers_.front());
    kept_answers_.pop_front();
    if (oldest != entries_.end() && oldest->second.answer) {
      kept_bytes_ -= oldest->second.answer->body.size();
      oldest->second.answer.reset();
    }
  }
}

std::vector<call_id> call_table::FindUnwritten() const {
  std::vector<call_id> unwritten;
  for (const auto& [id, entry] : entries_) {
    if (entry.state == attempt_state::kRunning && !entry.written) {
      unwritten.push_back({.origin = id.first, .sequence = id.second});
    }
  }
  return unwritten;
}

void call_table::Expire(instant now) {
  std::erase_if(entries_, [&](const auto& item) {
    const table_entry& entry = item.second;
    const bool ended = entry.state == attempt_state::kEnded ||
                       entry.state == attempt_state::kFenced;
    const bool expired = ended && now >= entry.expiry;
    if (expired && entry.answer) {
      kept_bytes_ -= entry.answer->body.size();
    }
    return expired;
  });
  while (!kept_answers_.empty() && !entries_.contains(kept_answers_.front())) {
    kept_answers_.pop_front();
  }
}

}  // namespace parsleyyard
