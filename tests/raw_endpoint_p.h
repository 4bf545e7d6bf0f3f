#pragma once

#include "platform_standin_p.h"
#include "raw_server_p.h"

#include <boost/asio/read.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Base of plain endpoints whose tests need control over the bytes of their answers.
namespace catkin::platform {

/// Serves each connection on a thread of its own and counts the runs of each request. Requests come
/// with a length or without a body. A derived class calls start() in its constructor and stop() in
/// its destructor.
class RawEndpoint {
public:
  explicit RawEndpoint(std::string id, unsigned seed)
      : id(std::move(id)), acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        bound(acceptor.local_endpoint().port()), random(seed) {}
  virtual ~RawEndpoint() = default;
  RawEndpoint(const RawEndpoint &) = delete;
  RawEndpoint &operator=(const RawEndpoint &) = delete;

  json::object registryEntry(const char *state = "ready") const {
    return {{"service", "app"}, {"address", "127.0.0.1:" + std::to_string(bound)},
            {"zone", "z"},      {"version", "v1"},
            {"slots", 8},       {"state", state},
            {"sequence", 0},    {"born", 1'700'000'000'000}};
  }

  /// Ends all connections, as a crash of the endpoint does.
  void closeConnections() {
    const std::lock_guard lock(mutex);
    for (auto &it : sockets) {
      boost::system::error_code ec;
      it.shutdown(tcp::socket::shutdown_both, ec);
    }
  }

  /// Returns the number of runs of each request.
  std::map<std::string, int> runs() {
    const std::lock_guard lock(mutex);
    return runsById;
  }

  const std::string id;

protected:
  struct Request {
    std::string id;
    std::string expectedEndpoint;
    std::size_t bodyBytes = 0;
  };

  void start() {
    thread = std::thread([this] { acceptAll(); });
  }

  void stop() {
    stopping = true;
    RawServer::connectOnce(bound);
    thread.join();
    closeConnections();
    for (auto &it : connections)
      it.join();
  }

  /// Serves the requests of one connection, which is closed afterwards.
  virtual void serve(tcp::socket &socket) = 0;

  /// Reads the head of a request. `rest`: bytes that have been read beyond it. Empty at the end of
  /// the connection.
  static std::optional<Request> readHead(tcp::socket &socket, std::string &rest) {
    boost::system::error_code ec;
    if (rest.find("\r\n\r\n") == std::string::npos)
      asio::read_until(socket, asio::dynamic_buffer(rest), "\r\n\r\n", ec);
    if (ec)
      return std::nullopt;
    const std::string head = rest.substr(0, rest.find("\r\n\r\n") + 4);
    rest.erase(0, head.size());
    return Request{
        .id = headerOf(head, "Request-Id"),
        .expectedEndpoint = headerOf(head, "Expect-Instance"),
        .bodyBytes = static_cast<std::size_t>(std::atoi(headerOf(head, "Content-Length").c_str()))};
  }

  /// Reads the body of a request. Returns false at the end of the connection.
  static bool readBody(tcp::socket &socket, std::string &rest, std::size_t n) {
    boost::system::error_code ec;
    while (!ec && rest.size() < n)
      asio::read(socket, asio::dynamic_buffer(rest), asio::transfer_at_least(1), ec);
    rest.erase(0, std::min(rest.size(), n));
    return !ec;
  }

  /// Answers a request for another endpoint, or a question of a host, which has no id.
  void sendMisdirected(tcp::socket &socket) const {
    RawServer::send(socket, "HTTP/1.1 421 X\r\nInstance: " + id + "\r\nContent-Length: 0\r\n\r\n");
  }

  void countRun(const std::string &requestId) {
    const std::lock_guard lock(mutex);
    ++runsById[requestId];
  }

  bool happens(double share) {
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  /// Returns a random number below `n`.
  std::size_t pick(std::size_t n) {
    const std::lock_guard lock(mutex);
    return random() % n;
  }

  std::atomic<bool> stopping = false;

private:
  static std::string headerOf(const std::string &head, const std::string &name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return {};
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  void acceptAll() {
    while (!stopping) {
      tcp::socket socket = acceptor.accept();
      const std::lock_guard lock(mutex);
      sockets.push_back(std::move(socket));
      connections.emplace_back([this, it = &sockets.back()] {
        serve(*it);
        const std::lock_guard closeLock(mutex);
        boost::system::error_code ec;
        it->close(ec);
      });
    }
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::uint16_t bound;
  std::mutex mutex; ///< guards the members below but the threads
  std::minstd_rand random;
  std::map<std::string, int> runsById;
  std::list<tcp::socket> sockets;
  std::vector<std::thread> connections;
  std::thread thread;
};

} // namespace catkin::platform
