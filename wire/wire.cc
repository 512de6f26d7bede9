#include "wire/wire.h"

#include <boost/endian/conversion.hpp>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/stream.hpp>

#include <array>
#include <utility>

namespace parsleyyard {

namespace {

namespace io = boost::iostreams;
using boost::endian::load_little_u16;
using boost::endian::load_little_u32;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

template <std::size_t Index = 0>
bool DecodeAs(std::size_t type,
              cereal::PortableBinaryInputArchive& archive,
              any_message& message) {
  if constexpr (Index < std::variant_size_v<any_message>) {
    if (type != Index) {
      return DecodeAs<Index + 1>(type, archive, message);
    }
    archive(message.emplace<Index>());
    return true;
  }
  return false;
}

}  // namespace

std::string Encode(const any_message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  {
    io::stream<io::back_insert_device<std::string>> stream(frame);
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit(
        [&](const auto& value) {
          archive(const_cast<std::remove_cvref_t<decltype(value)>&>(value));
        },
        message);
  }
  auto* header = reinterpret_cast<unsigned char*>(frame.data());
  boost::endian::store_little_u32(
      header, static_cast<std::uint32_t>(frame.size() - kFrameHeaderBytes));
  boost::endian::store_little_u16(header + 4, kFormatVersion);
  boost::endian::store_little_u16(header + 6,
                                  static_cast<std::uint16_t>(message.index()));
  return frame;
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

leaf::result<any_message> Decode(std::string_view frame) {
  BOOST_LEAF_AUTO(length, BodyLength(frame));
  if (frame.size() != kFrameHeaderBytes + length) {
    return leaf::new_error(wire_error::kTooShort);
  }
  any_message message;
  try {
    io::stream<io::array_source> stream(frame.data() + kFrameHeaderBytes,
                                        length);
    cereal::PortableBinaryInputArchive archive(stream);
    if (!DecodeAs(load_little_u16(Bytes(frame) + 6), archive, message)) {
      return leaf::new_error(wire_error::kUnknownType);
    }
  } catch (const std::exception&) {
    return leaf::new_error(wire_error::kDamaged);
  }
  return message;
}

}  // namespace parsleyyard
