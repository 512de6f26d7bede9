#include "tools/config_check.h"

#include <algorithm>
#include <map>
#include <set>

namespace parsleyyard::tools {

namespace {

// The largest body that a daemon takes unless its setting calls.max_body says
// otherwise.
constexpr std::size_t kDefaultMaxBodyBytes = std::size_t{8} << 20;

class findings {
 public:
  void Add(finding_kind kind, std::string entry, std::string message) {
    list_.push_back({.kind = kind,
                     .entry = std::move(entry),
                     .message = std::move(message)});
  }
  std::vector<config_finding> Take() { return std::move(list_); }

 private:
  std::vector<config_finding> list_;
};

std::string Milliseconds(duration value) {
  return std::to_string(value.count() / 1000) + " ms";
}

std::string RouteEntry(const route& of) {
  return "route " + of.name;
}

// The route that wins has the longest matching prefix, so only one with the
// same host and prefix can hide another.
void CheckMatching(const configuration& checked,
                   const route& entry,
                   findings& found) {
  const route* winner = checked.FindRoute(entry.virtual_host, entry.prefix);
  if (entry.virtual_host.find(':') != std::string::npos) {
    found.Add(finding_kind::kNeverUsed, RouteEntry(entry),
              "host " + entry.virtual_host +
                  " has a port, which is left out when requests are matched");
  } else if (entry.prefix.find_first_of("?#") != std::string::npos) {
    found.Add(finding_kind::kNeverUsed, RouteEntry(entry),
              "prefix " + entry.prefix +
                  " has a query or a fragment, which no path has");
  } else if (winner != nullptr && winner != &entry) {
    found.Add(finding_kind::kNeverUsed, RouteEntry(entry),
              "route " + winner->name + " has the same host and prefix");
  }
}

void CheckRoute(const configuration& checked,
                const route& entry,
                findings& found) {
  CheckMatching(checked, entry, found);
  for (const weighted_service& target : entry.targets) {
    if (target.weight == 0) {
      found.Add(finding_kind::kNeverUsed, RouteEntry(entry),
                "service " + target.service + " has the weight 0");
    }
  }
  if (entry.objective > entry.timeout) {
    found.Add(finding_kind::kContradiction, RouteEntry(entry),
              "objective of " + Milliseconds(entry.objective) +
                  " is longer than the timeout of " +
                  Milliseconds(entry.timeout));
  }
  if (entry.timeout == duration::zero()) {
    found.Add(finding_kind::kContradiction, RouteEntry(entry),
              "timeout of 0 ms leaves no time for any request");
  }
}

void CheckService(const service& entry,
                  const std::set<std::string>& used,
                  findings& found) {
  const std::string name = "service " + entry.name;
  if (!used.contains(entry.name)) {
    found.Add(finding_kind::kNeverUsed, name, "no route leads to it");
  }
  if (entry.cold_rate > 0 && entry.warm_up == duration::zero()) {
    found.Add(finding_kind::kContradiction, name,
              "has a cold rate but no warm-up in which it counts");
  }
  if (entry.max_connections == 0) {
    found.Add(finding_kind::kContradiction, name,
              "allows no connection to its instances");
  }
}

bool AreDisjoint(const std::vector<std::string>& a,
                 const std::vector<std::string>& b) {
  return std::none_of(a.begin(), a.end(), [&](const std::string& region) {
    return std::find(b.begin(), b.end(), region) != b.end();
  });
}

void CheckWorkspace(const configuration& checked,
                    const workspace& entry,
                    findings& found) {
  const std::string name = "workspace " + entry.name;
  if (entry.keys.empty()) {
    found.Add(finding_kind::kNeverUsed, name, "has no key");
  }
  if (entry.burst > 0 && entry.rate <= 0) {
    found.Add(finding_kind::kContradiction, name,
              "has a burst but no rate, so that it has no limit");
  }
  if (entry.home_regions.empty()) {
    return;
  }
  for (const route& each : checked.routes()) {
    if (each.needs_key && !each.home_regions.empty() &&
        AreDisjoint(each.home_regions, entry.home_regions)) {
      found.Add(finding_kind::kContradiction, name,
                "and route " + each.name + " have no home region in common");
    }
  }
}

void CheckLimits(const caller_limits& limits, findings& found) {
  if (limits.max_body_bytes > kDefaultMaxBodyBytes) {
    found.Add(finding_kind::kContradiction, "limits",
              "allow bodies of " + std::to_string(limits.max_body_bytes) +
                  " bytes; daemons take " +
                  std::to_string(kDefaultMaxBodyBytes) +
                  " unless calls.max_body says otherwise");
  }
  if (limits.header_timeout > limits.idle_timeout) {
    found.Add(finding_kind::kContradiction, "limits",
              "header timeout of " + Milliseconds(limits.header_timeout) +
                  " is longer than the idle timeout of " +
                  Milliseconds(limits.idle_timeout));
  }
}

// Names of the fields that differ.
class field_comparison {
 public:
  template <class Value>
  field_comparison& Add(std::string name, const Value& a, const Value& b) {
    if (!(a == b)) {
      names_.push_back(std::move(name));
    }
    return *this;
  }
  std::vector<std::string> Take() { return std::move(names_); }

 private:
  std::vector<std::string> names_;
};

std::map<std::string, std::uint32_t> Weights(const route& of) {
  std::map<std::string, std::uint32_t> weights;
  for (const weighted_service& target : of.targets) {
    weights[target.service] += target.weight;
  }
  return weights;
}

std::vector<std::string> DifferentFields(const route& a, const route& b) {
  return field_comparison()
      .Add("host", a.virtual_host, b.virtual_host)
      .Add("prefix", a.prefix, b.prefix)
      .Add("services", Weights(a), Weights(b))
      .Add("idempotent", a.idempotent, b.idempotent)
      .Add("timeout", a.timeout, b.timeout)
      .Add("objective", a.objective, b.objective)
      .Add("priority", a.priority, b.priority)
      .Add("max attempts", a.max_attempts, b.max_attempts)
      .Add("home regions", a.home_regions, b.home_regions)
      .Add("needs key", a.needs_key, b.needs_key)
      .Take();
}

std::vector<std::string> DifferentFields(const service& a, const service& b) {
  return field_comparison()
      .Add("health path", a.health_path, b.health_path)
      .Add("max connections", a.max_connections, b.max_connections)
      .Add("warm-up", a.warm_up, b.warm_up)
      .Add("cold rate", a.cold_rate, b.cold_rate)
      .Take();
}

std::vector<std::string> DifferentFields(const workspace& a,
                                         const workspace& b) {
  const std::set<std::string> old_keys(a.keys.begin(), a.keys.end());
  const std::set<std::string> new_keys(b.keys.begin(), b.keys.end());
  return field_comparison()
      .Add("keys", old_keys, new_keys)
      .Add("priority", a.priority, b.priority)
      .Add("rate", a.rate, b.rate)
      .Add("burst", a.burst, b.burst)
      .Add("home regions", a.home_regions, b.home_regions)
      .Take();
}

template <class Entry>
std::map<std::string, const Entry*> ByName(const std::vector<Entry>& entries) {
  std::map<std::string, const Entry*> by_name;
  for (const Entry& entry : entries) {
    by_name[entry.name] = &entry;
  }
  return by_name;
}

template <class Entry>
void CompareEntries(const std::string& type,
                    const std::vector<Entry>& before,
                    const std::vector<Entry>& after,
                    std::vector<config_change>& changes) {
  const auto old_entries = ByName(before);
  const auto new_entries = ByName(after);
  for (const auto& [name, entry] : new_entries) {
    const auto old = old_entries.find(name);
    if (old == old_entries.end()) {
      changes.push_back(
          {.kind = change_kind::kAdded, .entry = type + " " + name});
      continue;
    }
    std::vector<std::string> fields = DifferentFields(*old->second, *entry);
    if (!fields.empty()) {
      changes.push_back({.kind = change_kind::kChanged,
                         .entry = type + " " + name,
                         .fields = std::move(fields)});
    }
  }
  for (const auto& [name, entry] : old_entries) {
    if (!new_entries.contains(name)) {
      changes.push_back(
          {.kind = change_kind::kRemoved, .entry = type + " " + name});
    }
  }
}

}  // namespace

std::vector<config_finding> CheckConfiguration(const configuration& checked) {
  findings found;
  std::set<std::string> used;
  for (const route& each : checked.routes()) {
    CheckRoute(checked, each, found);
    for (const weighted_service& target : each.targets) {
      used.insert(target.service);
    }
  }
  for (const service& each : checked.services()) {
    CheckService(each, used, found);
  }
  for (const workspace& each : checked.workspaces()) {
    CheckWorkspace(checked, each, found);
  }
  CheckLimits(checked.limits(), found);
  return found.Take();
}

std::vector<config_change> CompareConfigurations(const configuration& before,
                                                 const configuration& after) {
  std::vector<config_change> changes;
  CompareEntries("route", before.routes(), after.routes(), changes);
  CompareEntries("service", before.services(), after.services(), changes);
  CompareEntries("workspace", before.workspaces(), after.workspaces(), changes);
  const caller_limits& a = before.limits();
  const caller_limits& b = after.limits();
  std::vector<std::string> fields =
      field_comparison()
          .Add("max header bytes", a.max_header_bytes, b.max_header_bytes)
          .Add("max body bytes", a.max_body_bytes, b.max_body_bytes)
          .Add("header timeout", a.header_timeout, b.header_timeout)
          .Add("idle timeout", a.idle_timeout, b.idle_timeout)
          .Take();
  if (!fields.empty()) {
    changes.push_back({.kind = change_kind::kChanged,
                       .entry = "limits",
                       .fields = std::move(fields)});
  }
  return changes;
}

}  // namespace parsleyyard::tools
