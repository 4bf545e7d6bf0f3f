#pragma once

#include "json_p.h"

#include <optional>
#include <string>
#include <string_view>

/// Server-sent events of completion streams.
namespace catkin {

struct SseEvent {
  std::string raw;  ///< as received, with the blank line that ends it
  std::string data; ///< its data lines, joined; empty for a comment
  bool isDone() const { return data == "[DONE]"; }
};

/// Cuts a byte stream into whole events. An event that has not arrived whole is never given out, so
/// that a stream can be resumed at a count of events.
class SseSplitter {
public:
  explicit SseSplitter(std::size_t maxEventBytes) : maxEventBytes(maxEventBytes) {}

  void feed(std::string_view bytes);
  /// Next whole event that carries data; comments are dropped.
  std::optional<SseEvent> next();
  /// The event being received is over the limit.
  bool isOverLimit() const { return buffer.size() - consumed > maxEventBytes; }

private:
  std::optional<SseEvent> extractEvent();

  std::size_t maxEventBytes;
  std::string buffer;
  std::size_t consumed = 0; ///< bytes of `buffer` already given out
};

/// Puts the events of one stream together to the answer that a caller without `stream` expects.
/// Text grows, arrays are merged by `index`, everything else keeps its newest value.
class AnswerMerger {
public:
  /// False if the event is not a JSON object.
  bool add(std::string_view data);
  std::string answer() const;
  std::size_t bytes() const { return size; }

private:
  json::object merged;
  std::size_t size = 0;
};

} // namespace catkin
