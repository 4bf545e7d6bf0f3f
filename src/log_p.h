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

/// Log lines as JSON objects, one per line, through log4cplus. May be called from any thread.
/// Nothing is written before startLog().
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

/// Where log lines go. StandardOutput never blocks: lines beyond a rate, or that the reader does
/// not take, are left out and counted in the next line, field "left_out".
enum class LogTarget { StandardError, StandardOutput };

/// Sets up log4cplus for the process. Lines below `level` are dropped.
void startLog(LogLevel level, const std::string &host, LogTarget target = LogTarget::StandardError);
/// Flushes and shuts log4cplus down. Nothing is written afterwards.
void stopLog();

void logLine(LogLevel level, std::string_view message, LogFields fields = {});

/// The text of a log line: time, level, logger, and `event`, which is merged if it is a JSON object
/// and stored as the field "message" otherwise.
std::string formatLogLine(std::int64_t unixMicros, std::string_view level, std::string_view logger,
                          std::string_view host, std::string_view event);

/// Writes decisions to the log and keeps the newest ones for operators.
class DecisionLog {
public:
  struct Entry {
    std::int64_t unixMicros = 0;
    Decision decision;
  };

  void add(const Decision &decision);
  /// Newest first, at most `n`.
  std::vector<Entry> recent(std::size_t n) const;

private:
  mutable std::mutex lock;
  std::deque<Entry> entries;
};

} // namespace catkin
