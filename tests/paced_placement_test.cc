// Tests of the choice among instances that state their speed, by one sender.

#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

class paced_fixture : public sender_fixture {
 protected:
  static load_report Report(std::uint32_t in_progress) {
    return {.running = std::min(in_progress, 4U),
            .waiting = in_progress - std::min(in_progress, 4U),
            .limit = 4,
            .service_us = 100'000,
            .speed_percent = 100};
  }
  // Makes the instances of the hosts known to the sender, with these loads.
  void Learn(const std::map<host_address, load_report>& loads) {
    std::vector<known_instance> instances;
    for (const auto& [host, load] : loads) {
      instances.push_back(Instance("i" + host, host, ZoneOf(host), 4));
    }
    for (const known_instance& each : instances) {
      SetView({each});
      Begin(++last_call_);
      Answer({.outcome = call_outcome::kAnswer,
              .status = 200,
              .load = loads.at(each.registration.host)});
    }
    SetView(instances);
    sent_.clear();
  }
  // Hosts 10.0.0.x are in the own zone, 10.0.1.x in the other one of the
  // region, 10.0.2.x in another region.
  static std::string ZoneOf(const host_address& host) {
    return host[5] == '0' ? "north-a" : host[5] == '1' ? "north-b" : "south-a";
  }
  void Push(const host_address& from, const load_report& load) {
    sender_->OnLoadUpdate(from, {.load = load});
  }
  // Begins and answers that many calls; returns how many each host got.
  std::map<host_address, int> SendCalls(int calls, const call_plan& plan) {
    std::map<host_address, int> got;
    for (int i = 0; i < calls; ++i) {
      sent_.clear();
      sender_->Begin(++last_call_, plan, {});
      if (sent_.empty()) {
        ++got["none"];
        continue;
      }
      const host_address to = sent_.back().first;
      ++got[to];
      Answer({.outcome = call_outcome::kAnswer,
              .status = 200,
              .held_us = 100'000,
              .load = last_load_.contains(to) ? last_load_[to] : Report(0)});
    }
    return got;
  }
  // Adds a route that has the sender's region alone as its home.
  void BindARouteToTheRegion() {
    view_->config =
        configuration::Create({.version = 2,
                               .routes = {{.name = "bound",
                                           .virtual_host = "h",
                                           .prefix = "/",
                                           .targets = {{.service = "s"}},
                                           .home_regions = {"north"}}},
                               .services = {{.name = "s"}}})
            .value();
  }

  std::map<host_address, load_report> last_load_;
  std::uint64_t last_call_ = 5000;
};

// Guards against senders that all choose the same instance.
TEST_F(paced_fixture, FreeInstancesShareTheCallsByTheirFreeCapacity) {
  last_load_ = {{"10.0.0.1", Report(0)},
                {"10.0.0.2", Report(0)},
                {"10.0.0.3", Report(3)},
                {"10.0.0.4", Report(4)}};
  Learn(last_load_);
  auto got = SendCalls(400, Plan(true));
  EXPECT_GT(got["10.0.0.1"], 100);
  EXPECT_GT(got["10.0.0.2"], 100);
  EXPECT_GT(got["10.0.0.3"], 0);
  EXPECT_LT(got["10.0.0.3"], got["10.0.0.1"]);
  EXPECT_LT(got["10.0.0.4"], got["10.0.0.1"]) << "its queue is short";
}

// Bytes between zones are priced.
TEST_F(paced_fixture, CallsStayInTheZoneUntilItsQueuesAreLong) {
  Learn({{"10.0.0.1", Report(4)}, {"10.0.1.1", Report(0)}});
  Begin(1);
  EXPECT_EQ(sent_.back().first, "10.0.0.1");
  Push("10.0.0.1", Report(8));
  Begin(2);
  EXPECT_EQ(sent_.back().first, "10.0.1.1");
}

// Guards against refusals by targets that are known to be full. The caller may
// come back once they are expected to have room.
TEST_F(paced_fixture, CallThatAllWouldRefuseIsNotSent) {
  Learn({{"10.0.0.1", Report(20)}, {"10.0.0.2", Report(20)}});
  Begin(1);
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(results_[1].outcome, call_outcome::kNotRun);
  EXPECT_EQ(results_[1].reason, refusal_reason::kOverloaded);
  EXPECT_GE(results_[1].retry_after, milliseconds(200));
  Push("10.0.0.2", Report(3));
  Begin(2);
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_.back().first, "10.0.0.2");
}

// Guards against instances that get no call any more because their last report
// called them full.
TEST_F(paced_fixture, FullInstanceWithoutNewReportsIsTriedAgain) {
  Learn({{"10.0.0.1", Report(20)}});
  clock_.now += milliseconds(2600);
  Begin(1);
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against urgent calls that are refused for a queue that they would
// displace.
TEST_F(paced_fixture, LessUrgentCallsInTheQueueDoNotKeepUrgentOnesAway) {
  load_report bulk_queue = Report(20);
  bulk_queue.waiting_by_priority = {{.priority = 3, .calls = 16}};
  Learn({{"10.0.0.1", bulk_queue}});
  call_plan plan = Plan(true);
  plan.priority = 3;
  sender_->Begin(1, plan, {});
  EXPECT_TRUE(sent_.empty());
  plan.priority = 1;
  sender_->Begin(2, plan, {});
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against estimates from before a change of the instance's speed.
TEST_F(paced_fixture, ServiceTimeOfARouteFollowsTheStatedSpeed) {
  load_report usual = Report(0);
  usual.route_us = 200'000;
  Learn({{"10.0.0.1", usual}, {"10.0.1.1", usual}});
  load_report slow = Report(0);
  slow.speed_percent = 300;
  slow.service_us = 300'000;
  Push("10.0.0.1", slow);
  Begin(1);
  EXPECT_EQ(sent_.back().first, "10.0.1.1") << "600 ms exceed the objective";
}

TEST_F(paced_fixture, PushOfAHostThatWasNeverCalledIsIgnored) {
  SetView({Instance("near", "10.0.0.1", "north-a"),
           Instance("mid", "10.0.0.2", "north-b")});
  Push("10.0.0.1", Report(20));
  Begin(1);
  EXPECT_EQ(sent_.back().first, "10.0.0.1");
}

TEST_F(paced_fixture, CallsAskForLoadUpdatesInTheirRegionOnly) {
  Learn({{"10.0.0.1", Report(0)}, {"10.0.2.1", Report(0)}});
  Begin(1);
  EXPECT_TRUE(sent_.back().second.wants_load);
  call_plan plan = Plan(true);
  plan.home_regions = {"south"};
  sender_->Begin(2, plan, {});
  EXPECT_FALSE(sent_.back().second.wants_load);
}

// Load: the region's slots are all in use, those elsewhere are free.
TEST_F(paced_fixture, CallsLeaveAFullRegionForAClassThatIsBoundToIt) {
  last_load_ = {{"10.0.0.1", Report(4)}, {"10.0.2.1", Report(0)}};
  Learn(last_load_);
  EXPECT_EQ(SendCalls(50, Plan(true))["10.0.2.1"], 0) << "no class is bound";
  BindARouteToTheRegion();
  EXPECT_EQ(SendCalls(50, Plan(true))["10.0.2.1"], 50);
  call_plan bound = Plan(true);
  bound.home_regions = {"north"};
  EXPECT_EQ(SendCalls(50, bound)["10.0.0.1"], 50);
}

TEST_F(paced_fixture, CallsStayIfTheCrossingWouldMissTheirObjective) {
  load_report slow = Report(0);
  slow.service_us = 200'000;
  last_load_ = {{"10.0.0.1", Report(4)}, {"10.0.2.1", slow}};
  Learn(last_load_);
  BindARouteToTheRegion();
  call_plan plan = Plan(true);
  plan.objective = milliseconds(300);
  EXPECT_EQ(SendCalls(50, plan)["10.0.2.1"], 0);
}

// Guards against calls that fill the link between the regions, which other
// traffic needs.
TEST_F(paced_fixture, NoCallSpillsOverABusyLink) {
  last_load_ = {{"10.0.0.1", Report(4)}, {"10.0.2.1", Report(0)}};
  Learn(last_load_);
  BindARouteToTheRegion();
  call_plan away = Plan(true);
  away.home_regions = {"south"};
  for (int i = 0; i < 30; ++i) {
    sender_->Begin(++last_call_, away, {});
    clock_.now += milliseconds(100 + 26 + 60);
    Answer({.outcome = call_outcome::kAnswer,
            .status = 200,
            .held_us = 100'000,
            .load = Report(0)});
  }
  Push("10.0.0.1", Report(4));
  EXPECT_EQ(SendCalls(1, Plan(true))["10.0.2.1"], 0);
  clock_.now += milliseconds(2100);
  Push("10.0.0.1", Report(4));
  EXPECT_EQ(SendCalls(1, Plan(true))["10.0.2.1"], 1) << "measured again";
}

}  // namespace
}  // namespace parsleyyard::testing
