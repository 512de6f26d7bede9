#include "daemon/settings_watch.h"

#include <chrono>

namespace parsleyyard {

namespace {

// A change of the settings is not urgent, so that one check a second is enough.
constexpr auto kCheckInterval = std::chrono::seconds(1);

}  // namespace

settings_watch::settings_watch(boost::asio::io_context& context,
                               std::string file,
                               std::function<void()> on_changed)
    : file_(std::move(file)),
      on_changed_(std::move(on_changed)),
      timer_(context) {
  last_modified_ = ModificationTime();
}

// Returns the last known modification time if the file is missing, since a file
// that is being replaced can be missing for a moment.
std::filesystem::file_time_type settings_watch::ModificationTime() const {
  std::error_code error;
  const auto modified = std::filesystem::last_write_time(file_, error);
  return error ? last_modified_ : modified;
}

void settings_watch::Start() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    CheckFile();
    Start();
  });
}

void settings_watch::CheckFile() {
  const auto modified = ModificationTime();
  if (modified == last_modified_) {
    return;
  }
  last_modified_ = modified;
  on_changed_();
}

}  // namespace parsleyyard
