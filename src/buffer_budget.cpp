#include "buffer_budget_p.h"

namespace catkin {

bool BufferBudget::Share::resize(std::size_t bytes) {
  const std::size_t others = budget.used - held;
  if (bytes > budget.limits.perAnswer || others + bytes > budget.limits.total)
    return false;
  budget.used = others + bytes;
  held = bytes;
  return true;
}

} // namespace catkin
