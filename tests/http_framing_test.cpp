#include "http_body_p.h"
#include "http_read_p.h"

#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <initializer_list>
#include <optional>
#include <random>
#include <regex>
#include <string>
#include <string_view>
#include <vector>

/// Compares the parser under the strict rules with a second reader of messages.
namespace catkin {
namespace {

std::string joined(std::initializer_list<std::string_view> parts) {
  std::string out;
  for (auto it : parts)
    out += it;
  return out;
}

namespace http = boost::beast::http;

constexpr unsigned Seeds = 20'000;

/// A message that was read whole.
struct Reading {
  std::string body;
  std::size_t size = 0; ///< bytes of the message
  bool operator==(const Reading &) const = default;
};

/// Reads a message as the server and the client do. Empty if it is refused or not whole. The bytes
/// from `split` on arrive later than those before.
template <bool IsRequest>
std::optional<Reading> parse(const std::string &bytes, std::size_t split = 0) {
  boost::beast::flat_buffer buffer;
  const auto arrive = [&](std::size_t from, std::size_t n) {
    const auto space = buffer.prepare(n);
    std::memcpy(space.data(), bytes.data() + from, n);
    buffer.commit(n);
  };
  http::parser<IsRequest, ArrivedBody> parser;
  HeadCheck headCheck(IsRequest ? MessageKind::Request : MessageKind::Response);
  parser.eager(false);
  parser.on_chunk_header(checkChunkHeader);
  arrive(0, split);
  boost::system::error_code readError;
  while (!parser.is_done() && buffer.size() > 0 && !readError)
    readError = parseBuffered(buffer, parser, headCheck);
  if (readError && readError != http::error::need_more)
    return std::nullopt;
  arrive(split, bytes.size() - split);
  while (!parser.is_done() && buffer.size() > 0)
    if (parseBuffered(buffer, parser, headCheck))
      return std::nullopt;
  boost::system::error_code ec;
  if (!parser.is_done() && parser.got_some())
    parser.put_eof(ec);
  if (ec || !parser.is_done())
    return std::nullopt;
  return Reading{parser.get().body(), bytes.size() - buffer.size()};
}

/// Reads chunks by the grammar of RFC 9112, section 7.1.
std::optional<Reading> readChunks(const std::string &bytes, std::size_t at) {
  static const std::regex Line("^([0-9A-Fa-f]{1,16})(;[^\\x00-\\x08\\x0a-\\x1f\\x7f]*)?\r\n");
  static const std::regex Trailer("^([^\r\n]+\r\n)*\r\n");
  Reading out;
  for (;;) {
    std::smatch found;
    const std::string rest = bytes.substr(at);
    if (!std::regex_search(rest, found, Line))
      return std::nullopt;
    const auto size = std::stoull(found[1], nullptr, 16);
    at += static_cast<std::size_t>(found.length());
    if (size == 0)
      break;
    if (size > bytes.size() - at || bytes.compare(at + size, 2, "\r\n") != 0)
      return std::nullopt;
    out.body += bytes.substr(at, size);
    at += size + 2;
  }
  std::smatch found;
  const std::string rest = bytes.substr(at);
  if (!std::regex_search(rest, found, Trailer))
    return std::nullopt;
  out.size = at + static_cast<std::size_t>(found.length());
  return out;
}

/// Reads a message by the grammar of RFC 9112, with regular expressions. Empty if the message does
/// not have one certain end, or is not whole.
std::optional<Reading> readStrictly(const std::string &bytes, bool isRequest) {
  static const std::regex Field("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*");
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string::npos)
    return std::nullopt;
  std::vector<std::string> lengths;
  std::vector<std::string> codings;
  std::size_t at = bytes.find("\r\n") + 2;
  const std::string start = bytes.substr(0, at - 2);
  while (at < end) {
    const auto next = bytes.find("\r\n", at);
    const std::string line = bytes.substr(at, next - at);
    at = next + 2;
    std::smatch parts;
    if (!std::regex_match(line, parts, Field)) // `.` matches neither CR nor LF
      return std::nullopt;
    std::string name = parts[1];
    std::transform(name.begin(), name.end(), name.begin(), [](char c) { return std::tolower(c); });
    if (name == "content-length")
      lengths.push_back(parts[2]);
    if (name == "transfer-encoding")
      codings.push_back(parts[2]);
  }
  const std::size_t body = end + 4;
  const int status = isRequest ? 0 : std::atoi(start.substr(std::min(start.size(), 9UL)).c_str());
  const bool hasNoBody = !isRequest && (status / 100 == 1 || status == 204 || status == 304);
  static const std::regex Chunked("chunked", std::regex::icase);
  if (!codings.empty()) {
    if (!lengths.empty() || codings.size() > 1 || !std::regex_match(codings[0], Chunked) ||
        start.find("HTTP/1.1") == std::string::npos)
      return std::nullopt;
    return hasNoBody ? Reading{"", body} : readChunks(bytes, body);
  }
  if (lengths.empty())
    return isRequest || hasNoBody ? Reading{"", body} : Reading{bytes.substr(body), bytes.size()};
  static const std::regex Number("[0-9]{1,20}");
  for (auto &it : lengths)
    if (it != lengths[0] || !std::regex_match(it, Number))
      return std::nullopt;
  if (hasNoBody)
    return Reading{"", body};
  const auto size = std::strtoull(lengths[0].c_str(), nullptr, 10);
  if (size > bytes.size() - body)
    return std::nullopt;
  return Reading{bytes.substr(body, size), body + size};
}

std::optional<Reading> parse(const std::string &bytes, bool isRequest) {
  return isRequest ? parse<true>(bytes) : parse<false>(bytes);
}

const std::string Chunks = "5\r\nabcde\r\n0\r\n\r\n";
const std::string Next = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";

/// Fields with which the end of a message is open to interpretation.
const std::vector<std::string> RefusedFields = {
    "Transfer-Encoding: gzip",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: gzip, identity",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked;q=1",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: \"chunked\"",
    "Transfer-Encoding:",
    std::string("Transfer-Encoding: chunked\r\nX: y\r\n") + "Transfer-Encoding: chunked",
    std::string("Transfer-Encoding: gzip\r\n") + "Transfer-Encoding: chunked",
    std::string("Transfer-Encoding: chunked\r\n") + "Transfer-Encoding: identity",
    "Transfer-Encoding: chunked\r\nContent-Length: 5",
    "Content-Length: 5\r\nTransfer-Encoding: chunked",
    "Content-Length: 5\r\nTransfer-Encoding: gzip",
    "Transfer-Encoding:\r\n chunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\t: chunked",
    "Transfer-Encoding\r\n: chunked",
    std::string("Transfer-Encoding: \x0b") + "chunked",
    "Content-Length: +5",
    "Content-Length: -5",
    "Content-Length: 5, 5",
    "Content-Length: 5,",
    "Content-Length: 5 5",
    "Content-Length: 0x5",
    "Content-Length: 5.0",
    "Content-Length:",
    "Content-Length: 5\r\nContent-Length: 6",
    "Content-Length: 5\r\nContent-Length: 05",
    "Content-Length: 99999999999999999999",
    "Content-Length : 5",
    "X: y\r\n Content-Length: 5",
    "X: y\r\n\tz",
    "X: y\nContent-Length: 5",
    "X: y\rContent-Length: 5",
    " X: y",
    ": y",
    "X y"};

/// Chunked bodies that must be refused.
const std::vector<std::string> RefusedChunks = {"10000000000000005\r\nabcde\r\n0\r\n\r\n",
                                                "FFFFFFFFFFFFFFFFF\r\nabcde\r\n0\r\n\r\n",
                                                "0x5\r\nabcde\r\n0\r\n\r\n",
                                                "+5\r\nabcde\r\n0\r\n\r\n",
                                                "-5\r\nabcde\r\n0\r\n\r\n",
                                                " 5\r\nabcde\r\n0\r\n\r\n",
                                                "5 \r\nabcde\r\n0\r\n\r\n",
                                                "5\t;x=y\r\nabcde\r\n0\r\n\r\n",
                                                "5 5\r\nabcde\r\n0\r\n\r\n",
                                                "5g\r\nabcde\r\n0\r\n\r\n",
                                                "\r\nabcde\r\n0\r\n\r\n",
                                                "5;x=\"\n\"\r\nabcde\r\n0\r\n\r\n",
                                                "5\nabcde\r\n0\r\n\r\n",
                                                "5\rabcde\r\n0\r\n\r\n",
                                                "5\r\nabcdef\r\n0\r\n\r\n",
                                                "5\r\nabcde\n0\r\n\r\n",
                                                "5\r\nabcde\r\n0 \r\n\r\n",
                                                "5\r\nabcde\r\n0;x=\"\n\"\r\n\r\n"};

struct Message {
  std::string bytes;
  std::string body;
};

/// Messages that must be read, each with its body.
const std::vector<Message> AcceptedRequests = {
    {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
    {"GET / HTTP/1.0\r\n\r\n", ""},
    {"POST / HTTP/1.1\r\nContent-Length:\t5 \r\n\r\nabcde", "abcde"},
    {"POST / HTTP/1.0\r\nContent-Length: 05\r\n\r\nabcde", "abcde"},
    {"POST / HTTP/1.1\r\nContent-Length: 5\r\nX:\r\nContent-Length: 5\r\n\r\nabcde", "abcde"},
    {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks, "abcde"},
    {"POST / HTTP/1.1\r\ntransfer-encoding:CHUNKED\r\n\r\n0005;x=y\r\nabcde\r\nA\r\n0123456789\r\n"
     "0;x\r\nX-Trailer: z\r\n\r\n",
     "abcde0123456789"}};
const std::vector<Message> AcceptedAnswers = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", "abcde"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks, "abcde"},
    {"HTTP/1.1 200 \r\nX: y\r\n\r\nuntil the end", "until the end"},
    {"HTTP/1.0 200 OK\r\n\r\nuntil the end", "until the end"},
    {"HTTP/1.1 204 No Content\r\n\r\n", ""},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
    {"HTTP/1.1 100 Continue\r\n\r\n", ""}};

/// Mutations that the parser alone reads otherwise than the second reader.
const std::vector<std::string> FoundRequests = {
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks,
    "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n" + Next,
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n" + Chunks,
    "POST / HTTP/1.1\r\nX: y\r\n Content-Length: 5\r\n\r\nabcde"};

// Guards against a message that this process and another one read with different ends, so that
// bytes of a body count as a message of their own.
TEST(HttpFraming, MessageWithoutACertainEndIsRead) {
  for (auto &it : RefusedFields) {
    const std::string rest = joined({"\r\n", it, "\r\n\r\n"});
    for (auto &body : {Chunks, Next, std::string("abcde")}) {
      EXPECT_FALSE(parse<true>(joined({"POST / HTTP/1.1\r\nHost: h", rest, body}))) << it;
      EXPECT_FALSE(parse<false>(joined({"HTTP/1.1 200 OK\r\nX: y", rest, body}))) << it;
    }
  }
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (auto &it : RefusedChunks) {
    EXPECT_FALSE(parse<true>(joined({"POST / HTTP/1.1\r\n", chunked, it}))) << it;
    EXPECT_FALSE(parse<false>(joined({"HTTP/1.1 200 OK\r\n", chunked, it}))) << it;
  }
  EXPECT_FALSE(parse<false>("HTTP/1.0 200 OK\r\n" + chunked + Chunks));
  for (auto &it : FoundRequests)
    EXPECT_FALSE(parse<true>(it)) << it;
}

// Guards against rules that refuse or cut what well-behaved peers send.
TEST(HttpFraming, SoundMessageIsRefused) {
  for (auto &it : AcceptedRequests)
    EXPECT_EQ(parse<true>(it.bytes + Next), (Reading{it.body, it.bytes.size()})) << it.bytes;
  for (auto &it : AcceptedAnswers)
    EXPECT_EQ(parse<false>(it.bytes), (Reading{it.body, it.bytes.size()})) << it.bytes;
}

// Guards against a head that is refused, or escapes the rules, since it has arrived in two pieces.
TEST(HttpFraming, HeadInTwoPiecesIsReadInAnotherWay) {
  for (const bool isRequest : {true, false})
    for (auto &it : isRequest ? AcceptedRequests : AcceptedAnswers) {
      const std::string bytes = it.bytes + (isRequest ? Next : "");
      for (std::size_t n = 1; n < it.bytes.size(); ++n)
        EXPECT_EQ(isRequest ? parse<true>(bytes, n) : parse<false>(bytes, n),
                  (Reading{it.body, it.bytes.size()}))
            << n << " of " << it.bytes;
    }
  for (auto &it : RefusedFields) {
    const std::string bytes = joined({"POST / HTTP/1.1\r\nHost: h\r\n", it, "\r\n\r\nabcde"});
    for (std::size_t n = 1; n < bytes.size(); ++n)
      EXPECT_FALSE(parse<true>(bytes, n)) << n << " of " << bytes;
  }
  for (auto &it : FoundRequests)
    for (std::size_t n = 1; n < it.size(); ++n)
      EXPECT_FALSE(parse<true>(it, n)) << n << " of " << it;
}

/// Returns the text with one to three changes that concern the end of a message.
std::string mutate(std::string text, unsigned seed) {
  static const std::vector<std::string> Pieces = {"\r\n",
                                                  "\n",
                                                  "\r",
                                                  "\r\n ",
                                                  " ",
                                                  "\t",
                                                  ",",
                                                  ";",
                                                  ":",
                                                  "+",
                                                  "-",
                                                  "0x",
                                                  "0",
                                                  "5",
                                                  "gzip",
                                                  "FFFF",
                                                  "chunked",
                                                  "identity",
                                                  "\"",
                                                  "=",
                                                  "\x0b",
                                                  "1.0",
                                                  "1.1",
                                                  "\r\n\r\n",
                                                  ", chunked",
                                                  "Content-Length: 5\r\n",
                                                  "Content-Length: 4\r\n",
                                                  "Transfer-Encoding: chunked\r\n",
                                                  "Transfer-Encoding: gzip\r\n"};
  std::minstd_rand random(seed);
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random()) % n; };
  for (std::size_t changes = 1 + below(3); changes > 0 && !text.empty(); --changes) {
    const std::size_t at = below(text.size());
    const std::size_t line = text.find("\r\n", at);
    const std::string &piece = Pieces[below(Pieces.size())];
    if (below(3) == 0 && line != std::string::npos)
      text.insert(line + 2, piece);
    else if (below(2) == 0)
      text.insert(at, piece);
    else
      text.replace(at, 1 + below(4), piece);
  }
  return text;
}

// Guards against faults of the same class that no row of the tables has.
TEST(HttpFraming, MutatedMessageIsReadWithAnotherEnd) {
  int accepted = 0;
  for (const bool isRequest : {true, false}) {
    const auto &messages = isRequest ? AcceptedRequests : AcceptedAnswers;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
      const std::string bytes = mutate(messages[seed % messages.size()].bytes, seed) + Next;
      const auto reading = parse(bytes, isRequest);
      if (!reading)
        continue;
      ++accepted;
      EXPECT_EQ(reading, readStrictly(bytes, isRequest)) << seed << ": " << bytes;
    }
  }
  EXPECT_GT(accepted, static_cast<int>(Seeds) / 10);
}

} // namespace
} // namespace catkin
