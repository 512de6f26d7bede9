// Streams to peers: where they lead, when they are opened, and which component
// receives what arrives on them.

#include "daemon/component_options.h"
#include "daemon/daemon_internals.h"

#include <vector>

namespace parsleyyard {

// Returns the address to connect to for a peer. It differs from the peer's own
// address if the peer is in another region and other_region_prefix is set.
host_address daemon_internals::ResolveConnectAddress(
    const host_address& peer) const {
  const std::string& prefix = settings_.listen.other_region_prefix;
  if (prefix.empty()) {
    return peer;
  }
  const region_map regions = ParseRegions(settings_);
  for (const auto& [id, known] : view_.Current()->instances) {
    const bool in_other_region =
        RegionOf(regions, known.registration.failure_domain) !=
        settings_.host.region;
    if (known.registration.host == peer && in_other_region) {
      const std::size_t second_dot = peer.find('.', peer.find('.') + 1);
      return prefix + peer.substr(second_dot);
    }
  }
  return peer;
}

// Opens the streams that this daemon keeps, so that the calls that use them do
// not wait for a connection. The hello of each new stream also reveals whether
// the peer has restarted.
void daemon_internals::OpenMissingLinks() {
  const relay_peer self{.address = settings_.host.address,
                        .region = settings_.host.region,
                        .failure_domain = settings_.host.failure_domain};
  const std::vector<relay_peer> peers =
      ListPeers(*view_.Current(), self.address, ParseRegions(settings_));
  for (const host_address& host : PlanLinks(self, peers)) {
    if (!mesh_.PeerIncarnation(host)) {
      mesh_.Open(host);
    }
  }
}

void daemon_internals::OnMessage(const host_address& from,
                                 any_message message) {
  if (auto* call = std::get_if<call_request>(&message)) {
    const std::size_t bytes = call->body.size() * kBodyCopies;
    auto shared =
        HoldCall(std::make_shared<const call_request>(std::move(*call)), bytes);
    const std::lock_guard lock(target_mutex_);
    if (shared->wants_load) {
      load_push_.OnCall(from, clock_.Now());
    }
    target_.OnCall(from, std::move(shared));
  } else if (auto* answer = std::get_if<call_answer>(&message)) {
    const std::lock_guard lock(sender_mutex_);
    sender_.OnAnswer(from, std::move(*answer));
  } else if (const auto* attach = std::get_if<call_attach>(&message)) {
    const std::lock_guard lock(target_mutex_);
    target_.OnAttach(from, *attach);
  } else if (const auto* cancel = std::get_if<call_cancel>(&message)) {
    const std::lock_guard lock(target_mutex_);
    target_.OnCancel(*cancel);
  } else if (const auto* request = std::get_if<quota_request>(&message)) {
    mesh_.Send(from, quotas_.OnRequest(*request), send_mode::kUrgentReply);
  } else if (const auto* grant = std::get_if<quota_grant>(&message)) {
    quotas_.OnGrant(*grant);
  } else if (const auto* load = std::get_if<load_update>(&message)) {
    ++load_updates_received_;
    const std::lock_guard lock(sender_mutex_);
    sender_.OnLoadUpdate(from, *load);
  } else if (auto* update = std::get_if<view_update>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnUpdate(std::move(*update));
    view_.SetConfirmedAt(control_.Status().confirmed_at);
  }
}

// Counts a call in the memory budget until it has ended. A short one is not
// counted: the limits on waiting and running calls bound them.
std::shared_ptr<const call_request> daemon_internals::HoldCall(
    std::shared_ptr<const call_request> call,
    std::size_t bytes) {
  constexpr std::size_t kMinHeldBytes = 4096;
  return bytes < kMinHeldBytes ? call
                               : HoldMessage(std::move(call), bytes, memory_);
}

void daemon_internals::OnCallDropped(const host_address& from,
                                     const call_id& id) {
  call_answer answer{.id = id,
                     .outcome = call_outcome::kNotRun,
                     .reason = refusal_reason::kOverloaded};
  {
    const std::lock_guard lock(target_mutex_);
    answer.load = target_.Load();
  }
  mesh_.Send(from, answer, send_mode::kReply);
}

void daemon_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  {
    const std::lock_guard lock(control_mutex_);
    std::uint64_t& last = peer_incarnations_[peer];
    if (last != incarnation) {
      last = incarnation;
      control_.OnPeerStarted(peer);
    }
  }
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkUp(peer, incarnation);
}

void daemon_internals::OnPeerStops(const host_address& peer) {
  const std::lock_guard lock(sender_mutex_);
  sender_.OnPeerStops(peer);
}

void daemon_internals::OnLinkDown(const host_address& peer) {
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkDown(peer);
}

void daemon_internals::OnLinkError(const host_address& peer,
                                   const net_error& error) {
  log_.Write(log_kind::kProcess, log_level::kError, "daemon",
             "peer has no valid address",
             {{"peer", peer}, {"because", error.what}});
}

void daemon_internals::OnUndelivered(const host_address& to,
                                     const any_message& message) {
  if (const auto* update = std::get_if<view_update>(&message)) {
    log_.Write(log_kind::kView, log_level::kInfo, "view",
               "update not delivered",
               {{"peer", to},
                {"root", update->root},
                {"revision", update->to_revision},
                {"for_others", update->cover_from <= update->cover_to}});
  } else if (const auto* call = std::get_if<call_request>(&message)) {
    const std::lock_guard lock(sender_mutex_);
    sender_.OnUndelivered(to, call->id);
  } else if (const auto* answer = std::get_if<call_answer>(&message)) {
    ReplaceUndeliveredAnswer(to, *answer);
  }
}

// The response of the instance is over a limit of the messages between daemons.
// The sender must not wait for it.
void daemon_internals::ReplaceUndeliveredAnswer(const host_address& to,
                                                const call_answer& answer) {
  log_.Write(log_kind::kFailedCall, log_level::kWarning, "target",
             "response not sent: over a limit of messages",
             {{"peer", to},
              {"status", answer.status},
              {"headers", answer.headers.size()},
              {"body_bytes", answer.body.size()}});
  mesh_.Send(to,
             call_answer{.id = answer.id,
                         .outcome = call_outcome::kUnknown,
                         .reason = refusal_reason::kBadAnswer,
                         .reached_instance = true,
                         .load = answer.load},
             send_mode::kReply);
}

}  // namespace parsleyyard
