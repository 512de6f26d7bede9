// Compression of values, as deltas where an earlier value is known.

#include "control/control.h"

#define ZSTD_STATIC_LINKING_ONLY
#include <zstd.h>

#include <memory>

namespace parsleyyard {

namespace {

constexpr int kCompressionLevel = 3;
constexpr std::size_t kMaxUnpackedBytes = std::size_t{16} << 20;

struct compressor_deleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct decompressor_deleter {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string Pack(std::string_view content, const std::string* base) {
  const std::unique_ptr<ZSTD_CCtx, compressor_deleter> context(
      ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (base != nullptr) {
    ZSTD_CCtx_refPrefix(context.get(), base->data(), base->size());
  }
  std::string packed(ZSTD_compressBound(content.size()), '\0');
  const std::size_t size =
      ZSTD_compress2(context.get(), packed.data(), packed.size(),
                     content.data(), content.size());
  packed.resize(ZSTD_isError(size) ? 0 : size);
  return packed;
}

std::optional<std::string> Unpack(std::string_view packed,
                                  std::size_t size,
                                  const std::string* base) {
  if (size > kMaxUnpackedBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, decompressor_deleter> context(
      ZSTD_createDCtx());
  if (base != nullptr) {
    ZSTD_DCtx_refPrefix(context.get(), base->data(), base->size());
  }
  std::string content(size, '\0');
  const std::size_t unpacked_size =
      ZSTD_decompressDCtx(context.get(), content.data(), content.size(),
                          packed.data(), packed.size());
  const bool complete = !ZSTD_isError(unpacked_size) && unpacked_size == size;
  return complete ? std::optional(std::move(content)) : std::nullopt;
}

}  // namespace parsleyyard
