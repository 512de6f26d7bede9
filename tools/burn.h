// Error budget burn rates: reads samples of the daemons' metrics, computes burn
// rates and renders reports.
//
// Index
//   1. Samples   AddMetricsPage(), ReadSamples(), WriteSamples()
//   2. Burn      ComputeBurn()
//   3. Reports   TextReport(), CsvReport(), HtmlReport()

#ifndef PARSLEYYARD_TOOLS_BURN_H_
#define PARSLEYYARD_TOOLS_BURN_H_

#include <chrono>
#include <iosfwd>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace parsleyyard::tools {

using duration = std::chrono::microseconds;

// ---------------------------------------------------------------------------
// 1. Samples
// ---------------------------------------------------------------------------

// Calls are grouped by service, priority class and failure domain of the entry
// daemon.
using burn_key = std::tuple<std::string, std::string, std::string>;

struct burn_counts {
  double good = 0;   // answered calls
  double total = 0;  // all calls, without refusals that the caller caused
};

// Sums of the counters of all daemons at one moment. A counter only grows,
// except that it starts from zero when its daemon restarts.
struct burn_sample {
  duration at{};  // time since the first sample
  std::map<burn_key, burn_counts> counts;
  std::vector<std::string> unreachable;  // daemons that did not answer
};

// Adds the counters of one daemon's /metrics page, which is in the Prometheus
// text format.
void AddMetricsPage(const std::string& page, burn_sample& sample);

// Writes samples in the text format that ReadSamples() reads.
void WriteSamples(const std::vector<burn_sample>& samples, std::ostream& out);
std::vector<burn_sample> ReadSamples(std::istream& in);

// ---------------------------------------------------------------------------
// 2. Burn
// ---------------------------------------------------------------------------

struct burn_options {
  std::map<std::string, double>
      objectives;  // required share of good calls, 0 to 1, by service
  double default_objective = 0.999;  // for services not in `objectives`
  std::chrono::seconds short_window =
      std::chrono::seconds(5);  // shows whether the budget still burns
  std::chrono::seconds long_window =
      std::chrono::seconds(60);   // shows whether the burn is significant
  double alert_burn_rate = 14.4;  // uses 2 % of a 30-day budget in an hour
};

// Burn of one group of calls. The burn rate is the share of bad calls divided
// by the share that the objective allows: at a rate of 1 the error budget is
// used up exactly over the period of the objective.
struct burn_row {
  burn_key key;
  double objective = 0;   // required share of good calls
  double total = 0;       // calls in the long window
  double bad = 0;         // calls of `total` that were not answered
  double long_rate = 0;   // burn rate in the long window
  double short_rate = 0;  // burn rate in the short window
  bool alert = false;     // both rates exceed alert_burn_rate
};

// Returns one row for each group of calls in the last sample.
std::vector<burn_row> ComputeBurn(const std::vector<burn_sample>& samples,
                                  const burn_options& options);

// ---------------------------------------------------------------------------
// 3. Reports
// ---------------------------------------------------------------------------

std::string TextReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples);
std::string CsvReport(const std::vector<burn_row>& rows);
// Returns a self-contained page with a plot for each service of the share of
// calls answered in each second.
std::string HtmlReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples);

}  // namespace parsleyyard::tools

#endif  // PARSLEYYARD_TOOLS_BURN_H_
