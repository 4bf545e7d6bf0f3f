#include "json_p.h"
#include "log_p.h"
#include "settings_p.h"
#include "sse_p.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace catkin {
namespace {

SettingsResult readArguments(std::vector<const char *> args) {
  args.insert(args.begin(), "catkind");
  return readSettings(static_cast<int>(args.size()), args.data());
}

std::vector<const char *> validArguments() {
  return {"--host",        "h1",          "--data-centre",     "buda-a",
          "--listen",      "127.0.0.1:1", "--platform",        "127.0.0.1:9",
          "--peer-listen", "127.0.0.1:2", "--operator-listen", "127.0.0.1:3"};
}

std::string joinLines(const std::vector<std::string> &lines) {
  std::string text;
  for (auto &it : lines)
    text += it + "\n";
  return text;
}

struct SettingsTest : testing::Test {
  void SetUp() override { setenv("CATKIN_OPERATOR_KEY", "secret-operator-key", 1); }
  void TearDown() override {
    unsetenv("CATKIN_OPERATOR_KEY");
    unsetenv("CATKIN_SILENCE_MS");
  }
};

// Guards against reporting only one error per start of the daemon.
TEST_F(SettingsTest, AllFaultsAreListedAtOnce) {
  auto result =
      readArguments({"--host", "h1", "--listen", "nowhere", "--threads", "0", "--silence-ms",
                     "--retention", "magic", "--colour", "red", "--stop-timeout-s", "5"});
  auto faults = joinLines(result.errors);
  for (auto *it : {"--data-centre: is required", "--platform: is required", "--listen: \"nowhere\"",
                   "--threads: must be", "--silence-ms: needs a value", "--retention: \"magic\"",
                   "--colour: unknown flag", "--stop-timeout-s: must not be below"})
    EXPECT_NE(faults.find(it), std::string::npos) << it << " not found in\n" << faults;
}

// Guards against settings from flags or the environment that are read but not applied.
TEST_F(SettingsTest, FlagGoesBeforeEnvironment) {
  setenv("CATKIN_SILENCE_MS", "700", 1);
  auto args = validArguments();
  auto result = readArguments(args);
  EXPECT_EQ(joinLines(result.errors), "");
  EXPECT_EQ(result.settings.silenceTimeout, std::chrono::milliseconds(700));
  EXPECT_EQ(result.settings.advertise, (Address{"127.0.0.1", 1}));
  args.insert(args.end(), {"--silence-ms", "800", "--peers", "127.0.0.1:7,127.0.0.1:2"});
  result = readArguments(args);
  EXPECT_EQ(result.settings.silenceTimeout, std::chrono::milliseconds(800));
  EXPECT_EQ(result.settings.peers, (std::vector{Address{"127.0.0.1", 7}}))
      << "a host is not its own peer";
}

// Guards against a secret in the log, including one passed as a flag by mistake.
TEST_F(SettingsTest, SecretsAreNotShown) {
  auto args = validArguments();
  args.insert(args.end(), {"--operator-key", "secret-operator-key", "--key=secret-operator-key"});
  auto result = readArguments(args);
  EXPECT_FALSE(result.errors.empty());
  EXPECT_EQ(joinLines(result.errors).find("secret"), std::string::npos);
  EXPECT_EQ(result.settings.operatorKey, "secret-operator-key");
  EXPECT_EQ(describeSettings(result.settings).find("secret"), std::string::npos);
}

// Guards against text from a caller that breaks a log line or forges one.
TEST(Log, LinesAreEscapedJson) {
  auto line = formatLogLine(0, "info", "catkin", "h1", "bad\"}\n{\"level\":\"error\"");
  EXPECT_EQ(line.find('\n'), std::string::npos);
  json::object out;
  ASSERT_TRUE(parseObject(line, out));
  EXPECT_EQ(out["level"], "info");
  EXPECT_EQ(out["message"], "bad\"}\n{\"level\":\"error\"");
  EXPECT_EQ(out["time"], "1970-01-01T00:00:00.000Z");
  ASSERT_TRUE(parseObject(formatLogLine(0, "info", "l", "h1", R"({"plan":"a"})"), out));
  EXPECT_EQ(out["plan"], "a");
}

// Guards against events that are split at the boundary of two reads, and against counting events
// without data.
TEST(Sse, EventsAreCutAtAnyBorder) {
  std::string text =
      ": hello\n\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: b\ndata: c\n\ndata: [DONE]\n\n";
  for (std::size_t step = 1; step < text.size(); ++step) {
    SseSplitter splitter(1000);
    std::vector<std::string> data;
    for (std::size_t at = 0; at < text.size(); at += step) {
      splitter.feed(std::string_view(text).substr(at, step));
      while (auto event = splitter.next())
        data.push_back(event->data);
    }
    EXPECT_EQ(data, (std::vector<std::string>{"{\"a\":1}", "b\nc", "[DONE]"})) << step;
  }
}

// Guards against a merged answer that lacks parts of its stream.
TEST(Sse, AnswerIsMergedFromChunks) {
  AnswerMerger merger;
  for (
      auto *it :
      {R"({"object":"chat.completion.chunk","id":"1","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]})",
       R"({"choices":[{"index":1,"delta":{"content":"x"}},{"index":0,"delta":{"content":"b"}}]})",
       R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{"}}]}}]})",
       R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"stop"}],"usage":{"completion_tokens":3}})"})
    ASSERT_TRUE(merger.add(it));
  EXPECT_FALSE(merger.add("[1]"));
  json::object out;
  ASSERT_TRUE(parseObject(merger.answer(), out));
  auto &first = out["choices"].at(0);
  EXPECT_EQ(out["object"], "chat.completion");
  EXPECT_EQ(first.at("message").at("content"), "ab");
  EXPECT_EQ(first.at("message").at("role"), "assistant");
  EXPECT_EQ(first.at("message").at("tool_calls").at(0).at("function").at("arguments"), "{}");
  EXPECT_EQ(first.at("finish_reason"), "stop");
  EXPECT_EQ(out["choices"].at(1).at("message").at("content"), "x");
  EXPECT_EQ(out["choices"].at(1).at("message").at("role"), "assistant") << "engines may omit it";
  EXPECT_EQ(out["usage"].at("completion_tokens"), 3);
}

} // namespace
} // namespace catkin
