// Runs calls at the instance of this host and probes its health. Thread-safe.
// Internal to daemon/.

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
  using result_function = std::function<void(const call_id&, upstream_result)>;
  using write_function = std::function<bool(const call_id&)>;
  using health_report_function = std::function<void(const upstream_report&)>;
  using health_path_function = std::function<std::string()>;

  upstream_runner(asio::io_context& context,
                  const http_client_options& options,
                  const http_dialect& dialect);

  // Call this before the first Run() or Probe(). The callbacks run on threads
  // of the io_context.
  // `may_write` is called before the request of a call is written. If it
  // returns false, the request is not written and the call ends.
  void SetCallbacks(write_function may_write,
                    result_function on_result,
                    health_report_function on_health_report,
                    health_path_function health_path);
  void Run(const call_id& id,
           std::shared_ptr<const call_request> message,
           duration time_left) override;
  void Cancel(const call_id& id) override;
  void Probe() override;

 private:
  using call_key = std::pair<std::uint64_t, std::uint64_t>;  // origin, sequence

  void OnDone(const call_id& id, http_exchange exchange);

  const http_dialect& dialect_;
  const monotonic_clock clock_;
  http_client client_;
  write_function may_write_;
  result_function on_result_;
  health_report_function on_health_report_;
  health_path_function health_path_;
  std::mutex mutex_;  // guards running_; locked before http_client's mutex
  std::map<call_key, std::function<void()>>
      running_;  // abort functions of the exchanges in flight, by call
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_UPSTREAM_RUNNER_H_
