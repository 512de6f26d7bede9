// parsleyyard: encoding of the messages between daemons. All functions are
// thread-safe.
//
// Index
//   1. Errors
//   2. Frames        Encode() and Decode()
//
// A frame is a header of kFrameHeaderBytes and a body. The header has the
// length of the body as u32, the format version as u16 and the message type as
// u16, all little endian. The body is a cereal portable binary archive,
// compressed with zstd if that saves enough; the highest bit of the type marks
// a compressed body. schema/messages.toml defines the messages.

#ifndef PARSLEYYARD_WIRE_WIRE_H_
#define PARSLEYYARD_WIRE_WIRE_H_

#include "wire/codec_generated.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyyard {

namespace leaf = boost::leaf;

// ---------------------------------------------------------------------------
// 1. Errors
// ---------------------------------------------------------------------------

// Why a frame cannot be decoded.
enum class wire_error : std::uint8_t {
  // The frame is shorter than a header or than its length field says.
  kTooShort,
  // The frame is longer than its length field says, or the length field or the
  // uncompressed size exceeds kMaxFrameBytes.
  kTooLong,
  kOtherVersion,  // the peer uses another format version
  kUnknownType,   // no message has the type in the header
  // The body is malformed or exceeds a bound of the schema, or a compressed one
  // does not state its uncompressed size.
  kDamaged,
};
inline constexpr std::array<std::string_view, 5> kWireErrorNames = {
    "too short", "too long", "other format version", "unknown type", "damaged"};

// ---------------------------------------------------------------------------
// 2. Frames
// ---------------------------------------------------------------------------

inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::size_t kMaxFrameBytes = 16u << 20;

// Returns the complete frame of a message. A message that exceeds the bounds of
// its schema is an error of the program: throws bound_exceeded.
std::string Encode(const any_message& message);

// Number of bytes that follow the header. Needs no more of the frame than the
// header. Fails with kTooShort, kTooLong or kOtherVersion.
leaf::result<std::size_t> BodyLength(std::string_view header);

// The type of a message, from the header of its frame; at least
// kFrameHeaderBytes of the frame are needed.
enum class frame_type : std::uint8_t { kCall, kAnswer, kOther };
frame_type TypeOf(std::string_view frame);

// Bytes of the body of a complete frame once it is uncompressed. 0 if a
// compressed body does not state them.
std::size_t PlainBodyLength(std::string_view frame);

// Bytes of a frame of a call_request or a call_answer that suffice for
// DecodeCallId(): the header and the first block of a compressed body.
inline constexpr std::size_t kCallIdPrefixBytes = std::size_t{160} * 1024;

// Decodes the id of a call_request or a call_answer from the first
// kCallIdPrefixBytes of its frame, or from the whole if it is shorter. Fails
// with a wire_error.
leaf::result<call_id> DecodeCallId(std::string_view prefix);

// Decodes one complete frame. Fails with a wire_error.
leaf::result<any_message> Decode(std::string_view frame);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_WIRE_WIRE_H_
