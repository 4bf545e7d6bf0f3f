#include "port_block_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <random>
#include <stdexcept>
#include <string>

namespace catkin {

namespace {

namespace asio = boost::asio;

const char *const LockDirectory = "/tmp/catkin-ports"; // the same as in scripts/ports.sh
constexpr int PortsPerLock = 50;
// Below the system's range of ephemeral ports, any of which an outgoing connection may use.
constexpr int FirstPort = 10000;
constexpr int LastPort = 32000;
constexpr int MaxTries = 2000;

/// Returns true if a listener can be bound to the port at present.
bool isPortFree(std::uint16_t port) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io);
  boost::system::error_code ec;
  acceptor.open(asio::ip::tcp::v4(), ec);
  acceptor.bind({asio::ip::make_address_v4("127.0.0.1"), port}, ec);
  return !ec;
}

/// Locks the file of a part of the ports. Returns its descriptor; -1 if another process has it.
int lockPart(std::uint16_t first) {
  ::mkdir(LockDirectory, 0777);
  const std::string path = std::string(LockDirectory) + "/" + std::to_string(first);
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (file < 0)
    throw std::runtime_error("cannot open " + path);
  if (::flock(file, LOCK_EX | LOCK_NB) == 0)
    return file;
  ::close(file);
  return -1;
}

} // namespace

PortBlock::PortBlock(int ports) {
  const int parts = (ports + PortsPerLock - 1) / PortsPerLock;
  const int starts = (LastPort - FirstPort) / PortsPerLock - parts + 1;
  std::random_device random;
  for (int i = 0; i < MaxTries; ++i) {
    const auto start = static_cast<int>(random() % static_cast<unsigned>(starts));
    if (tryReserve(static_cast<std::uint16_t>(FirstPort + start * PortsPerLock), ports))
      return;
  }
  throw std::runtime_error("no " + std::to_string(ports) + " free ports");
}

PortBlock::~PortBlock() { release(); }

bool PortBlock::tryReserve(std::uint16_t first, int ports) {
  bool isFree = true;
  for (int i = 0; i < ports && isFree; i += PortsPerLock) {
    const int file = lockPart(static_cast<std::uint16_t>(first + i));
    isFree = file >= 0;
    if (isFree)
      lockFiles.push_back(file);
  }
  // Other programs do not know the locks.
  for (int i = 0; i < ports && isFree; ++i)
    isFree = isPortFree(static_cast<std::uint16_t>(first + i));
  if (isFree)
    firstPort = first;
  else
    release();
  return isFree;
}

void PortBlock::release() {
  for (int it : lockFiles)
    ::close(it);
  lockFiles.clear();
}

} // namespace catkin
