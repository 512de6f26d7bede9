#include "tools/burn.h"

#include <algorithm>
#include <iomanip>
#include <istream>
#include <ostream>
#include <set>
#include <sstream>

namespace parsleyyard::tools {

namespace {

// Reasons of refusals that the caller caused. They don't count against the
// service.
const std::set<std::string> kCallerErrorReasons = {"no_route", "bad_request",
                                                   "cancelled"};

std::string FindLabel(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(name + "=\"");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 2;
  return line.substr(begin, line.find('"', begin) - begin);
}

double ParseValue(const std::string& line) {
  return std::strtod(line.c_str() + line.rfind(' ') + 1, nullptr);
}

// Returns the increase between two samples; 0 if a counter fell, since it
// starts from zero when its daemon restarts.
burn_counts CounterIncrease(const burn_counts& from, const burn_counts& to) {
  return {.good = std::max(0.0, to.good - from.good),
          .total = std::max(0.0, to.total - from.total)};
}

burn_counts CountsFor(const burn_sample& sample, const burn_key& key) {
  const auto found = sample.counts.find(key);
  return found == sample.counts.end() ? burn_counts{} : found->second;
}

// Returns the increase over the last `window`. It is summed up sample by
// sample, so that a restart loses only the increase between two samples.
burn_counts IncreaseInWindow(const std::vector<burn_sample>& samples,
                             const burn_key& key,
                             duration window) {
  burn_counts sum;
  for (std::size_t i = 1; i < samples.size(); ++i) {
    if (samples[i].at <= samples.back().at - window) {
      continue;
    }
    const burn_counts increase = CounterIncrease(CountsFor(samples[i - 1], key),
                                                 CountsFor(samples[i], key));
    sum.good += increase.good;
    sum.total += increase.total;
  }
  return sum;
}

double BurnRate(const burn_counts& counts, double objective) {
  const double bad = std::max(0.0, counts.total - counts.good);
  return counts.total > 0 ? bad / counts.total / (1 - objective) : 0;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  }
  return escaped;
}

std::set<std::string> UnreachableHosts(
    const std::vector<burn_sample>& samples) {
  std::set<std::string> hosts;
  for (const burn_sample& sample : samples) {
    hosts.insert(sample.unreachable.begin(), sample.unreachable.end());
  }
  return hosts;
}

std::string FormatFixed(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value;
  return text.str();
}

// Returns an SVG plot of the share of calls of one service that were answered
// in each second.
std::string RenderPlot(const std::string& service,
                       const std::vector<burn_sample>& samples) {
  constexpr int kWidth = 640;
  constexpr int kHeight = 120;
  std::ostringstream line;
  for (std::size_t i = 1; i < samples.size(); ++i) {
    burn_counts sum;
    for (const auto& [key, counts] : samples[i].counts) {
      if (std::get<0>(key) == service) {
        const burn_counts increase =
            CounterIncrease(CountsFor(samples[i - 1], key), counts);
        sum.good += increase.good;
        sum.total += increase.total;
      }
    }
    if (sum.total > 0) {
      line << i * kWidth / samples.size() << ","
           << FormatFixed(kHeight -
                          kHeight * std::min(1.0, sum.good / sum.total))
           << " ";
    }
  }
  std::ostringstream svg;
  svg << "<h2>" << EscapeHtml(service)
      << "</h2><svg width='700' height='160' role='img'>"
      << "<g transform='translate(50,20)'><rect width='640' height='120' "
         "fill='#f4f6f8'/>"
      << "<text x='-44' y='5'>100 %</text><text x='-30' y='124'>0 %</text>"
      << "<text x='560' y='137'>" << samples.size() - 1 << " s</text>"
      << "<polyline fill='none' stroke='#176' stroke-width='2' points='"
      << line.str() << "'/></g></svg>\n";
  return svg.str();
}

}  // namespace

void AddMetricsPage(const std::string& page, burn_sample& sample) {
  std::istringstream lines(page);
  std::string line;
  std::string domain;
  std::vector<std::string> calls;
  while (std::getline(lines, line)) {
    if (line.starts_with("parsleyyard_info{")) {
      domain = FindLabel(line, "failure_domain");
    } else if (line.starts_with("parsleyyard_calls_total{")) {
      calls.push_back(line);
    }
  }
  for (const std::string& call : calls) {
    if (kCallerErrorReasons.contains(FindLabel(call, "reason"))) {
      continue;
    }
    burn_counts& counts = sample.counts[{FindLabel(call, "service"),
                                         FindLabel(call, "priority"), domain}];
    counts.total += ParseValue(call);
    counts.good +=
        FindLabel(call, "outcome") == "answer" ? ParseValue(call) : 0;
  }
}

void WriteSamples(const std::vector<burn_sample>& samples, std::ostream& out) {
  for (const burn_sample& sample : samples) {
    out << "sample " << sample.at.count() << "\n";
    for (const auto& [key, counts] : sample.counts) {
      const auto& [service, priority, domain] = key;
      out << "count " << (service.empty() ? "-" : service) << " " << priority
          << " " << domain << " " << counts.good << " " << counts.total << "\n";
    }
    for (const std::string& host : sample.unreachable) {
      out << "unreachable " << host << "\n";
    }
  }
}

std::vector<burn_sample> ReadSamples(std::istream& in) {
  std::vector<burn_sample> samples;
  std::string keyword;
  while (in >> keyword) {
    if (keyword == "sample") {
      std::int64_t at = 0;
      in >> at;
      samples.push_back({.at = duration(at)});
    } else if (keyword == "count" && !samples.empty()) {
      std::string service;
      std::string priority;
      std::string domain;
      burn_counts counts;
      in >> service >> priority >> domain >> counts.good >> counts.total;
      samples.back().counts[{service == "-" ? "" : service, priority, domain}] =
          counts;
    } else if (keyword == "unreachable" && !samples.empty()) {
      in >> samples.back().unreachable.emplace_back();
    }
  }
  return samples;
}

std::vector<burn_row> ComputeBurn(const std::vector<burn_sample>& samples,
                                  const burn_options& options) {
  std::vector<burn_row> rows;
  if (samples.empty()) {
    return rows;
  }
  for (const auto& [key, counts] : samples.back().counts) {
    const auto objective = options.objectives.find(std::get<0>(key));
    burn_row row{.key = key};
    row.objective = objective == options.objectives.end()
                        ? options.default_objective
                        : objective->second;
    const burn_counts in_long_window =
        IncreaseInWindow(samples, key, options.long_window);
    row.total = in_long_window.total;
    row.bad = in_long_window.total - in_long_window.good;
    row.long_rate = BurnRate(in_long_window, row.objective);
    row.short_rate = BurnRate(
        IncreaseInWindow(samples, key, options.short_window), row.objective);
    row.alert = row.long_rate > options.alert_burn_rate &&
                row.short_rate > options.alert_burn_rate;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string TextReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples) {
  std::ostringstream text;
  text << std::left << std::setw(12) << "service" << std::setw(9) << "class"
       << std::setw(13) << "domain" << std::right << std::setw(10)
       << "objective" << std::setw(9) << "calls" << std::setw(7) << "bad"
       << std::setw(10) << "long burn" << std::setw(11) << "short burn"
       << "\n";
  for (const burn_row& row : rows) {
    const auto& [service, priority, domain] = row.key;
    text << std::left << std::setw(12)
         << (service.empty() ? "(refused)" : service) << std::setw(9)
         << priority << std::setw(13) << domain << std::right << std::setw(9)
         << FormatFixed(row.objective * 100) << "%" << std::setw(9)
         << static_cast<std::int64_t>(row.total) << std::setw(7)
         << static_cast<std::int64_t>(row.bad) << std::setw(10)
         << FormatFixed(row.long_rate) << std::setw(11)
         << FormatFixed(row.short_rate) << (row.alert ? "  ALERT" : "") << "\n";
  }
  for (const std::string& host : UnreachableHosts(samples)) {
    text << "Unreachable at least once, its calls are not counted: " << host
         << "\n";
  }
  return text.str();
}

std::string CsvReport(const std::vector<burn_row>& rows) {
  std::ostringstream text;
  text << "service,class,failure_domain,objective,calls,bad,long_burn,short_"
          "burn,alert\n";
  for (const burn_row& row : rows) {
    const auto& [service, priority, domain] = row.key;
    text << service << "," << priority << "," << domain << "," << row.objective
         << "," << row.total << "," << row.bad << "," << row.long_rate << ","
         << row.short_rate << "," << row.alert << "\n";
  }
  return text.str();
}

std::string HtmlReport(const std::vector<burn_row>& rows,
                       const std::vector<burn_sample>& samples) {
  std::ostringstream page;
  page << "<!doctype html><html lang='en'><meta "
          "charset='utf-8'><title>parsleyyard: service-level burn</title>"
       << "<style>body{font:14px sans-serif;margin:24px}td,th{padding:3px "
          "10px;text-align:right}"
       << "td:nth-child(-n+3){text-align:left}tr.alert{background:#fdd}text{"
          "font-size:12px}</style>"
       << "<h1>Service-level "
          "burn</h1><table><tr><th>service<th>class<th>failure "
          "domain<th>objective<th>calls<th>bad"
       << "<th>burn, long window<th>burn, short window</tr>\n";
  std::set<std::string> services;
  for (const burn_row& row : rows) {
    const auto& [service, priority, domain] = row.key;
    services.insert(service);
    page << "<tr" << (row.alert ? " class='alert'" : "") << "><td>"
         << EscapeHtml(service.empty() ? "(refused)" : service) << "<td>"
         << EscapeHtml(priority) << "<td>" << EscapeHtml(domain) << "<td>"
         << FormatFixed(row.objective * 100) << " %<td>" << row.total << "<td>"
         << row.bad << "<td>" << FormatFixed(row.long_rate) << "<td>"
         << FormatFixed(row.short_rate) << "</tr>\n";
  }
  page << "</table>\n";
  for (const std::string& host : UnreachableHosts(samples)) {
    page << "<p><b>Unreachable at least once, its calls are not counted: "
         << EscapeHtml(host) << "</b></p>\n";
  }
  page << "<h1>Share answered, second by second</h1>\n";
  for (const std::string& service : services) {
    page << RenderPlot(service.empty() ? "" : service, samples);
  }
  page << "</html>\n";
  return page.str();
}

}  // namespace parsleyyard::tools
