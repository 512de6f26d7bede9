#include "wire/wire.h"

#include <boost/endian/conversion.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>

#include <zstd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace parsleyyard {

namespace {

namespace io = boost::iostreams;
using boost::endian::load_little_u16;
using boost::endian::load_little_u32;

// Set in the type of a message whose body is compressed.
constexpr std::uint16_t kCompressedFlag = 0x8000;
constexpr int kCompressionLevel = 1;
// Compressing a smaller frame saves nothing.
constexpr std::size_t kMinCompressBytes = 512;
// A compressed body is used up to this percentage of its uncompressed size.
constexpr std::size_t kMaxCompressedPercent = 90;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Decodes into the alternative of `message` with index `type`. Returns false if
// there is none.
template <std::size_t Index = 0>
bool DecodeByType(std::size_t type,
                  cereal::PortableBinaryInputArchive& archive,
                  any_message& message) {
  if constexpr (Index < std::variant_size_v<any_message>) {
    if (type != Index) {
      return DecodeByType<Index + 1>(type, archive, message);
    }
    archive(message.emplace<Index>());
    return true;
  }
  return false;
}

// Returns the frame with a compressed body, or unchanged if that saves too
// little.
std::string CompressBody(std::string frame) {
  const std::size_t plain = frame.size() - kFrameHeaderBytes;
  std::string packed(kFrameHeaderBytes + ZSTD_compressBound(plain), '\0');
  const std::size_t size = ZSTD_compress(
      packed.data() + kFrameHeaderBytes, packed.size() - kFrameHeaderBytes,
      frame.data() + kFrameHeaderBytes, plain, kCompressionLevel);
  if (ZSTD_isError(size) || size > plain * kMaxCompressedPercent / 100) {
    return frame;
  }
  packed.resize(kFrameHeaderBytes + size);
  const auto* from = reinterpret_cast<const unsigned char*>(frame.data());
  auto* header = reinterpret_cast<unsigned char*>(packed.data());
  std::copy_n(from, kFrameHeaderBytes, header);
  boost::endian::store_little_u32(header, static_cast<std::uint32_t>(size));
  boost::endian::store_little_u16(header + 6,
                                  load_little_u16(from + 6) | kCompressedFlag);
  return packed;
}

// Returns the uncompressed body.
leaf::result<std::string> DecompressBody(std::string_view body) {
  const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return leaf::new_error(wire_error::kDamaged);
  }
  if (size > kMaxFrameBytes) {
    return leaf::new_error(wire_error::kTooLong);
  }
  std::string plain(size, '\0');
  const std::size_t plain_size =
      ZSTD_decompress(plain.data(), plain.size(), body.data(), body.size());
  if (ZSTD_isError(plain_size) || plain_size != plain.size()) {
    return leaf::new_error(wire_error::kDamaged);
  }
  return plain;
}

leaf::result<any_message> DecodeBody(std::size_t type, std::string_view body) {
  any_message message;
  try {
    io::stream<io::array_source> stream(body.data(), body.size());
    cereal::PortableBinaryInputArchive archive(stream);
    if (!DecodeByType(type, archive, message)) {
      return leaf::new_error(wire_error::kUnknownType);
    }
  } catch (const std::exception&) {
    return leaf::new_error(wire_error::kDamaged);
  }
  return message;
}

// Bytes of an encoded call_id and of the archive's byte order before it.
constexpr std::size_t kCallIdBytes = 17;

// Returns the first bytes of a compressed body; fewer if it is damaged.
std::string DecompressStart(std::string_view body, std::size_t size) {
  std::string start(size, '\0');
  const std::unique_ptr<ZSTD_DCtx, std::size_t (*)(ZSTD_DCtx*)> context(
      ZSTD_createDCtx(), ZSTD_freeDCtx);
  ZSTD_inBuffer in{body.data(), body.size(), 0};
  ZSTD_outBuffer out{start.data(), start.size(), 0};
  std::size_t result = 1;
  while (result != 0 && !ZSTD_isError(result) && out.pos < out.size &&
         in.pos < in.size) {
    result = ZSTD_decompressStream(context.get(), &out, &in);
  }
  start.resize(out.pos);
  return start;
}

// Capacity for the frame of a message, so that a large one is not copied while
// it grows.
std::size_t ExpectedFrameBytes(const any_message& message) {
  constexpr std::size_t kBytesBesideBody = 1024;
  const auto* call = std::get_if<call_request>(&message);
  const auto* answer = std::get_if<call_answer>(&message);
  return kBytesBesideBody + (call != nullptr     ? call->body.size()
                             : answer != nullptr ? answer->body.size()
                                                 : 0);
}

}  // namespace

std::string Encode(const any_message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  frame.reserve(ExpectedFrameBytes(message));
  {
    io::stream<io::back_insert_device<std::string>> stream(frame);
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit(
        [&](const auto& value) {
          archive(const_cast<std::remove_cvref_t<decltype(value)>&>(value));
        },
        message);
  }
  if (frame.size() - kFrameHeaderBytes > kMaxFrameBytes) {
    throw bound_exceeded("frame of " + std::to_string(frame.size()) + " bytes");
  }
  auto* header = reinterpret_cast<unsigned char*>(frame.data());
  boost::endian::store_little_u32(
      header, static_cast<std::uint32_t>(frame.size() - kFrameHeaderBytes));
  boost::endian::store_little_u16(header + 4, kFormatVersion);
  boost::endian::store_little_u16(header + 6,
                                  static_cast<std::uint16_t>(message.index()));
  return frame.size() >= kMinCompressBytes ? CompressBody(std::move(frame))
                                           : frame;
}

leaf::result<std::size_t> BodyLength(std::string_view header) {
  if (header.size() < kFrameHeaderBytes) {
    return leaf::new_error(wire_error::kTooShort);
  }
  const std::size_t length = load_little_u32(Bytes(header));
  if (length > kMaxFrameBytes) {
    return leaf::new_error(wire_error::kTooLong);
  }
  if (load_little_u16(Bytes(header) + 4) != kFormatVersion) {
    return leaf::new_error(wire_error::kOtherVersion);
  }
  return length;
}

frame_type TypeOf(std::string_view frame) {
  const int index = load_little_u16(Bytes(frame) + 6) & ~kCompressedFlag;
  if (index == static_cast<int>(any_message(call_request{}).index())) {
    return frame_type::kCall;
  }
  return index == static_cast<int>(any_message(call_answer{}).index())
             ? frame_type::kAnswer
             : frame_type::kOther;
}

std::size_t PlainBodyLength(std::string_view frame) {
  const std::string_view body = frame.substr(kFrameHeaderBytes);
  if ((load_little_u16(Bytes(frame) + 6) & kCompressedFlag) == 0) {
    return body.size();
  }
  const auto size = ZSTD_getFrameContentSize(body.data(), body.size());
  const bool stated =
      size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
  return stated ? size : 0;
}

leaf::result<call_id> DecodeCallId(std::string_view prefix) {
  if (prefix.size() < kFrameHeaderBytes) {
    return leaf::new_error(wire_error::kTooShort);
  }
  const bool compressed =
      (load_little_u16(Bytes(prefix) + 6) & kCompressedFlag) != 0;
  const std::string_view body = prefix.substr(kFrameHeaderBytes);
  const std::string start = compressed
                                ? DecompressStart(body, kCallIdBytes)
                                : std::string(body.substr(0, kCallIdBytes));
  call_id id;
  try {
    io::stream<io::array_source> stream(start.data(), start.size());
    cereal::PortableBinaryInputArchive archive(stream);
    archive(id);
  } catch (const std::exception&) {
    return leaf::new_error(wire_error::kDamaged);
  }
  return id;
}

leaf::result<any_message> Decode(std::string_view frame) {
  BOOST_LEAF_AUTO(length, BodyLength(frame));
  if (frame.size() != kFrameHeaderBytes + length) {
    const bool incomplete = frame.size() < kFrameHeaderBytes + length;
    return leaf::new_error(incomplete ? wire_error::kTooShort
                                      : wire_error::kTooLong);
  }
  const std::uint16_t type = load_little_u16(Bytes(frame) + 6);
  const std::string_view body = frame.substr(kFrameHeaderBytes);
  if ((type & kCompressedFlag) == 0) {
    return DecodeBody(type, body);
  }
  BOOST_LEAF_AUTO(plain, DecompressBody(body));
  return DecodeBody(type & ~kCompressedFlag, plain);
}

}  // namespace parsleyyard
