// State machine of a call at its sender. Hides Boost.MSM from the users of this
// header. Internal to calls/.

#ifndef PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_
#define PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace parsleyyard {

enum class call_state : std::uint8_t {
  kChoosing,    // no target is chosen
  kConnecting,  // waits for the link to the target
  kSent,        // waits for the answer of the target
  kAttaching,   // the link was lost; waits for a new one
  kEnded
};
inline constexpr std::array<std::string_view, 5> kCallStateNames = {
    "choosing", "connecting", "sent", "attaching", "ended"};

enum class call_event : std::uint8_t {
  kTargetChosen,
  kAttemptSent,
  kLinkLost,
  kAttached,
  kAttemptEnded,  // the attempt has failed; another one may follow
  kFinished       // the call has its result
};

class call_life_cycle {
 public:
  call_life_cycle();
  ~call_life_cycle();
  call_life_cycle(call_life_cycle&&) noexcept;
  call_life_cycle& operator=(call_life_cycle&&) noexcept;
  // Returns false, and changes nothing, if the state has no transition for the
  // event.
  bool Process(call_event event);
  call_state state() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_
