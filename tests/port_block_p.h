#pragma once

#include <cstdint>
#include <vector>

/// Reserves ports of the loopback interface for the processes of one test.
namespace catkin {

/// Consecutive free ports that no other PortBlock of any process on this machine has. Holds a
/// locked file for each part of them, so that the kernel decides between two that ask at once and
/// frees the ports of a test that crashes. scripts/ports.sh uses the same files.
class PortBlock {
public:
  /// Throws std::runtime_error if the lock files cannot be created or no ports are free.
  explicit PortBlock(int ports);
  ~PortBlock();
  PortBlock(const PortBlock &) = delete;
  PortBlock &operator=(const PortBlock &) = delete;

  /// The first of the ports.
  std::uint16_t first() const { return firstPort; }

private:
  bool tryReserve(std::uint16_t first, int ports);
  void release();

  std::uint16_t firstPort = 0;
  std::vector<int> lockFiles; ///< descriptors
};

} // namespace catkin
