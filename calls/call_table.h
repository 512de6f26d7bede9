// What became of each try that reached this daemon. Internal to calls/.
//
// Proves that a try runs at most once: a try is entered once, an unknown one
// that a sender asks about is fenced and can never be entered, and an answer is
// kept for a sender that lost its link.

#ifndef PARSLEYYARD_CALLS_CALL_TABLE_H_
#define PARSLEYYARD_CALLS_CALL_TABLE_H_

#include "calls/calls.h"

#include <deque>
#include <map>
#include <utility>

namespace parsleyyard {

enum class try_state : std::uint8_t { kWaiting, kRunning, kEnded, kFenced };

struct table_entry {
  try_state state = try_state::kWaiting;
  host_address from;
  std::shared_ptr<const call_request> message;
  std::shared_ptr<const call_answer> answer;  // once ended, while kept
  instant began{};                            // at the instance
  instant deadline{};
  instant objective{};
  instant expiry{};  // forgotten then
};

class call_table {
 public:
  call_table(std::size_t most, std::uint64_t kept_bytes)
      : most_(most), most_kept_bytes_(kept_bytes) {}

  table_entry* Find(const call_id& id);
  bool full() const { return entries_.size() >= most_; }
  table_entry& Add(const call_id& id, table_entry entry);
  // Keeps the answer for a sender that asks again.
  void End(const call_id& id, std::shared_ptr<const call_answer> answer);
  void Expire(instant now);

 private:
  using key = std::pair<std::uint64_t, std::uint64_t>;  // origin, sequence
  static key KeyOf(const call_id& id) { return {id.origin, id.sequence}; }

  const std::size_t most_;
  const std::uint64_t most_kept_bytes_;
  std::map<key, table_entry> entries_;
  std::deque<key> kept_;  // answers by age
  std::uint64_t kept_bytes_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALL_TABLE_H_
