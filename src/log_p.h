#pragma once

#include "env_p.h"

#include <boost/json/value.hpp>

#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

/// Writes log lines as JSON objects, one per line, through log4cplus. All functions may be called
/// from any thread. Nothing is written before startLog().
namespace catkin {

enum class LogLevel { Debug, Info, Warn, Error, Count };
template <> struct EnumNames<LogLevel> {
  static constexpr std::array<std::string_view, 4> Table{"debug", "info", "warn", "error"};
};

/// A named value of a log line.
struct LogField {
  std::string_view name;
  boost::json::value value;

  template <class T>
  LogField(std::string_view name, T &&v) : name(name), value(wrap(std::forward<T>(v))) {}

private:
  template <class T> static boost::json::value wrap(T &&v) {
    if constexpr (std::is_convertible_v<T, std::string_view>)
      return boost::json::value(std::string_view(v));
    else
      return boost::json::value(std::forward<T>(v));
  }
};
using LogFields = std::initializer_list<LogField>;

/// Destination of log lines. StandardOutput never blocks: lines over a rate limit, and lines for
/// which the pipe has no space, are dropped. The next line that is written reports their number in
/// the field "left_out".
enum class LogTarget { StandardError, StandardOutput };

/// Sets up log4cplus for the process. Lines below `level` are not written.
void startLog(LogLevel level, const std::string &host, LogTarget target = LogTarget::StandardError);
/// Flushes and shuts down log4cplus. Nothing is written afterwards.
void stopLog();

/// Writes one log line with the given message and fields.
void logLine(LogLevel level, std::string_view message, LogFields fields = {});

/// Formats a log line with time, level, logger and host. If `event` is a JSON object, its fields
/// are merged into the line; otherwise it becomes the field "message".
std::string formatLogLine(std::int64_t unixMicros, std::string_view level, std::string_view logger,
                          std::string_view host, std::string_view event);

/// Writes decisions to the log and keeps the newest ones for the operators' API.
class DecisionLog {
public:
  struct Entry {
    std::int64_t unixMicros = 0;
    Decision decision;
  };

  void add(const Decision &decision);
  /// Returns the newest decisions, newest first, at most `n`.
  std::vector<Entry> recent(std::size_t n) const;

private:
  mutable std::mutex lock;
  std::deque<Entry> entries;
};

} // namespace catkin
