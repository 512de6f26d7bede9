#include "daemon/metrics.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace parsleyyard {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t kCallsRemembered = 2000;
constexpr std::size_t kDecisionsRemembered = 2000;
// Upper ends of the latency buckets, in seconds: from a call between two
// daemons to the longest deadline of a few seconds.
constexpr std::array<double, 12> kBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0};

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

std::string Describe(const call_record& record) {
  std::ostringstream line;
  line << "request " << record.request << ", route " << record.route << ": "
       << NameOf(record.outcome) << ", " << NameOf(record.reason) << ", after "
       << record.tries << " tries and " << record.took.count() / 1000 << " ms";
  return line.str();
}

}  // namespace

// Times to an answer. Values beyond the last bucket are in its overflow.
struct metrics::latency {
  decltype(bh::make_histogram(bh::axis::variable<>(kBuckets))) buckets =
      bh::make_histogram(bh::axis::variable<>(kBuckets));
  double sum = 0;  // seconds
  std::uint64_t count = 0;

  void Add(double seconds) {
    buckets(seconds);
    sum += seconds;
    ++count;
  }
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::OnCall(const call_record& record) {
  const std::lock_guard lock(mutex_);
  ++calls_[{record.service, record.priority, record.outcome, record.reason}];
  if (record.outcome == call_outcome::kAnswer) {
    auto& latency_of = latencies_[{record.service, record.priority}];
    if (latency_of == nullptr) {
      latency_of = std::make_unique<latency>();
    }
    latency_of->Add(Seconds(record.took));
    return;
  }
  refused_.push_back(record);
  if (refused_.size() > kCallsRemembered) {
    refused_.pop_front();
  }
}

void metrics::OnDecision(std::string line) {
  const std::lock_guard lock(mutex_);
  decisions_.push_back(std::move(line));
  if (decisions_.size() > kDecisionsRemembered) {
    decisions_.pop_front();
  }
}

std::string metrics::Text() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream page;
  page << "# HELP parsleyyard_calls_total Calls that callers sent to this "
          "daemon, by how they ended.\n"
       << "# TYPE parsleyyard_calls_total counter\n";
  for (const auto& [key, count] : calls_) {
    const auto& [service, priority, outcome, reason] = key;
    page << "parsleyyard_calls_total{service=\"" << service << "\",priority=\""
         << priority << "\",outcome=\"" << NameOf(outcome) << "\",reason=\""
         << NameOf(reason) << "\"} " << count << "\n";
  }
  page << "# HELP parsleyyard_call_seconds Time to an answer.\n# TYPE "
          "parsleyyard_call_seconds histogram\n";
  for (const auto& [key, latency_of] : latencies_) {
    const std::string labels = "service=\"" + key.first + "\",priority=\"" +
                               std::to_string(key.second) + "\"";
    // The first bucket of the histogram ends where the table begins.
    double below = latency_of->buckets.at(-1);
    for (std::size_t i = 0; i < kBuckets.size(); ++i) {
      page << "parsleyyard_call_seconds_bucket{" << labels << ",le=\""
           << kBuckets[i] << "\"} " << below << "\n";
      below += latency_of->buckets.at(static_cast<int>(i));
    }
    page << "parsleyyard_call_seconds_bucket{" << labels << ",le=\"+Inf\"} "
         << latency_of->count << "\n"
         << "parsleyyard_call_seconds_sum{" << labels << "} " << latency_of->sum
         << "\n"
         << "parsleyyard_call_seconds_count{" << labels << "} "
         << latency_of->count << "\n";
  }
  return page.str();
}

std::string metrics::FindRequest(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  std::string lines;
  for (const call_record& record : refused_) {
    if (record.request == request) {
      lines += Describe(record) + "\n";
    }
  }
  return lines;
}

std::string metrics::Decisions(std::string_view text) const {
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
