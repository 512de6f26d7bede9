// Named states of a call at its sender, as a Boost.MSM machine behind a small
// class. Internal to calls/.

#ifndef PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_
#define PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace parsleyyard {

// States of one call at its sender.
enum class call_state : std::uint8_t {
  kChoosing,
  kConnecting,
  kSent,
  kAttaching,
  kEnded
};
inline constexpr std::array<std::string_view, 5> kCallStateNames = {
    "choosing", "connecting", "sent", "attaching", "ended"};

enum class call_event : std::uint8_t {
  kTargetChosen,
  kHandedOver,
  kLinkLost,
  kAttached,
  kTryAgain,
  kFinished
};

class call_life_cycle {
 public:
  call_life_cycle();
  ~call_life_cycle();
  call_life_cycle(call_life_cycle&&) noexcept;
  call_life_cycle& operator=(call_life_cycle&&) noexcept;
  bool Process(call_event event);
  call_state state() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_CALL_LIFE_CYCLE_H_
