// Runs calls at the upstream of this host and asks for its load. Internal to
// daemon/.

#ifndef PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_
#define PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_

#include "net/net.h"

#include <functional>
#include <map>
#include <mutex>

namespace parsleyyard {

class upstream_runner : public upstream_port {
 public:
  using done_function = std::function<void(const call_id&, upstream_result)>;
  using probe_function = std::function<void(upstream_result)>;

  upstream_runner(asio::io_context& context, http_client_options options)
      : client_(context, options), probe_client_(context, WithWatch(options)) {}

  // Must be set before the first Run(). Called on a thread of the io_context.
  void Connect(done_function done, probe_function probed);
  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration time_left) override;
  void Cancel(const call_id& id) override;
  void Probe();  // asks the load endpoint; one question at a time

 private:
  http_client_options WithWatch(http_client_options options);
  using key = std::pair<std::uint64_t, std::uint64_t>;

  http_client client_;
  http_client probe_client_;
  done_function done_;
  probe_function probed_;
  std::atomic<bool> probing_{false};
  std::mutex mutex_;  // guards running_; last in the lock order
  std::map<key, std::function<void()>> running_;  // aborts by call
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_
