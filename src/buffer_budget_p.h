#pragma once

#include <cstddef>

/// Bounds the memory for answers and events that are buffered until they are complete. A faulty
/// endpoint may send an endless answer to several requests at once.
namespace catkin {

/// Upper bounds of the buffered bytes.
struct BufferLimits {
  std::size_t perAnswer = 0; ///< bytes
  std::size_t total = 0;     ///< bytes, over all answers together
};

/// Counts the bytes that all answers buffer and enforces the limits.
class BufferBudget {
public:
  explicit BufferBudget(BufferLimits limits) : limits(limits) {}

  /// The bytes that one answer has reserved. The destructor releases them. The budget must outlive
  /// the reservation.
  class Reservation {
  public:
    explicit Reservation(BufferBudget &budget) : budget(budget) {}
    ~Reservation() { budget.used -= reserved; }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    /// Changes the reservation to `bytes`. Returns false and changes nothing if that would exceed a
    /// limit.
    bool resize(std::size_t bytes);

  private:
    BufferBudget &budget;
    std::size_t reserved = 0;
  };

  /// Bytes reserved by all answers.
  std::size_t usedBytes() const { return used; }

private:
  BufferLimits limits;
  std::size_t used = 0;
};

} // namespace catkin
