#include "decide/document_cache.h"

namespace parsleyyard {

namespace {

constexpr std::size_t kPackedKept = 64;

// Names a revision by its number and contents.
std::string RevisionKey(const document_head& head) {
  std::string text = std::to_string(head.revision);
  for (const part_ref& part : head.parts) {
    text += '/';
    text += part.hash;
  }
  return ContentHash(text);
}

}  // namespace

content_ptr document_cache::PutContent(const std::string& hash,
                                       std::string content) {
  content_ptr known = contents_.Find(hash);
  if (known == nullptr) {
    known = std::make_shared<const std::string>(std::move(content));
    contents_.Put(hash, known);
  }
  return known;
}

leaf::result<std::shared_ptr<const manifest>> document_cache::Manifest(
    const document_head& head,
    const std::vector<content_ptr>& contents) {
  const std::string key = RevisionKey(head);
  if (auto known = manifests_.Find(key)) {
    return known;
  }
  manifest::part_list parts;
  for (std::size_t i = 0; i < contents.size(); ++i) {
    std::shared_ptr<const manifest_part> part =
        manifest_parts_.Find(head.parts[i].hash);
    if (part == nullptr) {
      BOOST_LEAF_ASSIGN(part, ParseManifestPart(*contents[i]));
      manifest_parts_.Put(head.parts[i].hash, part);
    }
    parts.push_back(std::move(part));
  }
  BOOST_LEAF_AUTO(result, manifest::Link(head.revision, std::move(parts)));
  manifests_.Put(key, result);
  return result;
}

leaf::result<std::shared_ptr<const host_list>> document_cache::Hosts(
    const document_head& head,
    const std::vector<content_ptr>& contents) {
  const std::string key = RevisionKey(head);
  if (auto known = host_lists_.Find(key)) {
    return known;
  }
  auto result = std::make_shared<host_list>();
  result->revision = head.revision;
  for (const content_ptr& content : contents) {
    BOOST_LEAF_AUTO(hosts, ParseHostsPart(*content));
    result->hosts.insert(result->hosts.end(), hosts.begin(), hosts.end());
  }
  host_lists_.Put(key, result);
  return std::shared_ptr<const host_list>(std::move(result));
}

leaf::result<std::shared_ptr<const declarations>> document_cache::Declarations(
    const document_head& head,
    const std::vector<content_ptr>& contents) {
  const std::string key = RevisionKey(head);
  if (auto known = declarations_.Find(key)) {
    return known;
  }
  auto result = std::make_shared<declarations>();
  result->revision = head.revision;
  for (const content_ptr& content : contents) {
    BOOST_LEAF_AUTO(part, ParseDeclarationsPart(*content));
    result->failure_domains.merge(part.failure_domains);
    result->hosts.merge(part.hosts);
  }
  declarations_.Put(key, result);
  return std::shared_ptr<const declarations>(std::move(result));
}

std::shared_ptr<const topology> document_cache::Topology(
    const std::shared_ptr<const host_list>& hosts,
    const std::shared_ptr<const declarations>& out) {
  const std::string key =
      std::to_string(reinterpret_cast<std::uintptr_t>(hosts.get())) + "/" +
      std::to_string(hosts->revision) + "/" + std::to_string(out->revision);
  if (auto known = topologies_.Find(key)) {
    return known;
  }
  const auto result = topology::Build(*hosts, *out);
  topologies_.Put(key, result);
  return result;
}

part_payload document_cache::Packed(const part_ref& part,
                                    const std::string& content,
                                    const std::string* base,
                                    const std::string& base_hash) {
  const std::string key = part.hash + "/" + (base ? base_hash : "");
  const auto found = packed_.find(key);
  if (found != packed_.end()) {
    return found->second;
  }
  if (packed_order_.size() >= kPackedKept) {
    packed_.erase(packed_order_.front());
    packed_order_.pop_front();
  }
  packed_order_.push_back(key);
  return packed_.emplace(key, PackPart(content, base)).first->second;
}

}  // namespace parsleyyard
