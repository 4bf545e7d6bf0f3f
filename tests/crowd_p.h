#pragma once

#include "process_cluster_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// Crowds of untrusted callers, and what they cost a process.
namespace catkin {

/// Connections that send the same bytes at the same time and stay open until the object is
/// destroyed.
class Crowd {
public:
  Crowd(const Address &to, int count, std::string text, bool reads)
      : bytes(std::move(text)), total(count), readsAnswers(reads) {
    for (int i = 0; i < count; ++i) {
      sockets.push_back(std::make_unique<asio::ip::tcp::socket>(io));
      start(*sockets.back(), {asio::ip::make_address(to.ip), to.port});
    }
    thread = std::thread([this] { io.run(); });
  }
  ~Crowd() {
    io.stop();
    thread.join();
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  /// Waits until each connection has sent all bytes or was closed.
  bool waitUntilSent() const {
    return pollUntil([this] { return finished == total; });
  }

private:
  void start(asio::ip::tcp::socket &socket, const asio::ip::tcp::endpoint &to) {
    socket.async_connect(to, [this, &socket](boost::system::error_code ec) {
      if (ec) {
        ++finished;
        return;
      }
      if (readsAnswers)
        discardAnswer(socket);
      asio::async_write(socket, asio::buffer(bytes),
                        [this](boost::system::error_code, std::size_t) { ++finished; });
    });
  }
  void discardAnswer(asio::ip::tcp::socket &socket) {
    socket.async_read_some(asio::buffer(scratch),
                           [this, &socket](boost::system::error_code ec, std::size_t) {
                             if (!ec)
                               discardAnswer(socket);
                           });
  }

  const std::string bytes;
  const int total;
  const bool readsAnswers;
  std::atomic<int> finished{0};
  std::array<char, 16 * 1024> scratch{};
  asio::io_context io;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
  std::thread thread;
};

/// Returns the peak of the resident memory in MB.
inline std::size_t peakMegabytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (in >> word)
    if (word == "VmHWM:" && in >> kilobytes)
      break;
  return kilobytes / 1024;
}

inline std::size_t openDescriptors(pid_t pid) {
  std::error_code ec;
  std::size_t n = 0;
  for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/fd", ec), end;
       !ec && it != end; it.increment(ec))
    ++n;
  return n;
}

} // namespace catkin
