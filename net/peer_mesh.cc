// The streams to and from all peers.

#include "net/stream_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace parsleyyard {

namespace {

constexpr auto kNothrowAwaitable = asio::as_tuple(asio::use_awaitable);
// Bytes of unread input that the system keeps for one stream. The link between
// two regions carries 60 Mbit/s with a round trip of 24 ms: 180,000 bytes.
constexpr int kPeerReceiveBytes = 256 * 1024;
// Delay after an accept that failed.
constexpr duration kAcceptRetryDelay = std::chrono::milliseconds(10);

// Returns null if a field of the message exceeds its limit.
frame_ptr TryEncode(const any_message& message) {
  try {
    return std::make_shared<const std::string>(Encode(message));
  } catch (const bound_exceeded&) {
    return nullptr;
  }
}

bool IsControl(const any_message& message) {
  return std::holds_alternative<view_update>(message);
}

}  // namespace

class mesh_internals : public stream_listener,
                       public std::enable_shared_from_this<mesh_internals> {
 public:
  mesh_internals(asio::io_context& context,
                 mesh_options options,
                 mesh_listener& listener)
      : context_(context),
        options_(std::move(options)),
        listener_(listener),
        acceptor_(asio::make_strand(context)) {}

  leaf::result<void> Listen();
  void Open(const host_address& peer);
  std::optional<std::uint64_t> PeerIncarnation(const host_address& peer) const;
  void Send(const host_address& peer,
            const any_message& message,
            send_mode mode);
  bool IsReachable(const host_address& peer) const;
  void BeginClose();
  bool HasIncomingStreams() const;
  void Close();

  void OnHello(const std::shared_ptr<stream_link>& link,
               const link_hello& hello) override;
  void OnMessage(const std::shared_ptr<stream_link>& link,
                 any_message message) override;
  void OnCallDropped(const std::shared_ptr<stream_link>& link,
                     const call_id& id) override {
    listener_.OnCallDropped(link->peer, id);
  }
  void OnPeerStops(const std::shared_ptr<stream_link>& link) override;
  void OnBadFrame() override { ++counters_.bad_frames; }
  void OnClosed(const std::shared_ptr<stream_link>& link) override;

  mesh_counters counters_;

 private:
  struct outgoing_link {
    std::shared_ptr<stream_link> link;
    // From the peer's hello. Empty: the stream is not up yet.
    std::optional<std::uint64_t> incarnation;
    // Messages to send when the stream is up, each with whether it is urgent.
    std::vector<std::pair<any_message, bool>> waiting;
  };

  asio::awaitable<void> AcceptConnections();
  void StartAccepted(tcp::socket socket);
  asio::awaitable<void> PauseAfterError();
  void CloseAcceptor();
  std::shared_ptr<stream_link> OpenStream(const host_address& peer);
  std::optional<asio::ip::address_v4> Resolve(const host_address& peer) const;
  void FailToOpen(const std::shared_ptr<stream_link>& link);
  void SendOn(stream_link& link,
              const host_address& peer,
              const any_message& message,
              bool urgent);

  asio::io_context& context_;
  mesh_options options_;
  mesh_listener& listener_;
  tcp::acceptor acceptor_;
  // Guards all below. Held while options_.resolve runs.
  mutable std::mutex mutex_;
  std::unordered_map<host_address, outgoing_link> outgoing_;
  // The streams that peers have opened, from the start of each to its end.
  std::unordered_set<std::shared_ptr<stream_link>> accepted_;
  // Those of them that messages to a peer go on, from its hello.
  std::unordered_map<host_address, std::shared_ptr<stream_link>> incoming_;
  // When the outgoing stream to a peer last ended or could not be opened.
  std::unordered_map<host_address, instant> failed_at_;
  const monotonic_clock clock_;
  bool closing_ = false;  // streams that are accepted still end in order
  bool closed_ = false;
};

leaf::result<void> mesh_internals::Listen() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(options_.address, error);
  if (!error) {
    acceptor_.open(tcp::v4(), error);
  }
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(tcp::endpoint(address, options_.port), error);
  }
  if (!error && options_.memory != nullptr) {
    // The accepted sockets inherit it.
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(kPeerReceiveBytes), error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return leaf::new_error(net_error{"can't listen on " + options_.address +
                                     ":" + std::to_string(options_.port) +
                                     ": " + error.message()});
  }
  auto self = shared_from_this();
  asio::co_spawn(
      acceptor_.get_executor(),
      [self]() -> asio::awaitable<void> { co_await self->AcceptConnections(); },
      asio::detached);
  return {};
}

asio::awaitable<void> mesh_internals::AcceptConnections() {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(
        asio::make_strand(context_), kNothrowAwaitable);
    if (error) {
      co_await PauseAfterError();
      continue;
    }
    StartAccepted(std::move(socket));
  }
}

void mesh_internals::StartAccepted(tcp::socket socket) {
  const auto link =
      std::make_shared<stream_link>(std::move(socket), options_, *this);
  bool announce_close = false;
  {
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return;
    }
    accepted_.insert(link);
    announce_close = closing_;
  }
  link->Start(std::nullopt);
  if (announce_close) {
    link->AnnounceClose();
  }
}

// When the process has no free file descriptor, each accept fails at once; the
// pause prevents a busy loop.
asio::awaitable<void> mesh_internals::PauseAfterError() {
  asio::steady_timer timer(acceptor_.get_executor(), kAcceptRetryDelay);
  co_await timer.async_wait(kNothrowAwaitable);
}

// Empty if the address to connect to is not valid.
std::optional<asio::ip::address_v4> mesh_internals::Resolve(
    const host_address& peer) const {
  boost::system::error_code error;
  const auto address = asio::ip::make_address_v4(
      options_.resolve ? options_.resolve(peer) : peer, error);
  return error ? std::nullopt : std::optional(address);
}

// Ends a stream to a peer without a valid address, on the strand of the stream.
void mesh_internals::FailToOpen(const std::shared_ptr<stream_link>& link) {
  const host_address address =
      options_.resolve ? options_.resolve(link->peer) : link->peer;
  listener_.OnLinkError(link->peer, {.what = "no IPv4 address: " + address});
  link->Close();
  OnClosed(link);
}

// Creates and starts the outgoing stream to a peer. The caller holds the mutex.
std::shared_ptr<stream_link> mesh_internals::OpenStream(
    const host_address& peer) {
  const auto executor = asio::make_strand(context_);
  tcp::socket socket(executor);
  boost::system::error_code error;
  socket.open(tcp::v4(), error);
  const auto own_address = asio::ip::make_address_v4(options_.address, error);
  socket.bind(tcp::endpoint(own_address, 0), error);
  if (options_.memory != nullptr) {
    socket.set_option(asio::socket_base::receive_buffer_size(kPeerReceiveBytes),
                      error);
  }
  auto link = std::make_shared<stream_link>(std::move(socket), options_, *this);
  link->outgoing = true;
  link->peer = peer;
  const auto address = Resolve(peer);
  if (!address) {
    asio::post(executor,
               [self = shared_from_this(), link] { self->FailToOpen(link); });
    return link;
  }
  const tcp::endpoint target(*address, options_.port);
  asio::post(executor, [link, target] { link->Start(target); });
  return link;
}

void mesh_internals::Open(const host_address& peer) {
  const std::lock_guard lock(mutex_);
  outgoing_link& entry = outgoing_[peer];
  if (entry.link == nullptr && !closed_) {
    entry.link = OpenStream(peer);
    return;
  }
  if (entry.incarnation) {
    asio::post(context_, [self = shared_from_this(), peer,
                          incarnation = *entry.incarnation] {
      self->listener_.OnLinkUp(peer, incarnation);
    });
  }
}

std::optional<std::uint64_t> mesh_internals::PeerIncarnation(
    const host_address& peer) const {
  const std::lock_guard lock(mutex_);
  const auto found = outgoing_.find(peer);
  return found == outgoing_.end() ? std::nullopt : found->second.incarnation;
}

void mesh_internals::SendOn(stream_link& link,
                            const host_address& peer,
                            const any_message& message,
                            bool urgent) {
  const frame_ptr frame = TryEncode(message);
  if (frame == nullptr) {
    asio::post(context_, [self = shared_from_this(), peer, message] {
      self->listener_.OnUndelivered(peer, message);
    });
    return;
  }
  if (IsControl(message)) {
    counters_.control_bytes_sent += frame->size();
  }
  link.Send(frame, urgent);
}

void mesh_internals::Send(const host_address& peer,
                          const any_message& message,
                          send_mode mode) {
  const std::lock_guard lock(mutex_);
  if (mode == send_mode::kReply || mode == send_mode::kUrgentReply) {
    const auto found = incoming_.find(peer);
    if (found != incoming_.end()) {
      SendOn(*found->second, peer, message, mode == send_mode::kUrgentReply);
    }
    return;
  }
  const auto found = outgoing_.find(peer);
  const bool up = found != outgoing_.end() && found->second.incarnation;
  const bool urgent = mode == send_mode::kUrgent;
  if (up) {
    SendOn(*found->second.link, peer, message, urgent);
    return;
  }
  if (mode == send_mode::kIfConnected || closed_) {
    return;
  }
  outgoing_link& entry = outgoing_[peer];
  if (entry.link == nullptr) {
    entry.link = OpenStream(peer);
  }
  entry.waiting.emplace_back(message, urgent);
}

bool mesh_internals::IsReachable(const host_address& peer) const {
  const std::lock_guard lock(mutex_);
  const auto failed = failed_at_.find(peer);
  return failed == failed_at_.end() ||
         clock_.Now() - failed->second > options_.unreachable_period;
}

void mesh_internals::OnHello(const std::shared_ptr<stream_link>& link,
                             const link_hello& hello) {
  std::shared_ptr<stream_link> obsolete;
  std::vector<std::pair<any_message, bool>> waiting;
  {
    const std::lock_guard lock(mutex_);
    if (link->outgoing) {
      outgoing_link& entry = outgoing_[link->peer];
      if (entry.link != link || hello.from != link->peer) {
        obsolete = link;
      } else {
        entry.incarnation = hello.incarnation;
        failed_at_.erase(link->peer);
        waiting.swap(entry.waiting);
      }
    } else {
      link->peer = hello.from;
      failed_at_.erase(hello.from);
      obsolete = std::exchange(incoming_[hello.from], link);
    }
  }
  // A peer that connects again has abandoned its earlier stream. Messages that
  // are still unread on that one must not be handled.
  if (obsolete != nullptr) {
    obsolete->Close();
  }
  for (const auto& [message, urgent] : waiting) {
    Send(link->peer, message,
         urgent ? send_mode::kUrgent : send_mode::kOpenIfNeeded);
  }
  if (link->outgoing && obsolete == nullptr) {
    listener_.OnLinkUp(link->peer, hello.incarnation);
  }
}

void mesh_internals::OnMessage(const std::shared_ptr<stream_link>& link,
                               any_message message) {
  if (const auto* update = std::get_if<view_update>(&message)) {
    for (const view_item& item : update->items) {
      counters_.control_bytes_received += item.packed.size();
    }
  }
  listener_.OnMessage(link->peer, std::move(message));
}

void mesh_internals::OnClosed(const std::shared_ptr<stream_link>& link) {
  std::vector<std::pair<any_message, bool>> waiting;
  {
    const std::lock_guard lock(mutex_);
    if (!link->outgoing) {
      accepted_.erase(link);
      const auto found = incoming_.find(link->peer);
      if (found != incoming_.end() && found->second == link) {
        incoming_.erase(found);
      }
      return;
    }
    const auto found = outgoing_.find(link->peer);
    if (found == outgoing_.end() || found->second.link != link) {
      return;
    }
    waiting.swap(found->second.waiting);
    outgoing_.erase(found);
    if (!link->ClosedAsIdle()) {
      failed_at_[link->peer] = clock_.Now();
    }
  }
  listener_.OnLinkDown(link->peer);
  for (const auto& [message, urgent] : waiting) {
    listener_.OnUndelivered(link->peer, message);
  }
}

// Calls go elsewhere from now on. The stream carries the answers to those that
// were sent, until the peer ends it.
void mesh_internals::OnPeerStops(const std::shared_ptr<stream_link>& link) {
  {
    const std::lock_guard lock(mutex_);
    const auto found = outgoing_.find(link->peer);
    if (found == outgoing_.end() || found->second.link != link) {
      return;
    }
    found->second.incarnation.reset();
  }
  listener_.OnPeerStops(link->peer);
}

void mesh_internals::BeginClose() {
  std::vector<std::shared_ptr<stream_link>> links;
  {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    links.assign(accepted_.begin(), accepted_.end());
  }
  for (const auto& link : links) {
    link->AnnounceClose();
  }
  CloseAcceptor();
}

bool mesh_internals::HasIncomingStreams() const {
  const std::lock_guard lock(mutex_);
  return !accepted_.empty();
}

void mesh_internals::CloseAcceptor() {
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

void mesh_internals::Close() {
  std::vector<std::shared_ptr<stream_link>> links;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    links.assign(accepted_.begin(), accepted_.end());
    for (const auto& [peer, entry] : outgoing_) {
      links.push_back(entry.link);
    }
  }
  for (const auto& link : links) {
    if (link != nullptr) {
      link->Close();
    }
  }
  CloseAcceptor();
}

peer_mesh::peer_mesh(asio::io_context& context,
                     mesh_options options,
                     mesh_listener& listener)
    : internals_(std::make_shared<mesh_internals>(context,
                                                  std::move(options),
                                                  listener)) {}
peer_mesh::~peer_mesh() = default;
leaf::result<void> peer_mesh::Listen() {
  return internals_->Listen();
}
void peer_mesh::Open(const host_address& peer) {
  internals_->Open(peer);
}
std::optional<std::uint64_t> peer_mesh::PeerIncarnation(
    const host_address& peer) const {
  return internals_->PeerIncarnation(peer);
}
void peer_mesh::Send(const host_address& peer,
                     const any_message& message,
                     send_mode mode) {
  internals_->Send(peer, message, mode);
}
bool peer_mesh::IsReachable(const host_address& peer) const {
  return internals_->IsReachable(peer);
}
void peer_mesh::BeginClose() {
  internals_->BeginClose();
}
bool peer_mesh::HasIncomingStreams() const {
  return internals_->HasIncomingStreams();
}
void peer_mesh::Close() {
  internals_->Close();
}
const mesh_counters& peer_mesh::counters() const {
  return internals_->counters_;
}

}  // namespace parsleyyard
