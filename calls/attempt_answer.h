// Outcome of an attempt, from what happened at the instance. Internal to
// calls/.

#ifndef PARSLEYYARD_CALLS_ATTEMPT_ANSWER_H_
#define PARSLEYYARD_CALLS_ATTEMPT_ANSWER_H_

#include "calls/calls.h"

namespace parsleyyard {

// Returns the answer to the sender, without a load report. `withheld_for`: why
// this daemon did not write the request; kNone if it did not withhold it.
call_answer BuildAnswer(const call_id& id,
                        upstream_result result,
                        refusal_reason withheld_for);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_ATTEMPT_ANSWER_H_
