#include "daemon/host_memory.h"

#include <fstream>
#include <string>

namespace parsleyyard {

namespace {

constexpr std::uint64_t kBytesPerMb = std::uint64_t{1} << 20;
constexpr std::uint64_t kSmallestHostMb = 160;

}  // namespace

std::optional<std::uint64_t> ParseTotalMemory(std::istream& text) {
  constexpr std::uint64_t kBytesPerKb = 1024;
  std::string name;
  std::uint64_t kilobytes = 0;
  while (text >> name) {
    if (name == "MemTotal:") {
      return text >> kilobytes ? std::optional(kilobytes * kBytesPerKb)
                               : std::nullopt;
    }
    std::getline(text, name);
  }
  return std::nullopt;
}

std::uint64_t HostMemory(std::uint32_t configured_mb) {
  if (configured_mb > 0) {
    return configured_mb * kBytesPerMb;
  }
  std::ifstream text("/proc/meminfo");
  return ParseTotalMemory(text).value_or(kSmallestHostMb * kBytesPerMb);
}

}  // namespace parsleyyard
