// Updates that a daemon missed: the part of the view keeper that notices them,
// requests them from peers and sends them to peers that request them.
//
// A daemon that misses an update asks one peer after another for it. Each one
// sends what it has, and its next updates for some time. Thus the news spreads
// from any daemon that has it, and the time that it takes does not depend on
// the size of the fleet. Only if no peer can help, a daemon reads the store.

#include "control/control.h"
#include "control/view_internals.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace parsleyyard {

namespace {

// Between two requests for missed updates, each to another peer.
constexpr duration kRequestInterval = std::chrono::milliseconds(200);
// Beyond `stale_after`, time without any update after which a daemon asks its
// peers.
constexpr duration kSilenceMargin = std::chrono::milliseconds(100);
// If the store is unavailable, no peer has news. After this many requests in a
// row without news, a silent daemon asks at the longer interval only.
constexpr unsigned kEagerRequests = 4;
constexpr duration kIdleRequestInterval = std::chrono::seconds(2);
// Requests in a row that go to the own failure domain, which is near and cheap.
// It may have missed the same update; later requests go to the whole region.
constexpr unsigned kNearRequests = 2;
// Time for which a daemon that missed an update waits for its peers before it
// reads the store: the first daemon of the region, which reads for all others
// then, and any other one.
constexpr duration kReaderHelpTime = std::chrono::milliseconds(300);
constexpr duration kHelpTime = std::chrono::milliseconds(700);
// The reads of a region after that are spread: this many a second, but over no
// less and no more than these times.
constexpr int kRegionReadsPerSecond = 200;
constexpr duration kMinReadSpread = std::chrono::milliseconds(300);
constexpr duration kMaxReadSpread = std::chrono::seconds(1);
// An answer that only confirms the view must be newer by this much.
constexpr duration kMinAgeGain = std::chrono::milliseconds(100);

// Updates that a daemon keeps for the time when it knows its peers.
constexpr std::size_t kMaxDeferredRelays = 16;

// Differs by daemon and by request, so that requests spread over the peers.
std::uint64_t RequestOrder(const host_address& from,
                           const host_address& to,
                           unsigned request) {
  const std::string text = from + ' ' + to;
  return XXH3_64bits_withSeed(text.data(), text.size(), request);
}

}  // namespace

// ---------------------------------------------------------------------------
// Updates that are about to be lost
// ---------------------------------------------------------------------------

// Passes an update on to the daemons that this one must cover. A daemon that
// has just started knows none of them: it does so after its first read.
void view_keeper::RelayWithinRange(const view_update& message) {
  if (message.cover_from > message.cover_to) {
    return;
  }
  if (place_.peers.empty()) {
    if (deferred_relays_.size() < kMaxDeferredRelays) {
      deferred_relays_.emplace_back(message, clock_.Now());
    }
    return;
  }
  Relay(message,
        PlanWithinRange(options_.address, options_.region, message.root,
                        {.first = message.cover_from, .last = message.cover_to},
                        Peers(), options_.fan_out));
}

void view_keeper::RelayDeferred() {
  if (place_.peers.empty()) {
    return;
  }
  for (auto& [message, arrived_at] : std::exchange(deferred_relays_, {})) {
    message.age_ms += ToMilliseconds(clock_.Now() - arrived_at);
    RelayWithinRange(message);
  }
}

// Each call leaves out the peers that can't be reached, so that it ends when
// none is left. A message that could not be sent for another reason is given
// up.
void view_keeper::OnUndelivered(const host_address& to, view_update message) {
  std::vector<relay_peer> peers = Peers();
  const auto lost =
      std::find_if(peers.begin(), peers.end(),
                   [&](const relay_peer& peer) { return peer.address == to; });
  const bool was_for_others = message.cover_from <= message.cover_to;
  if (!was_for_others || lost == peers.end() || lost->reachable) {
    return;
  }
  const std::string region = lost->region;
  std::erase_if(peers, [](const relay_peer& peer) { return !peer.reachable; });
  const instant sent_at = instant(std::chrono::milliseconds(message.sent_ms));
  message.age_ms += ToMilliseconds(clock_.Now() - sent_at);
  const relay_range range{.first = message.cover_from,
                          .last = message.cover_to};
  if (region == options_.region) {
    return Relay(message,
                 PlanWithinRange(options_.address, region, message.root, range,
                                 peers, options_.fan_out));
  }
  // One daemon of another region passes the update on there.
  for (relay_step& step : PlanWithinRange(options_.address, region,
                                          message.root, range, peers, 1)) {
    step.range = range;
    Relay(message, {step});
  }
}

// ---------------------------------------------------------------------------
// Missing updates
// ---------------------------------------------------------------------------

// In a large region, peers are asked before the store: the link to another
// region does not carry the changes to all of its daemons at once.
bool view_keeper::AsksPeers() const {
  return place_.peers_in_region > kSmallRegionPeers && place_.is_listed;
}

// Handles an update whose base this daemon does not have.
void view_keeper::MissUpdate() {
  if (!HasView() || needs_catch_up_) {
    return;
  }
  const instant now = clock_.Now();
  needs_catch_up_ = true;
  Report("update not applied", "", "an earlier one is missing");
  if (!AsksPeers()) {
    return;
  }
  shares_next_read_ = place_.rank_in_region < kRegionReaders;
  next_read_ = std::max(next_read_, now + HelpTime());
  next_request_ = now;
  RequestMissedUpdates(now);
}

// Time after a missed update for which this daemon leaves the store alone and
// waits for its peers.
duration view_keeper::HelpTime() const {
  if (place_.rank_in_region == 0) {
    return kReaderHelpTime;
  }
  if (place_.rank_in_region < kRegionReaders) {
    return kHelpTime;
  }
  const duration spread = std::clamp<duration>(
      duration(seconds(1)) * static_cast<int>(place_.peers_in_region) /
          kRegionReadsPerSecond,
      kMinReadSpread, kMaxReadSpread);
  const double part =
      static_cast<double>(AddressOrder(options_.address)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return kHelpTime + std::chrono::duration_cast<duration>(spread * part);
}

// Requests what is missing from the next peer: after a gap, or if no update has
// arrived for too long.
void view_keeper::RequestMissedUpdates(instant now) {
  // News that is old on arrival is no silence: the link to it is slow, and
  // peers have nothing newer.
  const bool is_silent =
      now - last_news_arrived_at_ >= options_.stale_after + kSilenceMargin;
  const bool misses_news = needs_catch_up_ || is_silent;
  if (!HasView() || active_reader_ || needs_full_read_ || !misses_news ||
      now < next_request_ || !AsksPeers()) {
    return;
  }
  const auto peer = PickPeerToAsk();
  if (!peer) {
    return;
  }
  if (requests_without_news_ == 0) {
    Report("missed updates requested", *peer,
           needs_catch_up_ ? "an earlier one is missing" : "no update arrived");
  }
  ++requests_without_news_;
  const bool is_idle =
      !needs_catch_up_ && requests_without_news_ >= kEagerRequests;
  next_request_ = now + (is_idle ? kIdleRequestInterval : kRequestInterval);
  SendRequest(*peer);
}

std::optional<host_address> view_keeper::PickPeerToAsk() const {
  const std::string own_domain = OwnFailureDomain();
  const bool asks_near = requests_without_news_ < kNearRequests;
  const relay_peer* picked = nullptr;
  std::uint64_t picked_order = 0;
  bool picked_near = false;
  for (const relay_peer& peer : place_.peers) {
    if (peer.region != options_.region ||
        !transport_.IsReachable(peer.address)) {
      continue;
    }
    const bool near = asks_near && peer.failure_domain == own_domain;
    const std::uint64_t order =
        RequestOrder(options_.address, peer.address, requests_without_news_);
    const bool is_better = picked == nullptr || (near && !picked_near) ||
                           (near == picked_near && order < picked_order);
    if (is_better) {
      picked = &peer;
      picked_order = order;
      picked_near = near;
    }
  }
  return picked == nullptr ? std::nullopt : std::optional(picked->address);
}

// Empty if this daemon's instance is not registered.
std::string view_keeper::OwnFailureDomain() const {
  for (const auto& [id, known] : view_->instances) {
    if (known.registration.host == options_.address) {
      return known.registration.failure_domain;
    }
  }
  return "";
}

// The view is complete again.
void view_keeper::EndCatchUp() {
  if (needs_catch_up_) {
    Report("missed updates arrived", "");
  }
  needs_catch_up_ = false;
  needs_whole_view_ = false;
  next_read_ = std::min(next_read_, clock_.Now());
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

void view_keeper::SendRequest(const host_address& peer) const {
  view_update request = EmptyUpdate(needs_whole_view_ ? 0 : position_.revision);
  request.to_revision = 0;
  Send(peer, request);
}

// Sends the peer what it lacks, and the next updates for some time. A peer
// without a view gets the full one, and so does one whose view is of an earlier
// era: it asks only if it can't read the store.
void view_keeper::AnswerRequest(const view_update& request) {
  subscribers_[request.root] = clock_.Now();
  if (!HasView() || request.era > position_.era) {
    return;
  }
  if (request.from_revision == 0 || request.era < position_.era) {
    return Send(request.root, BuildFullUpdate());
  }
  if (request.from_revision < position_.revision) {
    return SendUpdatesSince(request.from_revision, request.root);
  }
  const bool is_newer = std::chrono::milliseconds(request.age_ms) >
                        Age(clock_.Now()) + kMinAgeGain;
  if (request.from_revision == position_.revision && is_newer) {
    Send(request.root, EmptyUpdate(position_.revision));
  }
}

void view_keeper::SendUpdatesSince(std::uint64_t revision,
                                   const host_address& peer) const {
  const std::vector<logged_update> missed = update_log_.Since(revision);
  if (missed.empty()) {
    return Send(peer, BuildFullUpdate());
  }
  const instant now = clock_.Now();
  for (const logged_update& each : missed) {
    view_update copy = *each.update;
    const bool is_latest = copy.to_revision == position_.revision;
    copy.cover_from = relay_range().first;
    copy.cover_to = relay_range().last;
    copy.removals_held_ms = ToMilliseconds(removals_held_until_ - now);
    copy.age_ms =
        ToMilliseconds(is_latest ? Age(now) : now - each.confirmed_at);
    Send(peer, copy);
  }
}

// Requests updates from the readers of the region. To a daemon that has just
// started they also send the full view.
void view_keeper::RequestUpdates() const {
  for (const host_address& reader :
       FirstOfRegion(options_.region, Peers(), kRegionReaders)) {
    SendRequest(reader);
  }
}

// Peers do not know of an unlisted daemon, whose instance is not registered yet
// or no longer. It requests updates from them at regular intervals.
void view_keeper::RequestUpdatesIfUnlisted(instant now) {
  if (!HasView() || now < next_update_request_ || place_.is_listed) {
    return;
  }
  next_update_request_ = now + kUpdateRequestInterval;
  RequestUpdates();
}

void view_keeper::SendToSubscribers(const view_update& update) {
  const instant now = clock_.Now();
  std::erase_if(subscribers_, [&](const auto& subscriber) {
    return now - subscriber.second > kSubscriptionTimeout;
  });
  for (const auto& [address, requested_at] : subscribers_) {
    view_update copy = update;
    copy.cover_from = relay_range().first;
    copy.cover_to = relay_range().last;
    Send(address, copy);
  }
}

}  // namespace parsleyyard
