// Drops new connections at a listening socket. Internal to net/.

#ifndef PARSLEYYARD_NET_LISTENER_FILTER_H_
#define PARSLEYYARD_NET_LISTENER_FILTER_H_

#include <linux/filter.h>
#include <sys/socket.h>

#include <iterator>

namespace parsleyyard {

// Attaches a filter to a listening socket that drops the SYN of each new
// connection. Handshakes that have begun may still finish.
//
// Closing a listener resets the connections in its accept queue, although their
// callers may already have sent a request. A graceful stop therefore attaches
// this filter, accepts the connections in the queue, and then closes the
// listener. A caller's kernel sends a dropped SYN again and is refused then,
// because the listener is closed. Returns false if setsockopt() fails.
inline bool DropNewConnections(int listener) {
  constexpr unsigned kFlagsOffset = 13;  // in the TCP header, in bytes
  constexpr unsigned kSynAckMask = 0x12;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kAcceptWholePacket = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAckMask),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kAcceptWholePacket),
  };
  const sock_fprog filter{.len = std::size(program), .filter = program};
  return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                      sizeof filter) == 0;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_LISTENER_FILTER_H_
