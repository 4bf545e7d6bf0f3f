#pragma once

#include "types_p.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/// Bounds the memory that a process holds on behalf of others: callers that send large bodies or do
/// not read their answers, and endpoints whose answers do not end.
namespace catkin {

/// What a holder of the budget holds its memory for.
enum class MemoryKind {
  Connection,    ///< an open connection
  Head,          ///< a head that is arriving
  Upload,        ///< a body that is arriving
  Request,       ///< a complete request while it is handled
  ForwardedCopy, ///< the copy of a request that is sent to an endpoint
  Answer,        ///< an answer, or an event of a stream, that is buffered until it is complete
  UnreadAnswer,  ///< an answer that is sent to the caller
  Count
};
template <> struct EnumNames<MemoryKind> {
  static constexpr std::array<std::string_view, 7> Table{
      "connection", "head", "upload", "request", "forwarded_copy", "answer", "unread_answer"};
};

/// A decision to reclaim memory or to refuse a reservation, for the log.
struct MemoryDecision {
  bool reclaimed = false; ///< false: refused
  MemoryKind kind = MemoryKind::Connection;
  std::size_t bytes = 0;         ///< that were asked for
  std::size_t used = 0;          ///< by all holders
  std::size_t limit = 0;         ///< that applies to the reservation
  std::size_t holders = 0;       ///< whose memory is reclaimed
  Duration longestStall{};       ///< of these holders
  std::uint64_t notReported = 0; ///< decisions since the previous report
};

struct MemoryBudgetOptions {
  std::size_t limit = 0; ///< bytes of all holders together
  /// Largest Answer, in bytes.
  std::size_t perAnswer = std::numeric_limits<std::size_t>::max();
  /// Receives at most one decision a second. May be empty; is called without a lock.
  std::function<void(const MemoryDecision &)> onDecision;
};

/// The account of all memory held on behalf of others. It has no clock: callers pass in the time.
/// Thread-safe.
class MemoryBudget {
public:
  /// Reservations of up to this size may use the whole limit, larger ones only a part of it. A body
  /// of 64 KB takes up to 128 KB if it arrives in chunks, and its head up to 96 KB.
  static constexpr std::size_t SmallBytes = 256 * 1024;
  /// A holder without progress for this long may lose its memory to another one. A caller that
  /// sends continuously makes progress far more often, also over a slow line.
  static constexpr Duration StallTime = std::chrono::seconds(1);

  enum class Outcome {
    Granted,
    Reclaiming, ///< nothing has changed yet; memory for the reservation will be free soon
    Refused
  };

  /// The memory of one holder, which the destructor gives back. The budget must outlive it.
  class Holder {
  public:
    /// `release` makes the holder give its memory back soon, from any thread. It is called at most
    /// once for each period without progress; empty if the memory cannot be reclaimed.
    Holder(MemoryBudget &budget, MemoryKind kind, std::function<void()> release = {});
    ~Holder();
    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;
    /// Changes the size, which counts as progress. If not granted, the size stays as it is.
    Outcome resize(std::size_t bytes, Instant now);
    /// Changes the size even if that exceeds the limit, for memory that is in use already.
    void charge(std::size_t bytes, Instant now);
    void setKind(MemoryKind newKind);
    /// Records that the peer has sent or received something.
    void recordProgress(Instant now);

  private:
    friend class MemoryBudget;
    MemoryBudget &budget;
    MemoryKind kind;
    std::function<void()> release;
    std::size_t bytes = 0;
    Instant lastProgress{};
    bool isReleasing = false;
  };

  explicit MemoryBudget(MemoryBudgetOptions options) : options(std::move(options)) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  std::size_t limit() const { return options.limit; }
  std::size_t usedBytes() const;
  std::array<std::size_t, static_cast<std::size_t>(MemoryKind::Count)> bytesByKind() const;
  /// Numbers of refused reservations and of holders whose memory was reclaimed, by kind.
  std::array<std::uint64_t, static_cast<std::size_t>(MemoryKind::Count)> refusalsByKind() const;
  std::array<std::uint64_t, static_cast<std::size_t>(MemoryKind::Count)> reclaimsByKind() const;

private:
  using Counters = std::array<std::uint64_t, static_cast<std::size_t>(MemoryKind::Count)>;
  /// Releases of holders and the report, which are called without the lock.
  struct Calls {
    std::vector<std::function<void()>> releases;
    std::function<void()> report;
    void run() const;
  };
  std::size_t ceiling(MemoryKind kind, std::size_t bytes) const;
  Outcome reserve(Holder &holder, std::size_t bytes, Instant now, Calls &calls);
  bool reclaim(std::size_t missing, Instant now, MemoryDecision &decision, Calls &calls);
  std::vector<Holder *> stalledHolders(Instant now) const;
  void report(MemoryDecision decision, Instant now, Calls &calls);
  void endRelease(Holder &holder);
  void setSize(Holder &holder, std::size_t bytes);

  const MemoryBudgetOptions options;
  mutable std::mutex mutex; // guards all of the following and the fields of holders
  std::set<Holder *> holders;
  std::size_t used = 0;
  std::size_t releasing = 0; ///< bytes of holders that were told to give them back
  std::array<std::size_t, static_cast<std::size_t>(MemoryKind::Count)> kindBytes{};
  Counters refusals{};
  Counters reclaims{};
  Instant nextSearch{};
  Instant nextReport{};
  std::uint64_t notReported = 0;
};

/// Reserves memory in `holder` and then in `text` for `n` more bytes. The capacity doubles up to
/// `maxBytes`, so that what the string has allocated is what the budget counts.
MemoryBudget::Outcome growText(MemoryBudget::Holder &holder, std::string &text, std::size_t n,
                               std::size_t maxBytes, Instant now);

} // namespace catkin
