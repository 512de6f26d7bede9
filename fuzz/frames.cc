// Frames between daemons: a decoded message encodes and decodes to the same.

#include "control/control.h"
#include "fuzz/check.h"
#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>

namespace parsleyyard {
namespace {

std::optional<any_message> TryDecode(std::string_view frame) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<any_message>> {
        BOOST_LEAF_AUTO(message, Decode(frame));
        return std::optional<any_message>(std::move(message));
      },
      [](wire_error) { return std::optional<any_message>(); },
      [] {
        Check(false, "each error of Decode() is a wire_error");
        return std::optional<any_message>();
      });
}

void UnpackItems(const view_update& update) {
  const std::string base = "base";
  for (const view_item& item : update.items) {
    for (const std::string* from :
         {static_cast<const std::string*>(nullptr), &base}) {
      const auto content = Unpack(item.packed, item.size, from);
      Check(!content || content->size() == item.size,
            "an unpacked value has the stated size");
    }
  }
}

}  // namespace
}  // namespace parsleyyard

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace parsleyyard;
  const auto message = TryDecode(ToText(data, size));
  if (!message) {
    return 0;
  }
  const auto again = TryDecode(Encode(*message));
  Check(again == message, "a decoded message encodes and decodes to the same");
  if (const auto* update = std::get_if<view_update>(&*message)) {
    UnpackItems(*update);
  }
  return 0;
}
