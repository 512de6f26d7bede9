// The latest updates of the view, for peers that missed some of them. Internal
// to control/.

#ifndef PARSLEYYARD_CONTROL_UPDATE_LOG_H_
#define PARSLEYYARD_CONTROL_UPDATE_LOG_H_

#include "model/model.h"

#include <deque>
#include <memory>
#include <vector>

namespace parsleyyard {

// An update, and when the store confirmed the state that it leads to.
struct logged_update {
  std::shared_ptr<const view_update> update;
  instant confirmed_at{};
};

// Keeps updates that follow one another without a gap. Drops the oldest ones
// beyond a limit of number and bytes.
class update_log {
 public:
  // Adds an update that was applied to the view. If one before it is missing,
  // the log begins anew with it.
  void Add(view_update update, instant confirmed_at);
  void Clear();
  // Returns the updates that lead from `revision` to the latest one. Empty if
  // the log does not reach back to it, or if there are none.
  std::vector<logged_update> Since(std::uint64_t revision) const;

 private:
  void DropFirst();

  std::deque<logged_update> updates_;
  std::size_t bytes_ = 0;  // packed values of the updates
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CONTROL_UPDATE_LOG_H_
