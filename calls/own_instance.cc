#include "calls/own_instance.h"

#include <algorithm>

namespace parsleyyard {

const known_instance* own_instance::FindRegistered(const snapshot& view) const {
  return view.FindAt(options_.address, options_.instance_port);
}

void own_instance::Update(const snapshot& view) {
  instance_changed_ = false;
  if (const known_instance* registered = FindRegistered(view)) {
    instance_changed_ = !last_instance_.empty() &&
                        last_instance_ != registered->registration.id;
    last_instance_ = registered->registration.id;
    slots_ = std::max(1U, registered->registration.slots);
  }
  const bool evacuated = view.evacuated.contains(options_.failure_domain);
  evacuation_ended_ = was_evacuated_ && !evacuated;
  was_evacuated_ = evacuated;
}

refusal_reason own_instance::FindHostRefusal(
    const snapshot& view,
    const call_request& message) const {
  if (view.empty()) {
    return refusal_reason::kStarting;
  }
  if (view.evacuated.contains(options_.failure_domain)) {
    return refusal_reason::kFailureDomainOut;
  }
  return message.service == options_.service ? refusal_reason::kNone
                                             : refusal_reason::kNoUpstream;
}

refusal_reason own_instance::FindInstanceRefusal(
    const snapshot& view,
    const call_request& message) const {
  const known_instance* registered = FindRegistered(view);
  if (registered == nullptr) {
    return message.instance == last_instance_ ? refusal_reason::kLeaving
                                              : refusal_reason::kNone;
  }
  if (registered->registration.id != message.instance) {
    return refusal_reason::kWrongInstance;
  }
  return registered->registration.draining ? refusal_reason::kLeaving
                                           : refusal_reason::kNone;
}

}  // namespace parsleyyard
