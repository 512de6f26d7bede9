// The current snapshot, shared by all threads. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_SHARED_VIEW_H_
#define PARSLEYYARD_DAEMON_SHARED_VIEW_H_

#include "calls/calls.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace parsleyyard {

// Thread-safe.
class shared_view : public view_source {
 public:
  std::shared_ptr<const snapshot> Current() const override {
    const std::lock_guard lock(mutex_);
    return view_;
  }
  instant ConfirmedAt() const override { return instant(confirmed_us_.load()); }
  void SetConfirmedAt(instant at) { confirmed_us_ = at.count(); }
  void SetSnapshot(std::shared_ptr<const snapshot> view) {
    const std::lock_guard lock(mutex_);
    view_.swap(view);
  }

 private:
  // A mutex instead of std::atomic<std::shared_ptr>: libstdc++ 12 ends an
  // atomic read with a relaxed store, which ThreadSanitizer reports.
  mutable std::mutex mutex_;  // guards view_; last in the lock order
  // Before the first confirmation, a time before any other.
  std::atomic<instant::rep> confirmed_us_{(instant::min() / 2).count()};
  std::shared_ptr<const snapshot> view_ = std::make_shared<const snapshot>();
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SHARED_VIEW_H_
