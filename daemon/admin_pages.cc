// Pages of the admin port: /status, /metrics, /decisions and /explain.

#include "daemon/daemon_internals.h"

#include <boost/json.hpp>

#include <sstream>

namespace parsleyyard {

namespace {

namespace json = boost::json;

std::string QueryParameter(const std::string& target, std::string_view name) {
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

std::string ExplainRoute(const snapshot& view,
                         const std::string& host_and_path) {
  const std::size_t slash = host_and_path.find('/');
  const route* found =
      slash == std::string::npos
          ? nullptr
          : view.config->FindRoute(host_and_path.substr(0, slash),
                                   host_and_path.substr(slash));
  const std::string version = std::to_string(view.config->version());
  if (found == nullptr) {
    return "No route of configuration " + version + " matches " +
           host_and_path + " (HOST/PATH).\n";
  }
  std::ostringstream text;
  text << "Route " << found->name << " (" << found->virtual_host
       << found->prefix << ") of configuration " << version << ", priority "
       << found->priority << ", leads to:\n";
  for (const weighted_service& target : found->targets) {
    text << "service " << target.service << ", weight " << target.weight
         << "\n";
    const auto instances = view.by_service.find(target.service);
    if (instances == view.by_service.end()) {
      continue;
    }
    for (const known_instance* known : instances->second) {
      const instance& registered = known->registration;
      text << "  " << registered.id << " on " << registered.host << " in "
           << registered.failure_domain
           << (registered.draining ? ": draining" : "")
           << (view.evacuated.contains(registered.failure_domain)
                   ? ": evacuated"
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
         std::to_string(view.position.revision) + " of the store.\n";
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
    response.body = RenderStatusPage();
  } else if (path == "/metrics") {
    response.body = RenderMetricsPage();
  } else if (path == "/decisions") {
    response.body =
        metrics_.FindDecisions(QueryParameter(request.target, "text"));
  } else if (path == "/explain") {
    response.body = RenderExplainPage(request.target);
  } else {
    response.status = 404;
    response.body =
        "Pages: /status, /metrics, /decisions, /explain?request=, ?route=, "
        "?domain=.\n";
  }
  reply(std::move(response));
  return nullptr;
}

std::string daemon_internals::RenderStatusPage() {
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
  const bool admits = status.version != 0 && !draining_;
  const json::object page = {{"address", settings_.host.address},
                             {"failure_domain", settings_.host.failure_domain},
                             {"region", settings_.host.region},
                             {"incarnation", incarnation_},
                             {"draining", draining_.load()},
                             {"admits", admits},
                             {"version", status.version},
                             {"revision", status.position.revision},
                             {"store_era", status.position.era},
                             {"view_age_ms", status.age.count() / 1000},
                             {"reads_store", status.active_reader},
                             {"instances", view_.Current()->instances.size()},
                             {"upstream",
                              {{"running", load.running},
                               {"waiting", load.waiting},
                               {"limit", load.limit},
                               {"service_ms", load.service_us / 1000},
                               {"rejected_percent", load.rejected_percent}}}};
  return json::serialize(page) + "\n";
}

std::string daemon_internals::RenderMetricsPage() {
  view_status status;
  {
    const std::lock_guard lock(control_mutex_);
    status = control_.Status();
  }
  load_report load;
  instance_pace pace;
  std::uint64_t load_updates_sent = 0;
  {
    const std::lock_guard lock(target_mutex_);
    load = target_.Load();
    pace = target_.Pace();
    load_updates_sent = load_push_.CountPushes();
  }
  std::ostringstream page;
  page << metrics_.RenderPrometheusText();
  const auto add_metric = [&](std::string_view name, std::string_view type,
                              std::string_view help, double value) {
    page << "# HELP parsleyyard_" << name << " " << help
         << "\n# TYPE parsleyyard_" << name << " " << type << "\nparsleyyard_"
         << name << " " << value << "\n";
  };
  const mesh_counters& counters = mesh_.counters();
  add_metric("configuration_version", "gauge",
             "Configuration version in force; 0 for none.",
             static_cast<double>(status.version));
  add_metric("view_revision", "gauge", "Store revision that the view reflects.",
             static_cast<double>(status.position.revision));
  add_metric("store_era", "gauge",
             "Era of the store that the view reflects; 0 if it states none.",
             static_cast<double>(status.position.era));
  add_metric("view_age_seconds", "gauge",
             "Time since the store confirmed the view.",
             std::chrono::duration<double>(status.age).count());
  add_metric("store_reads_total", "counter", "Reads of the store.",
             static_cast<double>(status.reads));
  add_metric("store_failures_total", "counter",
             "Reads of the store that failed.",
             static_cast<double>(status.failures));
  add_metric("control_sent_bytes_total", "counter",
             "Bytes of view updates sent to peers.",
             static_cast<double>(counters.control_bytes_sent));
  add_metric("control_received_bytes_total", "counter",
             "Bytes of packed items in view updates received from peers.",
             static_cast<double>(counters.control_bytes_received));
  add_metric("bad_frames_total", "counter",
             "Frames from peers that were rejected.",
             static_cast<double>(counters.bad_frames));
  add_metric("load_updates_sent_total", "counter",
             "Load reports pushed to daemons that called lately.",
             static_cast<double>(load_updates_sent));
  add_metric("load_updates_received_total", "counter",
             "Load reports that targets pushed to this daemon.",
             static_cast<double>(load_updates_received_));
  add_metric("log_lines_dropped_total", "counter",
             "Log lines dropped, apart from good calls over their log rate.",
             static_cast<double>(log_.dropped()));
  const quota_service::counts quotas = quotas_.Counts();
  add_metric("quotas_owned", "gauge",
             "Workspaces whose quota this daemon grants.",
             static_cast<double>(quotas.owned));
  add_metric("quota_calls_waiting", "gauge",
             "Calls that wait for the owner of their quota.",
             static_cast<double>(quotas.waiting));
  add_metric("quota_messages_sent_total", "counter",
             "Requests for tokens, and answers to those of peers.",
             static_cast<double>(quotas.messages_sent));
  add_metric("memory_limit_bytes", "gauge",
             "Limit on the bytes of requests and responses.",
             static_cast<double>(memory_limits_.total));
  add_metric("memory_held_bytes", "gauge",
             "Bytes of requests and responses that are held.",
             static_cast<double>(memory_->HeldBytes()));
  add_metric("memory_refusals_total", "counter",
             "Requests and responses that gave way for lack of memory.",
             static_cast<double>(memory_->Refusals()));
  add_metric("calls_running", "gauge", "Calls in flight at the instance.",
             load.running);
  add_metric("calls_waiting", "gauge", "Calls queued for the instance.",
             load.waiting);
  add_metric(
      "instance_work_time", "gauge",
      "Time that work takes at the instance, relative to the usual; 1 if "
      "it is not stated or not trusted.",
      pace.work_time);
  add_metric("instance_speed_trusted", "gauge",
             "1 if the instance states its speed and service times confirm it.",
             pace.speed_stated && pace.speed_trusted ? 1 : 0);
  add_metric("instance_limit", "gauge",
             "Limit of concurrent calls at the instance.", pace.limit);
  add_metric("ramping_up", "gauge", "1 while the instance is ramping up.",
             pace.ramping_up ? 1 : 0);
  add_metric("ramp_ups_total", "counter", "Ramp-ups that began.",
             static_cast<double>(pace.ramp_ups));
  add_metric("ramp_up_raises_total", "counter",
             "Raises of the limit during ramp-ups.",
             static_cast<double>(pace.raises));
  add_metric("ramp_up_cuts_total", "counter",
             "Cuts of the limit during ramp-ups.",
             static_cast<double>(pace.cuts));
  page << "# HELP parsleyyard_info Address, failure domain and region of this "
          "daemon.\n# TYPE "
          "parsleyyard_info gauge\nparsleyyard_info{address=\""
       << settings_.host.address << "\",failure_domain=\""
       << settings_.host.failure_domain << "\",region=\""
       << settings_.host.region << "\"} 1\n";
  return page.str();
}

std::string daemon_internals::RenderExplainPage(const std::string& target) {
  const auto view = view_.Current();
  const std::string request = QueryParameter(target, "request");
  const std::string host_and_path = QueryParameter(target, "route");
  const std::string domain = QueryParameter(target, "domain");
  if (!request.empty()) {
    const std::string found = metrics_.DescribeFailedCall(request);
    return found.empty() ? "No failed call is recorded for request " + request +
                               ": it was answered, is too old, or entered "
                               "through another daemon.\n"
                         : found;
  }
  if (view->config == nullptr) {
    return "No configuration is in force yet.\n";
  }
  if (!host_and_path.empty()) {
    return ExplainRoute(*view, host_and_path);
  }
  return domain.empty() ? metrics_.FindDecisions("")
                        : ExplainDomain(*view, domain) +
                              metrics_.FindDecisions("evacuation");
}

}  // namespace parsleyyard
