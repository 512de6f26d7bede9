// Test fixtures that drive one call sender or one call target through scripted
// interfaces.

#ifndef PARSLEYYARD_TESTS_CALL_FIXTURES_H_
#define PARSLEYYARD_TESTS_CALL_FIXTURES_H_

#include "calls/calls.h"
#include "tests/view_world.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleyyard::testing {

class seeded_random : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed = 1) : engine_(seed) {}
  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

// Keeps the lines about a cold instance and ignores all others.
class recording_listener : public target_listener {
 public:
  void OnCallEvent(const call_event_line& /*line*/) override {}
  void OnColdLimit(const cold_limit_line& line) override {
    limits.push_back(line);
  }
  void OnColdRequest(const cold_request_line& line) override {
    requests.push_back(line);
  }
  void OnRampUp(const ramp_up_line& line) override { ramp_ups.push_back(line); }

  std::vector<cold_limit_line> limits;
  std::vector<cold_request_line> requests;
  std::vector<ramp_up_line> ramp_ups;
};

inline const region_map kTwoRegions = {{"north-a", "north"},
                                       {"north-b", "north"},
                                       {"south-a", "south"}};

inline known_instance Instance(const std::string& id,
                               const host_address& host,
                               const std::string& domain,
                               std::uint32_t slots = 2) {
  return {.registration = {.id = id,
                           .service = "s",
                           .host = host,
                           .port = 9000,
                           .failure_domain = domain,
                           .slots = slots},
          .position = {.revision = 1}};
}

// Returns a snapshot with one service "s" that has a cold rate of 10 a second.
inline std::shared_ptr<snapshot> MakeSnapshot(
    const std::vector<known_instance>& instances) {
  auto view = std::make_shared<snapshot>();
  view->config =
      configuration::Create(
          {.version = 1,
           .routes = {{.name = "r",
                       .virtual_host = "h",
                       .prefix = "/",
                       .targets = {{.service = "s"}}}},
           .services = {{.name = "s", .warm_up = seconds(3), .cold_rate = 10}}})
          .value();
  for (const known_instance& added : instances) {
    view->instances[added.registration.id] = added;
  }
  for (const auto& [id, known] : view->instances) {
    view->by_service["s"].push_back(&known);
  }
  return view;
}

// A call target beside instance "i", which has two slots.
class target_fixture : public ::testing::Test,
                       public view_source,
                       public upstream_port,
                       public answer_link {
 protected:
  target_fixture() {
    SetView({Instance("i", "10.0.0.1", "north-a")});
    Restart({});
  }

  void Restart(target_options options) {
    options.address = "10.0.0.1";
    options.failure_domain = "north-a";
    options.service = "s";
    options.instance_port = 9000;
    options.incarnation = 5;
    target_ = std::make_unique<call_target>(options, clock_, *this, *this,
                                            *this, listener_);
  }
  void SetView(const std::vector<known_instance>& instances) {
    view_ = MakeSnapshot(instances);
  }

  std::shared_ptr<const snapshot> Current() const override { return view_; }
  instant ConfirmedAt() const override { return confirmed_at_; }
  void Run(const call_id& id,
           std::shared_ptr<const call_request> /*message*/,
           duration time_left) override {
    started_.push_back(id.sequence);
    time_left_[id.sequence] = time_left;
    if (hold_writes_) {
      held_writes_.push_back(id);
    } else {
      Write(id);
    }
  }
  void Cancel(const call_id& id) override { cancelled_.push_back(id.sequence); }
  void Probe() override { ++probes_; }
  void SendAnswer(const host_address& /*to*/,
                  std::shared_ptr<const call_answer> message) override {
    answers_[message->id.sequence] = *message;
  }

  // Writes the request of a started call to the instance, if it may be written.
  void Write(const call_id& id) {
    if (target_->OnUpstreamWrite(id)) {
      written_.push_back(clock_.now);
    } else {
      target_->OnUpstreamDone(id, {});
    }
  }
  void WriteHeldRequests() {
    for (const call_id& id : std::exchange(held_writes_, {})) {
      Write(id);
    }
  }

  call_request Message(std::uint64_t sequence) const {
    return {.id = {.origin = 9, .sequence = sequence},
            .target_incarnation = 5,
            .instance = "i",
            .service = "s",
            .route = "r",
            .sent_ms = static_cast<std::uint64_t>(clock_.now.count() / 1000),
            .deadline_ms = 1000,
            .objective_ms = 500};
  }
  void Send(const call_request& message) {
    target_->OnCall("10.0.0.2", std::make_shared<call_request>(message));
  }
  void Call(std::uint64_t sequence, std::uint32_t priority = 0) {
    call_request message = Message(sequence);
    message.priority = priority;
    Send(message);
  }
  void Complete(std::uint64_t sequence, duration run_time = milliseconds(100)) {
    clock_.now += run_time;
    target_->OnUpstreamDone({.origin = 9, .sequence = sequence},
                            {.sent = true, .complete = true, .status = 200});
  }
  // Runs 100 calls that each take `run_time`, so that the target measures this
  // service time.
  void LearnServiceTime(duration run_time) {
    for (std::uint64_t i = 1000; i < 1100; ++i) {
      Call(i);
      Complete(i, run_time);
    }
    started_.clear();
    answers_.clear();
  }

  // Sends calls with an objective of 5 s to the target, at an even rate, and
  // advances the clock by `time`.
  void OfferCalls(int calls_per_second, duration time) {
    const duration interval = duration(seconds(1)) / calls_per_second;
    for (const instant end = clock_.now + time; clock_.now < end;) {
      clock_.now += interval;
      call_request message = Message(++last_offered_);
      message.deadline_ms = 5000;
      message.objective_ms = 5000;
      Send(message);
      target_->Tick();
    }
  }

  // Sends 50 calls a second to the target for 2.9 s, while its instance is cold
  // for 3 s. Returns the time at which each request was written.
  std::vector<instant> OfferCallsWhileCold() {
    known_instance cold = Instance("i", "10.0.0.1", "north-a", 100);
    clock_.now += seconds(5);
    cold.cold_until = clock_.now + seconds(3);
    SetView({cold});
    OfferCalls(50, milliseconds(2900));
    return written_;
  }

  manual_clock clock_;
  recording_listener listener_;
  std::shared_ptr<snapshot> view_;
  std::vector<std::uint64_t> started_;
  bool hold_writes_ = false;  // true: requests wait in held_writes_
  std::vector<call_id> held_writes_;
  std::vector<instant> written_;    // times at which requests were written
  std::uint64_t last_offered_ = 0;  // sequence of the last call of OfferCalls()
  std::map<std::uint64_t, duration> time_left_;
  std::vector<std::uint64_t> cancelled_;
  std::map<std::uint64_t, call_answer> answers_;
  int probes_ = 0;
  instant confirmed_at_ = instant::max();  // time of the last confirmation
  std::unique_ptr<call_target> target_;
};

// A call sender in north-a. All links are up but those to the hosts in `down_`.
class sender_fixture : public ::testing::Test,
                       public view_source,
                       public call_link,
                       public call_sink {
 protected:
  sender_fixture() {
    SetView({Instance("near", "10.0.0.1", "north-a"),
             Instance("mid", "10.0.0.2", "north-b"),
             Instance("far", "10.0.0.3", "south-a")});
    Restart({});
  }

  void Restart(sender_options options) {
    options.address = "10.0.0.9";
    options.failure_domain = "north-a";
    options.region = "north";
    options.regions = kTwoRegions;
    options.incarnation = 7;
    sender_ = std::make_unique<call_sender>(options, clock_, random_, *this,
                                            *this, *this, listener_);
  }
  void SetView(const std::vector<known_instance>& instances) {
    view_ = MakeSnapshot(instances);
  }

  std::shared_ptr<const snapshot> Current() const override { return view_; }
  instant ConfirmedAt() const override { return clock_.now; }
  std::optional<std::uint64_t> PeerIncarnation(
      const host_address& to) override {
    return down_.contains(to) ? std::nullopt : std::optional<std::uint64_t>(5);
  }
  void Open(const host_address& to) override { opened_.push_back(to); }
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override {
    sent_.push_back({to, *message});
  }
  void SendAttach(const host_address& to, const call_attach& message) override {
    attached_.push_back({to, message});
  }
  void SendCancel(const host_address& to, const call_cancel& message) override {
    cancelled_.push_back({to, message});
  }
  void OnResult(std::uint64_t call, call_result result) override {
    results_[call] = std::move(result);
  }

  call_plan Plan(bool never_repeat) const {
    return {.service = "s",
            .route = "r",
            .never_repeat = never_repeat,
            .max_attempts = 2,
            .deadline = seconds(1),
            .objective = milliseconds(500)};
  }
  void Begin(std::uint64_t call, bool never_repeat = true) {
    sender_->Begin(call, Plan(never_repeat), {});
  }
  void Answer(call_answer answer) {
    answer.id = sent_.back().second.id;
    sender_->OnAnswer(sent_.back().first, std::move(answer));
  }
  void Refuse(refusal_reason reason, bool reached_instance = false) {
    Answer({.outcome = call_outcome::kNotRun,
            .reason = reason,
            .reached_instance = reached_instance});
  }
  // Runs calls to their end, so that the retry budget grows.
  void FillRetryBudget(int calls) {
    for (int i = 0; i < calls; ++i) {
      Begin(10000 + i);
      Answer({.outcome = call_outcome::kAnswer, .status = 200});
    }
    sent_.clear();
  }

  manual_clock clock_;
  seeded_random random_;
  recording_listener listener_;
  std::shared_ptr<snapshot> view_;
  std::set<host_address> down_;
  std::vector<host_address> opened_;
  std::vector<std::pair<host_address, call_request>> sent_;
  std::vector<std::pair<host_address, call_attach>> attached_;
  std::vector<std::pair<host_address, call_cancel>> cancelled_;
  std::map<std::uint64_t, call_result> results_;
  std::unique_ptr<call_sender> sender_;
};

}  // namespace parsleyyard::testing

#endif  // PARSLEYYARD_TESTS_CALL_FIXTURES_H_
