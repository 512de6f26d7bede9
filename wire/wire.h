// parsleyyard: messages between daemons as bytes.
//
// Index
//   1. Errors
//   2. Frames        Encode() and Decode()
//
// A frame is a header of kFrameHeaderBytes (length of the rest as u32, format
// version as u16, message type as u16, little endian) and a cereal portable
// binary body, compressed with zstd where that is
// worthwhile (the highest bit of the type). The types come from
// schema/messages.toml.

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

// Error of this layer.
enum class wire_error : std::uint8_t {
  kTooShort,      // less than a header
  kTooLong,       // the length field exceeds kMaxFrameBytes
  kOtherVersion,  // the peer speaks another format version
  kUnknownType,   // no message has that type
  kDamaged,       // the body doesn't decode within its bounds
};
inline constexpr std::array<std::string_view, 5> kWireErrorNames = {
    "too short", "too long", "other format version", "unknown type", "damaged"};

// ---------------------------------------------------------------------------
// 2. Frames
// ---------------------------------------------------------------------------

inline constexpr std::size_t kFrameHeaderBytes = 8;
inline constexpr std::size_t kMaxFrameBytes = 16u << 20;

// One whole frame. The message must be within the bounds of its schema.
std::string Encode(const any_message& message);

// Bytes that follow the header, from the header alone.
leaf::result<std::size_t> BodyLength(std::string_view header);

// The message of one whole frame.
leaf::result<any_message> Decode(std::string_view frame);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_WIRE_WIRE_H_
