#pragma once

#include "raw_endpoint_p.h"

/// A plain endpoint that breaks the promises of its refusals.
namespace catkin::platform {

/// What is wrong with the answers of the endpoint.
struct EndpointFaults {
  /// What a repeated refusal says about the request that it refuses.
  enum class RepeatedId { Original, None, OfRunningRequest };
  double failsAfterRun = 0; ///< share of requests that run and are answered with `failureStatus`
  unsigned failureStatus = 503;
  double refuses = 0; ///< share of requests that do not run, refused without a body
  double repeats = 0; ///< share of requests before whose run an earlier refusal is sent once more
  RepeatedId repeatedId = RepeatedId::Original;
  /// Repeats refusals of other connections too, on each kept connection.
  bool repeatsAnywhere = false;
};

class FaultyEndpoint : public RawEndpoint {
public:
  FaultyEndpoint(std::string id, EndpointFaults faults)
      : RawEndpoint(std::move(id), Seed), faults(faults) {
    start();
  }
  ~FaultyEndpoint() override { stop(); }

  /// From now on, requests run and are answered truthfully.
  void endFaults() { faultsEnded = true; }

private:
  static constexpr unsigned Seed = 5;

  static std::string refusal(const std::string &requestId) {
    const std::string idLine = requestId.empty() ? "" : "Request-Id: " + requestId + "\r\n";
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + idLine +
           "Content-Length: 0\r\n\r\n";
  }

  std::string answer(unsigned status, const std::string &requestId) const {
    const std::string body = "done " + requestId;
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + requestId +
           "\r\nServer-Stamp: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  bool fails(double share) { return !faultsEnded && happens(share); }

  /// Returns the id of an earlier refusal that may be sent once more on the connection.
  std::optional<std::string> earlierRefusal(const std::optional<std::string> &ofConnection) {
    const std::lock_guard lock(refusedMutex);
    return faults.repeatsAnywhere ? lastRefused : ofConnection;
  }

  void serve(tcp::socket &socket) override {
    constexpr auto RunTime = std::chrono::milliseconds(20);
    std::string rest;
    std::optional<std::string> refused; // on this connection
    for (int n = 0;; ++n) {
      const auto request = readHead(socket, rest);
      if (!request || !readBody(socket, rest, request->bodyBytes))
        return;
      if (request->expectedEndpoint != id) {
        sendMisdirected(socket);
        continue;
      }
      if (fails(faults.refuses)) {
        refused = request->id;
        const std::lock_guard lock(refusedMutex);
        lastRefused = request->id;
        RawServer::send(socket, refusal(request->id));
        continue;
      }
      const auto earlier = earlierRefusal(refused);
      if (n > 0 && earlier && fails(faults.repeats))
        RawServer::send(socket, refusal(repeatedId(*earlier, request->id)));
      countRun(request->id);
      std::this_thread::sleep_for(RunTime);
      const bool isFailure = fails(faults.failsAfterRun);
      RawServer::send(socket, answer(isFailure ? faults.failureStatus : 200, request->id));
    }
  }

  std::string repeatedId(const std::string &original, const std::string &running) const {
    switch (faults.repeatedId) {
    case EndpointFaults::RepeatedId::Original:
      return original;
    case EndpointFaults::RepeatedId::OfRunningRequest:
      return running;
    case EndpointFaults::RepeatedId::None:
      break;
    }
    return {};
  }

  const EndpointFaults faults;
  std::atomic<bool> faultsEnded = false;
  std::mutex refusedMutex; ///< guards lastRefused
  std::optional<std::string> lastRefused;
};

} // namespace catkin::platform
