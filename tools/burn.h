// Service-level burn: from samples of the daemons' metrics to a report.
//
// Index
//   1. Samples   AddPage(), ReadSamples(), WriteSamples()
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

// What is told apart: service, class and failure domain of the entry daemon.
using burn_key = std::tuple<std::string, std::string, std::string>;

struct burn_counts {
  double good = 0;   // answered
  double total = 0;  // all but refusals that the caller caused
};

// Sums over all daemons at one moment. Counters only grow, except at a restart.
struct burn_sample {
  duration at{};  // since the first sample
  std::map<burn_key, burn_counts> counts;
  std::vector<std::string> unreachable;  // daemons that did not answer
};

// Adds one daemon's page in the Prometheus text format.
void AddPage(const std::string& page, burn_sample& sample);

void WriteSamples(const std::vector<burn_sample>& samples, std::ostream& out);
std::vector<burn_sample> ReadSamples(std::istream& in);

// ---------------------------------------------------------------------------
// 2. Burn
// ---------------------------------------------------------------------------

struct burn_options {
  std::map<std::string, double> objectives;  // share of good calls by service
  double default_objective = 0.999;          // for all other services
  std::chrono::seconds short_window =
      std::chrono::seconds(5);  // confirms that it still burns
  std::chrono::seconds long_window =
      std::chrono::seconds(60);  // shows that it matters
  double alert_rate = 14.4;      // budget in 2 % of a 30-day period an hour
};

// A burn rate of 1 uses up the budget exactly over the period of the objective.
struct burn_row {
  burn_key key;
  double objective = 0;
  double total = 0;       // calls in the long window
  double bad = 0;         // of these, not answered
  double long_rate = 0;   // burn rate in the long window
  double short_rate = 0;  // burn rate in the short window
  bool alert = false;     // both rates exceed the limit
};

std::vector<burn_row> ComputeBurn(const std::vector<burn_sample>& samples,
                                  const burn_options& options);

// ---------------------------------------------------------------------------
// 3. Reports
// ---------------------------------------------------------------------------

std::string TextReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples);
std::string CsvReport(const std::vector<burn_row>& rows);
// One self-contained page with a plot of the answered share by second.
std::string HtmlReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples);

}  // namespace parsleyyard::tools

#endif  // PARSLEYYARD_TOOLS_BURN_H_
