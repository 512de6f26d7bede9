// Construction of the daemon, its threads and its periodic work.

#include "daemon/daemon.h"

#include "daemon/component_options.h"
#include "daemon/daemon_internals.h"
#include "daemon/host_memory.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <thread>

namespace parsleyyard {

namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(20);
constexpr duration kLinkCheckInterval = std::chrono::milliseconds(500);
constexpr duration kLogFlushInterval = std::chrono::milliseconds(100);
constexpr duration kMemoryLogInterval = std::chrono::seconds(1);
// Percentage of the configured idle timeout after which an idle connection of a
// caller is closed. Above 100, so that a request sent within the configured
// timeout does not meet a closing connection.
constexpr int kIdleTimeoutPercent = 110;

}  // namespace

daemon_internals::daemon_internals(daemon_settings settings,
                                   const daemon_platform& platform)
    : settings_(std::move(settings)),
      incarnation_(SystemSeed() | 1),
      random_(SystemSeed()),
      context_(static_cast<int>(settings_.process.workers)),
      log_(BuildLogOptions(settings_), clock_),
      host_memory_(HostMemory(settings_.process.memory_mb)),
      memory_limits_(LimitsForHost(host_memory_)),
      memory_(std::make_shared<memory_budget>(memory_limits_)),
      mesh_(context_,
            {.address = settings_.host.address,
             .port = settings_.listen.peers,
             .incarnation = incarnation_,
             .max_queued_bytes = MaxQueuedBytes(host_memory_),
             .resolve =
                 [this](const host_address& peer) {
                   return ResolveConnectAddress(peer);
                 },
             .memory = memory_},
            *this),
      source_(platform.create_source(context_, *this)),
      upstream_(context_,
                {.address = settings_.upstream.instance.address,
                 .port = settings_.upstream.instance.port,
                 .max_receiving_bytes = MaxReceivingBytes(host_memory_)},
                platform.dialect),
      gate_(settings_,
            incarnation_,
            clock_,
            random_,
            view_,
            platform.dialect,
            metrics_,
            log_),
      quotas_({.address = settings_.host.address,
               .limits = platform.limits.quotas,
               .first_number = incarnation_},
              clock_,
              random_,
              view_,
              metrics_,
              log_),
      readiness_handler_(platform.dialect, view_),
      caller_server_(context_,
                     BuildCallerServerOptions(
                         settings_,
                         [this] { return CallerLimits(); },
                         memory_),
                     gate_),
      ready_server_(context_,
                    {.address = settings_.listen.ready.address,
                     .port = settings_.listen.ready.port,
                     .memory = memory_},
                    readiness_handler_),
      admin_server_(context_,
                    {.address = settings_.host.address,
                     .port = settings_.listen.admin,
                     .memory = memory_},
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
      memory_timer_(context_),
      drain_timer_(context_),
      grace_(platform.limits.grace) {
  gate_.SetKeyLimits(platform.limits.keys);
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
  gate_.SetQuotas(quotas_);
  quotas_.SetCallbacks(
      [this](const host_address& owner, const quota_request& message) {
        mesh_.Send(owner, message, send_mode::kUrgent);
      },
      [this](const quota_decision& decision) {
        gate_.OnQuotaDecision(decision);
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
  RunPeriodically(memory_timer_, kMemoryLogInterval,
                  &daemon_internals::LogMemoryRefusals);
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
  quotas_.Tick();
  {
    const std::lock_guard lock(sender_mutex_);
    sender_.Tick();
  }
  const std::lock_guard lock(target_mutex_);
  target_.Tick();
  PushLoad();
}

void daemon_internals::FlushLog() {
  log_.Flush();
}

// Writes at most one line in each interval.
void daemon_internals::LogMemoryRefusals() {
  const std::uint64_t refusals = memory_->Refusals();
  if (refusals == logged_refusals_) {
    return;
  }
  log_.Write(log_kind::kProcess, log_level::kWarning, "daemon",
             "memory budget used up",
             {{"refusals", refusals - logged_refusals_},
              {"held_bytes", memory_->HeldBytes()},
              {"limit_bytes", memory_limits_.total}});
  logged_refusals_ = refusals;
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
