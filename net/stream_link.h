// One TCP stream of frames. Internal to net/.

#ifndef PARSLEYYARD_NET_STREAM_LINK_H_
#define PARSLEYYARD_NET_STREAM_LINK_H_

#include "net/net.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <memory>
#include <string>

namespace parsleyyard {

using tcp = asio::ip::tcp;
using frame_ptr = std::shared_ptr<const std::string>;

class stream_link;

// Hears the life of one stream, on the stream's strand.
class stream_listener {
 public:
  virtual ~stream_listener() = default;
  virtual void OnHello(const std::shared_ptr<stream_link>& link,
                       const link_hello& hello) = 0;
  virtual void OnFrame(const std::shared_ptr<stream_link>& link,
                       any_message message) = 0;
  virtual void OnBadFrame() = 0;
  virtual void OnClosed(const std::shared_ptr<stream_link>& link) = 0;
};

class stream_link : public std::enable_shared_from_this<stream_link> {
 public:
  stream_link(tcp::socket socket,
              const mesh_options& options,
              stream_listener& listener);

  // Connects to `target` first if it is given, then exchanges hellos and reads.
  void Start(std::optional<tcp::endpoint> target);
  void Send(frame_ptr frame, bool urgent);  // from any thread
  void Close();                             // from any thread

  bool outgoing = false;  // opened by this daemon
  host_address peer;      // from the hello, or the address dialled

 private:
  asio::awaitable<void> Run(std::optional<tcp::endpoint> target);
  asio::awaitable<bool> ReadFrames();
  bool TakeFrames(std::string& received);
  bool TakeFrame(std::string_view frame);
  void SendMessage(const any_message& message);
  asio::awaitable<void> WriteQueue();
  asio::awaitable<void> WatchIdle();

  tcp::socket socket_;
  const mesh_options& options_;
  stream_listener& listener_;
  asio::steady_timer watch_timer_;
  std::deque<frame_ptr> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;
  bool ready_ = false;  // connected; frames may be written
  bool closed_ = false;
  bool greeted_ = false;
  bool probed_ = false;          // a probe waits for its reply
  std::ptrdiff_t in_write_ = 0;  // frames at the front that are being written
  std::size_t missing_ = 0;      // bytes of the frame that is being read
  std::chrono::steady_clock::time_point sent_at_;
  std::chrono::steady_clock::time_point heard_at_;
  std::chrono::steady_clock::time_point probed_at_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_STREAM_LINK_H_
