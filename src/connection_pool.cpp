#include "connection_pool_p.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace catkin {

namespace {

using boost::asio::ip::tcp;

/// Returns true if an idle connection is open and the peer has sent nothing since its last
/// response.
bool isReusable(tcp::socket &socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::optional<tcp::socket> ConnectionPool::acquire(const Address &to, Duration maxIdle) {
  const std::lock_guard lock(mutex);
  checkUnused();
  auto it = idle.find(to.toString());
  if (it == idle.end())
    return std::nullopt;
  closeExpired(it->second);
  while (!it->second.empty()) {
    IdleConnection connection = std::move(it->second.back());
    it->second.pop_back();
    --count;
    const bool fresh = Clock::now() - connection.since <= std::min(maxIdle, connection.limit);
    if (fresh && isReusable(connection.socket))
      return std::move(connection.socket);
  }
  idle.erase(it);
  return std::nullopt;
}

void ConnectionPool::returnIdle(const Address &to, tcp::socket socket, Duration limit) {
  const std::lock_guard lock(mutex);
  checkUnused();
  auto &connections = idle[to.toString()];
  closeExpired(connections);
  if (connections.size() >= options.maxIdlePerAddress)
    return;
  connections.push_back({std::move(socket), Clock::now(), limit});
  ++count;
  makeRoom();
}

void ConnectionPool::addInUse() {
  const std::lock_guard lock(mutex);
  ++inUse;
  makeRoom();
}

void ConnectionPool::removeInUse() {
  const std::lock_guard lock(mutex);
  --inUse;
}

void ConnectionPool::closeIdle(const Address &to) {
  const std::lock_guard lock(mutex);
  auto it = idle.find(to.toString());
  if (it == idle.end())
    return;
  count -= it->second.size();
  idle.erase(it);
}

std::size_t ConnectionPool::size() {
  const std::lock_guard lock(mutex);
  return count;
}

void ConnectionPool::closeExpired(Connections &connections) {
  const auto limit = Clock::now() - MaxIdleTime;
  auto it = connections.begin();
  while (it != connections.end() && it->since < limit)
    ++it;
  count -= static_cast<std::size_t>(it - connections.begin());
  connections.erase(connections.begin(), it);
}

void ConnectionPool::makeRoom() {
  while (count + inUse > options.maxConnections && closeLongestIdle()) {
  }
}

/// Returns false if there is none.
bool ConnectionPool::closeLongestIdle() {
  auto longest = idle.end();
  for (auto it = idle.begin(); it != idle.end(); ++it)
    if (!it->second.empty() &&
        (longest == idle.end() || it->second.front().since < longest->second.front().since))
      longest = it;
  if (longest == idle.end())
    return false;
  longest->second.erase(longest->second.begin());
  --count;
  return true;
}

/// A server that has gone has closed its connections, or does not answer keep-alive probes. An
/// address in use is checked when a connection to it is acquired.
void ConnectionPool::checkUnused() {
  const auto now = Clock::now();
  if (now - checkedAt < options.checkInterval)
    return;
  checkedAt = now;
  for (auto it = idle.begin(); it != idle.end();) {
    auto &connections = it->second;
    closeExpired(connections);
    const bool isUnused =
        !connections.empty() && now - connections.back().since >= options.checkInterval;
    if (isUnused)
      count -= std::erase_if(connections, [](auto &open) { return !isReusable(open.socket); });
    it = connections.empty() ? idle.erase(it) : std::next(it);
  }
}

} // namespace catkin
