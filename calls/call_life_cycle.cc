// The life cycle as a Boost.MSM state machine.

#include "calls/call_life_cycle.h"

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
