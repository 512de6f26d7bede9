// Options of the components, built from the settings.

#include "daemon/component_options.h"

#include <algorithm>

namespace parsleyyard {

namespace {

// Limit on the header fields of a message; must match schema/messages.toml.
constexpr std::size_t kMaxMessageHeaders = 100;
// Header fields that the dialect adds to a request of a caller.
constexpr std::size_t kAddedHeaderFields = 1;
constexpr std::size_t kMaxCallerHeaderFields =
    kMaxMessageHeaders - kAddedHeaderFields;

// Any limit that follows from the memory of the host leaves room for the
// largest message.
constexpr std::uint64_t kMinMessageBytes = std::uint64_t{16} << 20;
constexpr std::uint64_t kMaxQueuedBytes = std::uint64_t{64} << 20;
constexpr std::uint64_t kMaxReceivingBytes = std::uint64_t{32} << 20;

}  // namespace

region_map ParseRegions(const daemon_settings& settings) {
  region_map regions;
  for (const std::string& pair : settings.host.domains) {
    const std::size_t colon = pair.find(':');
    regions[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  return regions;
}

view_options BuildViewOptions(const daemon_settings& s,
                              std::uint64_t incarnation) {
  return {.address = s.host.address,
          .incarnation = incarnation,
          .region = s.host.region,
          .regions = ParseRegions(s),
          .watch = s.view.watch,
          .pause = s.view.pause,
          .stale_after = s.view.stale_after,
          .fan_out = s.view.fan_out};
}

sender_options BuildSenderOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .region = s.host.region,
          .regions = ParseRegions(s),
          .incarnation = incarnation,
          .retries = platform.limits.retries};
}

target_options BuildTargetOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .service = s.upstream.service,
          .instance_port = s.upstream.instance.port,
          .incarnation = incarnation,
          .cold = platform.limits.cold,
          .max_waiting_calls = s.calls.queue,
          .ramp_up = s.calls.ramp_up != 0};
}

stop_options BuildStopOptions(const daemon_settings& s, duration grace) {
  return {.grace = grace,
          .notice = s.calls.drain_notice,
          .timeout = s.calls.drain_timeout};
}

http_server_options BuildCallerServerOptions(
    const daemon_settings& s,
    std::function<http_limits()> limits,
    std::shared_ptr<memory_budget> memory) {
  return {.address = s.listen.callers.address,
          .port = s.listen.callers.port,
          .max_header_fields = kMaxCallerHeaderFields,
          .max_connections = s.calls.max_connections,
          .max_pipelined_requests = s.calls.max_pipelined,
          .max_pipelined_bytes = s.calls.max_pipelined_bytes,
          .limits = std::move(limits),
          .memory = std::move(memory)};
}

std::size_t MaxQueuedBytes(std::uint64_t host_memory) {
  return std::clamp(host_memory / 4, kMinMessageBytes, kMaxQueuedBytes);
}

std::size_t MaxReceivingBytes(std::uint64_t host_memory) {
  return std::clamp(host_memory / 10, kMinMessageBytes, kMaxReceivingBytes);
}

log_level ParseLogLevel(const daemon_settings& s) {
  const auto found = std::find(kLogLevelNames.begin(), kLogLevelNames.end(),
                               s.process.log_level);
  return static_cast<log_level>(found - kLogLevelNames.begin());
}

event_log_options BuildLogOptions(const daemon_settings& s) {
  return {.host = s.host.name.empty() ? s.host.address : s.host.name,
          .min_level = ParseLogLevel(s),
          .good_calls_per_second = s.process.log_good_calls};
}

}  // namespace parsleyyard
