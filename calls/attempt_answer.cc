#include "calls/attempt_answer.h"

namespace parsleyyard {

call_answer BuildAnswer(const call_id& id,
                        upstream_result result,
                        refusal_reason withheld_for) {
  call_answer answer{.id = id,
                     .outcome = call_outcome::kUnknown,
                     .reason = result.timed_out ? refusal_reason::kTimeout
                                                : refusal_reason::kUpstreamLost,
                     .reached_instance = result.sent};
  if (withheld_for != refusal_reason::kNone) {
    answer.outcome = call_outcome::kNotRun;
    answer.reason = withheld_for;
  } else if (!result.sent || result.not_run) {
    answer.outcome = call_outcome::kNotRun;
    answer.reason = result.wrong_instance ? refusal_reason::kWrongInstance
                                          : refusal_reason::kUpstreamRefused;
  } else if (result.complete) {
    answer.outcome = call_outcome::kAnswer;
    answer.reason = refusal_reason::kNone;
    answer.status = result.status;
    answer.headers = std::move(result.headers);
    answer.body = std::move(result.body);
  }
  return answer;
}

}  // namespace parsleyyard
