#pragma once

#include "http_p.h"
#include "memory_budget_p.h"

#include <string>

/// What a process reports about the memory and the connections that it holds on behalf of others.
namespace catkin {

/// Writes a log line.
void logMemoryDecision(const MemoryDecision &it);
/// Returns the metrics of the account and of the callers' connections in the text format of
/// Prometheus.
std::string limitMetricsText(const MemoryBudget &memory, const HttpConnectionCounts &callers);
/// Makes the allocator give freed bodies and answers back to the system.
void returnFreedMemory();

} // namespace catkin
