// Data of the stand-in for the platform's store, without HTTP.
//
// Index of this header:
//   1. Items and changes
//   2. The store

#ifndef PARSLEYYARD_STANDINS_STORE_DATA_H_
#define PARSLEYYARD_STANDINS_STORE_DATA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyyard::standins {

// ---------------------------------------------------------------------------
// 1. Items and changes
// ---------------------------------------------------------------------------

struct stored_item {
  std::string value;
  std::uint64_t revision = 0;  // of the last change
  std::uint64_t created = 0;   // revision of the creation
  // Unix time of the end of the lease; 0: no lease.
  std::int64_t lease_ends_ms = 0;
};

struct store_event {
  std::string key;
  std::uint64_t revision = 0;
  const stored_item* item = nullptr;  // nullptr: removed
};

struct range_page {
  std::vector<store_event> items;  // ordered by key
  bool has_more = false;
};

// ---------------------------------------------------------------------------
// 2. The store
// ---------------------------------------------------------------------------

// Keys with values and a history of changes. A restore takes all of it back to
// the last copy and begins the next era, in which revisions are given out
// again. Results refer to the items: they end with the next change.
class store_data {
 public:
  std::uint64_t Era() const { return era_; }
  std::uint64_t Revision() const { return content_.revision; }

  // nullptr if there is no such key.
  const stored_item* Find(const std::string& key) const;
  // The items with that prefix whose key is greater than `after`.
  range_page Range(const std::string& prefix,
                   const std::string& after,
                   std::size_t max_items) const;
  // True if the changes after that revision are known: the store has reached
  // the revision, and the history after it was not dropped.
  bool HasHistorySince(std::uint64_t revision) const;
  // The last change of each key with that prefix that changed after `revision`.
  std::vector<store_event> ChangesAfter(std::uint64_t revision,
                                        const std::string& prefix) const;

  // The keys whose lease has ended.
  std::vector<std::string> ExpiredKeys(std::int64_t now_ms) const;

  // Writes a key without a lease. Returns the revision of its last change,
  // which stays the same if it has that value already.
  std::uint64_t Put(const std::string& key, const std::string& value);
  // The same, with a new lease from `now_ms` on.
  std::uint64_t PutLeased(const std::string& key,
                          const std::string& value,
                          std::int64_t now_ms);
  // Without effect if there is no such key.
  void Remove(const std::string& key);
  void DropHistory();

  void Copy() { copy_ = content_; }
  // Returns to the last copy and keeps it. The leases begin anew. False if
  // there is no copy.
  bool Restore(std::int64_t now_ms);

 private:
  struct change {
    std::string key;
    std::uint64_t revision = 0;
  };

  // All that a copy holds.
  struct content {
    std::uint64_t revision = 1;
    std::map<std::string, stored_item> items;
    std::deque<change> history;
    std::uint64_t dropped_revision = 0;  // changes up to it are no longer kept
  };

  std::uint64_t Write(const std::string& key,
                      const std::string& value,
                      std::int64_t lease_ends_ms);
  void RecordChange(const std::string& key);

  std::uint64_t era_ = 1;
  content content_;
  std::optional<content> copy_;
};

}  // namespace parsleyyard::standins

#endif  // PARSLEYYARD_STANDINS_STORE_DATA_H_
