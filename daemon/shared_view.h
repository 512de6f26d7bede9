// The snapshot and the admission lease, readable from any thread. Internal to
// daemon/.

#ifndef PARSLEYYARD_DAEMON_SHARED_VIEW_H_
#define PARSLEYYARD_DAEMON_SHARED_VIEW_H_

#include "decide/decide.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace parsleyyard {

class shared_view : public admission_view {
 public:
  std::shared_ptr<const snapshot> Current() const override {
    const std::lock_guard lock(mutex_);
    return view_;
  }

  refusal_reason MayAdmit(instant now) const override {
    const instant until{until_us_.load()};
    return now < until ? refusal_reason::kNone : otherwise_.load();
  }

  void Set(std::shared_ptr<const snapshot> view) {
    const std::lock_guard lock(mutex_);
    view_.swap(view);
  }
  void Set(const admission_lease& lease) {
    otherwise_ = lease.otherwise;
    until_us_ = lease.until.count();
  }

 private:
  // std::atomic<std::shared_ptr> would do, but the one of libstdc++ 12 ends its
  // reads with a relaxed store, which the thread sanitizer reports.
  mutable std::mutex mutex_;  // guards view_; last in the lock order
  std::shared_ptr<const snapshot> view_ = std::make_shared<const snapshot>();
  std::atomic<instant::rep> until_us_{0};
  std::atomic<refusal_reason> otherwise_{refusal_reason::kStarting};
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SHARED_VIEW_H_
