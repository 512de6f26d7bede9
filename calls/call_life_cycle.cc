// Boost.MSM implementation of call_life_cycle.

#include "calls/call_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace parsleyyard {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;
namespace mpl = boost::mpl;

// Types that represent an event value and a state value in the transition
// table.
template <auto Event>
struct event_type {};

template <auto State>
struct state_type : front::state<> {};

template <auto From, auto Event, auto To>
using transition =
    front::Row<state_type<From>, event_type<Event>, state_type<To>>;

// Ignores events for which the current state has no transition.
template <class Derived>
struct base_definition : front::state_machine_def<Derived> {
  template <class Machine, class Event>
  void no_transition(const Event& /*event*/,
                     Machine& /*machine*/,
                     int /*state*/) {}
};

template <auto... Events, class Machine, class Event>
bool Dispatch(Machine& machine, Event event) {
  bool transition_taken = false;
  const auto dispatch_if_equal = [&]<auto Candidate>() {
    if (event == Candidate) {
      transition_taken = machine.process_event(event_type<Candidate>()) ==
                         msm::back::HANDLED_TRUE;
    }
  };
  (dispatch_if_equal.template operator()<Events>(), ...);
  return transition_taken;
}

using cs = call_state;
using ce = call_event;
struct call_definition : base_definition<call_definition> {
  using initial_state = state_type<cs::kChoosing>;
  struct transition_table
      : mpl::vector<
            transition<cs::kChoosing, ce::kTargetChosen, cs::kConnecting>,
            transition<cs::kConnecting, ce::kAttemptSent, cs::kSent>,
            transition<cs::kSent, ce::kLinkLost, cs::kAttaching>,
            transition<cs::kAttaching, ce::kFinished, cs::kEnded>,
            transition<cs::kAttaching, ce::kAttached, cs::kSent>,
            transition<cs::kChoosing, ce::kFinished, cs::kEnded>,
            transition<cs::kConnecting, ce::kFinished, cs::kEnded>,
            transition<cs::kConnecting, ce::kAttemptEnded, cs::kChoosing>,
            transition<cs::kSent, ce::kAttemptEnded, cs::kChoosing>,
            transition<cs::kSent, ce::kFinished, cs::kEnded>,
            transition<cs::kAttaching, ce::kAttemptEnded, cs::kChoosing>> {};
};

template <class State, class Machine>
State StateOf(const Machine& machine) {
  return static_cast<State>(machine.current_state()[0]);
}

}  // namespace

struct call_life_cycle::machine : msm::back::state_machine<call_definition> {};
call_life_cycle::call_life_cycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}
call_life_cycle::~call_life_cycle() = default;
call_life_cycle::call_life_cycle(call_life_cycle&&) noexcept = default;
call_life_cycle& call_life_cycle::operator=(call_life_cycle&&) noexcept =
    default;
bool call_life_cycle::Process(call_event event) {
  return Dispatch<ce::kTargetChosen, ce::kAttemptSent, ce::kLinkLost,
                  ce::kAttached, ce::kAttemptEnded, ce::kFinished>(*machine_,
                                                                   event);
}
call_state call_life_cycle::state() const {
  return StateOf<call_state>(*machine_);
}

}  // namespace parsleyyard
