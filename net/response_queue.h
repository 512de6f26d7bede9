// The pending responses of one connection. Internal to net/.
//
// Requests that a caller pipelines may finish in any order. Their responses are
// written in the order of the requests.

#ifndef PARSLEYYARD_NET_RESPONSE_QUEUE_H_
#define PARSLEYYARD_NET_RESPONSE_QUEUE_H_

#include "net/net.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace parsleyyard {

// A request that was read and whose response is not written yet.
struct pending_response {
  std::uint64_t number = 0;    // set by the queue
  unsigned version = 11;       // HTTP version of the request
  bool head_only = false;      // the response is written without its body
  std::size_t held_bytes = 0;  // body of the request or response
  // What the request or response counts in the memory budget, with its head and
  // copies.
  std::size_t budget_bytes = 0;
  std::function<void()> abort;            // ends the request; may be empty
  std::optional<http_response> response;  // empty: not there yet
};

class response_queue {
 public:
  // Adds a request behind the others and returns its number.
  std::uint64_t Add(pending_response added);
  // Sets the function that ends the request. Does nothing if the request is not
  // pending any more.
  void SetAbort(std::uint64_t number, std::function<void()> abort);
  // Stores the response to a request. Does nothing if the request is not
  // pending any more.
  void SetResponse(std::uint64_t number, http_response response);

  // The response to write next, null if it is not there yet. It stays in the
  // queue until PopFront().
  pending_response* Front();
  void PopFront();
  // Ends all requests without a response, and drops the responses that can't
  // be written because an earlier one is missing.
  void AbortUnanswered();
  void Clear() { pending_.clear(); }

  bool empty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  std::size_t HeldBytes() const;
  std::size_t BudgetBytes() const;

 private:
  pending_response* Find(std::uint64_t number);

  std::deque<pending_response> pending_;
  std::uint64_t last_number_ = 0;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_RESPONSE_QUEUE_H_
