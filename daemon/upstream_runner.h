// Runs calls at the instance of this host and asks for its health. Internal to
// daemon/.

#ifndef PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_
#define PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_

#include "calls/calls.h"
#include "net/net.h"

#include <functional>
#include <map>
#include <mutex>

namespace parsleyyard {

class upstream_runner : public upstream_port {
 public:
  using done_function = std::function<void(const call_id&, upstream_result)>;
  using report_function = std::function<void(const upstream_report&)>;
  using path_function = std::function<std::string()>;

  upstream_runner(asio::io_context& context,
                  const http_client_options& options,
                  const http_dialect& dialect)
      : dialect_(dialect), client_(context, options) {}

  // Must be set before the first Run(). Called on a thread of the io_context.
  void Connect(done_function done,
               report_function reported,
               path_function health_path);
  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration time_left) override;
  void Cancel(const call_id& id) override;
  void Probe() override;

 private:
  using key = std::pair<std::uint64_t, std::uint64_t>;

  void OnDone(const call_id& id, http_exchange exchange);

  const http_dialect& dialect_;
  const monotonic_clock clock_;
  http_client client_;
  done_function done_;
  report_function reported_;
  path_function health_path_;
  std::mutex mutex_;  // guards running_; last in the lock order
  std::map<key, std::function<void()>> running_;  // aborts by call
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_
