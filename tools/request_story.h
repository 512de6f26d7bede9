// parsleyyard: the story of one request, from the log lines of all daemons.
//
// How to use it: make one with the request's id, Read() each log, print Text().
// Memory is bounded by the lines about that request, not by the logs' size.

#ifndef PARSLEYYARD_TOOLS_REQUEST_STORY_H_
#define PARSLEYYARD_TOOLS_REQUEST_STORY_H_

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <istream>
#include <string>
#include <vector>

namespace parsleyyard::tools {

class request_story {
 public:
  using progress_function = std::function<void(std::uint64_t bytes)>;

  explicit request_story(std::string request) : request_(std::move(request)) {}

  // Takes the lines about the request out of one log. `progress` is told now
  // and then how much has been read.
  void Read(std::istream& log,
            const std::string& name,
            const progress_function& progress);

  // The steps in the order of their times, with the inputs of each, and one
  // sentence that names the cause.
  std::string Text() const;
  bool empty() const { return steps_.empty(); }

 private:
  struct step {
    std::string time;  // as in the line, which sorts
    boost::json::object fields;
  };
  // A line that is no log line; only the first few are kept.
  struct unreadable_line {
    std::string file;
    std::uint64_t number = 0;
  };

  void ReadLine(std::string_view line,
                const std::string& name,
                std::uint64_t number);
  std::string Cause() const;

  const std::string request_;
  std::vector<step> steps_;
  std::vector<unreadable_line> unreadable_;
  std::uint64_t unreadable_count_ = 0;
};

}  // namespace parsleyyard::tools

#endif  // PARSLEYYARD_TOOLS_REQUEST_STORY_H_
