// What the parts of the view keeper share. Internal to control/.

#ifndef PARSLEYYARD_CONTROL_VIEW_INTERNALS_H_
#define PARSLEYYARD_CONTROL_VIEW_INTERNALS_H_

#include "model/model.h"

#include <algorithm>
#include <limits>

namespace parsleyyard {

// In a region with more peers than this, daemons get the view from others of
// the region where they can: the configuration of a large fleet has hundreds of
// kilobytes, and the link between two regions can carry it only a few times per
// second.
inline constexpr std::size_t kSmallRegionPeers = 8;

// A daemon that can't get updates in the usual way requests them at this
// interval. A peer sends it updates until no request has arrived for the
// timeout.
inline constexpr duration kUpdateRequestInterval =
    std::chrono::milliseconds(500);
inline constexpr duration kSubscriptionTimeout =
    std::chrono::milliseconds(1600);

// Zero for a negative duration.
inline std::uint32_t ToMilliseconds(duration value) {
  constexpr duration::rep kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<duration::rep>(value.count() / 1000, 0, kMax));
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CONTROL_VIEW_INTERNALS_H_
