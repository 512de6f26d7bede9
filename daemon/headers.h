// HTTP header fields that parsleyyard reads or sets. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_HEADERS_H_
#define PARSLEYYARD_DAEMON_HEADERS_H_

#include "decide/decide.h"

#include <string_view>
#include <vector>

namespace parsleyyard {

inline constexpr std::string_view kOutcomeHeader =
    "x-parsleyyard-outcome";  // answer, not_run or unknown
inline constexpr std::string_view kReasonHeader =
    "x-parsleyyard-reason";  // a refusal_reason
inline constexpr std::string_view kRequestHeader =
    "x-request-id";  // the caller's, or drawn
inline constexpr std::string_view kWorkspaceHeader =
    "x-workspace";  // customer of the call
inline constexpr std::string_view kDepthHeader =
    "x-parsleyyard-depth";  // services passed through
inline constexpr std::string_view kDeadlineHeader =
    "x-parsleyyard-deadline-ms";  // time left
inline constexpr std::string_view kHomeHeader =
    "x-parsleyyard-home";  // daemons in home regions
inline constexpr std::string_view kInstanceHeader =
    "x-upstream-instance";  // changes at each start of an upstream
inline constexpr std::string_view kShedHeader =
    "x-upstream-shed";  // not-run: the upstream did not run it
inline constexpr std::string_view kDrainHeader =
    "x-upstream-draining";  // the upstream is leaving

// The fields without those that concern one connection alone.
std::vector<call_header> EndToEnd(const std::vector<call_header>& headers);

// Replaces a field, or adds it.
void SetHeader(std::vector<call_header>& headers,
               std::string_view name,
               std::string_view value);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_HEADERS_H_
