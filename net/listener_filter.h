// Keeps new connections off a listening socket. Internal to net/.

#ifndef PARSLEYYARD_NET_LISTENER_FILTER_H_
#define PARSLEYYARD_NET_LISTENER_FILTER_H_

#include <linux/filter.h>
#include <sys/socket.h>

#include <iterator>

namespace parsleyyard {

// Drops the first segment of every new connection, while handshakes under way
// may still end. Closing a listener resets the connections that nobody has
// accepted yet, although their callers may have sent a request; so the filter
// comes first, then the last connections are accepted, then the listener is
// closed. A caller whose first segment was dropped tries again and is refused.
// Returns false if the system refuses the filter.
inline bool DropNewConnections(int listener) {
  constexpr unsigned kFlagsOffset = 13;  // octet of the TCP header
  constexpr unsigned kSynAndAck = 0x12;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kKeepAll = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSynAndAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, kKeepAll),
  };
  const sock_fprog filter{.len = std::size(program), .filter = program};
  return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                      sizeof filter) == 0;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_NET_LISTENER_FILTER_H_
