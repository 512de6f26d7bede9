#include "control/update_log.h"

#include <algorithm>
#include <utility>

namespace parsleyyard {

namespace {

constexpr std::size_t kMaxUpdates = 256;
constexpr std::size_t kMaxBytes = std::size_t{512} * 1024;

std::size_t PackedBytes(const view_update& update) {
  std::size_t bytes = 0;
  for (const view_item& item : update.items) {
    bytes += item.key.size() + item.packed.size();
  }
  return bytes;
}

}  // namespace

void update_log::Add(view_update update, instant confirmed_at) {
  if (update.to_revision <= update.from_revision) {
    return;  // changes nothing
  }
  const bool follows =
      !updates_.empty() && updates_.back().update->era == update.era &&
      updates_.back().update->to_revision >= update.from_revision;
  if (!follows) {
    Clear();
  }
  bytes_ += PackedBytes(update);
  updates_.push_back(
      {.update = std::make_shared<const view_update>(std::move(update)),
       .confirmed_at = confirmed_at});
  while (!updates_.empty() &&
         (bytes_ > kMaxBytes || updates_.size() > kMaxUpdates)) {
    DropFirst();
  }
}

void update_log::DropFirst() {
  bytes_ -= PackedBytes(*updates_.front().update);
  updates_.pop_front();
}

void update_log::Clear() {
  updates_.clear();
  bytes_ = 0;
}

std::vector<logged_update> update_log::Since(std::uint64_t revision) const {
  const auto first = std::find_if(updates_.begin(), updates_.end(),
                                  [&](const logged_update& each) {
                                    return each.update->to_revision > revision;
                                  });
  if (first == updates_.end() || first->update->from_revision > revision) {
    return {};
  }
  return {first, updates_.end()};
}

}  // namespace parsleyyard
