// The byte budget of the process, shared by its servers and streams. Internal
// to net/ and daemon/. Thread-safe. memory_ledger takes the decisions.

#ifndef PARSLEYYARD_NET_MEMORY_BUDGET_H_
#define PARSLEYYARD_NET_MEMORY_BUDGET_H_

#include "net/memory_ledger.h"
#include "net/net.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace parsleyyard {

// Bytes that the budget counts for each byte of a whole request body. The
// daemon that the caller is connected to keeps the body for another attempt,
// and a copy of it on the way. The daemon beside the instance keeps the message
// and the request that is written to the instance.
inline constexpr std::size_t kBodyCopies = 2;

// Bytes that the system keeps of unread input, and of unread responses, for one
// connection of a caller. Callers are on the same host or in the same zone,
// where 64 KiB for each round trip of 1 ms are more than the link carries.
inline constexpr int kCallerSocketBytes = 64 * 1024;

// The limits that follow from the memory of the host.
memory_limits LimitsForHost(std::uint64_t host_bytes);

class memory_budget {
 public:
  explicit memory_budget(const memory_limits& limits) : ledger_(limits) {}

  std::size_t HeldBytes() const;
  // Requests and responses that were refused or given up for lack of memory.
  std::uint64_t Refusals() const { return refusals_; }

 private:
  friend class memory_account;
  using account_id = memory_ledger::account_id;

  mutable std::mutex mutex_;  // guards all below; last in the lock order
  memory_ledger ledger_;
  std::unordered_map<account_id, std::function<void()>> on_shed_;
  const monotonic_clock clock_;
  std::atomic<std::uint64_t> refusals_{0};
};

// The bytes of one holder. Without a budget, everything is granted. The
// functions of one account must not be called at the same time.
class memory_account {
 public:
  explicit memory_account(std::shared_ptr<memory_budget> budget);
  ~memory_account();
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  // `on_shed` is called, without a lock of the budget, when the account is to
  // give way: on the thread of another account, so it should post. Call this
  // before Begin().
  void SetOnShed(std::function<void()> on_shed);
  // See memory_ledger.
  memory_grant TryHold(std::size_t bytes);
  void Hold(std::size_t bytes);
  void Begin();
  void End();
  bool GivesWay() const;

 private:
  const std::shared_ptr<memory_budget> budget_;
  memory_ledger::account_id id_ = 0;
  std::size_t held_ = 0;     // as the ledger has it
  bool unfinished_ = false;  // as the ledger has it
};

// Returns a pointer to `message` that counts `bytes` in the budget until its
// last copy is gone.
template <class Message>
std::shared_ptr<const Message> HoldMessage(
    std::shared_ptr<const Message> message,
    std::size_t bytes,
    std::shared_ptr<memory_budget> budget) {
  struct held_message {
    held_message(std::shared_ptr<const Message> shared,
                 std::shared_ptr<memory_budget> counted_in)
        : message(std::move(shared)), account(std::move(counted_in)) {}
    std::shared_ptr<const Message> message;
    memory_account account;
  };
  auto held =
      std::make_shared<held_message>(std::move(message), std::move(budget));
  held->account.Hold(bytes);
  return std::shared_ptr<const Message>(held, held->message.get());
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_MEMORY_BUDGET_H_
