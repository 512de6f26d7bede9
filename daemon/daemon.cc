#include "daemon/daemon.h"

#include "daemon/daemon_internals.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <thread>

namespace parsleyyard {

namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(20);
constexpr duration kLinkCheckInterval = std::chrono::milliseconds(500);
constexpr duration kLogFlushInterval = std::chrono::milliseconds(100);
constexpr duration kDrainCheckInterval = std::chrono::milliseconds(20);
// Limit on the streams to peers that are opened before a call needs them.
constexpr std::size_t kMaxPreopenedLinks = 256;
// Percentage of the configured idle timeout after which an idle connection of a
// caller is closed. Above 100, so that a request sent within the configured
// timeout does not meet a closing connection.
constexpr int kIdleTimeoutPercent = 110;
// Settings that Reload() applies. All others need a restart.
constexpr std::array<std::string_view, 3> kReloadableSettings = {
    "platform.bounds", "process.log_level", "process.log_good_calls"};

region_map ParseRegions(const daemon_settings& settings) {
  region_map regions;
  for (const std::string& pair : settings.host.domains) {
    const std::size_t colon = pair.find(':');
    regions[pair.substr(0, colon)] = pair.substr(colon + 1);
  }
  return regions;
}

view_options BuildViewOptions(const daemon_settings& s,
                              std::uint64_t incarnation) {
  return {.address = s.host.address,
          .incarnation = incarnation,
          .region = s.host.region,
          .regions = ParseRegions(s),
          .watch = s.view.watch,
          .pause = s.view.pause,
          .stale_after = s.view.stale_after,
          .fan_out = s.view.fan_out};
}

sender_options BuildSenderOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .region = s.host.region,
          .regions = ParseRegions(s),
          .incarnation = incarnation,
          .retries = platform.limits.retries};
}

target_options BuildTargetOptions(const daemon_settings& s,
                                  const daemon_platform& platform,
                                  std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .service = s.upstream.service,
          .instance_port = s.upstream.instance.port,
          .incarnation = incarnation,
          .cold = platform.limits.cold,
          .max_waiting_calls = s.calls.queue};
}

log_level ParseLogLevel(const daemon_settings& s) {
  const auto found = std::find(kLogLevelNames.begin(), kLogLevelNames.end(),
                               s.process.log_level);
  return static_cast<log_level>(found - kLogLevelNames.begin());
}

event_log_options BuildLogOptions(const daemon_settings& s) {
  return {.host = s.host.name.empty() ? s.host.address : s.host.name,
          .min_level = ParseLogLevel(s),
          .good_calls_per_second = s.process.log_good_calls};
}

}  // namespace

std::optional<http_response> readiness_handler::OnHead(
    const http_request& /*head*/) {
  return std::nullopt;
}

std::function<void()> readiness_handler::OnRequest(http_request request,
                                                   response_callback reply) {
  const bool ready = view_.Current()->config != nullptr && !draining_;
  if (!dialect_.IsReadinessCheck(request)) {
    reply({.status = 404});
  } else {
    reply({.status = static_cast<std::uint16_t>(ready ? 200 : 503)});
  }
  return nullptr;
}

daemon_internals::daemon_internals(daemon_settings settings,
                                   const daemon_platform& platform)
    : settings_(std::move(settings)),
      incarnation_(SystemSeed() | 1),
      random_(SystemSeed()),
      context_(static_cast<int>(settings_.process.workers)),
      log_(BuildLogOptions(settings_), clock_),
      mesh_(context_,
            {.address = settings_.host.address,
             .port = settings_.listen.peers,
             .incarnation = incarnation_,
             .resolve =
                 [this](const host_address& peer) {
                   return ResolveConnectAddress(peer);
                 }},
            *this),
      source_(platform.create_source(context_, *this)),
      upstream_(context_,
                {.address = settings_.upstream.instance.address,
                 .port = settings_.upstream.instance.port},
                platform.dialect),
      gate_(settings_,
            incarnation_,
            clock_,
            random_,
            view_,
            platform.dialect,
            metrics_,
            log_),
      readiness_handler_(platform.dialect, view_),
      caller_server_(context_,
                     {.address = settings_.listen.callers.address,
                      .port = settings_.listen.callers.port,
                      .max_connections = settings_.calls.max_connections,
                      .limits = [this] { return CallerLimits(); }},
                     gate_),
      ready_server_(context_,
                    {.address = settings_.listen.ready.address,
                     .port = settings_.listen.ready.port},
                    readiness_handler_),
      admin_server_(
          context_,
          {.address = settings_.host.address, .port = settings_.listen.admin},
          *this),
      control_(BuildViewOptions(settings_, incarnation_),
               clock_,
               platform.decoder,
               *source_,
               *this,
               *this),
      sender_(BuildSenderOptions(settings_, platform, incarnation_),
              clock_,
              random_,
              view_,
              *this,
              gate_,
              gate_),
      target_(BuildTargetOptions(settings_, platform, incarnation_),
              clock_,
              view_,
              upstream_,
              *this,
              *this),
      tick_timer_(context_),
      link_timer_(context_),
      log_timer_(context_),
      drain_timer_(context_) {
  InstallCallbacks();
}

void daemon_internals::InstallCallbacks() {
  gate_.SetCallbacks(
      [this](std::uint64_t call, const call_plan& plan, call_request message) {
        const std::lock_guard lock(sender_mutex_);
        sender_.Begin(call, plan, std::move(message));
      },
      [this](std::uint64_t call) {
        const std::lock_guard lock(sender_mutex_);
        sender_.Cancel(call);
      });
  upstream_.SetCallbacks(
      [this](const call_id& id) {
        const std::lock_guard lock(target_mutex_);
        return target_.OnUpstreamWrite(id);
      },
      [this](const call_id& id, upstream_result result) {
        const std::lock_guard lock(target_mutex_);
        target_.OnUpstreamDone(id, std::move(result));
      },
      [this](const upstream_report& report) {
        const std::lock_guard lock(target_mutex_);
        target_.OnUpstreamReport(report);
      },
      [this] { return HealthPath(); });
}

http_limits daemon_internals::CallerLimits() const {
  const auto view = view_.Current();
  const caller_limits configured =
      view->config ? view->config->limits() : caller_limits();
  return {.max_header_bytes = configured.max_header_bytes,
          .max_body_bytes = std::min<std::size_t>(configured.max_body_bytes,
                                                  settings_.calls.max_body),
          .header_timeout = configured.header_timeout,
          .idle_timeout = configured.idle_timeout * kIdleTimeoutPercent / 100};
}

// Returns the address to connect to for a peer. It differs from the peer's own
// address if the peer is in another region and other_region_prefix is set.
host_address daemon_internals::ResolveConnectAddress(
    const host_address& peer) const {
  const std::string& prefix = settings_.listen.other_region_prefix;
  if (prefix.empty()) {
    return peer;
  }
  const region_map regions = ParseRegions(settings_);
  for (const auto& [id, known] : view_.Current()->instances) {
    const bool in_other_region =
        RegionOf(regions, known.registration.failure_domain) !=
        settings_.host.region;
    if (known.registration.host == peer && in_other_region) {
      const std::size_t second_dot = peer.find('.', peer.find('.') + 1);
      return prefix + peer.substr(second_dot);
    }
  }
  return peer;
}

std::string daemon_internals::HealthPath() const {
  const auto view = view_.Current();
  const service* own =
      view->config ? view->config->FindService(settings_.upstream.service)
                   : nullptr;
  return own ? own->health_path : service().health_path;
}

leaf::result<void> daemon_internals::Listen() {
  BOOST_LEAF_CHECK(mesh_.Listen());
  BOOST_LEAF_CHECK(caller_server_.Listen());
  BOOST_LEAF_CHECK(ready_server_.Listen());
  BOOST_LEAF_CHECK(admin_server_.Listen());
  return {};
}

void daemon_internals::Run() {
  log_.Write(log_kind::kProcess, log_level::kInfo, "daemon", "started",
             {{"address", settings_.host.address},
              {"failure_domain", settings_.host.failure_domain},
              {"service", settings_.upstream.service},
              {"incarnation", incarnation_}});
  asio::post(context_, [this] { Tick(); });
  RunPeriodically(tick_timer_, kTickInterval, &daemon_internals::Tick);
  RunPeriodically(link_timer_, kLinkCheckInterval,
                  &daemon_internals::OpenMissingLinks);
  RunPeriodically(log_timer_, kLogFlushInterval, &daemon_internals::FlushLog);
  std::vector<std::thread> workers;
  for (std::uint32_t i = 1; i < settings_.process.workers; ++i) {
    workers.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& worker : workers) {
    worker.join();
  }
  log_.Write(log_kind::kProcess, log_level::kInfo, "daemon", "stopped");
  log_.Flush();
}

void daemon_internals::RunPeriodically(asio::steady_timer& timer,
                                       duration interval,
                                       periodic_function action) {
  timer.expires_after(interval);
  timer.async_wait(
      [this, &timer, interval, action](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        (this->*action)();
        RunPeriodically(timer, interval, action);
      });
}

void daemon_internals::Tick() {
  {
    const std::lock_guard lock(control_mutex_);
    control_.Tick();
  }
  {
    const std::lock_guard lock(sender_mutex_);
    sender_.Tick();
  }
  const std::lock_guard lock(target_mutex_);
  target_.Tick();
}

void daemon_internals::FlushLog() {
  log_.Flush();
}

// Opens streams to peers before a call needs them, so that no call waits for a
// connection. The hello of each new stream also reveals whether the peer has
// restarted.
void daemon_internals::OpenMissingLinks() {
  std::set<host_address> hosts;
  for (const auto& [id, known] : view_.Current()->instances) {
    if (hosts.size() < kMaxPreopenedLinks && !IsSelf(known.registration.host)) {
      hosts.insert(known.registration.host);
    }
  }
  for (const host_address& host : hosts) {
    if (!mesh_.PeerIncarnation(host)) {
      mesh_.Open(host);
    }
  }
}

void daemon_internals::Reload(const daemon_settings& settings,
                              const platform_limits& limits) {
  asio::post(context_, [this, settings, limits] {
    boost::json::array applied;
    boost::json::array needs_restart;
    for (const std::string& name : ChangedSettings(settings_, settings)) {
      const bool reloadable =
          std::find(kReloadableSettings.begin(), kReloadableSettings.end(),
                    name) != kReloadableSettings.end();
      (reloadable ? applied : needs_restart).emplace_back(name);
    }
    {
      const std::lock_guard lock(sender_mutex_);
      sender_.SetRetryLimits(limits.retries);
    }
    {
      const std::lock_guard lock(target_mutex_);
      target_.SetColdLimits(limits.cold);
    }
    log_.SetLimits(ParseLogLevel(settings), settings.process.log_good_calls);
    settings_.process.log_level = settings.process.log_level;
    settings_.process.log_good_calls = settings.process.log_good_calls;
    settings_.platform.bounds = settings.platform.bounds;
    log_.Write(log_kind::kProcess, log_level::kInfo, "daemon",
               "settings reloaded",
               {{"applied", std::move(applied)},
                {"in_force_after_a_restart", std::move(needs_restart)}});
  });
}

void daemon_internals::LogRejectedReload(const std::string& reason) {
  log_.Write(log_kind::kProcess, log_level::kError, "daemon",
             "settings rejected", {{"because", reason}});
}

// For drain_notice after the drain begins, the stop is announced while new
// requests are still accepted, so that callers and peers stop sending here.
// Then the listener closes, and the calls in flight finish. The daemon stops
// once they have, at the latest drain_timeout after the drain began.
void daemon_internals::BeginDrain() {
  asio::post(context_, [this] {
    if (draining_.exchange(true)) {
      return;
    }
    log_.Write(log_kind::kProcess, log_level::kInfo, "daemon", "stopping");
    drain_started_at_ = clock_.Now();
    readiness_handler_.BeginDrain();
    gate_.BeginDrain();
    {
      const std::lock_guard lock(target_mutex_);
      target_.BeginDrain();
    }
    RunPeriodically(drain_timer_, kDrainCheckInterval,
                    &daemon_internals::ContinueDrain);
  });
}

void daemon_internals::ContinueDrain() {
  const duration elapsed = clock_.Now() - drain_started_at_;
  const duration notice = settings_.calls.drain_notice;
  if (elapsed < notice) {
    return;
  }
  caller_server_.StopAccepting();
  bool target_idle = false;
  {
    const std::lock_guard lock(target_mutex_);
    target_.RefuseNewCalls();
    target_idle = target_.idle();
  }
  const bool idle = target_idle && gate_.in_flight() == 0;
  if (idle) {
    caller_server_.CloseIdle();
  }
  if ((idle && caller_server_.IsClosed()) ||
      elapsed >= settings_.calls.drain_timeout) {
    Stop();
  }
}

void daemon_internals::Stop() {
  mesh_.Close();
  drain_timer_.expires_after(2 * kDrainCheckInterval);
  drain_timer_.async_wait(
      [this](const boost::system::error_code&) { context_.stop(); });
}

// ---------------------------------------------------------------------------
// The view
// ---------------------------------------------------------------------------

void daemon_internals::SendUpdate(const host_address& to,
                                  const view_update& message) {
  mesh_.Send(to, message, send_mode::kUrgent);
}

bool daemon_internals::IsReachable(const host_address& peer) const {
  return mesh_.IsReachable(peer);
}

void daemon_internals::OnSnapshot(std::shared_ptr<const snapshot> view) {
  view_.SetSnapshot(std::move(view));
}

void daemon_internals::OnEvent(const view_event& event) {
  metrics_.OnDecision(std::string(event.name) + ": " + event.subject);
  log_.Write(log_kind::kView, log_level::kInfo, "view", event.name,
             {{"subject", event.subject},
              {"revision", event.revision},
              {"age_ms", event.age.count() / 1000},
              {"because", event.because}});
}

void daemon_internals::OnFullRead(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnFullRead(std::move(update));
  view_.SetConfirmedAt(control_.Status().confirmed_at);
}

void daemon_internals::OnStateRead(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnStateRead(std::move(update));
}

void daemon_internals::OnWatchResult(source_update update) {
  const std::lock_guard lock(control_mutex_);
  control_.OnWatchResult(std::move(update));
  view_.SetConfirmedAt(control_.Status().confirmed_at);
}

void daemon_internals::OnSourceFailure(source_failure reason,
                                       std::string detail) {
  log_.Write(log_kind::kView, log_level::kWarning, "store", "read failed",
             {{"because", std::move(detail)}});
  const std::lock_guard lock(control_mutex_);
  control_.OnSourceFailure(reason);
}

// ---------------------------------------------------------------------------
// Calls
// ---------------------------------------------------------------------------

std::optional<std::uint64_t> daemon_internals::PeerIncarnation(
    const host_address& to) {
  return IsSelf(to) ? std::optional(incarnation_) : mesh_.PeerIncarnation(to);
}

void daemon_internals::Open(const host_address& to) {
  mesh_.Open(to);
}

void daemon_internals::SendCall(const host_address& to,
                                std::shared_ptr<const call_request> message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, *message, send_mode::kIfConnected);
    return;
  }
  asio::post(context_, [this, to, message = std::move(message)]() mutable {
    const std::lock_guard lock(target_mutex_);
    target_.OnCall(to, std::move(message));
  });
}

void daemon_internals::SendAttach(const host_address& to,
                                  const call_attach& message) {
  mesh_.Send(to, message, send_mode::kIfConnected);
}

void daemon_internals::SendCancel(const host_address& to,
                                  const call_cancel& message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, message, send_mode::kIfConnected);
    return;
  }
  asio::post(context_, [this, message] {
    const std::lock_guard lock(target_mutex_);
    target_.OnCancel(message);
  });
}

void daemon_internals::OnCallEvent(const call_event_line& line) {
  log_.Write(log_kind::kFailedCall, log_level::kInfo, "target", line.event,
             LogFieldsFor(line));
}

void daemon_internals::OnColdLimit(const cold_limit_line& line) {
  boost::json::object fields{
      {"source", line.source}, {"max_per_s", nullptr}, {"left_ms", nullptr}};
  if (line.max_rate) {
    fields["max_per_s"] = *line.max_rate;
  }
  if (line.left) {
    fields["left_ms"] = line.left->count() / 1000;
  }
  log_.Write(log_kind::kColdInstance, log_level::kInfo, "target",
             line.cold ? "instance cold" : "instance warm", std::move(fields));
}

void daemon_internals::OnColdRequest(const cold_request_line& line) {
  log_.Write(log_kind::kColdInstance, log_level::kInfo, "target",
             "sent to cold instance",
             {{"request", line.request},
              {"instance", line.instance},
              {"after_start_ms", line.since_start.count() / 1000}});
}

void daemon_internals::SendAnswer(const host_address& to,
                                  std::shared_ptr<const call_answer> message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, *message, send_mode::kReply);
    return;
  }
  asio::post(context_, [this, to, message = std::move(message)] {
    const std::lock_guard lock(sender_mutex_);
    sender_.OnAnswer(to, *message);
  });
}

void daemon_internals::OnMessage(const host_address& from,
                                 any_message message) {
  if (auto* call = std::get_if<call_request>(&message)) {
    auto shared = std::make_shared<const call_request>(std::move(*call));
    const std::lock_guard lock(target_mutex_);
    target_.OnCall(from, std::move(shared));
  } else if (auto* answer = std::get_if<call_answer>(&message)) {
    const std::lock_guard lock(sender_mutex_);
    sender_.OnAnswer(from, std::move(*answer));
  } else if (const auto* attach = std::get_if<call_attach>(&message)) {
    const std::lock_guard lock(target_mutex_);
    target_.OnAttach(from, *attach);
  } else if (const auto* cancel = std::get_if<call_cancel>(&message)) {
    const std::lock_guard lock(target_mutex_);
    target_.OnCancel(*cancel);
  } else if (auto* update = std::get_if<view_update>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnUpdate(std::move(*update));
    view_.SetConfirmedAt(control_.Status().confirmed_at);
  }
}

void daemon_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  {
    const std::lock_guard lock(control_mutex_);
    std::uint64_t& last = peer_incarnations_[peer];
    if (last != incarnation) {
      last = incarnation;
      control_.OnPeerStarted(peer);
    }
  }
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkUp(peer, incarnation);
}

void daemon_internals::OnLinkDown(const host_address& peer) {
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkDown(peer);
}

void daemon_internals::OnUndelivered(const host_address& to,
                                     const any_message& message) {
  if (std::holds_alternative<view_update>(message)) {
    log_.Write(log_kind::kView, log_level::kInfo, "view",
               "update not delivered", {{"peer", to}});
  }
}

proxy_daemon::proxy_daemon(daemon_settings settings,
                           const daemon_platform& platform)
    : internals_(
          std::make_unique<daemon_internals>(std::move(settings), platform)) {}
proxy_daemon::~proxy_daemon() = default;
leaf::result<void> proxy_daemon::Listen() {
  return internals_->Listen();
}
void proxy_daemon::Run() {
  internals_->Run();
}
void proxy_daemon::Reload(const daemon_settings& settings,
                          const platform_limits& limits) {
  internals_->Reload(settings, limits);
}
void proxy_daemon::LogRejectedReload(const std::string& reason) {
  internals_->LogRejectedReload(reason);
}
void proxy_daemon::BeginDrain() {
  internals_->BeginDrain();
}

}  // namespace parsleyyard
