#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Text that the model engine stand-in generates. The text depends only on the model and the
/// prompt, so that a test can verify that a response is complete and belongs to its request.
namespace catkin {

/// Number of leading bytes of a prompt that the prefix hash covers.
constexpr std::size_t PrefixHashBytes = 256;

/// Returns the xxh64 hash of a text as 16 hexadecimal digits.
std::string textHash(std::string_view text);
/// Returns the xxh64 hash of the first PrefixHashBytes of a prompt, as in prefix cache events.
std::uint64_t prefixHash(std::string_view prompt);
/// Returns the text of event `i` of a stream, counted from 1: "<model>:<hash of the prompt>:<i> ".
std::string eventText(std::string_view model, std::string_view prompt, unsigned i);
/// Returns the text of a complete answer of `events` events.
std::string answerText(std::string_view model, std::string_view prompt, unsigned events);

/// Parsed body of a completion request.
struct CompletionRequest {
  std::string model;
  std::string prompt; ///< for chat requests: the message contents, joined by line feeds
  bool chat = false;
  bool stream = false;
  unsigned maxTokens = 16;
};

/// Parses a body of /v1/completions or, if `chat` is set, of /v1/chat/completions. Returns nothing
/// and sets `error` to the reason if the body is not a valid request.
std::optional<CompletionRequest> parseCompletion(std::string_view body, bool chat,
                                                 std::string &error);

} // namespace catkin
