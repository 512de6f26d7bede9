// Settings of parsleyyardd: reading an INI file and checking every value.
// Internal to daemon/; the struct is generated from schema/settings.toml.

#ifndef PARSLEYYARD_DAEMON_SETTINGS_H_
#define PARSLEYYARD_DAEMON_SETTINGS_H_

#include "daemon/settings_generated.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <variant>
#include <vector>

namespace parsleyyard {

namespace leaf = boost::leaf;

// Error of this layer: one line for the operator.
struct settings_error {
  std::string file;
  std::string section;
  std::string key;
  std::string message;  // the bad value and what is allowed
  std::string ToString() const;
};

enum class setting_kind : std::uint8_t {
  kString,
  kAddress,
  kEndpoint,
  kList,
  kPairs,
  kPort,
  kCount,
  kMs
};

// Where a value goes; the alternative follows from the setting's kind.
using setting_target = std::variant<std::string*,
                                    std::vector<std::string>*,
                                    std::uint16_t*,
                                    endpoint*,
                                    std::uint32_t*,
                                    std::chrono::milliseconds*>;

// One setting as the schema describes it.
struct setting {
  std::string section;
  std::string key;
  setting_kind kind;
  std::uint64_t min;                // of a number
  std::uint64_t max;                // of a number
  std::vector<std::string> one_of;  // allowed texts; empty: any
  setting_target (*target)(daemon_settings&);
};

const std::vector<setting>& AllSettings();

// Names of the settings in which the two differ, such as "process.log_level".
std::vector<std::string> ChangedSettings(const daemon_settings& a,
                                         const daemon_settings& b);

// Reads and checks a file. Settings that it doesn't name keep their defaults.
leaf::result<daemon_settings> LoadSettings(const std::string& file);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SETTINGS_H_
