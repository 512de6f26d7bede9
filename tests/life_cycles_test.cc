// The state machines, walked through each of their states.

#include "decide/life_cycles.h"

#include <gtest/gtest.h>

namespace parsleyyard {
namespace {

TEST(LifeCycles, Daemon) {
  daemon_life_cycle life;
  EXPECT_EQ(life.state(), daemon_state::kStarting);
  EXPECT_FALSE(life.Process(daemon_event::kCaughtUp));
  EXPECT_TRUE(life.Process(daemon_event::kPeerHeard));
  EXPECT_EQ(life.state(), daemon_state::kCatchingUp);
  EXPECT_TRUE(life.Process(daemon_event::kCaughtUp));
  EXPECT_EQ(life.state(), daemon_state::kServing);
  EXPECT_TRUE(life.Process(daemon_event::kLostView));
  EXPECT_EQ(life.state(), daemon_state::kCatchingUp);
  EXPECT_TRUE(life.Process(daemon_event::kCaughtUp));
  EXPECT_TRUE(life.Process(daemon_event::kStopAsked));
  EXPECT_EQ(life.state(), daemon_state::kDraining);
  EXPECT_TRUE(life.Process(daemon_event::kIdle));
  EXPECT_EQ(life.state(), daemon_state::kStopped);
}

TEST(LifeCycles, DaemonStoppedBeforeItServedHasNothingToDrain) {
  daemon_life_cycle life;
  EXPECT_TRUE(life.Process(daemon_event::kStopAsked));
  EXPECT_EQ(life.state(), daemon_state::kStopped);
}

TEST(LifeCycles, Upstream) {
  upstream_life_cycle life;
  EXPECT_EQ(life.state(), upstream_state::kUnknown);
  EXPECT_TRUE(life.Process(upstream_event::kStarted));
  EXPECT_EQ(life.state(), upstream_state::kWarming);
  EXPECT_TRUE(life.Process(upstream_event::kRampEnded));
  EXPECT_EQ(life.state(), upstream_state::kWarm);
  EXPECT_TRUE(life.Process(upstream_event::kDrainSeen));
  EXPECT_EQ(life.state(), upstream_state::kDraining);
  EXPECT_TRUE(life.Process(upstream_event::kConnectionRefused));
  EXPECT_EQ(life.state(), upstream_state::kGone);
  EXPECT_TRUE(life.Process(upstream_event::kStarted));
  EXPECT_EQ(life.state(), upstream_state::kWarming);
}

TEST(LifeCycles, Call) {
  call_life_cycle life;
  EXPECT_EQ(life.state(), call_state::kChoosing);
  EXPECT_TRUE(life.Process(call_event::kTargetChosen));
  EXPECT_EQ(life.state(), call_state::kConnecting);
  EXPECT_TRUE(life.Process(call_event::kHandedOver));
  EXPECT_EQ(life.state(), call_state::kSent);
  EXPECT_TRUE(life.Process(call_event::kLinkLost));
  EXPECT_EQ(life.state(), call_state::kAttaching);
  EXPECT_TRUE(life.Process(call_event::kAttached));
  EXPECT_EQ(life.state(), call_state::kSent);
  EXPECT_TRUE(life.Process(call_event::kFinished));
  EXPECT_EQ(life.state(), call_state::kEnded);
  EXPECT_FALSE(life.Process(call_event::kTargetChosen));
}

}  // namespace
}  // namespace parsleyyard
