// What the fuzz targets share.
//
// A target is one file with LLVMFuzzerTestOneInput(), which feeds one input to
// the code and checks what must hold for any input. Its corpus is
// fuzz/corpus/TARGET. The inputs come from libFuzzer or from fixed_runs.cc.

#ifndef PARSLEYYARD_FUZZ_CHECK_H_
#define PARSLEYYARD_FUZZ_CHECK_H_

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

// Feeds one input to the target. Returns 0.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace parsleyyard {

// Ends the process if a property does not hold.
inline void Check(bool holds, const char* property) {
  if (!holds) {
    std::fprintf(stderr, "Property does not hold: %s\n", property);
    std::abort();
  }
}

inline std::string_view ToText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Takes the first byte off the input; 0 if there is none.
inline std::uint8_t TakeByte(std::string_view& input) {
  if (input.empty()) {
    return 0;
  }
  const auto byte = static_cast<std::uint8_t>(input.front());
  input.remove_prefix(1);
  return byte;
}

}  // namespace parsleyyard

#endif  // PARSLEYYARD_FUZZ_CHECK_H_
