// Property tests of one call sender and one call target with an instance.
// Random histories break the link before, during and after a message, restart
// the target and lose responses. A never-repeat call must run at most once, and
// a call that is reported as not run must not have run.

#include "tests/call_fixtures.h"

#include <rapidcheck.h>

#include <algorithm>

namespace parsleyyard::testing {
namespace {

class sender_target_pair : public view_source,
                           public call_link,
                           public call_sink,
                           public upstream_port,
                           public answer_link {
 public:
  explicit sender_target_pair(bool attach)
      : view_(MakeSnapshot({Instance("i", kTarget, "north-a", 3)})) {
    sender_ = std::make_unique<call_sender>(
        sender_options{.address = "10.0.0.9",
                       .failure_domain = "north-a",
                       .region = "north",
                       .regions = kTwoRegions,
                       .incarnation = 7,
                       .attach = attach},
        clock_, random_, *this, *this, *this, listener_);
    StartTarget();
  }

  void StartTarget() {
    ++incarnation_;
    to_target_.clear();
    to_sender_.clear();
    link_up_ = false;
    target_ = std::make_unique<call_target>(
        target_options{.address = kTarget,
                       .failure_domain = "north-a",
                       .service = "s",
                       .instance_port = 9000,
                       .incarnation = incarnation_},
        clock_, *this, *this, *this, listener_);
  }

  void Begin() {
    ++calls_;
    sender_->Begin(calls_,
                   {.service = "s",
                    .route = "r",
                    .never_repeat = true,
                    .max_attempts = 2,
                    .deadline = seconds(1),
                    .objective = milliseconds(500)},
                   {.request_id = std::to_string(calls_)});
  }

  // From now on the requests of started calls wait for a connection.
  void HoldWrites() { hold_writes_ = true; }
  // Writes the oldest request that waits, if the target still allows it.
  void WriteOldest() {
    if (unwritten_.empty()) {
      return;
    }
    const auto [id, request] = unwritten_.front();
    unwritten_.erase(unwritten_.begin());
    if (target_->OnUpstreamWrite(id)) {
      ++runs_[request];
      running_.push_back(id);
    } else {
      target_->OnUpstreamDone(id, {});
    }
  }
  // Either daemon begins to stop, or has less or more time than before.
  void StopSender(duration left) { sender_->EndBy(clock_.now + left); }
  void StopTarget(duration left) {
    target_->BeginDrain();
    target_->EndBy(clock_.now + left);
  }

  // Delivers the oldest message in one direction.
  void Deliver(bool towards_target) {
    auto& queue = towards_target ? to_target_ : to_sender_;
    if (!queue.empty()) {
      const auto deliver = queue.front();
      queue.erase(queue.begin());
      deliver();
    }
  }
  void BreakLink() {
    to_target_.clear();
    to_sender_.clear();
    if (std::exchange(link_up_, false)) {
      sender_->OnLinkDown(kTarget);
    }
  }
  void RestoreLink() {
    if (link_requested_ && !link_up_) {
      link_up_ = true;
      sender_->OnLinkUp(kTarget, incarnation_);
    }
  }
  // The instance completes its oldest call. The response may be lost.
  void CompleteOldest(bool response_lost) {
    if (!running_.empty()) {
      const call_id id = running_.front();
      running_.erase(running_.begin());
      target_->OnUpstreamDone(
          id, {.sent = true, .complete = !response_lost, .status = 200});
    }
  }
  void AdvanceTime(duration time) {
    clock_.now += time;
    sender_->Tick();
    target_->Tick();
  }
  void Finish() {
    RestoreLink();
    for (int i = 0; i < 200; ++i) {
      Deliver(true);
      Deliver(false);
      WriteOldest();
      CompleteOldest(false);
      AdvanceTime(milliseconds(20));
      RestoreLink();
    }
  }

  std::string FindViolation() const {
    for (std::uint64_t call = 1; call <= calls_; ++call) {
      const auto ran = runs_.find(std::to_string(call));
      const int run_count = ran == runs_.end() ? 0 : ran->second;
      const auto result = results_.find(call);
      if (run_count > 1) {
        return "call " + std::to_string(call) + " ran " +
               std::to_string(run_count) + " times";
      }
      if (result == results_.end()) {
        return "call " + std::to_string(call) + " has no result";
      }
      if (result->second == call_outcome::kNotRun && run_count > 0) {
        return "call " + std::to_string(call) +
               " is reported as not run, but ran";
      }
      if (result->second == call_outcome::kAnswer && run_count == 0) {
        return "call " + std::to_string(call) + " has an answer, but never ran";
      }
    }
    return "";
  }

  std::shared_ptr<const snapshot> Current() const override { return view_; }
  instant ConfirmedAt() const override { return clock_.now; }
  std::optional<std::uint64_t> PeerIncarnation(
      const host_address& /*to*/) override {
    return link_up_ ? std::optional(incarnation_) : std::nullopt;
  }
  void Open(const host_address& /*to*/) override { link_requested_ = true; }
  void SendCall(const host_address& /*to*/,
                std::shared_ptr<const call_request> message) override {
    to_target_.push_back(
        [this, message] { target_->OnCall("10.0.0.9", message); });
  }
  void SendAttach(const host_address& /*to*/,
                  const call_attach& message) override {
    to_target_.push_back(
        [this, message] { target_->OnAttach("10.0.0.9", message); });
  }
  void SendCancel(const host_address& /*to*/,
                  const call_cancel& message) override {
    to_target_.push_back([this, message] { target_->OnCancel(message); });
  }
  void OnResult(std::uint64_t call, call_result result) override {
    results_[call] = result.outcome;
  }
  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration /*time_left*/) override {
    if (hold_writes_) {
      unwritten_.emplace_back(id, message->request_id);
      return;
    }
    ++runs_[message->request_id];
    running_.push_back(id);
  }
  // Ends an attempt whose request is not written yet.
  void Cancel(const call_id& id) override {
    const auto found =
        std::find_if(unwritten_.begin(), unwritten_.end(),
                     [&](const auto& each) { return each.first == id; });
    if (found != unwritten_.end()) {
      unwritten_.erase(found);
      target_->OnUpstreamDone(id, {});
    }
  }
  void Probe() override {}
  void SendAnswer(const host_address& /*to*/,
                  std::shared_ptr<const call_answer> message) override {
    if (link_up_) {
      to_sender_.push_back(
          [this, message] { sender_->OnAnswer(kTarget, *message); });
    }
  }

 private:
  inline static const host_address kTarget = "10.0.0.1";

  manual_clock clock_;
  seeded_random random_;
  recording_listener listener_;
  std::shared_ptr<snapshot> view_;
  std::unique_ptr<call_sender> sender_;
  std::unique_ptr<call_target> target_;
  std::uint64_t incarnation_ = 100;
  bool link_up_ = false;
  bool link_requested_ = false;
  std::vector<std::function<void()>> to_target_;
  std::vector<std::function<void()>> to_sender_;
  bool hold_writes_ = false;
  // Started attempts whose requests wait, with the ids of the requests.
  std::vector<std::pair<call_id, std::string>> unwritten_;
  std::vector<call_id> running_;
  std::map<std::string, int> runs_;
  std::map<std::uint64_t, call_outcome> results_;
  std::uint64_t calls_ = 0;
};

void ApplyStep(sender_target_pair& pair, int step) {
  switch (step % 9) {
    case 0:
    case 1:
      return pair.Begin();
    case 2:
      return pair.Deliver(true);
    case 3:
      return pair.Deliver(false);
    case 4:
      return pair.BreakLink();
    case 5:
      return pair.RestoreLink();
    case 6:
      return pair.CompleteOldest(step % 2 == 0);
    case 7:
      return pair.AdvanceTime(milliseconds(step % 300));
    default:
      pair.BreakLink();
      pair.StartTarget();
      return;
  }
}

std::string RunHistory(const std::vector<int>& steps, bool attach) {
  sender_target_pair pair(attach);
  for (const int step : steps) {
    ApplyStep(pair, step);
  }
  pair.Finish();
  return pair.FindViolation();
}

TEST(CallsProperty, RunsAtMostOnceAndNotRunIsTrue) {
  EXPECT_TRUE(rc::check("at most once", [] {
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    const std::string violation = RunHistory(steps, true);
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  }));
}

// As ApplyStep(), with stops of both daemons, one beside the other or in
// series.
void ApplyStepOfAStop(sender_target_pair& pair, int step) {
  const duration left = milliseconds(step / 12 % 1500);
  switch (step % 12) {
    case 9:
      return pair.StopSender(left);
    case 10:
      return pair.StopTarget(left);
    case 11:
      return pair.WriteOldest();
    default:
      return ApplyStep(pair, step % 12 + step / 12 * 9);
  }
}

// Guards against "not run" for calls that may run, and against calls without a
// result, at planned stops.
TEST(CallsProperty, NotRunIsTrueAtStopsToo) {
  EXPECT_TRUE(rc::check("not run is true at stops", [] {
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    sender_target_pair pair(true);
    pair.HoldWrites();
    for (const int step : steps) {
      ApplyStepOfAStop(pair, step);
    }
    pair.Finish();
    const std::string violation = pair.FindViolation();
    if (!violation.empty()) {
      RC_FAIL(violation);
    }
  }));
}

// Shows that the property above can be violated: without attach and fence, a
// lost link leads to a second run.
TEST(CallsProperty, ResendWithoutAttachViolatesAtMostOnce) {
  int violations = 0;
  std::mt19937_64 random(1);
  for (int history = 0; history < 300; ++history) {
    std::vector<int> steps(60);
    for (int& step : steps) {
      step = static_cast<int>(random() % (1 << 20));
    }
    violations += RunHistory(steps, false).empty() ? 0 : 1;
  }
  EXPECT_GT(violations, 0);
}

}  // namespace
}  // namespace parsleyyard::testing
