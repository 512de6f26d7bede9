// The life cycles as Boost.MSM state machines.

#include "decide/life_cycles.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace parsleyyard {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;
namespace mpl = boost::mpl;

// An event value as a type, so that it can stand in a transition table.
template <auto Event>
struct on {};

template <auto State>
struct in : front::state<> {};

template <auto From, auto Event, auto To>
using step = front::Row<in<From>, on<Event>, in<To>>;

// An event that a state does not know changes nothing.
template <class Derived>
struct definition : front::state_machine_def<Derived> {
  template <class Machine, class Event>
  void no_transition(const Event& /*event*/,
                     Machine& /*machine*/,
                     int /*state*/) {}
};

template <auto... Events, class Machine, class Event>
bool Dispatch(Machine& machine, Event event) {
  bool handled = false;
  const auto try_one = [&]<auto Candidate>() {
    if (event == Candidate) {
      handled =
          machine.process_event(on<Candidate>()) == msm::back::HANDLED_TRUE;
    }
  };
  (try_one.template operator()<Events>(), ...);
  return handled;
}

using ds = daemon_state;
using de = daemon_event;
struct daemon_definition : definition<daemon_definition> {
  using initial_state = in<ds::kStarting>;
  // The order of first appearance gives the state numbers; it is that of
  // daemon_state.
  struct transition_table
      : mpl::vector<step<ds::kStarting, de::kPeerHeard, ds::kCatchingUp>,
                    step<ds::kCatchingUp, de::kCaughtUp, ds::kServing>,
                    step<ds::kServing, de::kStopAsked, ds::kDraining>,
                    step<ds::kDraining, de::kIdle, ds::kStopped>,
                    step<ds::kDraining, de::kLostView, ds::kStopped>,
                    step<ds::kServing, de::kLostView, ds::kCatchingUp>,
                    step<ds::kStarting, de::kStopAsked, ds::kStopped>,
                    step<ds::kCatchingUp, de::kStopAsked, ds::kStopped>> {};
};

using us = upstream_state;
using ue = upstream_event;
struct upstream_definition : definition<upstream_definition> {
  using initial_state = in<us::kUnknown>;
  struct transition_table
      : mpl::vector<step<us::kUnknown, ue::kStarted, us::kWarming>,
                    step<us::kWarming, ue::kRampEnded, us::kWarm>,
                    step<us::kWarm, ue::kDrainSeen, us::kDraining>,
                    step<us::kDraining, ue::kConnectionRefused, us::kGone>,
                    step<us::kUnknown, ue::kConnectionRefused, us::kGone>,
                    step<us::kUnknown, ue::kDrainSeen, us::kDraining>,
                    step<us::kWarming, ue::kDrainSeen, us::kDraining>,
                    step<us::kWarming, ue::kConnectionRefused, us::kGone>,
                    step<us::kWarming, ue::kStarted, us::kWarming>,
                    step<us::kWarm, ue::kStarted, us::kWarming>,
                    step<us::kWarm, ue::kConnectionRefused, us::kGone>,
                    step<us::kDraining, ue::kStarted, us::kWarming>,
                    step<us::kGone, ue::kStarted, us::kWarming>> {};
};

using cs = call_state;
using ce = call_event;
struct call_definition : definition<call_definition> {
  using initial_state = in<cs::kChoosing>;
  struct transition_table
      : mpl::vector<step<cs::kChoosing, ce::kTargetChosen, cs::kConnecting>,
                    step<cs::kConnecting, ce::kHandedOver, cs::kSent>,
                    step<cs::kSent, ce::kLinkLost, cs::kAttaching>,
                    step<cs::kAttaching, ce::kFinished, cs::kEnded>,
                    step<cs::kAttaching, ce::kAttached, cs::kSent>,
                    step<cs::kChoosing, ce::kFinished, cs::kEnded>,
                    step<cs::kConnecting, ce::kFinished, cs::kEnded>,
                    step<cs::kConnecting, ce::kTryAgain, cs::kChoosing>,
                    step<cs::kSent, ce::kTryAgain, cs::kChoosing>,
                    step<cs::kSent, ce::kFinished, cs::kEnded>,
                    step<cs::kAttaching, ce::kTryAgain, cs::kChoosing>> {};
};

template <class State, class Machine>
State StateOf(const Machine& machine) {
  return static_cast<State>(machine.current_state()[0]);
}

}  // namespace

struct daemon_life_cycle::machine
    : msm::back::state_machine<daemon_definition> {};
daemon_life_cycle::daemon_life_cycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}
daemon_life_cycle::~daemon_life_cycle() = default;
bool daemon_life_cycle::Process(daemon_event event) {
  return Dispatch<de::kPeerHeard, de::kCaughtUp, de::kLostView, de::kStopAsked,
                  de::kIdle>(*machine_, event);
}
daemon_state daemon_life_cycle::state() const {
  return StateOf<daemon_state>(*machine_);
}

struct upstream_life_cycle::machine
    : msm::back::state_machine<upstream_definition> {};
upstream_life_cycle::upstream_life_cycle()
    : machine_(std::make_unique<machine>()) {
  machine_->start();
}
upstream_life_cycle::~upstream_life_cycle() = default;
bool upstream_life_cycle::Process(upstream_event event) {
  return Dispatch<ue::kStarted, ue::kRampEnded, ue::kDrainSeen,
                  ue::kConnectionRefused>(*machine_, event);
}
upstream_state upstream_life_cycle::state() const {
  return StateOf<upstream_state>(*machine_);
}

struct call_life_cycle::machine : msm::back::state_machine<call_definition> {};
call_life_cycle::call_life_cycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}
call_life_cycle::~call_life_cycle() = default;
call_life_cycle::call_life_cycle(call_life_cycle&&) noexcept = default;
call_life_cycle& call_life_cycle::operator=(call_life_cycle&&) noexcept =
    default;
bool call_life_cycle::Process(call_event event) {
  return Dispatch<ce::kTargetChosen, ce::kHandedOver, ce::kLinkLost,
                  ce::kAttached, ce::kTryAgain, ce::kFinished>(*machine_,
                                                               event);
}
call_state call_life_cycle::state() const {
  return StateOf<call_state>(*machine_);
}

}  // namespace parsleyyard
