// The outcome that a target reports for what happened at its instance. An
// attempt is "not run" only if that is proved.

#include "calls/attempt_answer.h"

#include <gtest/gtest.h>

namespace parsleyyard {
namespace {

constexpr call_id kId{.origin = 3, .sequence = 4};

void ExpectOutcome(const upstream_result& result,
                   refusal_reason withheld_for,
                   call_outcome outcome,
                   refusal_reason reason) {
  const call_answer answer = BuildAnswer(kId, result, withheld_for);
  EXPECT_EQ(answer.id, kId);
  EXPECT_EQ(answer.outcome, outcome);
  EXPECT_EQ(answer.reason, reason);
  EXPECT_EQ(answer.reached_instance, result.sent);
}

TEST(AttemptAnswer, PassesOnACompleteResponse) {
  const call_answer answer =
      BuildAnswer(kId,
                  {.sent = true,
                   .complete = true,
                   .status = 201,
                   .headers = {{.name = "a", .value = "b"}},
                   .body = "text"},
                  refusal_reason::kNone);
  EXPECT_EQ(answer.outcome, call_outcome::kAnswer);
  EXPECT_EQ(answer.reason, refusal_reason::kNone);
  EXPECT_EQ(answer.status, 201);
  ASSERT_EQ(answer.headers.size(), 1U);
  EXPECT_EQ(answer.headers[0].value, "b");
  EXPECT_EQ(answer.body, "text");
}

TEST(AttemptAnswer, IsNotRunIfNothingWasSentOrTheInstanceSaysSo) {
  ExpectOutcome({.sent = false}, refusal_reason::kNone, call_outcome::kNotRun,
                refusal_reason::kUpstreamRefused);
  ExpectOutcome({.sent = true, .complete = true, .not_run = true},
                refusal_reason::kNone, call_outcome::kNotRun,
                refusal_reason::kUpstreamRefused);
  ExpectOutcome(
      {.sent = true, .complete = true, .not_run = true, .wrong_instance = true},
      refusal_reason::kNone, call_outcome::kNotRun,
      refusal_reason::kWrongInstance);
}

TEST(AttemptAnswer, IsNotRunForTheReasonItWasWithheldFor) {
  ExpectOutcome({.sent = false, .timed_out = true}, refusal_reason::kCancelled,
                call_outcome::kNotRun, refusal_reason::kCancelled);
}

TEST(AttemptAnswer, IsUnknownOnceSomeBytesWereSent) {
  ExpectOutcome({.sent = true}, refusal_reason::kNone, call_outcome::kUnknown,
                refusal_reason::kUpstreamLost);
  ExpectOutcome({.sent = true, .timed_out = true}, refusal_reason::kNone,
                call_outcome::kUnknown, refusal_reason::kTimeout);
}

}  // namespace
}  // namespace parsleyyard
