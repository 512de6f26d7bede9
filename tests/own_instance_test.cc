// The instance of a host as the view shows it, and the calls that the view
// forbids there.

#include "calls/own_instance.h"
#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

const target_options kOptions{.address = "10.0.0.1",
                              .failure_domain = "north-a",
                              .service = "s",
                              .instance_port = 9000};

call_request CallTo(const std::string& instance) {
  return {.instance = instance, .service = "s"};
}

TEST(OwnInstance, AllowsCallToRegisteredInstance) {
  own_instance own(kOptions);
  const auto view = MakeSnapshot({Instance("i", "10.0.0.1", "north-a", 7)});
  EXPECT_EQ(own.Slots(), 1U);
  own.Update(*view);
  EXPECT_EQ(own.Slots(), 7U);
  EXPECT_EQ(own.FindHostRefusal(*view, CallTo("i")), refusal_reason::kNone);
  EXPECT_EQ(own.FindInstanceRefusal(*view, CallTo("i")), refusal_reason::kNone);
}

TEST(OwnInstance, CountsInstanceWithoutSlotsAsOneSlot) {
  own_instance own(kOptions);
  own.Update(*MakeSnapshot({Instance("i", "10.0.0.1", "north-a", 0)}));
  EXPECT_EQ(own.Slots(), 1U);
}

TEST(OwnInstance, RefusesCallToAnotherInstanceOrADrainingOne) {
  own_instance own(kOptions);
  known_instance known = Instance("i", "10.0.0.1", "north-a");
  EXPECT_EQ(own.FindInstanceRefusal(*MakeSnapshot({known}), CallTo("other")),
            refusal_reason::kWrongInstance);
  known.registration.draining = true;
  EXPECT_EQ(own.FindInstanceRefusal(*MakeSnapshot({known}), CallTo("i")),
            refusal_reason::kLeaving);
}

// Without a registration, only the instance that was registered last is known
// to have left; the sender may know a newer view.
TEST(OwnInstance, WithoutRegistrationRefusesOnlyTheInstanceThatLeft) {
  own_instance own(kOptions);
  const auto other_host =
      MakeSnapshot({Instance("far", "10.0.0.2", "north-b")});
  own.Update(*MakeSnapshot({Instance("i", "10.0.0.1", "north-a", 7)}));
  own.Update(*other_host);
  EXPECT_EQ(own.FindInstanceRefusal(*other_host, CallTo("i")),
            refusal_reason::kLeaving);
  EXPECT_EQ(own.FindInstanceRefusal(*other_host, CallTo("new")),
            refusal_reason::kNone);
  EXPECT_EQ(own.Slots(), 7U);
}

TEST(OwnInstance, RefusesEveryCallOfAHostThatMustNotRunIt) {
  own_instance own(kOptions);
  EXPECT_EQ(own.FindHostRefusal(snapshot(), CallTo("i")),
            refusal_reason::kStarting);
  const auto view = MakeSnapshot({Instance("i", "10.0.0.1", "north-a")});
  EXPECT_EQ(own.FindHostRefusal(*view, {.instance = "i", .service = "other"}),
            refusal_reason::kNoUpstream);
  view->evacuated = {"north-a"};
  EXPECT_EQ(own.FindHostRefusal(*view, CallTo("i")),
            refusal_reason::kFailureDomainOut);
}

TEST(OwnInstance, ReportsTheEndOfAnEvacuationOnce) {
  own_instance own(kOptions);
  const auto view = MakeSnapshot({Instance("i", "10.0.0.1", "north-a")});
  own.Update(*view);
  EXPECT_FALSE(own.EvacuationEnded());
  view->evacuated = {"north-a", "north-b"};
  own.Update(*view);
  EXPECT_FALSE(own.EvacuationEnded());
  view->evacuated = {"north-b"};
  own.Update(*view);
  EXPECT_TRUE(own.EvacuationEnded());
  own.Update(*view);
  EXPECT_FALSE(own.EvacuationEnded());
}

}  // namespace
}  // namespace parsleyyard::testing
