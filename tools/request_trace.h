// parsleyyard: trace of one request, collected from the logs of all daemons.
//
// How to use it: construct a request_trace with the request id, Read() each log
// and print Text(). Memory grows with the number of lines about that request,
// not with the size of the logs.

#ifndef PARSLEYYARD_TOOLS_REQUEST_TRACE_H_
#define PARSLEYYARD_TOOLS_REQUEST_TRACE_H_

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <istream>
#include <string>
#include <vector>

namespace parsleyyard::tools {

class request_trace {
 public:
  using progress_function = std::function<void(std::uint64_t bytes)>;

  explicit request_trace(std::string request) : request_(std::move(request)) {}

  // Collects the lines about the request from one log. `file` names the log in
  // messages. `progress` is called every 64 MB with the number of bytes read.
  void Read(std::istream& log,
            const std::string& file,
            const progress_function& progress);

  // Returns the collected steps in order of time, each with its fields, and a
  // sentence that says how the request ended and why.
  std::string Text() const;
  // True if no line about the request was found.
  bool empty() const { return steps_.empty(); }

 private:
  struct log_step {
    std::string time;  // as in the line; this format sorts by time
    boost::json::object fields;
  };
  // A line that is not a log line. Only the first few are kept.
  struct unreadable_line {
    std::string file;
    std::uint64_t line_number = 0;
  };

  void ReadLine(std::string_view line,
                const std::string& file,
                std::uint64_t line_number);
  std::string DescribeEnd() const;

  const std::string request_;
  std::vector<log_step> steps_;
  std::vector<unreadable_line> unreadable_;
  std::uint64_t unreadable_count_ = 0;
};

}  // namespace parsleyyard::tools

#endif  // PARSLEYYARD_TOOLS_REQUEST_TRACE_H_
