// State of each attempt that reached this daemon. Internal to calls/.
//
// Ensures that an attempt runs at most once. Each attempt is entered only once.
// If a sender attaches to an attempt that is not in the table, its id is
// fenced, so that the attempt is refused if it arrives later. The answer of an
// attempt is kept for a sender that lost its link.

#ifndef PARSLEYYARD_CALLS_CALL_TABLE_H_
#define PARSLEYYARD_CALLS_CALL_TABLE_H_

#include "calls/calls.h"

#include <deque>
#include <map>
#include <utility>

namespace parsleyyard {

enum class attempt_state : std::uint8_t { kWaiting, kRunning, kEnded, kFenced };

struct table_entry {
  attempt_state state = attempt_state::kWaiting;
  host_address sender;                          // daemon that gets the answer
  std::shared_ptr<const call_request> message;  // null once ended or if fenced
  std::shared_ptr<const call_answer> answer;  // null until ended, or if dropped
  instant arrived_at{};                       // arrival at this daemon
  instant started_at{};                       // start of the run
  bool trial = false;    // tries an instance that refused a connection
  bool written = false;  // the request was written to the instance
  // Why the request was not written after the call was started.
  refusal_reason withheld_for = refusal_reason::kNone;
  instant deadline{};
  instant objective{};
  instant expiry{};  // an ended or fenced entry is removed at this time
};

class call_table {
 public:
  call_table(std::size_t max_entries, std::uint64_t max_kept_bytes)
      : max_entries_(max_entries), max_kept_bytes_(max_kept_bytes) {}

  // Returns null if the id is unknown.
  table_entry* Find(const call_id& id);
  bool full() const { return entries_.size() >= max_entries_; }
  table_entry& Add(const call_id& id, table_entry entry);
  // Marks the attempt as ended and keeps its answer for a sender that attaches.
  // Drops the oldest answers once all bodies exceed the limit.
  void End(const call_id& id, std::shared_ptr<const call_answer> answer);
  // Returns the running attempts whose request was not written yet.
  std::vector<call_id> FindUnwritten() const;
  // Removes the entries whose expiry has passed.
  void Expire(instant now);

 private:
  using key = std::pair<std::uint64_t, std::uint64_t>;  // origin, sequence
  static key KeyOf(const call_id& id) { return {id.origin, id.sequence}; }

  const std::size_t max_entries_;
  const std::uint64_t max_kept_bytes_;
  std::map<key, table_entry> entries_;
  std::deque<key> kept_answers_;  // oldest first
  std::uint64_t kept_bytes_ = 0;  // bodies of the kept answers
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALL_TABLE_H_
