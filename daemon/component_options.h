// Options of the components, built from the settings. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_COMPONENT_OPTIONS_H_
#define PARSLEYYARD_DAEMON_COMPONENT_OPTIONS_H_

#include "daemon/daemon.h"
#include "daemon/event_log.h"
#include "daemon/stop_plan.h"
#include "net/net.h"

#include <functional>

namespace parsleyyard {

// Returns the region of each failure domain.
region_map ParseRegions(const daemon_settings& settings);

view_options BuildViewOptions(const daemon_settings& s,
                              std::uint64_t incarnation);

sender_options BuildSenderOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation);

target_options BuildTargetOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation);

// `grace` is that of the platform_limits in force.
stop_options BuildStopOptions(const daemon_settings& s, duration grace);

// `limits` is called for each request.
http_server_options BuildCallerServerOptions(
    const daemon_settings& s,
    std::function<http_limits()> limits,
    std::shared_ptr<memory_budget> memory = nullptr);

// Limit on the send queue of one stream to a peer, and on the bytes of the
// instance's responses that are received at the same time. `host_memory` is in
// bytes.
std::size_t MaxQueuedBytes(std::uint64_t host_memory);
std::size_t MaxReceivingBytes(std::uint64_t host_memory);

log_level ParseLogLevel(const daemon_settings& s);

event_log_options BuildLogOptions(const daemon_settings& s);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_COMPONENT_OPTIONS_H_
