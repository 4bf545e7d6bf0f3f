#pragma once

#include "json_p.h"

#include <optional>
#include <string>
#include <string_view>

/// Parses and merges the server-sent events of completion streams.
namespace catkin {

/// One server-sent event.
struct SseEvent {
  std::string raw;  ///< as received, including the terminating blank line
  std::string data; ///< its data lines, joined by line feeds; empty for a comment
  bool isDone() const { return data == "[DONE]"; }
};

/// Splits a byte stream into events. Only complete events are returned, so that a stream can be
/// resumed after a number of events.
class SseSplitter {
public:
  explicit SseSplitter(std::size_t maxEventBytes) : maxEventBytes(maxEventBytes) {}

  void feed(std::string_view bytes);
  /// Returns the next complete event with data, if there is one. Comments are skipped.
  std::optional<SseEvent> next();
  /// Returns true if the unread bytes exceed the event size limit.
  bool isOverLimit() const { return buffer.size() - consumed > maxEventBytes; }

private:
  /// Removes the next complete event from the buffer, with or without data.
  std::optional<SseEvent> extractEvent();

  std::size_t maxEventBytes;
  std::string buffer;
  std::size_t consumed = 0; ///< bytes of `buffer` in events already returned
};

/// Merges the events of one stream into the answer that a caller without `stream` expects. Text
/// fields are concatenated, array members are merged by `index`, and other fields keep the newest
/// value.
class AnswerMerger {
public:
  /// Merges the data of one event. Returns false if it is not a JSON object.
  bool add(std::string_view data);
  /// Returns the merged answer as JSON.
  std::string answer() const;
  /// Total size of the merged events.
  std::size_t bytes() const { return size; }

private:
  json::object merged;
  std::size_t size = 0;
};

} // namespace catkin
