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

std::int64_t Milliseconds(duration value) {
  return value == duration::max() ? -1 : value.count() / 1000;
}

std::string ExplainRoute(const snapshot& view,
                         const std::string& name_or_path) {
  const route* found = view.manifest_in_force->FindRoute(name_or_path);
  if (found == nullptr) {
    return "No route of manifest " +
           std::to_string(view.manifest_in_force->version()) + " matches " +
           name_or_path + ".\n";
  }
  std::ostringstream text;
  text << "Route " << found->name << " (" << found->prefix
       << ") leads to service " << found->service << ", class "
       << NameOf(found->priority) << ".\n";
  const service* wanted = view.manifest_in_force->FindService(found->service);
  for (const instance& each : wanted->instances) {
    text << "  " << each.id << " on " << each.host << " in "
         << each.failure_domain;
    text << (view.out->IsOut(each.host, each.failure_domain) ? ": declared out"
                                                             : "");
    text << (view.IsLeaving(each.host) ? ": leaving" : "") << "\n";
  }
  return text.str();
}

std::string ExplainDomain(const snapshot& view, const std::string& domain) {
  const bool out = view.out->failure_domains.contains(domain);
  std::ostringstream text;
  text << "Failure domain " << domain << " is "
       << (out ? "declared out" : "in service") << " by revision "
       << view.out->revision << " of the declarations.\n";
  for (const host_address& host : view.out->hosts) {
    text << "  host " << host << " is declared out\n";
  }
  return text.str();
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
                                                  http_reply reply) {
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
  control_status status;
  {
    const std::lock_guard lock(control_mutex_);
    status = control_.Status();
  }
  load_report load;
  std::string upstream;
  {
    const std::lock_guard lock(target_mutex_);
    load = target_.Load();
    upstream = target_.UpstreamState();
  }
  json::object documents;
  for (std::size_t i = 0; i < kDocumentKindNames.size(); ++i) {
    const document_status& document = status.documents[i];
    documents[kDocumentKindNames[i]] = {
        {"revision", document.revision},
        {"rejected", document.rejected},
        {"rejected_because", document.rejected_because}};
  }
  const refusal_reason admits = view_.MayAdmit(clock_.Now());
  const json::object page = {
      {"address", settings_.host.address},
      {"failure_domain", settings_.host.failure_domain},
      {"region", settings_.host.region},
      {"incarnation", incarnation_},
      {"ready", status.ready},
      {"draining", draining_.load()},
      {"admits", admits == refusal_reason::kNone},
      {"why_not", NameOf(admits)},
      {"reads_platform", status.reading},
      {"source_age_ms", Milliseconds(status.source_age)},
      {"outside_age_ms", Milliseconds(status.outside_age)},
      {"required_manifest", status.required_manifest},
      {"documents", documents},
      {"upstream",
       {{"state", upstream},
        {"in_flight", load.in_flight},
        {"queued", load.queued},
        {"limit", load.limit}}}};
  return json::serialize(page) + "\n";
}

std::string daemon_internals::MetricsPage() {
  control_status status;
  {
    const std::lock_guard lock(control_mutex_);
    status = control_.Status();
  }
  std::ostringstream page;
  page << metrics_.Text();
  page << "# HELP parsleyyard_revision Revision of each document in force.\n# "
          "TYPE parsleyyard_revision gauge\n";
  for (std::size_t i = 0; i < kDocumentKindNames.size(); ++i) {
    page << "parsleyyard_revision{document=\"" << kDocumentKindNames[i]
         << "\"} " << status.documents[i].revision << "\n";
  }
  const mesh_counters& counters = mesh_.counters();
  page << "# HELP parsleyyard_control_bytes_total Bytes of digests, updates "
          "and requests between daemons.\n"
       << "# TYPE parsleyyard_control_bytes_total counter\n"
       << "parsleyyard_control_bytes_total{direction=\"sent\"} "
       << counters.control_bytes_sent << "\n"
       << "parsleyyard_control_bytes_total{direction=\"received\"} "
       << counters.control_bytes_received << "\n"
       << "# HELP parsleyyard_bad_frames_total Frames from peers that were "
          "refused.\n"
       << "# TYPE parsleyyard_bad_frames_total "
          "counter\nparsleyyard_bad_frames_total "
       << counters.bad_frames << "\n"
       << "# HELP parsleyyard_source_reads_total Calls on the platform's "
          "service.\n"
       << "# TYPE parsleyyard_source_reads_total "
          "counter\nparsleyyard_source_reads_total "
       << source_reads_ << "\n"
       << "# HELP parsleyyard_info Where this daemon stands.\n# TYPE "
          "parsleyyard_info gauge\n"
       << "parsleyyard_info{address=\"" << settings_.host.address
       << "\",failure_domain=\"" << settings_.host.failure_domain
       << "\",region=\"" << settings_.host.region << "\"} 1\n";
  return page.str();
}

std::string daemon_internals::ExplainPage(const std::string& target) {
  const auto view = view_.Current();
  const std::string request = ArgumentOf(target, "request");
  const std::string route_path = ArgumentOf(target, "route");
  const std::string domain = ArgumentOf(target, "domain");
  if (!request.empty()) {
    const std::string found = metrics_.FindRequest(request);
    return found.empty()
               ? "Nothing is remembered of request " + request +
                     ": it was answered, is older, or entered elsewhere.\n"
               : found;
  }
  if (view->manifest_in_force == nullptr || view->out == nullptr) {
    return "No configuration is in force yet.\n";
  }
  if (!route_path.empty()) {
    return ExplainRoute(*view, route_path);
  }
  return domain.empty() ? metrics_.Decisions("")
                        : ExplainDomain(*view, domain) +
                              metrics_.Decisions("declared_out");
}

}  // namespace parsleyyard
