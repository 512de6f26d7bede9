#include "daemon/settings_watch.h"

#include <chrono>

namespace parsleyyard {

namespace {

// Between two looks; a change of settings is not urgent.
constexpr auto kInterval = std::chrono::seconds(1);

}  // namespace

settings_watch::settings_watch(boost::asio::io_context& context,
                               std::string file,
                               std::function<void()> changed)
    : file_(std::move(file)),
      changed_(std::move(changed)),
      timer_(context),
      seen_(WrittenAt()) {}

// A file that is missing for a moment, as while it is replaced, counts as
// written when it was last seen.
std::filesystem::file_time_type settings_watch::WrittenAt() const {
  std::error_code error;
  const auto written = std::filesystem::last_write_time(file_, error);
  return error ? seen_ : written;
}

void settings_watch::Begin() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    Check();
    Begin();
  });
}

void settings_watch::Check() {
  const auto written = WrittenAt();
  if (written == seen_) {
    return;
  }
  seen_ = written;
  changed_();
}

}  // namespace parsleyyard
