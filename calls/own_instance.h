// The instance of this host as the view shows it. Internal to calls/.

#ifndef PARSLEYYARD_CALLS_OWN_INSTANCE_H_
#define PARSLEYYARD_CALLS_OWN_INSTANCE_H_

#include "calls/calls.h"

#include <string>

namespace parsleyyard {

// `options` must outlive the object.
class own_instance {
 public:
  explicit own_instance(const target_options& options) : options_(options) {}

  // Takes over the registration of the instance from the view.
  void Update(const snapshot& view);
  // Returns true if the evacuation of the failure domain of this host has ended
  // between the last two updates.
  bool EvacuationEnded() const { return evacuation_ended_; }
  // Returns true if the last update has replaced a registered instance by
  // another.
  bool InstanceChanged() const { return instance_changed_; }
  // Slots of the last registration, at least 1.
  std::uint32_t Slots() const { return slots_; }

  // Returns the instance that is registered at this host, or null.
  const known_instance* FindRegistered(const snapshot& view) const;
  // Returns the reason for which this host must not run the call whatever its
  // instance, or kNone.
  refusal_reason FindHostRefusal(const snapshot& view,
                                 const call_request& message) const;
  // Returns the reason for which the registration of the instance forbids the
  // call, or kNone. A call for an instance that is not in the view yet is
  // allowed: its sender may know a newer view.
  refusal_reason FindInstanceRefusal(const snapshot& view,
                                     const call_request& message) const;

 private:
  const target_options& options_;
  std::string last_instance_;  // id of the last instance registered here
  std::uint32_t slots_ = 1;
  bool was_evacuated_ = false;
  bool evacuation_ended_ = false;
  bool instance_changed_ = false;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_CALLS_OWN_INSTANCE_H_
