// parsleyyard: workspaces. Decides for which workspace a request runs. No I/O
// and no clocks.
//
// Index
//   1. Keys   the workspace of a request, from the key that it bears
//
// How to use it: call DecideKey() when the head of a request was read, and
// again when all of it was read, each time with a view and the age that was
// measured after the view was taken. Apply the second decision to the plan of
// the call with ApplyWorkspace(). All functions are thread-safe.
//
// Designed for 5,000 workspaces and, on one daemon, a few hundred requests a
// second: a decision is one lookup in a hash table.

#ifndef PARSLEYYARD_WORKSPACES_WORKSPACES_H_
#define PARSLEYYARD_WORKSPACES_WORKSPACES_H_

#include "calls/calls.h"
#include "model/model.h"

#include <string>
#include <vector>

namespace parsleyyard {

// ---------------------------------------------------------------------------
// 1. Keys
// ---------------------------------------------------------------------------

// How soon a withdrawn key must be out of use.
struct key_limits {
  // Requests with a key run only by a view that was confirmed lately.
  bool strict = false;
  // A request that is sent this long after the store acknowledged the
  // withdrawal of its key must not run.
  duration revoke = seconds(5);
};

// Returns the age of a view up to which it may be used to accept a key;
// duration::max() if the limits are not strict.
duration MaxKeyViewAge(const key_limits& limits);

// For which workspace a request runs.
struct key_decision {
  // Why the request must not run. kMissingKey and kUnknownKey are for good: the
  // configuration in force is known to lack the key. The other reasons tell the
  // caller to try again.
  refusal_reason refusal = refusal_reason::kNone;
  // Workspace that the key belongs to, also if the request is refused by age or
  // region. Null: no key was needed or accepted. Lives as long as the
  // configuration that the decision was made with.
  const workspace* owner = nullptr;
  // Regions allowed by the route and the workspace together; empty: all. Set
  // only if `owner` is set and the request is not refused.
  std::vector<std::string> home_regions;
};

// Decides on a request of `matched`, a route of the view's configuration.
// `keys` are the values of all key fields of the request, in any order: several
// fields with the same value count as one key, and different values as none
// that is known. `max_view_age` is the result of MaxKeyViewAge(). Keys on a
// route that needs none are not looked up.
key_decision DecideKey(const snapshot& view,
                       duration view_age,
                       const route& matched,
                       const std::vector<std::string>& keys,
                       duration max_view_age);

// Sets the workspace, its priority and its regions in the plan of a call.
// Changes nothing if the decision has no workspace.
void ApplyWorkspace(const key_decision& decision, call_plan& plan);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_WORKSPACES_WORKSPACES_H_
