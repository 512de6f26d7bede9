#include "daemon/daemon.h"

#include "daemon/daemon_internals.h"
#include "daemon/headers.h"

#include <glog/logging.h>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <thread>

namespace parsleyyard {

namespace {

constexpr duration kControlTick = std::chrono::milliseconds(50);
constexpr duration kCallTick = std::chrono::milliseconds(10);
constexpr duration kProbeInterval = std::chrono::milliseconds(200);
constexpr duration kDrainTick = std::chrono::milliseconds(20);
constexpr duration kSourceMargin =
    std::chrono::seconds(2);  // beyond the wait of a watch
constexpr duration kPartTimeout = std::chrono::seconds(5);

locality_mode ParseLocality(const std::string& text) {
  if (text == "hard") {
    return locality_mode::kHard;
  }
  return text == "none" ? locality_mode::kNone : locality_mode::kSoft;
}

control_options MakeControlOptions(const daemon_settings& s,
                                   std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .region = s.host.region,
          .source_region = s.platform.region,
          .incarnation = incarnation,
          .seeds = s.fleet.seeds,
          .readers = s.platform.readers,
          .fan_out = s.fleet.fan_out,
          .startup_peers = s.fleet.startup_peers,
          .expected_hosts = s.fleet.expected_hosts,
          .read_rate = s.platform.read_rate,
          .watch = s.platform.watch,
          .digest_interval = s.fleet.digest_interval,
          .startup_timeout = s.fleet.startup_timeout,
          .pause_threshold = s.fleet.pause_threshold,
          .isolation_lease = s.fleet.isolation_lease};
}

sender_options MakeSenderOptions(const daemon_settings& s,
                                 std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .region = s.host.region,
          .incarnation = incarnation,
          .locality = ParseLocality(s.calls.locality),
          .subset = s.calls.subset,
          .retry_percent = s.calls.retry_percent};
}

target_options MakeTargetOptions(const daemon_settings& s,
                                 std::uint64_t incarnation) {
  return {.address = s.host.address,
          .failure_domain = s.host.failure_domain,
          .region = s.host.region,
          .incarnation = incarnation,
          .queue = s.calls.queue,
          .queue_wait = s.calls.queue_wait};
}

http_server_options MakeCallerOptions(const daemon_settings& s) {
  return {.address = s.host.address,
          .port = s.ports.callers,
          .max_head = s.calls.max_head,
          .max_body = s.calls.max_body,
          .max_connections = s.calls.max_connections,
          .idle_timeout = s.calls.idle_timeout};
}

}  // namespace

daemon_internals::daemon_internals(daemon_settings settings)
    : settings_(std::move(settings)),
      incarnation_(SystemSeed() | 1),
      random_(SystemSeed()),
      context_(static_cast<int>(settings_.process.workers)),
      mesh_(context_,
            {.address = settings_.host.address,
             .port = settings_.ports.peers,
             .incarnation = incarnation_,
             .resolve =
                 [this](const host_address& peer) { return Resolve(peer); }},
            *this),
      platform_heads_(context_,
                      {.address = settings_.platform.address,
                       .port = settings_.platform.port}),
      platform_parts_(context_,
                      {.address = settings_.platform.address,
                       .port = settings_.platform.port}),
      upstream_(context_,
                {.address = settings_.host.address,
                 .port = settings_.ports.upstream,
                 .may_send =
                     [this] {
                       return view_.MayAdmit(clock_.Now()) ==
                              refusal_reason::kNone;
                     }}),
      gate_(settings_, incarnation_, clock_, view_, metrics_),
      callers_(context_, MakeCallerOptions(settings_), gate_),
      admin_(context_,
             {.address = settings_.host.address, .port = settings_.ports.admin},
             *this),
      control_(MakeControlOptions(settings_, incarnation_),
               clock_,
               random_,
               *this,
               *this,
               *this),
      sender_(MakeSenderOptions(settings_, incarnation_),
              clock_,
              random_,
              view_,
              *this,
              gate_),
      target_(MakeTargetOptions(settings_, incarnation_),
              clock_,
              view_,
              upstream_,
              *this),
      control_timer_(context_),
      call_timer_(context_),
      probe_timer_(context_),
      drain_timer_(context_) {
  gate_.Connect(
      [this](std::uint64_t call, const call_plan& plan, call_request message) {
        const std::lock_guard lock(sender_mutex_);
        sender_.Begin(call, plan, std::move(message));
      },
      [this](std::uint64_t call) {
        const std::lock_guard lock(sender_mutex_);
        sender_.Cancel(call);
      });
  upstream_.Connect(
      [this](const call_id& id, upstream_result result) {
        OnUpstreamDone(id, std::move(result));
      },
      [this](const upstream_result& result) {
        const std::lock_guard lock(target_mutex_);
        target_.OnUpstreamProbe(result);
      });
}

leaf::result<void> daemon_internals::Listen() {
  BOOST_LEAF_CHECK(mesh_.Listen());
  BOOST_LEAF_CHECK(callers_.Listen());
  BOOST_LEAF_CHECK(admin_.Listen());
  return {};
}

void daemon_internals::Run() {
  LOG(INFO) << "daemon: started " << settings_.host.address << " in "
            << settings_.host.failure_domain << ".";
  Repeat(control_timer_, kControlTick, &daemon_internals::TickControl);
  Repeat(call_timer_, kCallTick, &daemon_internals::TickCalls);
  Repeat(probe_timer_, kProbeInterval, &daemon_internals::ProbeUpstream);
  std::vector<std::thread> workers;
  for (std::uint32_t i = 1; i < settings_.process.workers; ++i) {
    workers.emplace_back([this] { context_.run(); });
  }
  context_.run();
  for (std::thread& worker : workers) {
    worker.join();
  }
  LOG(INFO) << "daemon: stopped.";
}

void daemon_internals::Repeat(asio::steady_timer& timer,
                              duration interval,
                              tick_function tick) {
  timer.expires_after(interval);
  timer.async_wait(
      [this, &timer, interval, tick](const boost::system::error_code& error) {
        if (error) {
          return;
        }
        (this->*tick)();
        Repeat(timer, interval, tick);
      });
}

void daemon_internals::TickControl() {
  const std::lock_guard lock(control_mutex_);
  control_.Tick();
}

void daemon_internals::TickCalls() {
  {
    const std::lock_guard lock(sender_mutex_);
    sender_.Tick();
  }
  const std::lock_guard lock(target_mutex_);
  target_.Tick();
}

void daemon_internals::ProbeUpstream() {
  upstream_.Probe();
  ReportUpstreamState();
}

void daemon_internals::ReportUpstreamState() {
  std::string state;
  {
    const std::lock_guard lock(target_mutex_);
    state = target_.UpstreamState();
  }
  if (state != upstream_state_) {
    upstream_state_ = state;
    metrics_.OnDecision("upstream: now " + state + ".");
    LOG(INFO) << "upstream: now " << state << ".";
  }
}

// First the stop is announced while calls still enter, so that nobody is sent
// here any more; then the listener closes; then the rest is finished.
void daemon_internals::BeginDrain() {
  asio::post(context_, [this] {
    if (draining_.exchange(true)) {
      return;
    }
    drain_began_ = clock_.Now();
    gate_.BeginDrain();
    {
      const std::lock_guard lock(control_mutex_);
      control_.BeginDrain();
    }
    {
      const std::lock_guard lock(target_mutex_);
      target_.BeginDrain();
    }
    Repeat(drain_timer_, kDrainTick, &daemon_internals::ContinueDrain);
  });
}

void daemon_internals::ContinueDrain() {
  const duration elapsed = clock_.Now() - drain_began_;
  if (elapsed < settings_.calls.drain_notice) {
    return;
  }
  callers_.StopAccepting();
  gate_.RefuseAll();
  bool target_idle = false;
  {
    const std::lock_guard lock(target_mutex_);
    target_idle = target_.idle();
  }
  const bool idle = target_idle && gate_.in_flight() == 0;
  // A caller whose request is on its way still gets its refusal.
  const bool quiet = elapsed >= 2 * duration(settings_.calls.drain_notice);
  if (idle && quiet) {
    callers_.CloseIdle();
  }
  const bool finished = idle && quiet && callers_.IsClosed();
  if (finished || elapsed >= settings_.calls.drain_timeout) {
    Stop();
  }
}

void daemon_internals::Stop() {
  mesh_.Close();
  drain_timer_.expires_after(2 * kDrainTick);
  drain_timer_.async_wait(
      [this](const boost::system::error_code&) { context_.stop(); });
}

host_address daemon_internals::Resolve(const host_address& peer) const {
  const std::string& prefix = settings_.fleet.other_region_prefix;
  const auto hosts = view_.Current()->hosts;
  if (prefix.empty() || hosts == nullptr) {
    return peer;
  }
  const auto found =
      std::find_if(hosts->hosts.begin(), hosts->hosts.end(),
                   [&](const auto& host) { return host.address == peer; });
  if (found == hosts->hosts.end() || found->region == settings_.host.region) {
    return peer;
  }
  const std::size_t second_dot = peer.find('.', peer.find('.') + 1);
  return prefix + peer.substr(second_dot);
}

void daemon_internals::SendDigest(const host_address& to,
                                  const digest& message) {
  mesh_.SendDatagram(to, message);
}

void daemon_internals::SendUpdate(
    const host_address& to,
    std::shared_ptr<const document_update> message) {
  const bool urgent = message->head.kind == document_kind::kDeclaredOut;
  mesh_.Send(to, *message, urgent ? send_mode::kUrgent : send_mode::kOpen);
}

void daemon_internals::SendRequest(const host_address& to,
                                   const document_request& message) {
  mesh_.Send(to, message, send_mode::kOpen);
}

void daemon_internals::ReadHeads(std::uint64_t after_index, duration wait) {
  ++source_reads_;
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  http_request request{
      .method = "GET",
      .target = "/v1/heads?after=" + std::to_string(after_index) +
                "&wait_ms=" + std::to_string(wait_ms)};
  platform_heads_.Request(
      std::move(request), wait + kSourceMargin,
      [this](http_exchange exchange) { OnHeadsRead(std::move(exchange)); });
}

void daemon_internals::OnHeadsRead(http_exchange exchange) {
  const bool good = exchange.complete && exchange.response.status == 200;
  const std::optional<source_heads> heads = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<source_heads>> {
        if (!good) {
          return std::optional<source_heads>();
        }
        BOOST_LEAF_AUTO(parsed, ParseSourceHeads(exchange.response.body));
        return std::optional<source_heads>(std::move(parsed));
      },
      [](const document_error& error) {
        LOG(WARNING) << "source: heads refused, " << error.place << ": "
                     << error.message << ".";
        return std::optional<source_heads>();
      },
      [] { return std::optional<source_heads>(); });
  const std::lock_guard lock(control_mutex_);
  if (heads) {
    control_.OnHeads(*heads);
  } else {
    control_.OnSourceError();
  }
}

void daemon_internals::ReadPart(document_kind kind, const part_ref& part) {
  ++source_reads_;
  http_request request{
      .method = "GET",
      .target = "/v1/parts/" + std::string(NameOf(kind)) + "/" + part.hash};
  platform_parts_.Request(std::move(request), kPartTimeout,
                          [this, kind, part](http_exchange exchange) {
                            OnPartRead(kind, part, std::move(exchange));
                          });
}

void daemon_internals::OnPartRead(document_kind kind,
                                  const part_ref& part,
                                  http_exchange exchange) {
  const std::lock_guard lock(control_mutex_);
  if (exchange.complete && exchange.response.status == 200) {
    control_.OnPart(kind, part, std::move(exchange.response.body));
  } else {
    control_.OnSourceError();
  }
}

void daemon_internals::OnSnapshot(std::shared_ptr<const snapshot> view) {
  view_.Set(std::move(view));
}

void daemon_internals::OnLease(const admission_lease& lease) {
  view_.Set(lease);
}

void daemon_internals::OnDecision(std::string_view line) {
  LOG(INFO) << "control: " << line;
  metrics_.OnDecision("control: " + std::string(line));
}

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
    mesh_.Send(to, *message, send_mode::kIfUp);
    return;
  }
  asio::post(context_, [this, to, message = std::move(message)]() mutable {
    const std::lock_guard lock(target_mutex_);
    target_.OnCall(to, std::move(message));
  });
}

void daemon_internals::SendAttach(const host_address& to,
                                  const call_attach& message) {
  mesh_.Send(to, message, send_mode::kIfUp);
}

void daemon_internals::SendCancel(const host_address& to,
                                  const call_cancel& message) {
  if (!IsSelf(to)) {
    mesh_.Send(to, message, send_mode::kIfUp);
    return;
  }
  asio::post(context_, [this, message] {
    const std::lock_guard lock(target_mutex_);
    target_.OnCancel(message);
  });
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
  Dispatch(from, std::move(message));
}

void daemon_internals::Dispatch(const host_address& from, any_message message) {
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
  } else if (const auto* news = std::get_if<digest>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnDigest(*news);
  } else if (const auto* update = std::get_if<document_update>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnUpdate(from, *update);
  } else if (const auto* request = std::get_if<document_request>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnRequest(from, *request);
  }
}

void daemon_internals::OnLinkUp(const host_address& peer,
                                std::uint64_t incarnation) {
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkUp(peer, incarnation);
}

void daemon_internals::OnLinkDown(const host_address& peer) {
  const std::lock_guard lock(sender_mutex_);
  sender_.OnLinkDown(peer);
}

void daemon_internals::OnUndelivered(const host_address& to,
                                     const any_message& message) {
  if (const auto* update = std::get_if<document_update>(&message)) {
    const std::lock_guard lock(control_mutex_);
    control_.OnUndelivered(to,
                           std::make_shared<const document_update>(*update));
  }
}

void daemon_internals::OnUpstreamDone(const call_id& id,
                                      upstream_result result) {
  const std::lock_guard lock(target_mutex_);
  target_.OnUpstreamDone(id, std::move(result));
}

proxy_daemon::proxy_daemon(daemon_settings settings)
    : internals_(std::make_unique<daemon_internals>(std::move(settings))) {}
proxy_daemon::~proxy_daemon() = default;
leaf::result<void> proxy_daemon::Listen() {
  return internals_->Listen();
}
void proxy_daemon::Run() {
  internals_->Run();
}
void proxy_daemon::BeginDrain() {
  internals_->BeginDrain();
}

}  // namespace parsleyyard
