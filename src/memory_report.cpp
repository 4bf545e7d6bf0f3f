#include "memory_report_p.h"

#include "log_p.h"

#include <malloc.h>

#include <sstream>

namespace catkin {

namespace {

// glibc raises its threshold after the first large block is freed, and then keeps such blocks.
constexpr int LargeBlockBytes = 128 * 1024;
constexpr int KeptBytes = 1024 * 1024;

template <class Counters>
void addByKind(std::ostringstream &out, const char *name, const char *type, const char *help,
               const Counters &values) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type << "\n";
  for (std::size_t i = 0; i < values.size(); ++i)
    out << name << "{kind=\"" << toString(static_cast<MemoryKind>(i)) << "\"} " << values[i]
        << "\n";
}

void addValue(std::ostringstream &out, const char *name, const char *type, const char *help,
              std::uint64_t value) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type << "\n"
      << name << " " << value << "\n";
}

} // namespace

void logMemoryDecision(const MemoryDecision &it) {
  logLine(LogLevel::Warn, it.reclaimed ? "memory reclaimed" : "memory refused",
          {{"kind", toString(it.kind)},
           {"bytes", it.bytes},
           {"held_bytes", it.used},
           {"limit_bytes", it.limit},
           {"holders", it.holders},
           {"stalled_ms", toMillis(it.longestStall)},
           {"not_logged", it.notReported}});
}

std::string limitMetricsText(const MemoryBudget &memory, const HttpConnectionCounts &callers) {
  std::ostringstream out;
  addByKind(out, "catkin_held_bytes", "gauge", "Memory held on behalf of others, by kind",
            memory.bytesByKind());
  addValue(out, "catkin_held_bytes_limit", "gauge", "Limit of the memory held on behalf of others",
           memory.limit());
  addByKind(out, "catkin_memory_refusals_total", "counter",
            "Reservations refused for lack of memory, by kind", memory.refusalsByKind());
  addByKind(out, "catkin_memory_reclaims_total", "counter",
            "Stalled holders that gave their memory back, by kind", memory.reclaimsByKind());
  addValue(out, "catkin_caller_connections", "gauge", "Open connections of callers", callers.open);
  addValue(out, "catkin_connections_refused_total", "counter",
           "Connections refused at the limit of connections", callers.refused);
  addValue(out, "catkin_connections_evicted_total", "counter",
           "Idle connections closed for new ones", callers.evicted);
  return out.str();
}

void returnFreedMemory() {
  if (::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes) == 0 ||
      ::mallopt(M_TRIM_THRESHOLD, KeptBytes) == 0)
    logLine(LogLevel::Warn, "the allocator keeps freed memory");
}

} // namespace catkin
