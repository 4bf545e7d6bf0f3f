#include "log_p.h"

#include <boost/json.hpp>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <climits>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ctime>
#include <memory>

namespace catkin {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxKeptDecisions = 1000;
constexpr std::array<log4cplus::LogLevel, 4> Levels{
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL};

std::atomic<bool> logStarted = false;

std::int64_t unixMicrosNow() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// Formats a time as RFC 3339 in UTC with milliseconds.
std::string formatTime(std::int64_t unixMicros) {
  std::time_t seconds = unixMicros / 1000000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> buf{};
  auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  n += std::snprintf(buf.data() + n, buf.size() - n, ".%03dZ",
                     static_cast<int>(unixMicros / 1000 % 1000));
  return {buf.data(), n};
}

std::string_view levelName(log4cplus::LogLevel level) {
  for (std::size_t i = Levels.size(); i-- > 0;)
    if (level >= Levels[i])
      return EnumNames<LogLevel>::Table[i];
  return "debug";
}

/// Formats events with formatLogLine().
class JsonLayout : public log4cplus::Layout {
public:
  explicit JsonLayout(std::string hostName) : host(std::move(hostName)) {}

  void formatAndAppend(log4cplus::tostream &output,
                       const log4cplus::spi::InternalLoggingEvent &event) override {
    auto time = event.getTimestamp().time_since_epoch();
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    output << formatLogLine(micros, levelName(event.getLogLevel()), event.getLoggerName(), host,
                            event.getMessage())
           << '\n';
  }

private:
  std::string host;
};

/// Writes to standard output without blocking, and drops lines over the rate limit.
class NonBlockingAppender : public log4cplus::Appender {
public:
  explicit NonBlockingAppender(std::string hostName) : host(std::move(hostName)) {}
  ~NonBlockingAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &event) override {
    if (!tryConsumeCredit()) {
      ++droppedLines;
      return;
    }
    log4cplus::tostringstream line;
    layout->formatAndAppend(line, event);
    auto text = line.str();
    if (droppedLines > 0)
      text = formatDroppedLinesNotice(event) + text;
    if (tryWrite(text))
      droppedLines = 0;
    else
      ++droppedLines;
  }

private:
  // A line takes about 20 us of processor time, which is then not available to requests.
  static constexpr double LinesPerSecond = 300;
  static constexpr double LineBurst = 600;

  /// Returns true if the rate limit permits another line.
  bool tryConsumeCredit() {
    auto now = std::chrono::steady_clock::now();
    credit += std::chrono::duration<double>(now - creditedAt).count() * LinesPerSecond;
    credit = std::min(credit, LineBurst);
    creditedAt = now;
    if (credit < 1)
      return false;
    credit -= 1;
    return true;
  }

  std::string formatDroppedLinesNotice(const log4cplus::spi::InternalLoggingEvent &event) const {
    auto time = event.getTimestamp().time_since_epoch();
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    auto text =
        json::serialize(json::object{{"message", "log lines dropped"}, {"left_out", droppedLines}});
    return formatLogLine(micros, "warn", "catkin", host, text) + "\n";
  }

  /// Writes the rest of an earlier line first. Returns false, without accepting `text`, if that
  /// rest cannot be written completely. Otherwise writes as much of `text` as possible now and
  /// keeps the rest.
  bool tryWrite(const std::string &text) {
    if (!pending.empty() && !flushPending())
      return false;
    pending = text;
    flushPending();
    return true;
  }

  /// Writes pending output until standard output would block. Returns true if nothing is left.
  bool flushPending() {
    while (!pending.empty()) {
      pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
      if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
        return false;
      // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
      auto n =
          ::write(STDOUT_FILENO, pending.data(), std::min<std::size_t>(pending.size(), PIPE_BUF));
      if (n <= 0)
        return false;
      pending.erase(0, static_cast<std::size_t>(n));
    }
    return true;
  }

  std::string host;
  std::string pending; ///< accepted output that has not been written yet
  std::uint64_t droppedLines = 0;
  double credit = LineBurst;
  std::chrono::steady_clock::time_point creditedAt = std::chrono::steady_clock::now();
};

log4cplus::SharedAppenderPtr makeAppender(LogTarget target, const std::string &host) {
  log4cplus::SharedAppenderPtr appender;
  if (target == LogTarget::StandardOutput)
    appender = log4cplus::SharedAppenderPtr(new NonBlockingAppender(host));
  else
    appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<JsonLayout>(host));
  return appender;
}

std::unique_ptr<log4cplus::Initializer> &initializer() {
  static std::unique_ptr<log4cplus::Initializer> instance;
  return instance;
}

void write(LogLevel level, const char *logger, const json::object &event) {
  if (!logStarted)
    return;
  auto target = log4cplus::Logger::getInstance(logger);
  auto value = Levels[static_cast<std::size_t>(level)];
  if (target.isEnabledFor(value))
    target.forcedLog(value, json::serialize(event));
}

json::object toJson(const Decision &d) {
  json::object out;
  out["message"] = "decision";
  out["kind"] = toString(d.kind);
  if (!d.requestId.empty())
    out["request"] = d.requestId;
  if (!d.plan.empty())
    out["plan"] = d.plan.value;
  if (!d.model.empty())
    out["model"] = d.model.value;
  out["chosen"] = d.chosen;
  out["alternatives"] = json::array(d.alternatives.begin(), d.alternatives.end());
  out["reason"] = d.reason;
  return out;
}

} // namespace

void startLog(LogLevel level, const std::string &host, LogTarget target) {
  initializer() = std::make_unique<log4cplus::Initializer>();
  auto appender = makeAppender(target, host);
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(Levels[static_cast<std::size_t>(level)]);
  logStarted = true;
}

void stopLog() {
  logStarted = false;
  initializer().reset();
}

void logLine(LogLevel level, std::string_view message, LogFields fields) {
  json::object event;
  event["message"] = message;
  for (auto &it : fields)
    event[it.name] = it.value;
  write(level, "catkin", event);
}

std::string formatLogLine(std::int64_t unixMicros, std::string_view level, std::string_view logger,
                          std::string_view host, std::string_view event) {
  json::object line;
  line["time"] = formatTime(unixMicros);
  line["level"] = level;
  line["logger"] = logger;
  line["host"] = host;
  json::error_code ec;
  auto parsed = json::parse(event, ec);
  if (!ec && parsed.is_object()) {
    for (auto &it : parsed.get_object())
      line[it.key()] = it.value();
  } else {
    line["message"] = event;
  }
  return json::serialize(line);
}

void DecisionLog::add(const Decision &decision) {
  {
    std::scoped_lock guard(lock);
    entries.push_front({unixMicrosNow(), decision});
    if (entries.size() > MaxKeptDecisions)
      entries.pop_back();
  }
  write(LogLevel::Info, "catkin.decision", toJson(decision));
}

std::vector<DecisionLog::Entry> DecisionLog::recent(std::size_t n) const {
  std::scoped_lock guard(lock);
  return {entries.begin(),
          entries.begin() + static_cast<std::ptrdiff_t>(std::min(n, entries.size()))};
}

} // namespace catkin
