// Decisions about who gives way when the memory budget is used up.

#include "net/memory_ledger.h"
#include "daemon/host_memory.h"
#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <sstream>

namespace parsleyyard {
namespace {

using ids = std::vector<memory_ledger::account_id>;
constexpr memory_limits kLimits{.total = 1000,
                                .reserved_for_small = 200,
                                .max_small = 10};

// An account whose request began at `begun` and holds `bytes`.
memory_ledger::account_id OpenUnfinished(memory_ledger& ledger,
                                         std::size_t bytes,
                                         instant begun) {
  const auto id = ledger.Open();
  ledger.Begin(id, begun);
  ledger.Hold(id, bytes);
  return id;
}

TEST(MemoryLedger, GrantsUpToTheLimit) {
  memory_ledger ledger(kLimits);
  const auto id = ledger.Open();
  EXPECT_EQ(ledger.TryHold(id, 800, seconds(0)).grant, memory_grant::kGranted);
  EXPECT_EQ(ledger.TryHold(id, 801, seconds(0)).grant, memory_grant::kRefused);
  EXPECT_EQ(ledger.HeldBytes(), 800);
}

// Guards against large bodies that leave no memory for ordinary requests.
TEST(MemoryLedger, KeepsPartForSmallRequests) {
  memory_ledger ledger(kLimits);
  const auto large = ledger.Open();
  ledger.Hold(large, 800);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ledger.TryHold(ledger.Open(), 10, seconds(0)).grant,
              memory_grant::kGranted);
  }
  EXPECT_EQ(ledger.TryHold(ledger.Open(), 10, seconds(0)).grant,
            memory_grant::kRefused);
}

TEST(MemoryLedger, LargestOfEqualAgeGivesWay) {
  memory_ledger ledger(kLimits);
  OpenUnfinished(ledger, 300, seconds(0));
  const auto largest = OpenUnfinished(ledger, 400, seconds(0));
  const auto asking = OpenUnfinished(ledger, 0, seconds(0));
  const auto decided = ledger.TryHold(asking, 200, seconds(1));
  EXPECT_EQ(decided.grant, memory_grant::kWait);
  EXPECT_EQ(decided.shed, ids{largest});
  EXPECT_TRUE(ledger.GivesWay(largest));
}

// Guards against clients that stop just short of the end of their bodies and
// outlast those that send.
TEST(MemoryLedger, SlowestOfEqualSizeGivesWay) {
  memory_ledger ledger(kLimits);
  const auto slowest = OpenUnfinished(ledger, 400, seconds(0));
  OpenUnfinished(ledger, 400, seconds(9));
  const auto asking = OpenUnfinished(ledger, 0, seconds(10));
  EXPECT_EQ(ledger.TryHold(asking, 100, seconds(10)).shed, ids{slowest});
}

TEST(MemoryLedger, AskingAccountGivesWayIfItIsTheSlowest) {
  memory_ledger ledger(kLimits);
  const auto asking = OpenUnfinished(ledger, 400, seconds(0));
  const auto other = OpenUnfinished(ledger, 400, seconds(9));
  const auto decided = ledger.TryHold(asking, 401, seconds(10));
  EXPECT_EQ(decided.grant, memory_grant::kRefused);
  EXPECT_EQ(decided.refusals, 1);
  EXPECT_FALSE(ledger.GivesWay(other));
}

// Guards against dropping requests that may have run.
TEST(MemoryLedger, WholeRequestDoesNotGiveWay) {
  memory_ledger ledger(kLimits);
  const auto whole = OpenUnfinished(ledger, 800, seconds(0));
  ledger.End(whole);
  const auto asking = OpenUnfinished(ledger, 0, seconds(10));
  EXPECT_EQ(ledger.TryHold(asking, 100, seconds(10)).grant,
            memory_grant::kRefused);
  EXPECT_FALSE(ledger.GivesWay(whole));
}

TEST(MemoryLedger, BytesThatLeaveAreCountedUntilTheyAreReturned) {
  memory_ledger ledger(kLimits);
  const auto leaving = OpenUnfinished(ledger, 800, seconds(0));
  const auto first = OpenUnfinished(ledger, 0, seconds(5));
  const auto second = OpenUnfinished(ledger, 0, seconds(5));
  EXPECT_EQ(ledger.TryHold(first, 300, seconds(5)).grant, memory_grant::kWait);
  const auto decided = ledger.TryHold(second, 300, seconds(5));
  EXPECT_EQ(decided.grant, memory_grant::kWait);
  EXPECT_TRUE(decided.shed.empty());
  EXPECT_EQ(ledger.TryHold(leaving, 801, seconds(5)).grant,
            memory_grant::kRefused);
  ledger.Close(leaving);
  EXPECT_EQ(ledger.TryHold(first, 300, seconds(5)).grant,
            memory_grant::kGranted);
  EXPECT_EQ(ledger.TryHold(second, 300, seconds(5)).grant,
            memory_grant::kGranted);
  EXPECT_EQ(ledger.HeldBytes(), 600);
}

TEST(MemoryLedger, NobodyGivesWayInVain) {
  memory_ledger ledger(kLimits);
  const auto whole = ledger.Open();
  ledger.Hold(whole, 700);
  const auto unfinished = OpenUnfinished(ledger, 50, seconds(0));
  const auto asking = OpenUnfinished(ledger, 0, seconds(9));
  EXPECT_EQ(ledger.TryHold(asking, 200, seconds(9)).grant,
            memory_grant::kRefused);
  EXPECT_FALSE(ledger.GivesWay(unfinished));
}

// The load of the process tests: 40 clients send 8 MiB each to a host with 160
// MB and stop short of the end. The client that comes after them is served.
TEST(MemoryLedger, StalledUploadsDoNotKeepOutALaterOne) {
  constexpr std::size_t kStep = std::size_t{64} << 10;
  constexpr std::size_t kBody = std::size_t{8} << 20;
  const memory_limits limits = LimitsForHost(std::uint64_t{160} << 20);
  memory_ledger ledger(limits);
  const auto upload = [&](memory_ledger::account_id id, std::size_t end,
                          instant now) {
    ledger.Begin(id, now);
    for (std::size_t bytes = kStep; bytes <= end; bytes += kStep) {
      auto decided = ledger.TryHold(id, bytes, now);
      for (const auto shed : decided.shed) {
        ledger.Close(shed);
      }
      if (decided.grant == memory_grant::kWait) {
        decided = ledger.TryHold(id, bytes, now);
      }
      if (decided.grant != memory_grant::kGranted) {
        return false;
      }
      EXPECT_LE(ledger.HeldBytes(), limits.total);
    }
    return true;
  };
  for (int i = 0; i < 40; ++i) {
    upload(ledger.Open(), kBody - kStep, seconds(i));
  }
  EXPECT_TRUE(upload(ledger.Open(), kBody * kBodyCopies, seconds(41)));
}

TEST(HostMemory, IsReadFromTheSystemsStatement) {
  std::istringstream text(
      "MemFree:  10 kB\nMemTotal:         163840 kB\nBuffers: 1 kB\n");
  EXPECT_EQ(ParseTotalMemory(text), std::uint64_t{160} << 20);
  std::istringstream other("MemFree: 10 kB\n");
  EXPECT_EQ(ParseTotalMemory(other), std::nullopt);
  EXPECT_EQ(HostMemory(160), std::uint64_t{160} << 20);
}

}  // namespace
}  // namespace parsleyyard
