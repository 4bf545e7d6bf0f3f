#pragma once

#include <cstddef>

/// Bounds the memory for answers that are held back until a part of them is whole. An endpoint in
/// trouble may send bytes without end, to several requests at once.
namespace catkin {

struct BufferLimits {
  std::size_t perAnswer = 0; ///< bytes
  std::size_t total = 0;     ///< bytes, over all answers
};

class BufferBudget {
public:
  explicit BufferBudget(BufferLimits limits) : limits(limits) {}

  /// What one answer holds; given back at its destruction. The budget must outlive it.
  class Reservation {
  public:
    explicit Reservation(BufferBudget &budget) : budget(budget) {}
    ~Reservation() { budget.used -= reserved; }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;
    /// Sets what the answer holds. False and unchanged if that is over a limit.
    bool resize(std::size_t bytes);

  private:
    BufferBudget &budget;
    std::size_t reserved = 0;
  };

  std::size_t usedBytes() const { return used; }

private:
  BufferLimits limits;
  std::size_t used = 0;
};

} // namespace catkin
