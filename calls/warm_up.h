// What is known of the warm-up of the instance of this host. Internal to
// calls/.
//
// An instance counts as warm only if its registration or a health check has
// said so. It counts as cold before that, and after any event that may have
// made it cold, until a health check says otherwise.

#ifndef PARSLEYYARD_CALLS_WARM_UP_H_
#define PARSLEYYARD_CALLS_WARM_UP_H_

#include "model/model.h"

#include <array>
#include <string_view>

namespace parsleyyard {

// Why an instance counts as cold.
enum class warm_up_source : std::uint8_t {
  kRegistration,
  kHealthCheck,
  kProcessStart,        // neither of them has said anything yet
  kUnclearHealthCheck,  // it responds again, but not with its state
  kEvacuationEnd
};
inline constexpr std::array<std::string_view, 5> kWarmUpSourceNames = {
    "registration", "health check", "start of the daemon",
    "unclear health check", "end of an evacuation"};

inline std::string_view NameOf(warm_up_source source) {
  return kWarmUpSourceNames[static_cast<std::size_t>(source)];
}

class warm_up {
 public:
  // Call it with the end that the registration of the instance states, at each
  // update of the view.
  void OnRegistration(instant cold_until);
  // A health check has stated the rest of the warm-up.
  void OnHealthCheck(duration cold_left, instant now);
  // The instance may have become cold. It counts as cold until a health check
  // says otherwise, at the latest until `until`.
  void OnDoubt(warm_up_source why, instant until);

  // Time from which the instance counts as warm; instant::max() if that depends
  // on a registration or a health check.
  instant cold_until() const;
  bool IsCold(instant now) const { return now < cold_until(); }
  warm_up_source Source() const;
  // Returns true if only a health check can end the doubt.
  bool NeedsHealthCheck(instant now) const;

 private:
  instant stated_until_{};
  warm_up_source stated_by_ = warm_up_source::kRegistration;
  instant doubted_until_ = instant::max();
  warm_up_source doubted_for_ = warm_up_source::kProcessStart;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_WARM_UP_H_
