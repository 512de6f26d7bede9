// Pages of the admin port: status, metrics, decisions and explanations.

#include "daemon/daemon_internals.h"

#include <boost/json.hpp>

#include <sstream>

namespace parsleyyard {

namespace {

namespace json = boost::json;

std::string ArgumentOf(const std::string& target, std::string_view name) {
  const std::string key = std::string(name) + "=";
  const std::size_t question = target.find('?');
  const std::size_t at = question == std::string::npos
                             ? std::string::npos
                             : target.find(key, question);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + key.size();
  return target.substr(begin, target.find('&', begin) - begin);
}

std::string ExplainRoute(const snapshot& view, const std::string& place) {
  const std::size_t slash = place.find('/');
  const route* found =
      slash == std::string::npos
          ? nullptr
          : view.config->FindRoute(place.substr(0, slash), place.substr(slash));
  const std::string version = std::to_string(view.config->version());
  if (found == nullptr) {
    return "No route of configuration " + version + " matches " + place +
           " (HOST/PATH).\n";
  }
  std::ostringstream text;
  text << "Route " << found->name << " (" << found->virtual_host
       << found->prefix << ") of configuration " << version << ", priority "
       << found->priority << ", leads to:\n";
  for (const weighted_service& part : found->targets) {
    text << "service " << part.service << ", weight " << part.weight << "\n";
    const auto instances = view.by_service.find(part.service);
    if (instances == view.by_service.end()) {
      continue;
    }
    for (const known_instance* known : instances->second) {
      const instance& each = known->registration;
      text << "  " << each.id << " on " << each.host << " in "
           << each.failure_domain << (each.draining ? ": draining" : "")
           << (view.evacuated.contains(each.failure_domain) ? ": evacuated"
                                                            : "")
           << "\n";
    }
  }
  return text.str();
}

std::string ExplainDomain(const snapshot& view, const std::string& domain) {
  const bool out = view.evacuated.contains(domain);
  return "Failure domain " + domain + " is " +
         (out ? "evacuated" : "in service") + " by revision " +
         std::to_string(view.revision) + " of the store.\n";
}

}  // namespace

std::optional<http_response> daemon_internals::OnHead(
    const http_request& head) {
  if (head.method == "GET") {
    return std::nullopt;
  }
  return http_response{.status = 405, .body = "Only GET is allowed here.\n"};
}

std::function<void()> daemon_internals::OnRequest(http_request request,
                                                  response_callback reply) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  http_response response{
      .headers = {{.name = "content-type", .value = "text/plain"}}};
  if (path == "/status") {
    response.headers = {{.name = "content-type", .value = "application/json"}};
    response.body = StatusPage();
  } else if (path == "/metrics") {
    response.body = MetricsPage();
  } else if (path == "/decisions") {
    response.body = metrics_.Decisions(ArgumentOf(request.target, "text"));
  } else if (path == "/explain") {
    response.body = ExplainPage(request.target);
  } else {
    response.status = 404;
    response.body =
        "Pages: /status, /metrics, /decisions, /explain?request=, ?route=, "
        "?domain=.\n";
  }
  reply(std::move(response));
  return nullptr;
}

std::string daemon_internals::StatusPage() {
  view_status status;
  {
    const std::lock_guard lock(control_mutex_);
    status = control_.Status();
  }
  load_report load;
  {
    const std::lock_guard lock(target_mutex_);
    load = target_.Load();
  }
  const bool serves = status.version != 0 && !draining_;
  const json::object page = {{"address", settings_.host.address},
                             {"failure_domain", settings_.host.failure_domain},
                             {"region", settings_.host.region},
                             {"incarnation", incarnation_},
                             {"draining", draining_.load()},
                             {"admits", serves},
                             {"version", status.version},
                             {"revision", status.revision},
                             {"view_age_ms", status.age.count() / 1000},
                             {"reads_store", status.reading},
                             {"instances", view_.Current()->instances.size()},
                             {"upstream",
                              {{"running", load.running},
                               {"waiting", load.waiting},
                               {"limit", load.limit},
                               {"service_ms", load.service_us / 1000},
                               {"rejected_percent", load.rejected_percent}}}};
  return json::serialize(page) + "\n";
}

std::string daemon_internals::MetricsPage() {
  view_status status;
  {
    const std::lock_guard lock(control_mutex_);
    status = control_.Status();
  }
  load_report load;
  {
    const std::lock_guard lock(target_mutex_);
    load = target_.Load();
  }
  std::ostringstream page;
  page << metrics_.Text();
  const auto add = [&](std::string_view name, std::string_view type,
                       std::string_view help, double value) {
    page << "# HELP parsleyyard_" << name << " " << help
         << "\n# TYPE parsleyyard_" << name << " " << type << "\nparsleyyard_"
         << name << " " << value << "\n";
  };
  const mesh_counters& counters = mesh_.counters();
  add("configuration_version", "gauge", "Version in force; 0 for none.",
      static_cast<double>(status.version));
  add("view_revision", "gauge", "Revision of the store that is known.",
      static_cast<double>(status.revision));
  add("view_age_seconds", "gauge", "Since the store confirmed that revision.",
      std::chrono::duration<double>(status.age).count());
  add("store_reads_total", "counter", "Calls to the store.",
      static_cast<double>(status.reads));
  add("store_failures_total", "counter", "Calls to the store that failed.",
      static_cast<double>(status.failures));
  add("control_sent_bytes_total", "counter", "View updates sent to peers.",
      static_cast<double>(counters.control_bytes_sent));
  add("control_received_bytes_total", "counter",
      "View updates received from peers.",
      static_cast<double>(counters.control_bytes_received));
  add("bad_frames_total", "counter", "Frames from peers that were refused.",
      static_cast<double>(counters.bad_frames));
  add("log_lines_dropped_total", "counter", "Log lines that were dropped.",
      static_cast<double>(log_.dropped()));
  add("calls_running", "gauge", "Calls at the instance.", load.running);
  add("calls_waiting", "gauge", "Calls that wait for the instance.",
      load.waiting);
  page << "# HELP parsleyyard_info Where this daemon stands.\n# TYPE "
          "parsleyyard_info gauge\nparsleyyard_info{address=\""
       << settings_.host.address << "\",failure_domain=\""
       << settings_.host.failure_domain << "\",region=\""
       << settings_.host.region << "\"} 1\n";
  return page.str();
}

std::string daemon_internals::ExplainPage(const std::string& target) {
  const auto view = view_.Current();
  const std::string request = ArgumentOf(target, "request");
  const std::string place = ArgumentOf(target, "route");
  const std::string domain = ArgumentOf(target, "domain");
  if (!request.empty()) {
    const std::string found = metrics_.FindRequest(request);
    return found.empty()
               ? "Nothing is remembered of request " + request +
                     ": it was answered, is older, or entered elsewhere.\n"
               : found;
  }
  if (view->config == nullptr) {
    return "No configuration is in force yet.\n";
  }
  if (!place.empty()) {
    return ExplainRoute(*view, place);
  }
  return domain.empty()
             ? metrics_.Decisions("")
             : ExplainDomain(*view, domain) + metrics_.Decisions("evacuation");
}

}  // namespace parsleyyard
