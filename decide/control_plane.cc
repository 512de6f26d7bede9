// The control plane's public face and its periodic work.

#include "decide/control_internals.h"

#include <algorithm>

namespace parsleyyard {

namespace {

constexpr duration kStartupDigestInterval = std::chrono::milliseconds(200);
constexpr duration kNonceLifetime = std::chrono::seconds(5);
constexpr duration kBehindGrace = std::chrono::milliseconds(150);
constexpr duration kRequestRetry = std::chrono::seconds(1);
constexpr duration kSourceOnlyWait = std::chrono::seconds(1);
constexpr duration kCrossRegionStep = std::chrono::seconds(1);
constexpr std::size_t kCrossRegionRanks = 3;
constexpr std::size_t kSeedsAsked = 3;
constexpr std::size_t kStartupPeersAsked = 6;
constexpr duration kNewsTravelTime = std::chrono::seconds(1);

}  // namespace

std::shared_ptr<document_cache> MakeDocumentCache() {
  return std::make_shared<document_cache>();
}

control_internals::control_internals(control_options options,
                                     const clock_source& clock,
                                     random_source& random,
                                     control_link& link,
                                     config_source& source,
                                     control_listener& listener)
    : options_(std::move(options)),
      clock_(clock),
      random_(random),
      link_(link),
      source_(source),
      listener_(listener),
      cache_(options_.cache ? options_.cache : MakeDocumentCache()),
      started_at_(clock.Now()),
      last_tick_(clock.Now()),
      required_since_(clock.Now()) {
  for (std::size_t i = 0; i < documents_.size(); ++i) {
    documents_[i].head.kind = static_cast<document_kind>(i);
  }
  ScheduleFirstRead();
}

void control_internals::Tick() {
  const instant now = clock_.Now();
  if (now - last_tick_ > options_.pause_threshold) {
    OnPause(now - last_tick_);
  }
  last_tick_ = now;
  if (now >= next_digest_) {
    SendDigests(now);
  }
  AskForMissing(now);
  ReadSourceIfDue(now);
  UpdateReadiness(now);
  GrantLease(now);
}

// Everything learnt before the pause may be old, also what still waits in
// socket buffers: only answers to questions asked from now on count.
void control_internals::OnPause(duration gap) {
  nonces_.clear();
  LoseView("paused for " + std::to_string(gap.count() / 1000) + " ms",
           refusal_reason::kPaused);
}

void control_internals::LoseView(const std::string& why,
                                 refusal_reason reason) {
  outside_contact_.reset();
  source_contact_.reset();
  source_answered_ = false;
  heard_.clear();
  heard_domains_.clear();
  answered_.clear();
  answered_domains_.clear();
  ++epoch_;
  required_since_ = clock_.Now();
  next_digest_ = {};
  if (life_.Process(daemon_event::kLostView)) {
    not_ready_reason_ = reason;
    listener_.OnDecision("View lost: " + why + ".");
  }
}

void control_internals::BeginDrain() {
  life_.Process(daemon_event::kStopAsked);
  draining_ = true;
  listener_.OnDecision("Stop asked; leave announced.");
  SendDigests(clock_.Now());
  GrantLease(clock_.Now());
}

digest control_internals::MakeDigest(std::uint64_t nonce,
                                     std::uint64_t echo) const {
  const instant now = clock_.Now();
  return {.from = options_.address,
          .failure_domain = options_.failure_domain,
          .incarnation = options_.incarnation,
          .nonce = nonce,
          .echo = echo,
          .draining = draining_,
          .ready = ready(),
          .declared_out = Held(document_kind::kDeclaredOut).head.revision,
          .hosts = Held(document_kind::kHosts).head.revision,
          .manifest = Held(document_kind::kManifest).head.revision,
          .source_age_ms = AgeMs(now, source_contact_),
          .outside_age_ms = AgeMs(now, outside_contact_)};
}

void control_internals::SendDigests(instant now) {
  next_digest_ = now + random_.Jitter(ready() ? options_.digest_interval
                                              : kStartupDigestInterval,
                                      20);
  std::erase_if(nonces_, [&](const auto& item) {
    return now - item.second > kNonceLifetime;
  });
  for (const host_address& peer : DigestPeers(now)) {
    const std::uint64_t nonce = random_.Next() | 1;
    nonces_[nonce] = now;
    link_.SendDigest(peer, MakeDigest(nonce, 0));
  }
}

std::set<host_address> control_internals::DigestPeers(instant now) {
  std::set<host_address> peers;
  const auto place =
      topology_ ? topology_->Find(options_.address) : std::nullopt;
  if (place) {
    if (place->rank > 0) {
      peers.insert((*place->order)[(place->rank - 1) / options_.fan_out]);
    }
    if (!ready()) {
      const auto children =
          topology_->Children(options_.address, options_.fan_out);
      peers.insert(children.begin(), children.end());
      for (std::size_t i = 0; i < kStartupPeersAsked; ++i) {
        peers.insert((*place->order)[random_.Below(place->order->size())]);
      }
    }
    AddRandomPeer(peers, *place->order, true);
    AddRandomPeer(peers, *place->order, false);
    AddCrossRegionPeer(peers, place->rank, now);
  }
  if (!ready() || !place) {
    for (std::size_t i = 0; i < std::min(kSeedsAsked, options_.seeds.size());
         ++i) {
      peers.insert(options_.seeds[random_.Below(options_.seeds.size())]);
    }
  }
  peers.erase(options_.address);
  return peers;
}

// Adds a random host of the region, in or outside this failure domain.
void control_internals::AddRandomPeer(std::set<host_address>& peers,
                                      const std::vector<host_address>& order,
                                      bool same_domain) {
  constexpr int kDraws = 8;
  for (int draw = 0; draw < kDraws; ++draw) {
    const host_address& peer = order[random_.Below(order.size())];
    const bool same = topology_->DomainOf(peer) == options_.failure_domain;
    if (same == same_domain && peer != options_.address) {
      peers.insert(peer);
      return;
    }
  }
}

// Only the first ranks of a region ask over the link between regions, and all
// but the root only when news from the platform is late.
void control_internals::AddCrossRegionPeer(std::set<host_address>& peers,
                                           std::size_t rank,
                                           instant now) {
  if (rank >= kCrossRegionRanks) {
    return;
  }
  const duration age =
      source_contact_ ? now - *source_contact_ : now - started_at_;
  const bool late = age > 2 * options_.watch + kCrossRegionStep * (rank + 1);
  const bool at_source = options_.region == options_.source_region;
  if (!late && (at_source || rank > 0)) {
    return;
  }
  const std::vector<std::string> regions = topology_->Regions();
  std::string region = options_.source_region;
  if (late && !regions.empty()) {
    region = regions[random_.Below(regions.size())];
  }
  const std::vector<host_address>* order = topology_->RegionOrder(region);
  if (order != nullptr && region != options_.region) {
    peers.insert(
        (*order)[random_.Below(std::min(kCrossRegionRanks, order->size()))]);
  }
}

void control_internals::OnDigest(const digest& message) {
  if (message.from == options_.address) {
    return;
  }
  std::uint64_t& remembered = remembered_[message.from];
  if (message.nonce != 0) {
    digest reply = MakeDigest(0, message.nonce);
    reply.remembered_manifest = remembered;
    link_.SendDigest(message.from, reply);
  }
  remembered = std::max(remembered, message.manifest);
  if (remembered_.size() > kRememberedPeers) {
    remembered_.erase(remembered_.begin());
  }
  const auto asked = nonces_.find(message.echo);
  if (message.echo != 0 && asked != nonces_.end()) {
    const instant asked_at = asked->second;
    nonces_.erase(asked);
    OnEcho(message, asked_at);
  }
  CompareRevisions(message);
}

// A fresh answer. Ages count from when the question was sent, so that a delay
// on the way makes them older, never younger.
void control_internals::OnEcho(const digest& message, instant asked_at) {
  life_.Process(daemon_event::kPeerHeard);
  const auto renew = [&](std::optional<instant>& contact, instant at) {
    contact = contact ? std::max(*contact, at) : at;
  };
  if (message.source_age_ms != kNever) {
    renew(source_contact_,
          asked_at - std::chrono::milliseconds(message.source_age_ms));
  }
  if (message.failure_domain != options_.failure_domain) {
    renew(outside_contact_, asked_at);
  } else if (message.outside_age_ms != kNever) {
    renew(outside_contact_,
          asked_at - std::chrono::milliseconds(message.outside_age_ms));
  }
  required_manifest_ =
      std::max(required_manifest_, message.remembered_manifest);
  answered_.insert(message.from);
  answered_domains_.insert(message.failure_domain);
  if (message.ready) {
    heard_.insert(message.from);
    heard_domains_.insert(message.failure_domain);
  }
}

void control_internals::CompareRevisions(const digest& message) {
  const std::array<std::uint64_t, 3> theirs = {message.declared_out,
                                               message.hosts, message.manifest};
  for (std::size_t i = 0; i < theirs.size(); ++i) {
    held_document& document = documents_[i];
    if (theirs[i] <= document.head.revision ||
        theirs[i] == document.status.rejected) {
      continue;
    }
    document.known_newest = std::max(document.known_newest, theirs[i]);
    if (document.behind_since == instant::zero()) {
      document.behind_since = clock_.Now();
    }
    document.ask = message.from;
  }
}

// Requests what a digest showed to be missing, unless the push brings it first.
void control_internals::AskForMissing(instant now) {
  for (held_document& document : documents_) {
    const bool behind =
        document.known_newest > document.head.revision && !document.ask.empty();
    const duration grace = ready() ? kBehindGrace : duration::zero();
    const bool due =
        now - document.behind_since >= grace && now >= document.next_request;
    if (behind && due) {
      document.next_request = now + kRequestRetry;
      SendRequest(document.ask, document);
    }
  }
}

void control_internals::SendRequest(const host_address& to,
                                    const held_document& document) {
  link_.SendRequest(to, {.kind = document.head.kind,
                         .revision = document.head.revision,
                         .held = document.head.parts});
}

// Enough has been heard to know that nothing newer was in force here.
bool control_internals::HeardEnough(instant now) const {
  const bool one_domain = topology_ && topology_->domain_count() < 2;
  const std::size_t others =
      topology_ && topology_->size() > 0 ? topology_->size() - 1 : SIZE_MAX;
  const std::size_t peers =
      std::min<std::size_t>(options_.startup_peers, others);
  const std::size_t domains = one_domain ? 1 : std::min<std::size_t>(2, peers);
  const bool was_serving = epoch_ > 0;
  if (was_serving && outside_contact_ && !heard_.empty()) {
    return true;
  }
  // The first peers heard may stand where the newest version, served here
  // before the start, has not arrived yet. Neighbours in the tree know it.
  if (!was_serving && now - started_at_ < kNewsTravelTime) {
    return false;
  }
  if (!was_serving && heard_.size() >= peers &&
      heard_domains_.size() >= domains) {
    return true;
  }
  // The platform alone may be stale. Peers that are starting too can't say
  // that they serve, but they tell what they hold.
  const bool peers_told =
      answered_.size() >= peers && answered_domains_.size() >= domains;
  return source_answered_ && peers_told &&
         now - required_since_ >= kSourceOnlyWait;
}

void control_internals::UpdateReadiness(instant now) {
  if (life_.state() != daemon_state::kCatchingUp) {
    return;
  }
  const bool complete = view_->manifest_in_force != nullptr &&
                        view_->hosts != nullptr && view_->out != nullptr;
  const bool newest = std::all_of(
      documents_.begin(), documents_.end(),
      [](const auto& d) { return d.head.revision >= d.known_newest; });
  const bool not_older =
      Held(document_kind::kManifest).head.revision >= required_manifest_;
  if (!complete || !not_older) {
    return;
  }
  const bool timed_out =
      now - required_since_ >= options_.startup_timeout && epoch_ == 0;
  if (newest && HeardEnough(now)) {
    life_.Process(daemon_event::kCaughtUp);
    listener_.OnDecision("Serving with manifest " +
                         std::to_string(view_->manifest_in_force->version()) +
                         ".");
  } else if (timed_out) {
    life_.Process(daemon_event::kCaughtUp);
    listener_.OnDecision(
        "Serving after the start-up timeout; a newer version may exist.");
  }
}

void control_internals::GrantLease(instant now) {
  admission_lease lease{.until = last_tick_ + options_.pause_threshold,
                        .otherwise = refusal_reason::kPaused};
  const bool alone = !topology_ || topology_->domain_count() < 2;
  if (!ready()) {
    lease = {.until = {}, .otherwise = not_ready_reason_};
  } else if (!alone) {
    const instant until =
        outside_contact_.value_or(required_since_) + options_.isolation_lease;
    if (until <= now) {
      LoseView("nothing heard from outside the failure domain",
               refusal_reason::kIsolated);
      lease = {.until = {}, .otherwise = refusal_reason::kIsolated};
    } else if (until < lease.until) {
      lease = {.until = until, .otherwise = refusal_reason::kIsolated};
    }
  }
  listener_.OnLease(lease);
}

control_plane::control_plane(control_options options,
                             const clock_source& clock,
                             random_source& random,
                             control_link& link,
                             config_source& source,
                             control_listener& listener)
    : internals_(std::make_unique<control_internals>(std::move(options),
                                                     clock,
                                                     random,
                                                     link,
                                                     source,
                                                     listener)) {}
control_plane::~control_plane() = default;

void control_plane::Tick() {
  internals_->Tick();
}
void control_plane::BeginDrain() {
  internals_->BeginDrain();
}
void control_plane::OnDigest(const digest& message) {
  internals_->OnDigest(message);
}
void control_plane::OnUpdate(const host_address& from,
                             const document_update& message) {
  internals_->OnUpdate(from, message);
}
void control_plane::OnRequest(const host_address& from,
                              const document_request& message) {
  internals_->OnRequest(from, message);
}
void control_plane::OnUndelivered(
    const host_address& to,
    std::shared_ptr<const document_update> message) {
  internals_->OnUndelivered(to, std::move(message));
}
void control_plane::OnHeads(const source_heads& heads) {
  internals_->OnHeads(heads);
}
void control_plane::OnPart(document_kind kind,
                           const part_ref& part,
                           std::string content) {
  internals_->OnPart(kind, part, std::move(content));
}
void control_plane::OnSourceError() {
  internals_->OnSourceError();
}
control_status control_plane::Status() const {
  return internals_->Status();
}
std::shared_ptr<const snapshot> control_plane::Current() const {
  return internals_->Current();
}

}  // namespace parsleyyard
