// Notices that the settings file changed. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_
#define PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <string>

namespace parsleyyard {

// Looks at the file once a second, since it may change without a signal.
class settings_watch {
 public:
  // `changed` is called on a thread of the io_context.
  settings_watch(boost::asio::io_context& context,
                 std::string file,
                 std::function<void()> changed);
  void Begin();

 private:
  void Check();
  std::filesystem::file_time_type WrittenAt() const;

  const std::string file_;
  const std::function<void()> changed_;
  boost::asio::steady_timer timer_;
  std::filesystem::file_time_type seen_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SETTINGS_WATCH_H_
