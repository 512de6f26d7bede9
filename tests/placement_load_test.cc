// Loads that one call sender places, and what the callers and the hosts get:
// more calls than all hosts can run, and a region that is late.

#include "tests/call_fixtures.h"

#include <deque>

namespace parsleyyard::testing {
namespace {

// Each host admits `calls_per_second` calls and refuses the others as
// overloaded.
class overload_fixture : public sender_fixture {
 protected:
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override {
    sender_fixture::SendCall(to, message);
    unanswered_.emplace_back(to, message->id);
  }

  void AnswerSentCalls() {
    while (!unanswered_.empty()) {
      const auto [host, id] = unanswered_.front();
      unanswered_.pop_front();
      call_answer answer{.id = id,
                         .outcome = call_outcome::kNotRun,
                         .reason = refusal_reason::kOverloaded,
                         .load = {.limit = 2,
                                  .service_us = kServiceTimeUs,
                                  .route_us = kServiceTimeUs}};
      if (room_[host] >= 1) {
        room_[host] -= 1;
        ++admitted_;
        answer.outcome = call_outcome::kAnswer;
        answer.reason = refusal_reason::kNone;
        answer.status = 200;
      }
      sender_->OnAnswer(host, answer);
    }
  }

  // Offers calls at an even rate.
  void Offer(int offered_per_second, int calls_per_second, duration time) {
    const duration interval = duration(seconds(1)) / offered_per_second;
    const double added =
        std::chrono::duration<double>(interval).count() * calls_per_second;
    for (const instant end = clock_.now + time; clock_.now < end;) {
      clock_.now += interval;
      for (const auto& [id, known] : view_->instances) {
        const auto [room, is_first] =
            room_.try_emplace(known.registration.host, kMaxRoom);
        room->second = std::min(room->second + added, kMaxRoom);
      }
      Begin(++offered_);
      AnswerSentCalls();
    }
  }

  // With two slots, as many calls a second as the tests let a host admit.
  static constexpr std::uint32_t kServiceTimeUs = 60'000;
  // Calls that a host admits at once.
  static constexpr double kMaxRoom = 2;
  std::deque<std::pair<host_address, call_id>> unanswered_;
  std::map<host_address, double> room_;  // calls that a host can admit now
  std::uint64_t offered_ = 0;
  int admitted_ = 0;
};

// Load: twice what three hosts can run. The refused calls would otherwise be
// carried to each of them in turn.
TEST_F(overload_fixture, CallsBeyondTheCapacityAreRefusedWithoutBeingSent) {
  constexpr int kCallsPerHost = 30;
  constexpr int kSeconds = 10;
  Offer(2 * 3 * kCallsPerHost, kCallsPerHost, seconds(kSeconds));
  const int capacity = 3 * kCallsPerHost * kSeconds;
  EXPECT_GE(admitted_, capacity * 9 / 10);
  EXPECT_EQ(results_.size(), offered_);
  const auto refused_sends = static_cast<int>(sent_.size()) - admitted_;
  EXPECT_LE(refused_sends, capacity);
}

// Load: as much as the hosts can run. Nothing is refused for a host that was
// full a moment ago.
TEST_F(overload_fixture, CallsWithinTheCapacityAreAllServed) {
  Offer(60, 40, seconds(10));
  EXPECT_EQ(admitted_, static_cast<int>(offered_));
}

TEST_F(sender_fixture, FullHostGetsNoCallOfTheSameRouteForAMoment) {
  SetView({Instance("near", "10.0.0.1", "north-a")});
  Begin(1);
  Refuse(refusal_reason::kOverloaded);
  Begin(2);
  EXPECT_EQ(sent_.size(), 1u);
  EXPECT_EQ(results_[2].outcome, call_outcome::kNotRun);
  EXPECT_EQ(results_[2].reason, refusal_reason::kOverloaded);
  EXPECT_GT(results_[2].retry_after, duration::zero());
  call_plan other_route = Plan(true);
  other_route.route = "other";
  sender_->Begin(3, other_route, {});
  EXPECT_EQ(sent_.size(), 2u);
  clock_.now += milliseconds(100);
  Begin(4);
  EXPECT_EQ(sent_.size(), 3u);
}

TEST_F(sender_fixture, CallLeavesRegionOnlyForItsDeadline) {
  SetView({Instance("near", "10.0.0.1", "north-a"),
           Instance("far", "10.0.0.3", "south-a")});
  const auto answer_with_service_time = [&](std::uint32_t service_us) {
    Answer({.outcome = call_outcome::kAnswer,
            .status = 200,
            .load = {
                .limit = 2, .service_us = service_us, .route_us = service_us}});
  };
  call_plan plan = Plan(false);
  plan.objective = milliseconds(200);
  sender_->Begin(1, plan, {});
  answer_with_service_time(300'000);
  sender_->Begin(2, plan, {});
  EXPECT_EQ(sent_.back().first, "10.0.0.1") << "late, but before the deadline";
  answer_with_service_time(700'000);
  sender_->Begin(3, plan, {});
  EXPECT_EQ(sent_.back().first, "10.0.0.3");
}

}  // namespace
}  // namespace parsleyyard::testing
