// Decides which requests and responses may hold the memory of the process.
// Internal to net/; without I/O, clock or lock.
//
// Each holder of bytes has an account: a connection of a caller, one direction
// of a stream between daemons, a call. An account asks before its bytes are
// read. When the limit is reached, unfinished requests and unread responses
// give way, the one with the largest product of bytes and age first: of equal
// sizes the slowest, of equal ages the largest. A request that is read whole
// does not give way, since it may run.
//
// Designed for 3,000 accounts. The search for the accounts that give way is
// linear, and runs only at the limit.

#ifndef PARSLEYYARD_NET_MEMORY_LEDGER_H_
#define PARSLEYYARD_NET_MEMORY_LEDGER_H_

#include "model/model.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace parsleyyard {

struct memory_limits {
  std::size_t total = 0;  // bytes of all accounts
  // Part of `total` that only small accounts may use.
  std::size_t reserved_for_small = 0;
  std::size_t max_small = 0;  // bytes of a small account
};

enum class memory_grant : std::uint8_t {
  kGranted,
  kWait,     // others give way; ask again when they have
  kRefused,  // nothing gives way, or this account gives way itself
};

class memory_ledger {
 public:
  using account_id = std::uint64_t;
  struct decision {
    memory_grant grant = memory_grant::kGranted;
    std::vector<account_id> shed;  // the accounts that begin to give way
    std::size_t refusals = 0;      // those, and this account if it is refused
  };

  explicit memory_ledger(const memory_limits& limits) : limits_(limits) {}

  account_id Open();
  void Close(account_id id);

  // Asks for `bytes` in all for the account. Fewer than it holds are always
  // granted. If others give way for it, their bytes stay counted until they
  // hold fewer or are closed.
  decision TryHold(account_id id, std::size_t bytes, instant now);
  // Sets the bytes of an account without a decision, for what is there already.
  void Hold(account_id id, std::size_t bytes);

  // From now on the account holds an unfinished request or an unread response,
  // and may give way. Does nothing if that was so already.
  void Begin(account_id id, instant now);
  // From now on the account does not give way.
  void End(account_id id);
  // True if the account is to give way.
  bool GivesWay(account_id id) const { return accounts_.at(id).leaving; }

  std::size_t HeldBytes() const { return held_; }

 private:
  struct account {
    std::size_t bytes = 0;
    bool unfinished = false;
    bool leaving = false;  // gives way
    instant begun_at{};    // valid if unfinished
  };

  bool IsSmall(std::size_t bytes) const { return bytes <= limits_.max_small; }
  std::size_t LimitFor(std::size_t bytes) const;
  std::vector<account_id> ListUnfinished(account_id asking,
                                         std::size_t bytes,
                                         instant now) const;

  const memory_limits limits_;
  std::unordered_map<account_id, account> accounts_;
  account_id last_id_ = 0;
  std::size_t held_ = 0;
  std::size_t leaving_ = 0;  // bytes of the accounts that give way
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_MEMORY_LEDGER_H_
