#include "daemon/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <sstream>

namespace parsleyyard {

namespace {

namespace acc = boost::accumulators;

constexpr std::size_t kCallsRemembered = 2000;
constexpr std::size_t kDecisionsRemembered = 2000;
constexpr std::array<double, 3> kQuantiles = {0.5, 0.99, 0.999};

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

struct metrics::latency {
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>>
      set{acc::extended_p_square_probabilities = kQuantiles};
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::OnCall(const call_record& record) {
  const std::lock_guard lock(mutex_);
  ++calls_[{record.service, record.priority, record.outcome, record.reason}];
  if (record.outcome == call_outcome::kAnswer) {
    auto& latency_of = latencies_[record.service];
    if (latency_of == nullptr) {
      latency_of = std::make_unique<latency>();
    }
    latency_of->set(Seconds(record.took));
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
          "parsleyyard_call_seconds summary\n";
  for (const auto& [service, latency_of] : latencies_) {
    for (const double quantile : kQuantiles) {
      page << "parsleyyard_call_seconds{service=\"" << service
           << "\",quantile=\"" << quantile << "\"} "
           << acc::quantile(latency_of->set,
                            acc::quantile_probability = quantile)
           << "\n";
    }
    page << "parsleyyard_call_seconds_sum{service=\"" << service << "\"} "
         << acc::sum(latency_of->set) << "\n"
         << "parsleyyard_call_seconds_count{service=\"" << service << "\"} "
         << acc::count(latency_of->set) << "\n";
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
