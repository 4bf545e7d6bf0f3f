#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Finds the cause of a failed request in the logs of all hosts, by the steps of
/// docs/OPERATIONS.md.
namespace catkin {

/// One line of a host's log.
struct LogRecord {
  std::int64_t atMs = 0; ///< Unix milliseconds by the clock of the host
  std::string time;      ///< as written in the log
  std::string host;
  std::string message;
  boost::json::object fields;
  /// Returns a string field; empty if it is missing or has another type.
  std::string text(std::string_view key) const;
  /// Returns an integer field; 0 if it is missing or has another type.
  std::int64_t number(std::string_view key) const;
  /// Returns a number with up to six digits as text; "0" if the field is not a number.
  std::string numberText(std::string_view key) const;
};

/// Parses the JSON record of a log line and ignores any text before it. Empty if there is no
/// record.
std::optional<LogRecord> parseLogRecord(std::string_view line);

/// Collects the log records that concern one request and explains how it ended.
class RequestExplainer {
public:
  explicit RequestExplainer(std::string id) : id(std::move(id)) {}

  /// Adds a log line. The lines of all hosts may come in any order; lines of other requests are
  /// dropped.
  void add(std::string_view line);
  /// Returns the steps of the request, one per line, and its cause as far as the logs show it.
  /// Empty if the request is in no log.
  std::string explain() const;

private:
  using Records = std::vector<const LogRecord *>;

  const LogRecord *findRequestRecord() const;
  /// Records with this message from `from` to `to` (Unix milliseconds), in order of time.
  Records findRecords(std::int64_t from, std::int64_t to, std::string_view message) const;
  Records findFailedAttempts() const;
  std::string explainNoRoute(const LogRecord &end) const;
  std::string explainNoModel(const LogRecord &end) const;
  std::string explainUsedUpLimit(const LogRecord &end) const;
  std::string explainQuarantine(const LogRecord &end) const;
  std::string explainOrigin() const;
  std::string explainNoVersion(const LogRecord &end) const;
  std::string explainLostEndpoint(const LogRecord &end, const std::string &endpoint) const;
  std::string explainEndpointFailure(const LogRecord &end) const;
  std::string explainStreamCut(const LogRecord &end) const;
  std::string findCause(const LogRecord &end) const;

  std::string id;
  std::vector<LogRecord> records;
};

} // namespace catkin
