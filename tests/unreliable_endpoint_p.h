#pragma once

#include "raw_endpoint_p.h"

#include <array>
#include <deque>

/// A plain endpoint with the troubles of a real network.
namespace catkin::platform {

/// Shares of requests that meet a fault.
struct UnreliableEndpointFaults {
  double refuses = 0.05;      ///< not run, refused with the request's id
  double losesAnswer = 0.03;  ///< runs, then the connection is reset
  double hidesAnswer = 0.01;  ///< runs, and is never answered
  double truncates = 0.03;    ///< runs, and the answer is cut anywhere
  double fails = 0.05;        ///< runs, and is answered with a failure's status
  double extras = 0.1;        ///< a copy of the answer, or of an earlier one, follows late
  double closes = 0.1;        ///< the answer announces the end of the connection
  double refusesEarly = 0.05; ///< of those with a body: refused before the body has been read
  double dropsIdle = 0.05;    ///< the connection is closed after the answer without a word
};

/// It has few places, loses connections and answers, and sends bytes that nobody asked for. What it
/// says of a request's run in the answer to that request is true.
class UnreliableEndpoint : public RawEndpoint {
public:
  UnreliableEndpoint(std::string id, unsigned seed, const UnreliableEndpointFaults &faults)
      : RawEndpoint(std::move(id), seed), faults(faults) {
    start();
  }
  ~UnreliableEndpoint() override { stop(); }

private:
  static constexpr int Places = 12; ///< of requests that run or wait
  static constexpr std::size_t MaxHistory = 40;
  static constexpr std::size_t MaxExtraDelayMs = 150;
  static constexpr auto RunTime = std::chrono::milliseconds(25);

  /// Returns the answer to a request. Refusals have no stamp.
  std::string makeAnswer(unsigned status, const Request &request, bool closes, bool notRun) const {
    const std::string body = notRun ? "" : "done " + request.id;
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + request.id + "\r\n" +
           (notRun ? "Not-Run: 1\r\n" : "Server-Stamp: " + id + "\r\n") +
           (closes ? "Connection: close\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void remember(const std::string &answer) {
    const std::lock_guard lock(historyMutex);
    history.push_back(answer);
    if (history.size() > MaxHistory)
      history.pop_front();
  }

  std::string earlierAnswer() {
    const std::size_t n = pick(MaxHistory);
    const std::lock_guard lock(historyMutex);
    return history[n % history.size()];
  }

  /// Sends the answer, and sometimes a copy of it or of an earlier one of this endpoint. Returns
  /// false if the connection must be closed.
  bool sendAnswer(tcp::socket &socket, const std::string &answer, bool closes) {
    RawServer::send(socket, answer);
    remember(answer);
    if (happens(faults.extras)) {
      const std::string copy = pick(2) == 0 ? answer : earlierAnswer();
      // Late enough for the next request on the connection, or the same one again, to be waiting.
      std::this_thread::sleep_for(std::chrono::milliseconds(pick(MaxExtraDelayMs)));
      RawServer::send(socket, copy);
    }
    return !closes && !happens(faults.dropsIdle);
  }

  bool refuse(tcp::socket &socket, const Request &request) {
    static constexpr std::array Statuses{503U, 429U, 503U, 421U};
    const bool closes = happens(faults.closes);
    const unsigned status = Statuses.at(pick(Statuses.size()));
    return sendAnswer(socket, makeAnswer(status, request, closes, true), closes);
  }

  /// Runs the request and answers it. Returns false if the connection must be closed.
  bool runRequest(tcp::socket &socket, const Request &request) {
    static constexpr std::array Failures{500U, 503U, 429U, 408U, 502U, 504U, 400U};
    countRun(request.id);
    std::this_thread::sleep_for(RunTime);
    boost::system::error_code ec;
    if (happens(faults.losesAnswer)) {
      socket.set_option(asio::socket_base::linger(true, 0), ec);
      return false;
    }
    if (happens(faults.hidesAnswer)) {
      std::string ignored;
      asio::read(socket, asio::dynamic_buffer(ignored), ec);
      return false;
    }
    const bool closes = happens(faults.closes);
    const unsigned status = happens(faults.fails) ? Failures.at(pick(Failures.size())) : 200;
    const std::string answer = makeAnswer(status, request, closes, false);
    if (!happens(faults.truncates))
      return sendAnswer(socket, answer, closes);
    RawServer::send(socket, std::string_view(answer).substr(0, pick(answer.size())));
    return false;
  }

  void serve(tcp::socket &socket) override {
    std::string rest;
    for (bool open = true; open && !stopping;) {
      const auto request = readHead(socket, rest);
      if (!request)
        break;
      const bool isMisdirected = request->expectedEndpoint != id || request->id.empty();
      const bool isRefusedEarly =
          !isMisdirected && request->bodyBytes > 0 && happens(faults.refusesEarly);
      if (isRefusedEarly && !refuse(socket, *request))
        break;
      open = readBody(socket, rest, request->bodyBytes);
      if (isMisdirected)
        sendMisdirected(socket);
      if (!open || isMisdirected || isRefusedEarly)
        continue;
      const bool isFull = waiting.fetch_add(1) >= Places;
      open = isFull || happens(faults.refuses) ? refuse(socket, *request)
                                               : runRequest(socket, *request);
      --waiting;
    }
  }

  const UnreliableEndpointFaults faults;
  std::atomic<int> waiting = 0;
  std::mutex historyMutex; ///< guards history
  std::deque<std::string> history;
};

} // namespace catkin::platform
