// Content hashes and compressed deltas of parts.

#include "decide/decide.h"

#define ZSTD_STATIC_LINKING_ONLY
#include <xxhash.h>
#include <zstd.h>

#include <array>
#include <cstdio>
#include <memory>

namespace parsleyyard {

namespace {

constexpr int kCompressionLevel = 3;
constexpr std::size_t kMaxPartBytes = 1 << 20;

struct compressor_deleter {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct decompressor_deleter {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

}  // namespace

std::string ContentHash(std::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

part_payload PackPart(std::string_view content, const std::string* base) {
  const std::unique_ptr<ZSTD_CCtx, compressor_deleter> context(
      ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  if (base != nullptr) {
    ZSTD_CCtx_refPrefix(context.get(), base->data(), base->size());
  }
  part_payload payload{
      .hash = ContentHash(content),
      .base_hash = base ? ContentHash(*base) : "",
      .size = static_cast<std::uint32_t>(content.size()),
      .bytes = std::string(ZSTD_compressBound(content.size()), '\0')};
  const std::size_t size =
      ZSTD_compress2(context.get(), payload.bytes.data(), payload.bytes.size(),
                     content.data(), content.size());
  payload.bytes.resize(ZSTD_isError(size) ? 0 : size);
  return payload;
}

std::optional<std::string> UnpackPart(const part_payload& payload,
                                      const std::string* base) {
  if (payload.size > kMaxPartBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, decompressor_deleter> context(
      ZSTD_createDCtx());
  if (base != nullptr) {
    ZSTD_DCtx_refPrefix(context.get(), base->data(), base->size());
  }
  std::string content(payload.size, '\0');
  const std::size_t size =
      ZSTD_decompressDCtx(context.get(), content.data(), content.size(),
                          payload.bytes.data(), payload.bytes.size());
  const bool whole = !ZSTD_isError(size) && size == content.size() &&
                     ContentHash(content) == payload.hash;
  return whole ? std::optional(std::move(content)) : std::nullopt;
}

}  // namespace parsleyyard
