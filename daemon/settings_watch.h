// Watches the settings file for changes. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_
#define PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <string>

namespace parsleyyard {

// Polls the modification time of the settings file once a second, since the
// file may change without a signal.
class settings_watch {
 public:
  // `on_changed` is called on a thread of the io_context after each change.
  settings_watch(boost::asio::io_context& context,
                 std::string file,
                 std::function<void()> on_changed);
  void Start();

 private:
  void CheckFile();
  std::filesystem::file_time_type ModificationTime() const;

  const std::string file_;
  const std::function<void()> on_changed_;
  boost::asio::steady_timer timer_;
  // The earliest time if the file was never there.
  std::filesystem::file_time_type last_modified_ =
      std::filesystem::file_time_type::min();
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_
