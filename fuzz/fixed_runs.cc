// Runs a fuzz target on each file of its corpus and on a fixed number of
// mutated copies. The inputs depend on the corpus alone, so the verdict does
// too.
//
// Usage: fuzz_TARGET CORPUS [FAILED_INPUT]
// An input that fails is written to the file FAILED_INPUT.

#include "fuzz/check.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

namespace parsleyyard {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kMutatedInputs = 4000;
constexpr std::size_t kMaxChanges = 6;  // of one mutated input
constexpr std::size_t kMaxInputBytes = 16384;

std::string current_input;
const char* failed_input_file = nullptr;

void WriteFailedInput(int /*signal*/) {
  const int file =
      open(failed_input_file, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  const bool written =
      file >= 0 && write(file, current_input.data(), current_input.size()) ==
                       static_cast<ssize_t>(current_input.size());
  constexpr std::string_view kNotWritten = "The input could not be written.\n";
  if (!written) {
    static_cast<void>(
        !write(STDERR_FILENO, kNotWritten.data(), kNotWritten.size()));
  }
  // Returning from the handler of SIGABRT ends the process.
}

// The files of the corpus, in the order of their names.
std::vector<std::string> ReadCorpus(const char* directory) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> corpus;
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

// The distributions of <random> differ between libraries, so they are not used.
class mutator {
 public:
  explicit mutator(const std::vector<std::string>& corpus) : corpus_(corpus) {}

  std::string Next() {
    std::string input = Pick();
    const std::size_t changes = 1 + Below(kMaxChanges);
    for (std::size_t i = 0; i < changes; ++i) {
      Change(input);
    }
    input.resize(std::min(input.size(), kMaxInputBytes));
    return input;
  }

 private:
  std::size_t Below(std::size_t bound) {
    return bound == 0 ? 0 : random_() % bound;
  }
  const std::string& Pick() { return corpus_[Below(corpus_.size())]; }

  // A part of any file of the corpus.
  std::string Part() {
    const std::string& from = Pick();
    const std::size_t start = Below(from.size() + 1);
    return from.substr(start, Below(from.size() - start + 1));
  }

  void Change(std::string& input) {
    const std::size_t at = Below(input.size() + 1);
    switch (Below(6)) {
      case 0:
        input.insert(at, 1, static_cast<char>(random_()));
        break;
      case 1:
        input.erase(at, 1 + Below(8));
        break;
      case 2:
        input.insert(at, Part());
        break;
      case 3:
        input.resize(at);
        break;
      case 4:
        FlipBit(input, at);
        break;
      default:
        ReplaceByte(input, at);
    }
  }

  void FlipBit(std::string& input, std::size_t at) {
    if (at < input.size()) {
      input[at] = static_cast<char>(input[at] ^ (1 << Below(8)));
    }
  }

  // With a byte that bounds and formats are sensitive to.
  void ReplaceByte(std::string& input, std::size_t at) {
    constexpr std::string_view kBytes(
        "\0\1\x7f\x80\xff\r\n\t :;,=-+.0123456789eE\"[]{}", 33);
    if (at < input.size()) {
      input[at] = kBytes[Below(kBytes.size())];
    }
  }

  const std::vector<std::string>& corpus_;
  std::mt19937_64 random_{kSeed};
};

void RunOne(std::string input) {
  current_input = std::move(input);
  LLVMFuzzerTestOneInput(
      reinterpret_cast<const std::uint8_t*>(current_input.data()),
      current_input.size());
}

int RunAll(const char* directory) {
  const std::vector<std::string> corpus = ReadCorpus(directory);
  if (corpus.empty()) {
    std::cerr << "No corpus in " << directory << "\n";
    return 1;
  }
  for (const std::string& input : corpus) {
    RunOne(input);
  }
  mutator mutated(corpus);
  for (int i = 0; i < kMutatedInputs; ++i) {
    RunOne(mutated.Next());
  }
  std::cout << corpus.size() << " inputs of the corpus and " << kMutatedInputs
            << " mutated ones passed\n";
  return 0;
}

}  // namespace
}  // namespace parsleyyard

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "Usage: fuzz_TARGET CORPUS [FAILED_INPUT]\n";
    return 2;
  }
  if (argc > 2) {
    parsleyyard::failed_input_file = argv[2];
    std::signal(SIGABRT, parsleyyard::WriteFailedInput);
  }
  return parsleyyard::RunAll(argv[1]);
}
