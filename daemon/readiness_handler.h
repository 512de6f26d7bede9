// Handler of the port for readiness checks. Internal to daemon/.

#ifndef PARSLEYYARD_DAEMON_READINESS_HANDLER_H_
#define PARSLEYYARD_DAEMON_READINESS_HANDLER_H_

#include "daemon/shared_view.h"
#include "net/net.h"

#include <atomic>
#include <functional>
#include <optional>

namespace parsleyyard {

// Answers readiness checks: 200 while the daemon has a configuration and is not
// draining, otherwise 503.
class readiness_handler : public http_handler {
 public:
  readiness_handler(const http_dialect& dialect, const shared_view& view)
      : dialect_(dialect), view_(view) {}
  void BeginDrain() { draining_ = true; }
  std::optional<http_response> OnHead(const http_request& head) override;
  std::function<void()> OnRequest(http_request request,
                                  response_callback reply) override;

 private:
  const http_dialect& dialect_;
  const shared_view& view_;
  std::atomic<bool> draining_{false};
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_READINESS_HANDLER_H_
