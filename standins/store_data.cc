// Items, revisions, leases and copies of the stand-in store.

#include "standins/store_data.h"

namespace parsleyyard::standins {

namespace {

constexpr std::size_t kMaxHistory = 2000;        // changes
constexpr std::int64_t kLeaseDurationMs = 4500;  // three heartbeats of 1.5 s

}  // namespace

const stored_item* store_data::Find(const std::string& key) const {
  const auto found = content_.items.find(key);
  return found == content_.items.end() ? nullptr : &found->second;
}

range_page store_data::Range(const std::string& prefix,
                             const std::string& after,
                             std::size_t max_items) const {
  range_page page;
  for (const auto& [key, item] : content_.items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (page.items.size() == max_items) {
      page.has_more = true;
      break;
    }
    page.items.push_back(
        {.key = key, .revision = item.revision, .item = &item});
  }
  return page;
}

bool store_data::HasHistorySince(std::uint64_t revision) const {
  return revision >= content_.dropped_revision && revision <= content_.revision;
}

std::vector<store_event> store_data::ChangesAfter(
    std::uint64_t revision,
    const std::string& prefix) const {
  std::map<std::string, std::uint64_t> last_changes;
  for (const change& changed : content_.history) {
    if (changed.revision > revision && changed.key.starts_with(prefix)) {
      last_changes[changed.key] = changed.revision;
    }
  }
  std::map<std::uint64_t, store_event> by_revision;
  for (const auto& [key, changed_at] : last_changes) {
    by_revision[changed_at] = {
        .key = key, .revision = changed_at, .item = Find(key)};
  }
  std::vector<store_event> events;
  for (auto& [changed_at, event] : by_revision) {
    events.push_back(std::move(event));
  }
  return events;
}

std::uint64_t store_data::Put(const std::string& key,
                              const std::string& value) {
  return Write(key, value, 0);
}

std::uint64_t store_data::PutLeased(const std::string& key,
                                    const std::string& value,
                                    std::int64_t now_ms) {
  return Write(key, value, now_ms + kLeaseDurationMs);
}

std::uint64_t store_data::Write(const std::string& key,
                                const std::string& value,
                                std::int64_t lease_ends_ms) {
  const auto [found, is_new] = content_.items.try_emplace(key);
  stored_item& item = found->second;
  item.lease_ends_ms = lease_ends_ms;
  if (is_new || item.value != value) {
    RecordChange(key);
    item.value = value;
    item.revision = content_.revision;
    item.created = is_new ? item.revision : item.created;
  }
  return item.revision;
}

void store_data::Remove(const std::string& key) {
  if (content_.items.erase(key) > 0) {
    RecordChange(key);
  }
}

std::vector<std::string> store_data::ExpiredKeys(std::int64_t now_ms) const {
  std::vector<std::string> expired;
  for (const auto& [key, item] : content_.items) {
    if (item.lease_ends_ms != 0 && item.lease_ends_ms < now_ms) {
      expired.push_back(key);
    }
  }
  return expired;
}

void store_data::DropHistory() {
  content_.dropped_revision = content_.revision;
  content_.history.clear();
}

bool store_data::Restore(std::int64_t now_ms) {
  if (!copy_) {
    return false;
  }
  content_ = *copy_;
  ++era_;
  for (auto& [key, item] : content_.items) {
    if (item.lease_ends_ms != 0) {
      item.lease_ends_ms = now_ms + kLeaseDurationMs;
    }
  }
  return true;
}

// Gives out the next revision.
void store_data::RecordChange(const std::string& key) {
  content_.history.push_back({.key = key, .revision = ++content_.revision});
  if (content_.history.size() > kMaxHistory) {
    content_.dropped_revision = content_.history.front().revision;
    content_.history.pop_front();
  }
}

}  // namespace parsleyyard::standins
