// The data of the stand-in store, without HTTP.

#include "standins/store_data.h"

#include <gtest/gtest.h>

namespace parsleyyard::standins {
namespace {

constexpr std::int64_t kNowMs = 1'000'000;
constexpr std::int64_t kLeaseMs = 4500;

std::vector<std::string> Keys(const std::vector<store_event>& events) {
  std::vector<std::string> keys;
  keys.reserve(events.size());
  for (const store_event& event : events) {
    keys.push_back((event.item == nullptr ? "-" : "") + event.key);
  }
  return keys;
}

// The value of a key; "" if there is no such key.
std::string Value(const store_data& data, const std::string& key) {
  const stored_item* item = data.Find(key);
  return item == nullptr ? "" : item->value;
}

TEST(StoreData, SameValueLeavesTheRevision) {
  store_data data;
  const std::uint64_t first = data.Put("a", "1");
  EXPECT_EQ(data.Put("a", "1"), first);
  EXPECT_EQ(data.Revision(), first);
  EXPECT_EQ(data.Put("a", "2"), first + 1);
  EXPECT_EQ(data.Find("a")->created, first);
}

TEST(StoreData, EmptyValueOfANewKeyIsAChange) {
  store_data data;
  const std::uint64_t before = data.Revision();
  EXPECT_EQ(data.Put("a", ""), before + 1);
  EXPECT_EQ(Keys(data.ChangesAfter(before, "")), std::vector<std::string>{"a"});
}

TEST(StoreData, ChangesNameTheLastChangeOfEachKey) {
  store_data data;
  const std::uint64_t begin = data.Revision();
  data.Put("a", "1");
  data.Put("b", "1");
  data.Put("a", "2");
  data.Remove("b");
  data.Remove("unknown");
  const std::vector<store_event> events = data.ChangesAfter(begin, "");
  EXPECT_EQ(Keys(events), (std::vector<std::string>{"a", "-b"}));
  EXPECT_EQ(events[1].revision, data.Revision());
  EXPECT_TRUE(data.ChangesAfter(begin, "c").empty());
  EXPECT_TRUE(data.ChangesAfter(data.Revision(), "").empty());
}

TEST(StoreData, RangeIsReadInPages) {
  store_data data;
  for (const char* key : {"x/1", "x/2", "x/3", "y/1"}) {
    data.Put(key, "v");
  }
  const range_page first = data.Range("x/", "", 2);
  EXPECT_EQ(Keys(first.items), (std::vector<std::string>{"x/1", "x/2"}));
  EXPECT_TRUE(first.has_more);
  const range_page second = data.Range("x/", "x/2", 2);
  EXPECT_EQ(Keys(second.items), std::vector<std::string>{"x/3"});
  EXPECT_FALSE(second.has_more);
}

TEST(StoreData, HistoryIsUnknownBeforeItsBeginAndAboveTheRevision) {
  store_data data;
  data.Put("a", "1");
  const std::uint64_t dropped = data.Revision();
  EXPECT_TRUE(data.HasHistorySince(dropped - 1));
  data.DropHistory();
  EXPECT_FALSE(data.HasHistorySince(dropped - 1));
  EXPECT_TRUE(data.HasHistorySince(dropped));
  EXPECT_FALSE(data.HasHistorySince(dropped + 1));
}

TEST(StoreData, LeaseEndsUnlessItIsRenewed) {
  store_data data;
  data.Put("a", "1");
  data.PutLeased("b", "1", kNowMs);
  data.PutLeased("c", "1", kNowMs);
  const std::uint64_t registered = data.Revision();
  data.PutLeased("c", "1", kNowMs + kLeaseMs);
  EXPECT_EQ(data.Revision(), registered);
  EXPECT_TRUE(data.ExpiredKeys(kNowMs + kLeaseMs).empty());
  EXPECT_EQ(data.ExpiredKeys(kNowMs + kLeaseMs + 1),
            std::vector<std::string>{"b"});
}

TEST(StoreData, RestoreNeedsACopy) {
  store_data data;
  EXPECT_FALSE(data.Restore(kNowMs));
  EXPECT_EQ(data.Era(), 1u);
}

TEST(StoreData, RestoreTakesBackWritesAndRemovals) {
  store_data data;
  data.Put("changed", "old");
  data.Put("removed", "old");
  data.Copy();
  data.Put("changed", "lost");
  data.Put("added", "lost");
  data.Remove("removed");
  ASSERT_TRUE(data.Restore(kNowMs));
  EXPECT_EQ(data.Era(), 2u);
  EXPECT_EQ(Value(data, "changed"), "old");
  EXPECT_EQ(Value(data, "removed"), "old");
  EXPECT_EQ(data.Find("added"), nullptr);
}

TEST(StoreData, RevisionsAreGivenOutAgainAfterARestore) {
  store_data data;
  data.Put("a", "old");
  data.Copy();
  const std::uint64_t copied = data.Revision();
  const std::uint64_t lost = data.Put("a", "lost");
  data.Put("b", "lost");
  ASSERT_TRUE(data.Restore(kNowMs));
  EXPECT_EQ(data.Revision(), copied);
  EXPECT_EQ(data.Put("c", "new"), lost);
  EXPECT_EQ(Keys(data.ChangesAfter(copied, "")), std::vector<std::string>{"c"});
}

TEST(StoreData, LostRevisionsHaveNoHistoryUntilTheyAreGivenOutAgain) {
  store_data data;
  data.Copy();
  const std::uint64_t lost = data.Put("a", "lost");
  ASSERT_TRUE(data.Restore(kNowMs));
  EXPECT_FALSE(data.HasHistorySince(lost));
  EXPECT_TRUE(data.HasHistorySince(data.Revision()));
  data.Put("b", "new");
  EXPECT_TRUE(data.HasHistorySince(lost));
}

TEST(StoreData, HistoryDroppedSinceTheCopyIsBackAfterARestore) {
  store_data data;
  const std::uint64_t begin = data.Revision();
  data.Put("a", "1");
  data.Copy();
  data.Put("a", "2");
  data.DropHistory();
  ASSERT_TRUE(data.Restore(kNowMs));
  ASSERT_TRUE(data.HasHistorySince(begin));
  EXPECT_EQ(Keys(data.ChangesAfter(begin, "")), std::vector<std::string>{"a"});
}

TEST(StoreData, LeasesRunAnewAfterARestore) {
  store_data data;
  data.Put("kept", "1");
  data.PutLeased("leased", "1", kNowMs);
  data.Copy();
  data.Remove("leased");
  constexpr std::int64_t kRestoredMs = kNowMs + 2 * kLeaseMs;
  ASSERT_TRUE(data.Restore(kRestoredMs));
  EXPECT_TRUE(data.ExpiredKeys(kRestoredMs + kLeaseMs).empty());
  EXPECT_EQ(data.ExpiredKeys(kRestoredMs + kLeaseMs + 1),
            std::vector<std::string>{"leased"});
}

TEST(StoreData, SeveralRestoresFromTheSameAndFromANewerCopy) {
  store_data data;
  data.Put("a", "first");
  data.Copy();
  for (const std::uint64_t era : {2u, 3u}) {
    data.Put("a", "lost");
    ASSERT_TRUE(data.Restore(kNowMs));
    EXPECT_EQ(data.Era(), era);
    EXPECT_EQ(Value(data, "a"), "first");
  }
  data.Put("a", "second");
  data.Copy();
  data.Put("a", "lost");
  ASSERT_TRUE(data.Restore(kNowMs));
  EXPECT_EQ(data.Era(), 4u);
  EXPECT_EQ(Value(data, "a"), "second");
}

}  // namespace
}  // namespace parsleyyard::standins
