#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Leads from the id of a failed request to its cause in the logs of all hosts, by the steps of
/// docs/OPERATIONS.md.
namespace catkin {

/// One line of a host's log.
struct LogRecord {
  std::int64_t atMs = 0; ///< Unix milliseconds, by the host's clock
  std::string time;      ///< as written
  std::string host;
  std::string message;
  boost::json::object fields;
  /// A text field; empty if it is missing or no text.
  std::string text(std::string_view key) const;
  /// A whole number; 0 if it is missing or none.
  std::int64_t number(std::string_view key) const;
};

/// Empty if the line holds no log record. What stands before the record is passed over.
std::optional<LogRecord> parseLogRecord(std::string_view line);

class RequestExplainer {
public:
  explicit RequestExplainer(std::string id) : id(std::move(id)) {}

  /// A line of any host's log, in any order. Lines of other requests are not kept.
  void add(std::string_view line);
  /// What happened to the request, a line a step, and the cause as far as the logs show it. Empty
  /// if no log has the request.
  std::string explain() const;

private:
  using Records = std::vector<const LogRecord *>;

  const LogRecord *findRequestRecord() const;
  Records findRecords(std::int64_t from, std::int64_t to, std::string_view message) const;
  Records findFailedAttempts() const;
  std::string explainNoRoute(const LogRecord &end) const;
  std::string explainNoModel(const LogRecord &end) const;
  std::string explainEndpointFailure(const LogRecord &end) const;
  std::string explainStreamCut(const LogRecord &end) const;
  std::string findCause(const LogRecord &end) const;

  std::string id;
  std::vector<LogRecord> records;
};

} // namespace catkin
