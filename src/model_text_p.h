#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Text of the model engine stand-in. It is a function of model and prompt, so that a checker can
/// tell a whole answer to the right request from any other.
namespace catkin {

/// Bytes of a prompt that the prefix hash covers.
constexpr std::size_t PrefixHashBytes = 256;

/// xxh64 of a text as 16 hexadecimal digits.
std::string textHash(std::string_view text);
/// xxh64 of the beginning of a prompt, as used in prefix cache events.
std::uint64_t prefixHash(std::string_view prompt);
/// Event `i` of a stream, counted from 1: "<model>:<hash of the prompt>:<i> ".
std::string eventText(std::string_view model, std::string_view prompt, unsigned i);
/// Text of a whole answer of `events` events.
std::string answerText(std::string_view model, std::string_view prompt, unsigned events);

/// What a completion request asks for.
struct CompletionRequest {
  std::string model;
  std::string prompt; ///< of a chat: the contents of the messages, joined by line feeds
  bool chat = false;
  bool stream = false;
  unsigned maxTokens = 16;
};

/// Reads the body of /v1/completions or, if `chat`, of /v1/chat/completions. Nothing for a body
/// that is not such a request; `error` then says why.
std::optional<CompletionRequest> parseCompletion(std::string_view body, bool chat,
                                                 std::string &error);

} // namespace catkin
