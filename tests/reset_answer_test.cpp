#include "platform_gateway_fixture_p.h"
#include "process_cluster_p.h"
#include "raw_endpoint_p.h"
#include <boost/asio/read.hpp>

/// Tests of the gateway before endpoints that answer before they have read the request, and break
/// off or end the connection meanwhile.
namespace catkin::platform::gateway_test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t UploadBytes = 3'900'000; // more than the buffers of a connection hold
constexpr std::size_t SmallUploadBytes = 300'000;
constexpr int ReceiveBytes = 64 * 1024; // which the kernel takes for an endpoint that does not read
constexpr auto AnswerTime = 30ms;       // for the answer to arrive before the connection ends
const std::string HeadWithoutLength =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n\r\n";
const std::string HeadWithLength =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\n";
const std::string OneEvent = "id: 1\ndata: a\n\n";

/// How an endpoint ends the connection of an answer.
enum class End {
  Reset,         ///< at once
  CloseThenReset ///< its own direction first, then all of it, with the rest of the request unread
};

/// What an endpoint does with a request.
struct Behaviour {
  std::string answer;
  std::size_t readBytes = 0;   ///< of the request's body, before the connection ends
  Duration pause = AnswerTime; ///< between the answer and the end of the connection
  End end = End::Reset;
};

class ResetAnswer : public PlatformGatewayTest {
protected:
  /// Lets all endpoints behave like this.
  void serve(const Behaviour &it) {
    rawServers.clear();
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      rawServers.push_back(std::make_unique<RawServer>(
          [it](tcp::socket &socket, int) { answerAndBreakOff(socket, it); }));
      FleetEndpoint entry = view.find(EndpointName("e" + std::to_string(i)))->entry;
      entry.address = rawServers.back()->address();
      view.putEndpoint(entry, steadyNow());
    }
  }

  HttpResult upload(const std::string &path, std::size_t bytes) {
    auto request = makeCall(path);
    request.body().assign(bytes, 'u');
    request.prepare_payload();
    return call(request);
  }

  static const std::vector<std::string> &paths() {
    static const std::vector<std::string> All{"/safe/x", "/unsafe/x", "/once/x", "/resume/x"};
    return All;
  }

private:
  static void answerAndBreakOff(tcp::socket &socket, const Behaviour &it) {
    boost::system::error_code ec;
    std::string text;
    socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes), ec);
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    if (text.find("Last-Event-Id") != std::string::npos)
      return; // a further try to go on with the stream
    const std::size_t begun = text.size() - text.find("\r\n\r\n") - 4;
    RawServer::send(socket, it.answer);
    if (it.readBytes > begun) {
      std::string rest(it.readBytes - begun, ' ');
      asio::read(socket, asio::buffer(rest), ec);
    }
    std::this_thread::sleep_for(it.pause);
    if (it.end == End::CloseThenReset) {
      socket.shutdown(tcp::socket::shutdown_send, ec);
      std::this_thread::sleep_for(AnswerTime);
    } else {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
  }
};

// Guards against the part of an answer that has come before a reset, as a complete answer (MIXED).
// Without a pause the reset meets a host that still writes the request.
TEST_F(ResetAnswer, AnswerIsResetDuringTheUpload) {
  for (auto &head : {HeadWithoutLength, HeadWithLength})
    for (std::size_t read : {std::size_t(0), UploadBytes / 2, UploadBytes - 1, UploadBytes})
      for (Duration pause : {Duration(0), Duration(AnswerTime)}) {
        serve({.answer = head + "part", .readBytes = read, .pause = pause});
        for (auto &path : paths())
          EXPECT_EQ(upload(path, UploadBytes).response.result_int(), 502U)
              << path << " " << head << read << " " << toMillis(pause);
      }
}

// Guards against the same where the whole request is in the buffers of the connection.
TEST_F(ResetAnswer, AnswerIsResetAfterAShortUpload) {
  for (auto &head : {HeadWithoutLength, HeadWithLength})
    for (std::size_t read : {std::size_t(0), SmallUploadBytes / 2, SmallUploadBytes}) {
      serve({.answer = head + "part", .readBytes = read});
      for (auto &path : paths())
        EXPECT_EQ(upload(path, SmallUploadBytes).response.result_int(), 502U)
            << path << " " << head << read;
    }
}

// Guards against a stream that ends as complete after a reset: its events are relayed as they come.
TEST_F(ResetAnswer, StreamIsReset) {
  for (std::size_t bytes : {SmallUploadBytes, UploadBytes}) {
    serve({.answer = HeadWithoutLength + OneEvent, .readBytes = bytes});
    for (auto *path : {"/once/x", "/resume/x"}) {
      const auto result = upload(path, bytes);
      EXPECT_EQ(result.response.body(), OneEvent) << path;
      EXPECT_NE(result.status, HttpTransferStatus::Ok) << path;
    }
  }
}

// Guards against an endpoint that ends its answer and then breaks off while most of the request is
// still on the way: how much of it the buffers of the host hold must not decide what the caller
// gets.
TEST_F(ResetAnswer, AnswerEndsBeforeTheUploadAndIsReset) {
  for (std::size_t read : {std::size_t(0), UploadBytes / 2}) {
    serve({.answer = HeadWithoutLength + "part", .readBytes = read, .end = End::CloseThenReset});
    for (auto &path : paths())
      EXPECT_EQ(upload(path, UploadBytes).response.result_int(), 502U) << path << " " << read;
  }
}

// Guards against an answer that is lost although it is whole: the endpoint has answered early, ends
// its direction and reads the request to its end.
TEST_F(ResetAnswer, EarlyAnswerWithoutLengthIsWhole) {
  for (std::size_t bytes : {SmallUploadBytes, UploadBytes}) {
    serve({.answer = HeadWithoutLength + "whole", .readBytes = bytes, .end = End::CloseThenReset});
    const auto result = upload("/unsafe/x", bytes);
    EXPECT_EQ(result.response.result_int(), 200U) << bytes;
    EXPECT_EQ(result.response.body(), "whole") << bytes;
  }
}

// Guards against an answer with a status that HTTP does not have, which callers take for a success
// or for a status of the endpoint (MIXED).
TEST_F(ResetAnswer, StatusIsNoStatus) {
  for (auto *status : {"000", "001", "099", "20", "2000", "600", "700", "999"})
    for (auto &fields : {std::string("Content-Length: 4\r\n"), std::string()}) {
      const std::string answer = std::string("HTTP/1.1 ") + status +
                                 " X\r\nRequest-Id: id1\r\nServer-Stamp: s\r\n" + fields +
                                 "\r\ndone";
      for (std::size_t i = 0; i < endpoints.size(); ++i)
        answerRaw(i, answer, answer);
      for (auto &path : paths())
        EXPECT_EQ(call(makeCall(path)).response.result_int(), 502U) << path << " " << status;
    }
}

/// A plain endpoint that sends `answer` as soon as it has the head of a request, and resets the
/// connection.
class BreakingEndpoint : public RawEndpoint {
public:
  explicit BreakingEndpoint(std::string answer)
      : RawEndpoint("i-breaking", 1), answer(std::move(answer)) {
    start();
  }
  ~BreakingEndpoint() override { stop(); }

private:
  void serve(tcp::socket &socket) override {
    std::string rest;
    const auto request = readHead(socket, rest);
    if (!request)
      return;
    countRun(request->id);
    RawServer::send(socket, answer);
    std::this_thread::sleep_for(AnswerTime);
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
  }

  const std::string answer;
};

/// Sends an upload to a daemon whose only plain endpoint, in another process, answers with `answer`
/// and breaks off. Returns the status that the caller gets.
unsigned statusOfBrokenUpload(const std::string &answer) {
  PlatformCluster cluster(1, {{"m0"}});
  BreakingEndpoint endpoint(answer);
  cluster.run([&] { cluster.store.put("servers", endpoint.id, endpoint.registryEntry()); });
  EXPECT_TRUE(cluster.waitUntilReady());
  std::this_thread::sleep_for(1s); // for the host to read the registration
  catkin::Call request{.method = "POST", .target = "/u/x", .body = std::string(UploadBytes, 'u')};
  request.headers = {{"Host", "h.example"}, {"Request-Id", "h0-1"}, {"Deadline-Ms", "2500"}};
  const HttpResult result = callOnce(cluster.hostAddress(0), request);
  EXPECT_EQ(endpoint.runs().size(), 1U);
  return statusOf(result);
}

TEST(ResetAnswerOfAProcess, PartOfAnAnswerIsAnAnswer) {
  EXPECT_EQ(statusOfBrokenUpload(HeadWithoutLength + "part"), 502U);
}

TEST(ResetAnswerOfAProcess, StatusIsNoStatus) {
  for (auto *status : {"000", "600"})
    EXPECT_EQ(statusOfBrokenUpload(std::string("HTTP/1.1 ") + status +
                                   " X\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\ndone"),
              502U)
        << status;
}

} // namespace
} // namespace catkin::platform::gateway_test
