// The monotonic clock and the random number generator.

#include "net/net.h"

#include <time.h>

#include <chrono>
#include <random>

namespace parsleyyard {

instant monotonic_clock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<instant>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

struct seeded_random::engine {
  std::mt19937_64 twister;
};

seeded_random::seeded_random(std::uint64_t seed)
    : engine_(std::make_unique<engine>()) {
  engine_->twister.seed(seed);
}
seeded_random::~seeded_random() = default;
std::uint64_t seeded_random::Next() {
  return engine_->twister();
}

std::uint64_t SystemSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace parsleyyard
