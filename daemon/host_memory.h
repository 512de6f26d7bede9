// Memory of the host. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_HOST_MEMORY_H_
#define PARSLEYYARD_DAEMON_HOST_MEMORY_H_

#include <cstdint>
#include <istream>
#include <optional>

namespace parsleyyard {

// Reads the total memory in bytes from text in the format of /proc/meminfo.
// Empty if it is not stated.
std::optional<std::uint64_t> ParseTotalMemory(std::istream& text);

// Memory of the host in bytes: `configured_mb` MiB, or the total that the
// system states if that is 0. A system that states none counts as the smallest
// host.
std::uint64_t HostMemory(std::uint32_t configured_mb);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_HOST_MEMORY_H_
