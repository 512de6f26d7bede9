// Settings of parsleyyardd: reads an INI file and checks every value. Internal
// to daemon/. daemon_settings is generated from schema/settings.toml.

#ifndef PARSLEYYARD_DAEMON_SETTINGS_H_
#define PARSLEYYARD_DAEMON_SETTINGS_H_

#include "daemon/settings_generated.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <variant>
#include <vector>

namespace parsleyyard {

namespace leaf = boost::leaf;

// Why a settings file can't be used.
struct settings_error {
  std::string file;
  std::string section;           // empty: the error concerns no section
  std::string key;               // empty: the error concerns no key
  std::string message;           // the bad value and what is allowed
  std::string ToString() const;  // one line
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

// The member of daemon_settings that a value is stored in. The kind of the
// setting decides which alternative is held.
using setting_target = std::variant<std::string*,
                                    std::vector<std::string>*,
                                    std::uint16_t*,
                                    endpoint*,
                                    std::uint32_t*,
                                    std::chrono::milliseconds*>;

// Definition of one setting, generated from the schema.
struct setting {
  std::string section;
  std::string key;
  setting_kind kind;
  std::uint64_t min;                // lower bound of a number, inclusive
  std::uint64_t max;                // upper bound of a number, inclusive
  std::vector<std::string> one_of;  // allowed texts; empty: any text
  setting_target (*target)(daemon_settings&);
};

const std::vector<setting>& AllSettings();

// Returns the names of the settings that differ between `a` and `b`, such as
// "process.log_level".
std::vector<std::string> ChangedSettings(const daemon_settings& a,
                                         const daemon_settings& b);

// Reads and checks a settings file. Settings that are not in the file keep
// their defaults. The error is a settings_error.
leaf::result<daemon_settings> LoadSettings(const std::string& file);

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DAEMON_SETTINGS_H_
