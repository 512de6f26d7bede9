// Named states of the daemon, an upstream and a call, as Boost.MSM machines
// behind small classes. Internal to decide/.

#ifndef PARSLEYYARD_DECIDE_LIFE_CYCLES_H_
#define PARSLEYYARD_DECIDE_LIFE_CYCLES_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>

namespace parsleyyard {

// States of the daemon. Built on Boost.MSM behind this interface.
enum class daemon_state : std::uint8_t {
  kStarting,
  kCatchingUp,
  kServing,
  kDraining,
  kStopped
};
inline constexpr std::array<std::string_view, 5> kDaemonStateNames = {
    "starting", "catching_up", "serving", "draining", "stopped"};

enum class daemon_event : std::uint8_t {
  kPeerHeard,
  kCaughtUp,
  kLostView,
  kStopAsked,
  kIdle
};

class daemon_life_cycle {
 public:
  daemon_life_cycle();
  ~daemon_life_cycle();
  bool Process(
      daemon_event event);  // false: the event does nothing in this state
  daemon_state state() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

// States of the upstream on this host, as its daemon infers them.
enum class upstream_state : std::uint8_t {
  kUnknown,
  kWarming,
  kWarm,
  kDraining,
  kGone
};
inline constexpr std::array<std::string_view, 5> kUpstreamStateNames = {
    "unknown", "warming", "warm", "draining", "gone"};

enum class upstream_event : std::uint8_t {
  kStarted,
  kRampEnded,
  kDrainSeen,
  kConnectionRefused
};

class upstream_life_cycle {
 public:
  upstream_life_cycle();
  ~upstream_life_cycle();
  bool Process(upstream_event event);
  upstream_state state() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

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

#endif  // PARSLEYYARD_DECIDE_LIFE_CYCLES_H_
