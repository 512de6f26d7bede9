// One TCP stream of frames between two daemons. Internal to net/.

#ifndef PARSLEYYARD_NET_STREAM_LINK_H_
#define PARSLEYYARD_NET_STREAM_LINK_H_

#include "net/memory_budget.h"
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

// Receives the events of one stream, on the strand of the stream.
class stream_listener {
 public:
  virtual ~stream_listener() = default;
  // The hello is the first message of each stream.
  virtual void OnHello(const std::shared_ptr<stream_link>& link,
                       const link_hello& hello) = 0;
  // Any later message. Probes are handled by the stream itself.
  virtual void OnMessage(const std::shared_ptr<stream_link>& link,
                         any_message message) = 0;
  // A call of the peer was dropped before it was decoded, since the memory
  // budget is used up. It will not run.
  virtual void OnCallDropped(const std::shared_ptr<stream_link>& link,
                             const call_id& id) = 0;
  // The peer is about to stop and gets nothing more on this stream. Called on
  // outgoing streams.
  virtual void OnPeerStops(const std::shared_ptr<stream_link>& link) = 0;
  // A frame was rejected. The stream ends.
  virtual void OnBadFrame() = 0;
  // The stream ended or could not be opened. Called once.
  virtual void OnClosed(const std::shared_ptr<stream_link>& link) = 0;
};

// `options` and `listener` must outlive the stream.
class stream_link : public std::enable_shared_from_this<stream_link> {
 public:
  stream_link(tcp::socket socket,
              const mesh_options& options,
              stream_listener& listener);

  // Connects to `target`, or uses the accepted socket if it is empty. Then
  // sends the hello and reads until the stream ends.
  void Start(std::optional<tcp::endpoint> target);
  // Queues a frame; an urgent one goes ahead of the frames that are not yet
  // being written. Closes the stream if its queue is too long. Thread-safe.
  void Send(frame_ptr frame, bool urgent);
  // Asks the peer, which opened the stream, to send nothing more. The stream
  // ends once all that the peer has sent was handled. Thread-safe.
  void AnnounceClose();
  void Close();  // thread-safe
  // Returns true if this side closed the stream because it was idle. Valid in
  // OnClosed().
  bool ClosedAsIdle() const { return closed_as_idle_; }

  bool outgoing = false;  // opened by this daemon
  host_address peer;      // the address connected to, or the one in the hello

 private:
  asio::awaitable<void> Run(std::optional<tcp::endpoint> target);
  asio::awaitable<bool> ReadFrames();
  bool TakeInput(std::string_view input);
  bool HandleFrames();
  bool HandleFrame(std::string_view frame);
  bool HoldInput(std::size_t bytes);
  bool HoldDecoded(std::string_view frame);
  void HoldRest();
  bool DropUnfinishedFrame();
  bool DropFrame(std::string_view frame);
  void OnInputShed();
  bool HoldAnswers(std::size_t added);
  void SendMessage(const any_message& message);
  asio::awaitable<void> WriteQueue();
  asio::awaitable<void> AwaitWrites();
  void EndSending();
  asio::awaitable<void> WatchLiveness();
  bool IsIdle(std::chrono::steady_clock::time_point now) const;

  tcp::socket socket_;
  const mesh_options& options_;
  stream_listener& listener_;
  asio::steady_timer liveness_timer_;
  std::deque<frame_ptr> queue_;
  std::size_t queued_bytes_ = 0;
  bool writing_ = false;          // WriteQueue() runs
  bool connected_ = false;        // frames may be written
  bool close_announced_ = false;  // by this side
  bool sending_ended_ = false;    // nothing is queued any more
  bool closed_ = false;
  bool closed_as_idle_ = false;
  bool hello_received_ = false;
  bool awaiting_probe_reply_ = false;
  // Number of frames at the front of queue_ that are being written.
  std::ptrdiff_t frames_in_write_ = 0;
  std::string received_;             // frames that are not handled yet
  std::size_t missing_bytes_ = 0;    // rest of a partly received frame
  std::size_t discarded_bytes_ = 0;  // rest of a dropped frame
  memory_account input_account_;     // received_, and what is being decoded
  memory_account answers_account_;   // queue_ of a stream that carries answers
  std::chrono::steady_clock::time_point sent_at_;      // last completed write
  std::chrono::steady_clock::time_point received_at_;  // last received data
  std::chrono::steady_clock::time_point probe_sent_at_;
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_STREAM_LINK_H_
