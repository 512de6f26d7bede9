// Property test of the call sender: calls with two attempts under random
// events.

#include "tests/call_fixtures.h"

namespace parsleyyard::testing {
namespace {

// Plays calls under random events and checks what must hold in any order.
class random_events_fixture : public sender_fixture,
                              public ::testing::WithParamInterface<int> {
 protected:
  struct attempt_model {
    host_address host;
    call_id id;
    bool answered = false;
    bool link_lost = false;
    bool not_reached = false;
    bool refused = false;  // not run
  };
  struct call_model {
    std::vector<attempt_model> attempts;
    std::uint32_t max_attempts = 1;
    bool never_repeat = false;
    bool ended = false;
    int results = 0;
  };

  std::optional<std::uint64_t> PeerIncarnation(
      const host_address& to) override {
    return down_.contains(to)
               ? std::nullopt
               : std::optional<std::uint64_t>(incarnations_[to] + 5);
  }
  void SendCall(const host_address& to,
                std::shared_ptr<const call_request> message) override {
    const auto call = std::stoull(message->request_id);
    EXPECT_FALSE(calls_[call].ended);
    EXPECT_FALSE(down_.contains(to));
    calls_[call].attempts.push_back({.host = to, .id = message->id});
  }
  void SendCancel(const host_address& /*to*/,
                  const call_cancel& message) override {
    const std::uint64_t attempt = message.id.sequence;
    EXPECT_FALSE(cancels_.contains(attempt));
    if (message.unless_written) {
      EXPECT_TRUE(recalls_.insert(attempt).second);
    } else {
      cancels_.insert(attempt);
    }
  }
  void SendAttach(const host_address& /*to*/,
                  const call_attach& message) override {
    recalls_.erase(message.id.sequence);  // may be lost with the former link
    if (attempt_model* attempt = Find(message.id.sequence)) {
      attempt->link_lost = false;
    }
  }
  void OnResult(std::uint64_t call, call_result result) override {
    call_model& model = calls_[call];
    ++model.results;
    results_[call] = result;
    model.ended = true;
    if (result.outcome == call_outcome::kNotRun) {
      for (const attempt_model& attempt : model.attempts) {
        EXPECT_TRUE(attempt.refused) << "a call that is not run, " << call;
      }
    }
  }
  attempt_model* Find(std::uint64_t sequence) {
    for (auto& [handle, model] : calls_) {
      for (attempt_model& attempt : model.attempts) {
        if (attempt.id.sequence == sequence) {
          return &attempt;
        }
      }
    }
    return nullptr;
  }
  std::uint64_t Draw(std::uint64_t limit) { return events_.Next() % limit; }
  void AnswerSome() {
    std::vector<attempt_model*> open;
    for (auto& [handle, model] : calls_) {
      for (attempt_model& attempt : model.attempts) {
        if (!attempt.answered && !attempt.link_lost &&
            !down_.contains(attempt.host)) {
          open.push_back(&attempt);
        }
      }
    }
    if (open.empty()) {
      return;
    }
    attempt_model& attempt = *open[Draw(open.size())];
    attempt.answered = true;
    call_answer answer{.id = attempt.id, .reached_instance = true};
    switch (Draw(6)) {
      case 0:
        answer.outcome = call_outcome::kAnswer;
        answer.status = 200;
        break;
      case 1:
        answer.outcome = call_outcome::kAnswer;
        answer.status = 503;
        break;
      case 2:
        answer.outcome = call_outcome::kUnknown;
        answer.reason = refusal_reason::kUpstreamLost;
        break;
      case 3:
        answer.outcome = call_outcome::kNotRun;
        answer.reason = refusal_reason::kUpstreamRefused;
        attempt.refused = true;
        break;
      default:
        answer.outcome = call_outcome::kNotRun;
        answer.reason = Draw(2) == 0 ? refusal_reason::kOverloaded
                                     : refusal_reason::kLeaving;
        answer.reached_instance = false;
        attempt.not_reached = true;
        attempt.refused = true;
        break;
    }
    const host_address host = attempt.host;
    sender_->OnAnswer(host, answer);
  }
  void LoseLink(const host_address& host) {
    down_.insert(host);
    for (auto& [handle, model] : calls_) {
      for (attempt_model& attempt : model.attempts) {
        attempt.link_lost |= attempt.host == host && !attempt.answered;
      }
    }
    sender_->OnLinkDown(host);
  }
  void RestoreLink(const host_address& host) {
    if (down_.erase(host) > 0) {
      if (Draw(3) == 0) {
        ++incarnations_[host];
      }
      sender_->OnLinkUp(host, incarnations_[host] + 5);
    }
  }
  void PlayEvent() {
    const host_address host = "10.0.0." + std::to_string(1 + Draw(7));
    switch (Draw(10)) {
      case 0:
      case 1: {
        const std::uint64_t call = ++last_call_;
        call_plan plan = Plan(Draw(4) == 0);
        plan.max_attempts = static_cast<std::uint32_t>(1 + Draw(4));
        calls_[call].max_attempts = plan.max_attempts;
        calls_[call].never_repeat = plan.never_repeat;
        sender_->Begin(call, plan, {.request_id = std::to_string(call)});
        break;
      }
      case 2:
        return LoseLink(host);
      case 3:
      case 4:
        return RestoreLink(host);
      case 5:
        if (Draw(3) == 0 && !down_.contains(host)) {
          down_.insert(host);  // PeerIncarnation() is empty from then on
          sender_->OnPeerStops(host);
          stopping_.push_back(host);
        }
        break;
      case 6:
        if (last_call_ > 0 && Draw(3) == 0) {
          call_model& model = calls_[1 + Draw(last_call_)];
          if (!model.ended) {
            model.ended = true;
            for (auto& [handle, each] : calls_) {
              if (&each == &model) {
                sender_->Cancel(handle);
              }
            }
          }
        }
        break;
      case 7:
        clock_.now += milliseconds(20 + 20 * Draw(10));
        sender_->Tick();
        break;
      default:
        AnswerSome();
    }
  }
  void CheckEnded() {
    for (const auto& [handle, model] : calls_) {
      EXPECT_LE(model.results, 1);
      std::uint32_t reached = 0;
      std::uint32_t running = 0;
      for (const attempt_model& attempt : model.attempts) {
        reached += attempt.not_reached ? 0 : 1;
        running += !attempt.answered && !attempt.link_lost ? 1 : 0;
        const bool open = model.ended && !attempt.answered &&
                          !attempt.link_lost && !down_.contains(attempt.host);
        if (open && Find(attempt.id.sequence) != nullptr) {
          EXPECT_TRUE(cancels_.contains(attempt.id.sequence) ||
                      uncancelled_.contains(attempt.id.sequence))
              << "call " << handle << " ended, attempt at " << attempt.host;
        }
        if (model.ended && !open) {
          uncancelled_.insert(attempt.id.sequence);
        }
      }
      EXPECT_LE(reached, model.max_attempts) << "call " << handle;
      EXPECT_LE(model.never_repeat && !model.ended ? running : 0, 1U);
    }
  }

  std::map<std::uint64_t, call_model> calls_;
  std::map<host_address, std::uint64_t> incarnations_;
  std::set<std::uint64_t> cancels_;
  std::set<std::uint64_t> recalls_;      // on the present link
  std::set<std::uint64_t> uncancelled_;  // without link when the call ended
  std::vector<host_address> stopping_;
  std::uint64_t last_call_ = 0;
  seeded_random events_{static_cast<std::uint64_t>(GetParam())};
};

TEST_P(random_events_fixture, CallsWithTwoAttemptsKeepTheirLimits) {
  sender_options options;
  options.retries.ratio = 100;
  options.retries.slack = 1000;
  Restart(options);
  std::vector<known_instance> instances;
  for (int i = 1; i <= 7; ++i) {
    instances.push_back(Instance("i" + std::to_string(i),
                                 "10.0.0." + std::to_string(i),
                                 i < 4   ? "north-a"
                                 : i < 6 ? "north-b"
                                         : "south-a"));
  }
  SetView(instances);
  for (int i = 0; i < 400 && !HasFailure(); ++i) {
    PlayEvent();
    CheckEnded();
  }
  clock_.now += seconds(2);
  sender_->Tick();
  EXPECT_EQ(sender_->in_flight(), 0U);
  for (const auto& [handle, model] : calls_) {
    EXPECT_TRUE(model.ended);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         random_events_fixture,
                         ::testing::Range(1, 200));

}  // namespace
}  // namespace parsleyyard::testing
