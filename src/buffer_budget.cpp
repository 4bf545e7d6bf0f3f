#include "buffer_budget_p.h"

namespace catkin {

bool BufferBudget::Reservation::resize(std::size_t bytes) {
  const std::size_t others = budget.used - reserved;
  if (bytes > budget.limits.perAnswer || others + bytes > budget.limits.total)
    return false;
  budget.used = others + bytes;
  reserved = bytes;
  return true;
}

} // namespace catkin
