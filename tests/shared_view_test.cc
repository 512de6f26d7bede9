// The snapshot that all threads share.

#include "daemon/shared_view.h"

#include <gtest/gtest.h>

#include <thread>

namespace parsleyyard {
namespace {

// Detects data races in builds with the thread sanitizer.
TEST(SharedView, ConcurrentReadAndSetHaveNoDataRace) {
  constexpr int kRepetitions = 20000;
  shared_view shared;
  std::thread reader([&] {
    for (int i = 0; i < kRepetitions; ++i) {
      ASSERT_NE(shared.Current(), nullptr);
    }
  });
  for (int i = 0; i < kRepetitions; ++i) {
    shared.SetSnapshot(std::make_shared<const snapshot>());
  }
  reader.join();
}

}  // namespace
}  // namespace parsleyyard
