#pragma once

#include "platform_standin_p.h"
#include "raw_server_p.h"

#include <boost/asio/read.hpp>

#include <cstdlib>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

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

/// Serves each connection on a thread of its own and counts the runs of each request. Requests come
/// with a length or without a body.
class FaultyEndpoint {
public:
  FaultyEndpoint(std::string id, EndpointFaults faults)
      : id(std::move(id)), faults(faults), acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        bound(acceptor.local_endpoint().port()), thread([this] { acceptAll(); }) {}

  ~FaultyEndpoint() {
    stopping = true;
    {
      asio::io_context wake;
      tcp::socket socket(wake);
      boost::system::error_code ec;
      socket.connect({asio::ip::address_v4::loopback(), bound}, ec);
    }
    thread.join();
    {
      const std::lock_guard lock(mutex);
      for (auto &it : sockets) {
        boost::system::error_code ec;
        it.shutdown(tcp::socket::shutdown_both, ec);
      }
    }
    for (auto &it : connections)
      it.join();
  }
  FaultyEndpoint(const FaultyEndpoint &) = delete;
  FaultyEndpoint &operator=(const FaultyEndpoint &) = delete;

  json::object registryEntry() const {
    return {{"service", "app"}, {"address", "127.0.0.1:" + std::to_string(bound)},
            {"zone", "z"},      {"version", "v1"},
            {"slots", 8},       {"state", "ready"},
            {"sequence", 0},    {"born", 1'700'000'000'000}};
  }

  /// From now on, requests run and are answered truthfully.
  void endFaults() { faultsEnded = true; }

  /// Returns the number of runs of each request.
  std::map<std::string, int> runs() {
    const std::lock_guard lock(mutex);
    return runsById;
  }

  const std::string id;

private:
  struct Request {
    std::string id;
    std::string expectedEndpoint;
    bool isComplete = false;
  };

  static std::string headerOf(const std::string &head, const std::string &name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return {};
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  /// Reads one request with its body. `rest`: bytes that have been read beyond it.
  static Request readRequest(tcp::socket &socket, std::string &rest) {
    boost::system::error_code ec;
    if (rest.find("\r\n\r\n") == std::string::npos)
      asio::read_until(socket, asio::dynamic_buffer(rest), "\r\n\r\n", ec);
    if (ec)
      return {};
    const auto end = rest.find("\r\n\r\n") + 4;
    const std::string head = rest.substr(0, end);
    const auto length =
        static_cast<std::size_t>(std::atoi(headerOf(head, "Content-Length").c_str()));
    while (!ec && rest.size() < end + length)
      asio::read(socket, asio::dynamic_buffer(rest), asio::transfer_at_least(1), ec);
    rest.erase(0, std::min(rest.size(), end + length));
    return {headerOf(head, "Request-Id"), headerOf(head, "Expect-Instance"), !ec};
  }

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

  bool happens(double share) {
    if (faultsEnded)
      return false;
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  /// Returns the id of an earlier refusal that may be sent once more on the connection.
  std::optional<std::string> earlierRefusal(const std::optional<std::string> &ofConnection) {
    const std::lock_guard lock(mutex);
    return faults.repeatsAnywhere ? lastRefused : ofConnection;
  }

  void serve(tcp::socket &socket) {
    constexpr auto RunTime = std::chrono::milliseconds(20);
    std::string rest;
    std::optional<std::string> refused; // on this connection
    for (int n = 0;; ++n) {
      const Request request = readRequest(socket, rest);
      if (!request.isComplete)
        return;
      if (request.expectedEndpoint != id) {
        RawServer::send(socket,
                        "HTTP/1.1 421 X\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (happens(faults.refuses)) {
        refused = request.id;
        const std::lock_guard lock(mutex);
        lastRefused = request.id;
        RawServer::send(socket, refusal(request.id));
        continue;
      }
      const auto earlier = earlierRefusal(refused);
      if (n > 0 && earlier && happens(faults.repeats))
        RawServer::send(socket, refusal(repeatedId(*earlier, request.id)));
      {
        const std::lock_guard lock(mutex);
        ++runsById[request.id];
      }
      std::this_thread::sleep_for(RunTime);
      const bool fails = happens(faults.failsAfterRun);
      RawServer::send(socket, answer(fails ? faults.failureStatus : 200, request.id));
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

  void acceptAll() {
    while (!stopping) {
      tcp::socket socket = acceptor.accept();
      const std::lock_guard lock(mutex);
      sockets.push_back(std::move(socket));
      connections.emplace_back([this, it = &sockets.back()] { serve(*it); });
    }
  }

  const EndpointFaults faults;
  asio::io_context context;
  tcp::acceptor acceptor;
  std::uint16_t bound;
  std::atomic<bool> stopping = false;
  std::atomic<bool> faultsEnded = false;
  std::mutex mutex; ///< guards the members below
  std::minstd_rand random{5};
  std::optional<std::string> lastRefused;
  std::map<std::string, int> runsById;
  std::list<tcp::socket> sockets;
  std::vector<std::thread> connections;
  std::thread thread;
};

} // namespace catkin::platform
