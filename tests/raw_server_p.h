#pragma once

#include "http_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

/// A server for tests that need control over the bytes of an answer and over the connection.
namespace catkin {

using asio::ip::tcp;

/// Server that runs a script for each connection, one after the other, on its own thread.
class RawServer {
public:
  using Script = std::function<void(tcp::socket &, int connection)>;
  explicit RawServer(Script s)
      : script(std::move(s)), acceptor(context, {asio::ip::address_v4::loopback(), 0}),
        bound(acceptor.local_endpoint().port()), thread([this] { serve(); }) {}
  ~RawServer() {
    stopping = true;
    connectOnce(bound);
    thread.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  Address address() const { return {"127.0.0.1", bound}; }
  /// Opens a connection and closes it, so that a thread that accepts connections goes on.
  static void connectOnce(std::uint16_t port) {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::address_v4::loopback(), port}, ec);
  }
  /// Reads one request head. Returns an empty text at the end of the connection.
  static std::string readHead(tcp::socket &socket) {
    std::string text;
    boost::system::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    return ec ? std::string() : text;
  }
  static void send(tcp::socket &socket, std::string_view text) {
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
  }

private:
  void serve() {
    for (int n = 0;; ++n) {
      tcp::socket socket = acceptor.accept();
      if (stopping)
        return;
      script(socket, n);
    }
  }
  Script script;
  asio::io_context context;
  tcp::acceptor acceptor;
  std::uint16_t bound;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

} // namespace catkin
