// Calls from the call sender and the call target to each other, to peers and to
// the log.

#include "daemon/daemon_internals.h"

#include <boost/asio/post.hpp>

namespace parsleyyard {

std::optional<std::uint64_t> daemon_internals::PeerIncarnation(
    const host_address& to) {
  return IsSelf(to) ? std::optional(incarnation_) : mesh_.PeerIncarnation(to);
}

void daemon_internals::Open(const host_address& to) {
  mesh_.Open(to);
}

void daemon_internals::SendCall(const host_address& to,
                                std::shared_ptr<const call_request> message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, *message, send_mode::kIfConnected);
    return;
  }
  // Counts the copy in the request to the instance. The message itself counts
  // at the connection of the caller.
  const std::size_t bytes = message->body.size();
  message = HoldCall(std::move(message), bytes);
  asio::post(context_, [this, to, message = std::move(message)]() mutable {
    const std::lock_guard lock(target_mutex_);
    load_push_.OnCall(to, clock_.Now());
    target_.OnCall(to, std::move(message));
  });
}

void daemon_internals::SendAttach(const host_address& to,
                                  const call_attach& message) {
  mesh_.Send(to, message, send_mode::kIfConnected);
}

void daemon_internals::SendCancel(const host_address& to,
                                  const call_cancel& message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, message, send_mode::kIfConnected);
    return;
  }
  asio::post(context_, [this, message] {
    const std::lock_guard lock(target_mutex_);
    target_.OnCancel(message);
  });
}

void daemon_internals::OnCallEvent(const call_event_line& line) {
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "target", line.event,
             LogFieldsFor(line));
}

void daemon_internals::OnColdLimit(const cold_limit_line& line) {
  boost::json::object fields{
      {"source", line.source}, {"max_per_s", nullptr}, {"left_ms", nullptr}};
  if (line.max_rate) {
    fields["max_per_s"] = *line.max_rate;
  }
  if (line.left) {
    fields["left_ms"] = line.left->count() / 1000;
  }
  log_.Write(log_kind::kColdInstance, log_level::kInfo, "target",
             line.cold ? "instance cold" : "instance warm", std::move(fields));
}

void daemon_internals::OnColdRequest(const cold_request_line& line) {
  log_.Write(log_kind::kColdInstance, log_level::kInfo, "target",
             "sent to cold instance",
             {{"request", line.request},
              {"instance", line.instance},
              {"after_start_ms", line.since_start.count() / 1000}});
}

void daemon_internals::OnRampUp(const ramp_up_line& line) {
  log_.Write(log_kind::kColdInstance, log_level::kInfo, "target",
             line.begins ? "ramp-up began" : "ramp-up ended",
             {{"cause", line.cause},
              {"limit", line.limit},
              {"slots", line.slots},
              {"took_ms", line.took.count() / 1000}});
}

void daemon_internals::SendAnswer(const host_address& to,
                                  std::shared_ptr<const call_answer> message) {
  load_push_.OnAnswer(to, message->load, clock_.Now());
  if (!IsSelf(to)) {
    mesh_.Send(to, *message, send_mode::kReply);
    return;
  }
  asio::post(context_, [this, to, message = std::move(message)] {
    const std::lock_guard lock(sender_mutex_);
    sender_.OnAnswer(to, *message);
  });
}

// Sends the load of the instance to the daemons that should know of its change.
// The caller holds target_mutex_.
void daemon_internals::PushLoad() {
  if (draining_) {
    return;
  }
  const load_update update{.load = target_.Load()};
  for (const host_address& to :
       load_push_.TakeReceivers(update.load, clock_.Now())) {
    if (!IsSelf(to)) {
      mesh_.Send(to, update, send_mode::kReply);
      continue;
    }
    asio::post(context_, [this, to, update] {
      const std::lock_guard lock(sender_mutex_);
      sender_.OnLoadUpdate(to, update);
    });
  }
}

}  // namespace parsleyyard
