#include "tools/request_trace.h"

#include "model/model.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace parsleyyard::tools {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kProgressIntervalBytes = std::uint64_t{64} << 20;
constexpr std::size_t kMaxNamedUnreadableLines = 5;
constexpr std::int64_t kFirstServerErrorStatus = 500;

// Descriptions of refusal reasons for the operator.
constexpr std::array<std::pair<refusal_reason, std::string_view>, 20>
    kReasonDescriptions = {
        {{refusal_reason::kNoRoute,
          "no route of the configuration then in force matched its host and "
          "path"},
         {refusal_reason::kNoUpstream,
          "no instance was left that it could be sent to"},
         {refusal_reason::kFailureDomainOut,
          "the instance's failure domain was evacuated"},
         {refusal_reason::kLeaving, "the instance or its daemon was leaving"},
         {refusal_reason::kOverloaded,
          "the instances that were asked could not have answered in time"},
         {refusal_reason::kCold,
          "the instances that were asked had just started and had their share "
          "of "
          "requests"},
         {refusal_reason::kDeadlinePassed,
          "its time was over before an instance could run it"},
         {refusal_reason::kStarting,
          "the daemon had just started and had not read the store yet"},
         {refusal_reason::kPaused,
          "the instance's daemon had stood still and did not trust its view"},
         {refusal_reason::kFenced,
          "its link was lost before it arrived, and it was fenced"},
         {refusal_reason::kWrongIncarnation,
          "the instance's daemon restarted meanwhile"},
         {refusal_reason::kWrongInstance,
          "another instance had taken over the address"},
         {refusal_reason::kUpstreamRefused, "the instance turned it away"},
         {refusal_reason::kUpstreamLost,
          "the connection to the instance broke after it had been sent"},
         {refusal_reason::kBadAnswer,
          "the instance sent something else than a whole answer"},
         {refusal_reason::kLinkLost,
          "the link to the instance's daemon broke after it had been sent"},
         {refusal_reason::kTimeout,
          "no answer came within the route's timeout or the caller's deadline"},
         {refusal_reason::kCancelled, "its caller went away"},
         {refusal_reason::kStaleView,
          "no route matched, and the daemon had not heard from the store "
          "lately"},
         {refusal_reason::kOverBound,
          "it was over a bound of the daemon that the configuration does not "
          "set"}}};

std::string_view DescribeReason(std::string_view reason) {
  for (const auto& [known, description] : kReasonDescriptions) {
    if (NameOf(known) == reason) {
      return description;
    }
  }
  return "the reason is not known";
}

std::string StringField(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
}

std::int64_t IntegerField(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

// True for fields that Text() prints at the start of a step, and for those with
// the same value in every step.
bool IsPrefixKey(std::string_view key) {
  return key == "time" || key == "host" || key == "part" || key == "event" ||
         key == "request" || key == "level";
}

}  // namespace

void request_trace::ReadLine(std::string_view line,
                             const std::string& file,
                             std::uint64_t line_number) {
  // A log collector may have added a prefix to the line.
  const std::size_t begin = line.find('{');
  const bool is_complete =
      begin != std::string_view::npos && line.back() == '}';
  if (is_complete && line.find(request_, begin) == std::string_view::npos) {
    return;
  }
  boost::system::error_code error;
  json::value parsed;
  if (is_complete) {
    parsed = json::parse(line.substr(begin), error);
  }
  if (!is_complete || error || !parsed.is_object()) {
    if (!line.empty() && ++unreadable_count_ <= kMaxNamedUnreadableLines) {
      unreadable_.push_back({.file = file, .line_number = line_number});
    }
    return;
  }
  json::object& fields = parsed.get_object();
  if (StringField(fields, "request") == request_) {
    std::string time = StringField(fields, "time");
    steps_.push_back({.time = std::move(time), .fields = std::move(fields)});
  }
}

void request_trace::Read(std::istream& log,
                         const std::string& file,
                         const progress_function& progress) {
  std::string line;
  std::uint64_t line_number = 0;
  std::uint64_t bytes = 0;
  std::uint64_t last_reported_bytes = 0;
  while (std::getline(log, line)) {
    bytes += line.size() + 1;
    ReadLine(line, file, ++line_number);
    if (bytes - last_reported_bytes >= kProgressIntervalBytes) {
      last_reported_bytes = bytes;
      progress(bytes);
    }
  }
  std::stable_sort(
      steps_.begin(), steps_.end(),
      [](const log_step& a, const log_step& b) { return a.time < b.time; });
}

std::string request_trace::DescribeEnd() const {
  const auto ended =
      std::find_if(steps_.rbegin(), steps_.rend(), [](const log_step& step) {
        const std::string event = StringField(step.fields, "event");
        return event == "ended" || event == "refused at head";
      });
  if (ended == steps_.rend()) {
    return "No line says how it ended: the log of the daemon that took it is "
           "missing, or that daemon died.";
  }
  const json::object& fields = ended->fields;
  const std::string reason = StringField(fields, "reason");
  if (StringField(fields, "event") == "refused at head") {
    return "It was refused and has not run: " +
           std::string(DescribeReason(reason)) + " (version " +
           std::to_string(IntegerField(fields, "version")) + ").";
  }
  const std::string outcome = StringField(fields, "outcome");
  const std::string instance = StringField(fields, "instance");
  const std::int64_t status = IntegerField(fields, "status");
  if (outcome == NameOf(call_outcome::kAnswer)) {
    const std::string_view verdict = status >= kFirstServerErrorStatus
                                         ? "The instance itself failed: "
                                         : "It was answered: ";
    return std::string(verdict) + instance + " gave status " +
           std::to_string(status) + ".";
  }
  const std::string_view prefix = outcome == NameOf(call_outcome::kNotRun)
                                      ? "It has not run: "
                                      : "Whether it has run is not known: ";
  const std::string last =
      instance.empty() ? "" : " (tried last: " + instance + ")";
  return std::string(prefix) + std::string(DescribeReason(reason)) + last + ".";
}

std::string request_trace::Text() const {
  std::ostringstream text;
  for (const log_step& step : steps_) {
    text << step.time << "  " << StringField(step.fields, "host") << "  "
         << StringField(step.fields, "part") << ": "
         << StringField(step.fields, "event");
    for (const auto& field : step.fields) {
      if (!IsPrefixKey(field.key())) {
        text << "  " << std::string_view(field.key()) << "="
             << json::serialize(field.value());
      }
    }
    text << "\n";
  }
  if (unreadable_count_ > 0) {
    text << unreadable_count_ << " lines could not be read:";
    for (const unreadable_line& line : unreadable_) {
      text << " " << line.file << ":" << line.line_number;
    }
    text << (unreadable_count_ > unreadable_.size() ? " ...\n" : "\n");
  }
  text << (steps_.empty() ? "No line names request " + request_ + "."
                          : DescribeEnd())
       << "\n";
  return text.str();
}

}  // namespace parsleyyard::tools
