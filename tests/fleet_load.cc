#include "tests/fleet_load.h"

#include <algorithm>
#include <cstdio>

namespace parsleyyard::testing {

namespace {

constexpr duration kTick = milliseconds(20);
// Latency of a message, one way.
constexpr duration kInZone = duration(200);
constexpr duration kInRegion = duration(700);
constexpr duration kBetweenRegions = milliseconds(12);

std::string RegionOfZone(const std::string& zone) {
  return zone.substr(0, zone.find('-'));
}

class fleet : public view_source {
 public:
  explicit fleet(const fleet_load& load) : load_(load), random_(load.seed) {
    AddTargets();
    AddSenders();
  }

  load_result Run();

  std::shared_ptr<const snapshot> Current() const override { return view_; }
  instant ConfirmedAt() const override { return clock_.now; }

 private:
  class sender_node;
  class target_node;
  struct request {
    const load_class* from = nullptr;
    instant began{};
    int tries = 0;
    int attempts = 0;  // of the current try
    bool refused_late = false;
  };
  struct event {
    instant at{};
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void At(instant when, std::function<void()> run) {
    events_.push({.at = when, .number = ++last_event_, .run = std::move(run)});
  }
  void AddTargets();
  void AddSenders();
  void Tick();
  void ScheduleArrival(const load_class& from);
  void Begin(sender_node& at, std::uint64_t id);
  void OnResult(sender_node& at, std::uint64_t id, const call_result& result);
  void End(request& ended, const call_result& result);
  // True once no request arrives any more and all have ended.
  bool Ended() const {
    return clock_.now >= start_ + load_.length + seconds(1) &&
           requests_.empty();
  }
  bool Counts(const request& each) const {
    return each.began >= start_ + load_.warm_up;
  }
  duration Latency(const std::string& from, const std::string& to) const {
    return from == to                               ? kInZone
           : RegionOfZone(from) == RegionOfZone(to) ? kInRegion
                                                    : kBetweenRegions;
  }
  const load_class& ClassOf(const std::string& name) const {
    return *std::find_if(
        load_.classes.begin(), load_.classes.end(),
        [&](const load_class& each) { return each.name == name; });
  }

  const fleet_load& load_;
  manual_clock clock_;
  const instant start_ = clock_.now;
  seeded_random random_;
  recording_listener listener_;
  std::shared_ptr<snapshot> view_;
  region_map regions_;
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::map<host_address, std::unique_ptr<target_node>> targets_;
  std::map<host_address, std::unique_ptr<sender_node>> senders_;
  std::vector<sender_node*> sender_list_;
  std::map<std::uint64_t, request> requests_;
  std::uint64_t last_request_ = 0;
  load_result result_;
};

// The daemon beside an instance, and the instance.
class fleet::target_node : public upstream_port, public answer_link {
 public:
  target_node(fleet& world,
              const host_address& address,
              const std::string& zone)
      : world_(world),
        address_(address),
        zone_(zone),
        push_(load_push_options()),
        target_({.address = address,
                 .failure_domain = zone,
                 .service = "s",
                 .instance_port = 9000,
                 .incarnation = 5},
                world.clock_,
                world,
                *this,
                *this,
                world.listener_) {}

  void OnCall(const host_address& from,
              const std::shared_ptr<const call_request>& message) {
    if (message->wants_load) {
      push_.OnCall(from, world_.clock_.now);
    }
    target_.OnCall(from, message);
  }
  void OnCancel(const call_cancel& message) { target_.OnCancel(message); }
  void Tick();

  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration /*time_left*/) override {
    if (!target_.OnUpstreamWrite(id)) {
      world_.At(world_.clock_.now,
                [this, id] { target_.OnUpstreamDone(id, {}); });
      return;
    }
    // Times of the same work differ: 0.5 to 1.5 times the mean.
    const double draw =
        0.5 + static_cast<double>(world_.random_.UniformBelow(1001)) / 1000;
    const duration usual = world_.ClassOf(message->route).service_time;
    const auto run_time =
        std::chrono::duration_cast<duration>(usual * draw * Speed() / 100);
    world_.At(world_.clock_.now + run_time, [this, id] {
      target_.OnUpstreamDone(id,
                             {.sent = true, .complete = true, .status = 200});
    });
  }
  void Cancel(const call_id& /*id*/) override {}
  void Probe() override {}
  void SendAnswer(const host_address& to,
                  std::shared_ptr<const call_answer> message) override;

  const std::string& Zone() const { return zone_; }

 private:
  std::uint32_t Speed() const {
    const auto found = world_.load_.speed_percent.find(address_);
    return found == world_.load_.speed_percent.end() ? 100 : found->second;
  }
  // The load that the target reports, as an instance that states its speed
  // would make it.
  load_report Report(load_report load) const;

  fleet& world_;
  const host_address address_;
  const std::string zone_;
  load_push push_;
  call_target target_;
};

class fleet::sender_node : public call_link, public call_sink {
 public:
  sender_node(fleet& world,
              const host_address& address,
              const std::string& zone,
              std::uint64_t incarnation)
      : world_(world),
        address_(address),
        zone_(zone),
        sender_({.address = address,
                 .failure_domain = zone,
                 .region = RegionOfZone(zone),
                 .regions = world.regions_,
                 .incarnation = incarnation},
                world.clock_,
                world.random_,
                world,
                *this,
                *this,
                world.listener_) {}

  std::optional<std::uint64_t> PeerIncarnation(
      const host_address& /*to*/) override {
    return 5;
  }
  void Open(const host_address& /*to*/) override {}
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override {
    target_node& target = *world_.targets_.at(to);
    const load_class& from = world_.ClassOf(message->route);
    class_result& counted = world_.result_.classes[from.name];
    if (world_.clock_.now >= world_.start_ + world_.load_.warm_up) {
      ++counted.attempts;
      counted.crossed +=
          RegionOfZone(target.Zone()) != RegionOfZone(zone_) ? 1 : 0;
    }
    world_.At(world_.clock_.now + world_.Latency(zone_, target.Zone()),
              [this, &target, message] { target.OnCall(address_, message); });
  }
  void SendAttach(const host_address& /*to*/,
                  const call_attach& /*message*/) override {}
  void SendCancel(const host_address& to, const call_cancel& message) override {
    target_node& target = *world_.targets_.at(to);
    world_.At(world_.clock_.now + world_.Latency(zone_, target.Zone()),
              [&target, message] { target.OnCancel(message); });
  }
  void OnResult(std::uint64_t call, call_result result) override {
    world_.OnResult(*this, call, result);
  }

  call_sender& Sender() { return sender_; }
  const std::string& Zone() const { return zone_; }

 private:
  fleet& world_;
  const host_address address_;
  const std::string zone_;
  call_sender sender_;
};

load_report fleet::target_node::Report(load_report load) const {
  if (world_.load_.silent.contains(address_)) {
    return {};
  }
  if (world_.load_.paced && load.speed_percent == 0) {
    load.speed_percent = Speed();
  }
  return load;
}

void fleet::target_node::SendAnswer(
    const host_address& to,
    std::shared_ptr<const call_answer> message) {
  call_answer answer = *message;
  answer.load = Report(answer.load);
  push_.OnAnswer(to, answer.load, world_.clock_.now);
  if (answer.outcome == call_outcome::kNotRun &&
      world_.clock_.now >= world_.start_ + world_.load_.warm_up) {
    ++world_.result_.target_refusals;
  }
  sender_node& sender = *world_.senders_.at(to);
  world_.At(
      world_.clock_.now + world_.Latency(zone_, sender.Zone()),
      [this, &sender, answer] { sender.Sender().OnAnswer(address_, answer); });
}

void fleet::target_node::Tick() {
  target_.Tick();
  const load_update update{.load = Report(target_.Load())};
  for (const host_address& to :
       push_.TakeReceivers(update.load, world_.clock_.now)) {
    ++world_.result_.pushes;
    sender_node& sender = *world_.senders_.at(to);
    world_.At(world_.clock_.now + world_.Latency(zone_, sender.Zone()),
              [this, &sender, update] {
                sender.Sender().OnLoadUpdate(address_, update);
              });
  }
}

void fleet::AddTargets() {
  std::vector<known_instance> instances;
  for (const load_zone& zone : load_.zones) {
    regions_[zone.name] = RegionOfZone(zone.name);
    for (int i = 0; i < zone.instances; ++i) {
      const host_address address =
          InstanceAddress(static_cast<int>(instances.size()));
      instances.push_back(
          Instance("i" + address, address, zone.name, load_.slots));
    }
  }
  view_ = MakeSnapshot(instances);
  for (const load_zone& zone : load_.zones) {
    if (zone.evacuated) {
      view_->evacuated.insert(zone.name);
    }
  }
  std::vector<route> routes;
  for (const load_class& each : load_.classes) {
    routes.push_back({.name = each.name,
                      .virtual_host = "h",
                      .prefix = "/" + each.name + "/",
                      .targets = {{.service = "s"}},
                      .home_regions = each.home_regions});
  }
  view_->config =
      configuration::Create(
          {.version = 1, .routes = routes, .services = {{.name = "s"}}})
          .value();
  for (const known_instance& each : instances) {
    targets_[each.registration.host] = std::make_unique<target_node>(
        *this, each.registration.host, each.registration.failure_domain);
  }
}

void fleet::AddSenders() {
  for (const load_zone& zone : load_.zones) {
    for (int i = 0; i < zone.senders; ++i) {
      const auto number = static_cast<int>(sender_list_.size());
      const host_address address = "10.9.0." + std::to_string(number);
      auto node = std::make_unique<sender_node>(*this, address, zone.name,
                                                1000 + number);
      sender_list_.push_back(node.get());
      senders_[address] = std::move(node);
    }
  }
}

void fleet::Tick() {
  for (const auto& [address, node] : senders_) {
    node->Sender().Tick();
  }
  for (const auto& [address, node] : targets_) {
    node->Tick();
  }
  At(clock_.now + kTick, [this] { Tick(); });
}

void fleet::ScheduleArrival(const load_class& from) {
  const duration since = clock_.now - start_;
  const bool bursts = since >= from.burst_from && since < from.burst_to;
  const double rate = from.per_second * (bursts ? from.burst_factor : 1);
  // Gaps vary by a factor of 0 to 2 around the mean.
  const auto mean_us = static_cast<std::uint64_t>(1e6 / rate);
  const duration gap(
      static_cast<duration::rep>(random_.UniformBelow(2 * mean_us + 1)));
  if (since >= load_.length) {
    return;
  }
  At(clock_.now + gap, [this, &from] {
    const std::uint64_t id = ++last_request_;
    requests_[id] = {.from = &from, .began = clock_.now};
    Begin(*sender_list_[random_.UniformBelow(sender_list_.size())], id);
    ScheduleArrival(from);
  });
}

void fleet::Begin(sender_node& at, std::uint64_t id) {
  request& each = requests_.at(id);
  ++each.tries;
  const load_class& from = *each.from;
  const duration past = clock_.now - each.began;
  at.Sender().Begin(
      id,
      {.service = "s",
       .route = from.name,
       .home_regions = from.home_regions,
       .priority = from.priority,
       .never_repeat = true,
       .max_attempts = 2,
       .deadline = from.deadline - past,
       .objective = std::max(duration::zero(), from.objective - past)},
      {.request_id = std::to_string(id)});
}

// A refused caller comes back once, after the retry-after or a third of the
// time that it has left.
void fleet::OnResult(sender_node& at,
                     std::uint64_t id,
                     const call_result& result) {
  request& each = requests_.at(id);
  result_.most_attempts =
      std::max(result_.most_attempts, static_cast<int>(result.attempts));
  const duration past = clock_.now - each.began;
  if (result.outcome == call_outcome::kNotRun && each.tries == 1) {
    each.refused_late |= past > each.from->objective / 8;
    const duration wait =
        std::min(result.retry_after, (each.from->deadline - past) / 3);
    At(clock_.now + wait, [this, &at, id] { Begin(at, id); });
    return;
  }
  if (Counts(each)) {
    End(each, result);
    if (result.outcome == call_outcome::kAnswer) {
      ++result_.answered_by[result.instance.substr(1)];
    }
  }
  requests_.erase(id);
}

void fleet::End(request& ended, const call_result& result) {
  class_result& counted = result_.classes[ended.from->name];
  const duration past = clock_.now - ended.began;
  ++counted.requests;
  counted.refused_late += ended.refused_late ? 1 : 0;
  switch (result.outcome) {
    case call_outcome::kAnswer:
      ++counted.answered;
      counted.in_objective += past <= ended.from->objective ? 1 : 0;
      return;
    case call_outcome::kNotRun:
      ++counted.refused;
      return;
    case call_outcome::kUnknown:
      ++counted.unknown;
      return;
  }
}

load_result fleet::Run() {
  for (const load_class& each : load_.classes) {
    ScheduleArrival(each);
  }
  Tick();
  while (!Ended()) {
    const event next = events_.top();
    events_.pop();
    clock_.now = next.at;
    next.run();
  }
  return result_;
}

std::string DescribeClass(const std::string& name, const class_result& each) {
  std::array<char, 200> line{};
  std::snprintf(line.data(), line.size(),
                "%-10s requests %6d in objective %.3f answered %.3f refused "
                "%.3f late refusals %.3f unknown %d attempts %.3f crossed %.3f",
                name.c_str(), each.requests, each.InObjective(),
                each.answered / std::max(1.0, 1.0 * each.requests),
                each.refused / std::max(1.0, 1.0 * each.requests),
                each.RefusedLate(), each.unknown, each.AttemptsPerRequest(),
                each.crossed / std::max(1.0, 1.0 * each.requests));
  return std::string(line.data()) + "\n";
}

}  // namespace

host_address InstanceAddress(int number) {
  return "10.1.0." + std::to_string(number);
}

class_result load_result::Total() const {
  class_result total;
  for (const auto& [name, each] : classes) {
    total.requests += each.requests;
    total.in_objective += each.in_objective;
    total.answered += each.answered;
    total.refused += each.refused;
    total.refused_late += each.refused_late;
    total.unknown += each.unknown;
    total.attempts += each.attempts;
    total.crossed += each.crossed;
  }
  return total;
}

double load_result::RefusalsPerServed() const {
  return target_refusals / std::max(1.0, 1.0 * Total().answered);
}

std::string load_result::Describe() const {
  std::string text;
  for (const auto& [name, each] : classes) {
    text += DescribeClass(name, each);
  }
  text += DescribeClass("all", Total());
  text += "refusals by targets per served call " +
          std::to_string(RefusalsPerServed()) + ", pushes " +
          std::to_string(pushes) + ", most attempts of a call " +
          std::to_string(most_attempts) + "\n";
  return text;
}

load_result Play(const fleet_load& load) {
  return fleet(load).Run();
}

}  // namespace parsleyyard::testing
