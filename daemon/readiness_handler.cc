// Answers to readiness checks.

#include "daemon/readiness_handler.h"

namespace parsleyyard {

std::optional<http_response> readiness_handler::OnHead(
    const http_request& /*head*/) {
  return std::nullopt;
}

std::function<void()> readiness_handler::OnRequest(http_request request,
                                                   response_callback reply) {
  const bool ready = view_.Current()->config != nullptr && !draining_;
  if (!dialect_.IsReadinessCheck(request)) {
    reply({.status = 404});
  } else {
    reply({.status = static_cast<std::uint16_t>(ready ? 200 : 503)});
  }
  return nullptr;
}

}  // namespace parsleyyard
