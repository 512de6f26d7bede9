// Reading, adopting and spreading of documents.

#include "decide/control_internals.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr std::size_t kReplacedKept = 16;
constexpr std::size_t kMaxPassedOn = 64;  // the rest is left to digests
constexpr std::size_t kPacedRanks = 16;
constexpr duration kFirstBackoff = std::chrono::milliseconds(200);
constexpr duration kLongestBackoff = std::chrono::seconds(5);
constexpr duration kStandbyDelay = std::chrono::seconds(2);
constexpr duration kStandbyStep = std::chrono::milliseconds(500);
constexpr duration kOtherRegionDelay = std::chrono::seconds(3);
constexpr std::uint64_t kTrickleShare =
    4;  // of read_rate, once hosts are known

const part_ref* FindByName(const std::vector<part_ref>& parts,
                           const std::string& name) {
  const auto found =
      std::find_if(parts.begin(), parts.end(),
                   [&](const part_ref& part) { return part.name == name; });
  return found == parts.end() ? nullptr : &*found;
}

std::string Describe(const document_head& head) {
  return std::string(NameOf(head.kind)) + " " + std::to_string(head.revision);
}

}  // namespace

std::uint32_t control_internals::AgeMs(instant now,
                                       const std::optional<instant>& contact) {
  if (!contact) {
    return kNever;
  }
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *contact)
          .count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age, 0, kNever - 1));
}

content_ptr control_internals::FindPart(const std::string& hash) const {
  return cache_->FindContent(hash);
}

std::optional<std::vector<content_ptr>> control_internals::Collect(
    const document_head& head) const {
  std::vector<content_ptr> contents;
  for (const part_ref& part : head.parts) {
    content_ptr content = FindPart(part.hash);
    if (content == nullptr) {
      return std::nullopt;
    }
    contents.push_back(std::move(content));
  }
  return contents;
}

// Takes a newer revision whole or not at all.
bool control_internals::Adopt(const document_head& head,
                              std::vector<content_ptr> contents,
                              const host_address& from) {
  held_document& document = Held(head.kind);
  if (head.revision <= document.head.revision ||
      head.revision == document.status.rejected) {
    return false;
  }
  auto next = std::make_shared<snapshot>(*view_);
  const bool valid = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(ParseInto(*next, head, contents));
        return true;
      },
      [&](const document_error& error) {
        Reject(document, head, error);
        return false;
      },
      [&] {
        Reject(document, head,
               {.place = "document", .message = "can't be read"});
        return false;
      });
  if (!valid) {
    return false;
  }
  const std::vector<part_ref> before = document.head.parts;
  Replace(document, head, std::move(contents));
  view_ = std::move(next);
  if (view_->hosts && view_->out && head.kind != document_kind::kManifest) {
    topology_ = cache_->Topology(view_->hosts, view_->out);
  }
  listener_.OnDecision("Adopted " + Describe(head) + " from " +
                       (from.empty() ? "the platform" : from) + ".");
  listener_.OnSnapshot(view_);
  Push(document, before, from);
  return true;
}

leaf::result<void> control_internals::ParseInto(
    snapshot& view,
    const document_head& head,
    const std::vector<content_ptr>& contents) {
  if (head.kind == document_kind::kManifest) {
    BOOST_LEAF_ASSIGN(view.manifest_in_force, cache_->Manifest(head, contents));
  } else if (head.kind == document_kind::kDeclaredOut) {
    BOOST_LEAF_ASSIGN(view.out, cache_->Declarations(head, contents));
  } else {
    BOOST_LEAF_ASSIGN(view.hosts, cache_->Hosts(head, contents));
    view.leaving.clear();
    for (const host_entry& host : view.hosts->hosts) {
      if (host.leaving) {
        view.leaving.insert(host.address);
      }
    }
  }
  return {};
}

void control_internals::Reject(held_document& document,
                               const document_head& head,
                               const document_error& error) {
  document.status.rejected = head.revision;
  document.status.rejected_because = error.place + ": " + error.message;
  // What peers hold stays known; only this revision is out of the question.
  if (document.known_newest == head.revision) {
    document.known_newest = document.head.revision;
  }
  listener_.OnDecision("Rejected " + Describe(head) + ": " +
                       document.status.rejected_because + ".");
}

void control_internals::Replace(held_document& document,
                                const document_head& head,
                                std::vector<content_ptr> contents) {
  for (content_ptr& content : document.contents) {
    if (std::find(contents.begin(), contents.end(), content) ==
        contents.end()) {
      replaced_.push_back(std::move(content));
    }
  }
  while (replaced_.size() > kReplacedKept) {
    replaced_.pop_front();
  }
  passed_on_ = 0;
  document.head = head;
  document.contents = std::move(contents);
  document.status.revision = head.revision;
  document.behind_since = {};
  document.ask.clear();
}

document_update control_internals::MakeUpdate(
    const held_document& document,
    const std::vector<part_ref>& held_by_peer) {
  document_update update{.head = document.head, .payloads = {}};
  for (std::size_t i = 0; i < document.head.parts.size(); ++i) {
    const part_ref& part = document.head.parts[i];
    const part_ref* held = FindByName(held_by_peer, part.name);
    if (held != nullptr && held->hash == part.hash) {
      continue;
    }
    const content_ptr base =
        held && options_.deltas ? FindPart(held->hash) : nullptr;
    update.payloads.push_back(cache_->Packed(
        part, *document.contents[i], base.get(), held ? held->hash : ""));
  }
  return update;
}

void control_internals::Push(const held_document& document,
                             const std::vector<part_ref>& before,
                             const host_address& from) {
  if (!options_.push) {
    return;
  }
  const std::set<host_address> targets = PushTargets(from);
  if (targets.empty()) {
    return;
  }
  const auto update =
      std::make_shared<const document_update>(MakeUpdate(document, before));
  for (const host_address& target : targets) {
    link_.SendUpdate(target, update);
  }
}

// A daemon that adopts from the platform stands in for the root, which may be
// dead. Only the root sends over the link between regions.
std::set<host_address> control_internals::PushTargets(
    const host_address& from) const {
  std::set<host_address> targets;
  const auto place =
      topology_ ? topology_->Find(options_.address) : std::nullopt;
  if (!place) {
    return targets;
  }
  const auto add_children = [&](const host_address& parent) {
    for (host_address& child : topology_->Children(parent, options_.fan_out)) {
      targets.insert(std::move(child));
    }
  };
  add_children(options_.address);
  if (from.empty()) {
    targets.insert(place->order->front());
    add_children(place->order->front());
  }
  if (place->rank == 0 && options_.region == options_.source_region) {
    for (const std::string& region : topology_->Regions()) {
      targets.insert(topology_->RegionOrder(region)->front());
    }
  }
  targets.erase(options_.address);
  targets.erase(from);
  return targets;
}

// The peer's children would wait for their digests; serve them in its place.
void control_internals::OnUndelivered(
    const host_address& to,
    std::shared_ptr<const document_update> message) {
  if (!topology_) {
    return;
  }
  for (const host_address& child : topology_->Children(to, options_.fan_out)) {
    const bool allowed = ++passed_on_ <= kMaxPassedOn;
    if (child != options_.address && allowed) {
      link_.SendUpdate(child, message);
    }
  }
}

void control_internals::OnUpdate(const host_address& from,
                                 const document_update& message) {
  held_document& document = Held(message.head.kind);
  if (message.head.revision <= document.head.revision ||
      message.head.revision == document.status.rejected) {
    return;
  }
  std::vector<content_ptr> unpacked;
  for (const part_payload& payload : message.payloads) {
    const content_ptr base =
        payload.base_hash.empty() ? nullptr : FindPart(payload.base_hash);
    if (base == nullptr && !payload.base_hash.empty()) {
      continue;
    }
    if (std::optional<std::string> content = UnpackPart(payload, base.get())) {
      unpacked.push_back(cache_->PutContent(payload.hash, std::move(*content)));
    }
  }
  std::optional<std::vector<content_ptr>> contents = Collect(message.head);
  if (contents) {
    Adopt(message.head, std::move(*contents), from);
    return;
  }
  document.known_newest =
      std::max(document.known_newest, message.head.revision);
  SendRequest(from, document);
}

void control_internals::OnRequest(const host_address& from,
                                  const document_request& message) {
  const held_document& document = Held(message.kind);
  if (document.head.revision > message.revision) {
    link_.SendUpdate(from, std::make_shared<const document_update>(
                               MakeUpdate(document, message.held)));
  }
}

// Daemons start reading in the order of their rank, later ones only when the
// news from the platform has been late for longer. The rest of the fleet
// trickles, at a rate that falls with its size.
std::optional<duration> control_internals::ReadWhenOlderThan() const {
  const auto place =
      topology_ ? topology_->Find(options_.address) : std::nullopt;
  if (!place || place->rank >= kPacedRanks) {
    return std::nullopt;
  }
  const bool at_source = options_.region == options_.source_region;
  if (at_source && place->rank < options_.readers) {
    return duration::zero();
  }
  const duration first = options_.watch + kStandbyDelay +
                         (at_source ? duration::zero() : kOtherRegionDelay);
  return first + kStandbyStep * place->rank;
}

// Mean time between reads of one daemon outside the paced ranks.
duration control_internals::TrickleInterval(std::size_t hosts) const {
  const std::uint64_t share = topology_ ? kTrickleShare : 1;
  const std::uint64_t reads_a_second =
      std::max<std::uint64_t>(1, options_.read_rate / share);
  return duration(std::chrono::seconds(1)) * hosts / reads_a_second;
}

void control_internals::ScheduleFirstRead() {
  const bool seed = std::find(options_.seeds.begin(), options_.seeds.end(),
                              options_.address) != options_.seeds.end();
  const duration spread =
      seed ? kFirstBackoff : 2 * TrickleInterval(options_.expected_hosts);
  next_trickle_ = started_at_ + duration(random_.Below(spread.count() + 1));
}

void control_internals::ReadSourceIfDue(instant now) {
  const std::optional<duration> paced = ReadWhenOlderThan();
  const bool too_early = now < retry_at_ || (!paced && now < next_trickle_);
  if (reading_ || too_early) {
    return;
  }
  const duration age = now - source_contact_.value_or(required_since_);
  const bool late = age > kStandbyDelay + kOtherRegionDelay + options_.watch;
  const bool wanted = paced ? age >= *paced : !ready() || late;
  if (!wanted) {
    return;
  }
  if (!paced) {
    const std::size_t hosts =
        topology_ ? topology_->size() : options_.expected_hosts;
    next_trickle_ = now + random_.Jitter(TrickleInterval(hosts), 100);
  }
  reading_ = true;
  read_began_ = now;
  read_epoch_ = epoch_;
  source_.ReadHeads(source_index_,
                    source_answered_ ? options_.watch : duration::zero());
}

void control_internals::OnSourceError() {
  reading_ = false;
  for (held_document& document : documents_) {
    document.reading.reset();
    document.read.clear();
  }
  read_backoff_ = std::clamp(2 * read_backoff_, kFirstBackoff, kLongestBackoff);
  retry_at_ = clock_.Now() + random_.Jitter(read_backoff_);
}

void control_internals::OnHeads(const source_heads& heads) {
  reading_ = false;
  read_backoff_ = {};
  source_index_ = heads.index;
  life_.Process(daemon_event::kPeerHeard);
  if (read_epoch_ == epoch_) {
    source_answered_ = true;
    source_contact_ =
        std::max(source_contact_.value_or(read_began_), read_began_);
    outside_contact_ =
        std::max(outside_contact_.value_or(read_began_), read_began_);
  }
  for (const document_head& head : heads.heads) {
    held_document& document = Held(head.kind);
    const bool newer = head.revision > document.head.revision &&
                       head.revision != document.status.rejected;
    if (!newer ||
        (document.reading && document.reading->revision >= head.revision)) {
      continue;
    }
    document.reading = head;
    document.read.clear();
    FinishReading(document);
  }
}

// Adopts the revision being read if all its parts are here; else reads them.
void control_internals::FinishReading(held_document& document) {
  const document_head head = *document.reading;
  if (std::optional<std::vector<content_ptr>> contents = Collect(head)) {
    document.reading.reset();
    document.read.clear();
    Adopt(head, std::move(*contents), "");
    return;
  }
  if (!document.read.empty()) {
    return;
  }
  for (const part_ref& part : head.parts) {
    if (FindPart(part.hash) == nullptr) {
      source_.ReadPart(head.kind, part);
    }
  }
}

void control_internals::OnPart(document_kind kind,
                               const part_ref& part,
                               std::string content) {
  held_document& document = Held(kind);
  if (!document.reading) {
    return;
  }
  if (ContentHash(content) != part.hash) {
    listener_.OnDecision("Dropped part " + part.name +
                         ": its content has another hash.");
    document.reading.reset();
    document.read.clear();
    source_index_ = 0;
    return;
  }
  document.read[part.hash] = cache_->PutContent(part.hash, std::move(content));
  FinishReading(document);
}

control_status control_internals::Status() const {
  const instant now = clock_.Now();
  control_status status;
  for (std::size_t i = 0; i < documents_.size(); ++i) {
    status.documents[i] = documents_[i].status;
  }
  status.ready = ready();
  status.reading =
      reading_ || (source_answered_ && ReadWhenOlderThan() == duration::zero());
  status.source_age =
      source_contact_ ? now - *source_contact_ : duration::max();
  status.outside_age =
      outside_contact_ ? now - *outside_contact_ : duration::max();
  status.required_manifest = required_manifest_;
  status.peers_heard = heard_.size();
  return status;
}

}  // namespace parsleyyard
