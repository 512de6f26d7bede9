// Contents and parsed values by content hash. Internal to decide/.
//
// Entries live as long as somebody outside holds them, so that equal documents
// are held and parsed once however many control planes share the cache.

#ifndef PARSLEYYARD_DECIDE_DOCUMENT_CACHE_H_
#define PARSLEYYARD_DECIDE_DOCUMENT_CACHE_H_

#include "decide/topology.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace parsleyyard {

using content_ptr = std::shared_ptr<const std::string>;

// Weak map from a key to a shared immutable value.
template <class Value>
class weak_table {
 public:
  std::shared_ptr<const Value> Find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : found->second.lock();
  }
  void Put(const std::string& key, const std::shared_ptr<const Value>& value) {
    if (entries_.size() >= sweep_at_) {
      std::erase_if(entries_,
                    [](const auto& entry) { return entry.second.expired(); });
      sweep_at_ = 2 * entries_.size() + kFirstSweep;
    }
    entries_[key] = value;
  }

 private:
  static constexpr std::size_t kFirstSweep = 64;
  std::size_t sweep_at_ = kFirstSweep;
  std::unordered_map<std::string, std::weak_ptr<const Value>> entries_;
};

class document_cache {
 public:
  // Takes content under its hash; the hash is trusted.
  content_ptr PutContent(const std::string& hash, std::string content);
  content_ptr FindContent(const std::string& hash) const {
    return contents_.Find(hash);
  }

  // Parsed documents of a revision whose parts' contents are given in order.
  leaf::result<std::shared_ptr<const manifest>> Manifest(
      const document_head& head,
      const std::vector<content_ptr>& contents);
  leaf::result<std::shared_ptr<const host_list>> Hosts(
      const document_head& head,
      const std::vector<content_ptr>& contents);
  leaf::result<std::shared_ptr<const declarations>> Declarations(
      const document_head& head,
      const std::vector<content_ptr>& contents);
  std::shared_ptr<const topology> Topology(
      const std::shared_ptr<const host_list>& hosts,
      const std::shared_ptr<const declarations>& out);

  // PackPart() with the most recent results kept.
  part_payload Packed(const part_ref& part,
                      const std::string& content,
                      const std::string* base,
                      const std::string& base_hash);

 private:
  weak_table<std::string> contents_;
  weak_table<manifest_part> manifest_parts_;
  weak_table<manifest> manifests_;
  weak_table<host_list> host_lists_;
  weak_table<declarations> declarations_;
  weak_table<topology> topologies_;
  std::unordered_map<std::string, part_payload> packed_;
  std::deque<std::string> packed_order_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_DOCUMENT_CACHE_H_
