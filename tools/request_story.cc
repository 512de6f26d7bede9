#include "tools/request_story.h"

#include "model/model.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace parsleyyard::tools {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kBetweenProgress = std::uint64_t{64} << 20;  // bytes
constexpr std::size_t kMostNamed = 5;  // unreadable lines that are named
constexpr std::int64_t kFirstFailure = 500;

// What each reason means for the person who asks.
constexpr std::array<std::pair<refusal_reason, std::string_view>, 18> kCauses =
    {{{refusal_reason::kNoRoute,
       "no route of the configuration then in force matched its host and path"},
      {refusal_reason::kNoUpstream,
       "no instance was left that it could be sent to"},
      {refusal_reason::kFailureDomainOut,
       "the instance's failure domain was evacuated"},
      {refusal_reason::kLeaving, "the instance or its daemon was leaving"},
      {refusal_reason::kOverloaded,
       "the instances that were asked could not have answered in time"},
      {refusal_reason::kCold,
       "the instances that were asked had just started and had their share of "
       "requests"},
      {refusal_reason::kDeadlinePassed,
       "its time was over before an instance could run it"},
      {refusal_reason::kStarting, "the daemon had no configuration yet"},
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
      {refusal_reason::kCancelled, "its caller went away"}}};

std::string_view CauseOf(std::string_view reason) {
  for (const auto& [known, cause] : kCauses) {
    if (NameOf(known) == reason) {
      return cause;
    }
  }
  return "the reason is not known";
}

std::string TextOf(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
}

std::int64_t NumberOf(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

// Fields that stand in front of each step or are the same in all of them.
bool IsHead(std::string_view key) {
  return key == "time" || key == "host" || key == "part" || key == "event" ||
         key == "request" || key == "level";
}

}  // namespace

void request_story::ReadLine(std::string_view line,
                             const std::string& name,
                             std::uint64_t number) {
  // A collector may have put its own text in front.
  const std::size_t begin = line.find('{');
  const bool whole = begin != std::string_view::npos && line.back() == '}';
  if (whole && line.find(request_, begin) == std::string_view::npos) {
    return;
  }
  boost::system::error_code error;
  json::value parsed;
  if (whole) {
    parsed = json::parse(line.substr(begin), error);
  }
  if (!whole || error || !parsed.is_object()) {
    if (!line.empty() && ++unreadable_count_ <= kMostNamed) {
      unreadable_.push_back({.file = name, .number = number});
    }
    return;
  }
  json::object& fields = parsed.get_object();
  if (TextOf(fields, "request") == request_) {
    std::string time = TextOf(fields, "time");
    steps_.push_back({.time = std::move(time), .fields = std::move(fields)});
  }
}

void request_story::Read(std::istream& log,
                         const std::string& name,
                         const progress_function& progress) {
  std::string line;
  std::uint64_t number = 0;
  std::uint64_t bytes = 0;
  std::uint64_t told = 0;
  while (std::getline(log, line)) {
    bytes += line.size() + 1;
    ReadLine(line, name, ++number);
    if (bytes - told >= kBetweenProgress) {
      told = bytes;
      progress(bytes);
    }
  }
  std::stable_sort(
      steps_.begin(), steps_.end(),
      [](const step& a, const step& b) { return a.time < b.time; });
}

std::string request_story::Cause() const {
  const auto ended =
      std::find_if(steps_.rbegin(), steps_.rend(), [](const step& each) {
        const std::string event = TextOf(each.fields, "event");
        return event == "ended" || event == "refused at head";
      });
  if (ended == steps_.rend()) {
    return "No line says how it ended: the log of the daemon that took it is "
           "missing, or that daemon died.";
  }
  const json::object& fields = ended->fields;
  const std::string reason = TextOf(fields, "reason");
  if (TextOf(fields, "event") == "refused at head") {
    return "It was refused and has not run: " + std::string(CauseOf(reason)) +
           " (version " + std::to_string(NumberOf(fields, "version")) + ").";
  }
  const std::string outcome = TextOf(fields, "outcome");
  const std::string instance = TextOf(fields, "instance");
  const std::int64_t status = NumberOf(fields, "status");
  if (outcome == NameOf(call_outcome::kAnswer)) {
    const std::string_view kind = status >= kFirstFailure
                                      ? "The instance itself failed: "
                                      : "It was answered: ";
    return std::string(kind) + instance + " gave status " +
           std::to_string(status) + ".";
  }
  const std::string_view result = outcome == NameOf(call_outcome::kNotRun)
                                      ? "It has not run: "
                                      : "Whether it has run is not known: ";
  const std::string last =
      instance.empty() ? "" : " (tried last: " + instance + ")";
  return std::string(result) + std::string(CauseOf(reason)) + last + ".";
}

std::string request_story::Text() const {
  std::ostringstream text;
  for (const step& each : steps_) {
    text << each.time << "  " << TextOf(each.fields, "host") << "  "
         << TextOf(each.fields, "part") << ": " << TextOf(each.fields, "event");
    for (const auto& field : each.fields) {
      if (!IsHead(field.key())) {
        text << "  " << std::string_view(field.key()) << "="
             << json::serialize(field.value());
      }
    }
    text << "\n";
  }
  if (unreadable_count_ > 0) {
    text << unreadable_count_ << " lines could not be read:";
    for (const unreadable_line& line : unreadable_) {
      text << " " << line.file << ":" << line.number;
    }
    text << (unreadable_count_ > unreadable_.size() ? " ...\n" : "\n");
  }
  text << (steps_.empty() ? "No line names request " + request_ + "." : Cause())
       << "\n";
  return text.str();
}

}  // namespace parsleyyard::tools
