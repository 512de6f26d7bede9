#include "daemon/metrics.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace parsleyyard {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t kMaxFailedCalls = 2000;
constexpr std::size_t kMaxDecisions = 2000;
// Workspaces with counts of their own. A daemon may meet thousands of them, and
// each takes a few lines of the page.
constexpr std::size_t kMaxWorkspaces = 200;
constexpr const char* kOtherWorkspaces = "(other)";
// Upper bounds of the latency buckets. They range from the time of a call
// between two daemons to the longest deadline, which is a few seconds.
constexpr std::array<double, 12> kLatencyBucketsSeconds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0};

// Returns the text as the value of a Prometheus label.
std::string EscapeLabel(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

double ToSeconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

std::string FormatFailedCall(const call_record& record) {
  std::ostringstream line;
  line << "request " << record.request << ", route " << record.route << ": "
       << NameOf(record.outcome) << ", " << NameOf(record.reason) << ", after "
       << record.attempts << " attempts and " << record.took.count() / 1000
       << " ms";
  return line.str();
}

}  // namespace

// Latencies of answered calls. Values above the last bound are in the overflow
// bucket.
struct metrics::latency_histogram {
  decltype(bh::make_histogram(
      bh::axis::variable<>(kLatencyBucketsSeconds))) buckets =
      bh::make_histogram(bh::axis::variable<>(kLatencyBucketsSeconds));
  double sum = 0;  // seconds
  std::uint64_t count = 0;

  void Record(double seconds) {
    buckets(seconds);
    sum += seconds;
    ++count;
  }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::OnCall(const call_record& record) {
  const std::lock_guard lock(mutex_);
  ++call_counts_[{record.service, record.priority, record.outcome,
                  record.reason}];
  CountWorkspace(record);
  if (record.outcome == call_outcome::kNotRun &&
      record.reason == refusal_reason::kOverloaded && record.attempts == 0) {
    ++unsent_counts_[{record.service, record.priority}];
  }
  if (record.outcome == call_outcome::kAnswer) {
    auto& histogram = latency_histograms_[{record.service, record.priority}];
    if (histogram == nullptr) {
      histogram = std::make_unique<latency_histogram>();
    }
    histogram->Record(ToSeconds(record.took));
    return;
  }
  failed_calls_.push_back(record);
  if (failed_calls_.size() > kMaxFailedCalls) {
    failed_calls_.pop_front();
  }
}

void metrics::CountWorkspace(const call_record& record) {
  if (record.workspace.empty()) {
    return;
  }
  const bool has_own = workspace_counts_.contains(record.workspace) ||
                       workspace_counts_.size() < kMaxWorkspaces;
  outcome_counts& counts =
      workspace_counts_[has_own ? record.workspace : kOtherWorkspaces];
  ++counts[static_cast<std::size_t>(record.outcome)];
}

// Writes nothing before the first call of a workspace.
void metrics::RenderWorkspaces(std::ostream& page) const {
  if (workspace_counts_.empty()) {
    return;
  }
  page << "# HELP parsleyyard_workspace_calls_total Calls of workspaces, by "
          "outcome.\n"
       << "# TYPE parsleyyard_workspace_calls_total counter\n";
  for (const auto& [name, counts] : workspace_counts_) {
    for (std::size_t i = 0; i < counts.size(); ++i) {
      page << "parsleyyard_workspace_calls_total{workspace=\""
           << EscapeLabel(name) << "\",outcome=\"" << kCallOutcomeNames[i]
           << "\"} " << counts[i] << "\n";
    }
  }
}

void metrics::OnRejected(std::uint16_t status, std::string_view cause) {
  const std::lock_guard lock(mutex_);
  ++rejection_counts_[{status, std::string(cause)}];
}

// Writes nothing before the first decision of a quota.
void metrics::RenderQuotas(std::ostream& page) const {
  if (quota_counts_.empty()) {
    return;
  }
  page << "# HELP parsleyyard_quota_requests_total Requests of workspaces with "
          "a quota, by decision.\n"
       << "# TYPE parsleyyard_quota_requests_total counter\n";
  for (const auto& [workspace, counts] : quota_counts_) {
    for (const auto& [result, count] : counts) {
      page << "parsleyyard_quota_requests_total{workspace=\"" << workspace
           << "\",result=\"" << result << "\"} " << count << "\n";
    }
  }
}

void metrics::OnQuota(const std::string& workspace, std::string_view result) {
  const std::lock_guard lock(mutex_);
  const bool known = quota_counts_.contains(workspace);
  const bool fits = known || quota_counts_.size() < kMaxWorkspaces;
  auto& counts = quota_counts_[fits ? workspace : kOtherWorkspaces];
  ++counts[std::string(result)];
}

void metrics::OnDecision(std::string line) {
  const std::lock_guard lock(mutex_);
  decisions_.push_back(std::move(line));
  if (decisions_.size() > kMaxDecisions) {
    decisions_.pop_front();
  }
}

std::string metrics::RenderPrometheusText() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream page;
  page << "# HELP parsleyyard_calls_total Calls received from callers, by "
          "outcome and reason.\n"
       << "# TYPE parsleyyard_calls_total counter\n";
  for (const auto& [key, count] : call_counts_) {
    const auto& [service, priority, outcome, reason] = key;
    page << "parsleyyard_calls_total{service=\"" << service << "\",priority=\""
         << priority << "\",outcome=\"" << NameOf(outcome) << "\",reason=\""
         << NameOf(reason) << "\"} " << count << "\n";
  }
  page << "# HELP parsleyyard_calls_without_capacity_total Calls refused "
          "without an attempt, since no instance was expected to have room.\n"
       << "# TYPE parsleyyard_calls_without_capacity_total counter\n";
  for (const auto& [key, count] : unsent_counts_) {
    page << "parsleyyard_calls_without_capacity_total{service=\"" << key.first
         << "\",priority=\"" << key.second << "\"} " << count << "\n";
  }
  page << "# HELP parsleyyard_rejected_requests_total Requests that the HTTP "
          "server ended by itself.\n"
       << "# TYPE parsleyyard_rejected_requests_total counter\n";
  for (const auto& [key, count] : rejection_counts_) {
    page << "parsleyyard_rejected_requests_total{status=\"" << key.first
         << "\",cause=\"" << key.second << "\"} " << count << "\n";
  }
  RenderQuotas(page);
  RenderWorkspaces(page);
  page << "# HELP parsleyyard_call_seconds Latency of answered calls.\n# TYPE "
          "parsleyyard_call_seconds histogram\n";
  for (const auto& [key, histogram] : latency_histograms_) {
    const std::string labels = "service=\"" + key.first + "\",priority=\"" +
                               std::to_string(key.second) + "\"";
    // Index -1 is the underflow bucket, which ends at the first bound.
    double cumulative = histogram->buckets.at(-1);
    for (std::size_t i = 0; i < kLatencyBucketsSeconds.size(); ++i) {
      page << "parsleyyard_call_seconds_bucket{" << labels << ",le=\""
           << kLatencyBucketsSeconds[i] << "\"} " << cumulative << "\n";
      cumulative += histogram->buckets.at(static_cast<int>(i));
    }
    page << "parsleyyard_call_seconds_bucket{" << labels << ",le=\"+Inf\"} "
         << histogram->count << "\n"
         << "parsleyyard_call_seconds_sum{" << labels << "} " << histogram->sum
         << "\n"
         << "parsleyyard_call_seconds_count{" << labels << "} "
         << histogram->count << "\n";
  }
  return page.str();
}

std::string metrics::DescribeFailedCall(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  std::string lines;
  for (const call_record& record : failed_calls_) {
    if (record.request == request) {
      lines += FormatFailedCall(record) + "\n";
    }
  }
  return lines;
}

std::string metrics::FindDecisions(std::string_view text) const {
  const std::lock_guard lock(mutex_);
  std::string lines;
  for (const std::string& line : decisions_) {
    if (line.find(text) != std::string::npos) {
      lines += line + "\n";
    }
  }
  return lines;
}

}  // namespace parsleyyard
