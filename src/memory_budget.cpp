#include "memory_budget_p.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace catkin {

namespace {

// A search on behalf of a large reservation that has not found enough is not repeated for this
// long, since a crowd of refused requests would otherwise cause one search each.
constexpr Duration SearchInterval = std::chrono::milliseconds(20);
constexpr Duration ReportInterval = std::chrono::seconds(1);

std::size_t indexOf(MemoryKind kind) { return static_cast<std::size_t>(kind); }

} // namespace

MemoryBudget::Holder::Holder(MemoryBudget &budget, MemoryKind kind, std::function<void()> release)
    : budget(budget), kind(kind), release(std::move(release)) {
  const std::lock_guard lock(budget.mutex);
  budget.holders.insert(this);
}

MemoryBudget::Holder::~Holder() {
  const std::lock_guard lock(budget.mutex);
  budget.setSize(*this, 0);
  budget.holders.erase(this);
}

MemoryBudget::Outcome MemoryBudget::Holder::resize(std::size_t newBytes, Instant now) {
  Calls calls;
  Outcome outcome = Outcome::Refused;
  {
    const std::lock_guard lock(budget.mutex);
    outcome = budget.reserve(*this, newBytes, now, calls);
  }
  calls.run();
  return outcome;
}

void MemoryBudget::Holder::charge(std::size_t newBytes, Instant now) {
  const std::lock_guard lock(budget.mutex);
  budget.setSize(*this, newBytes);
  lastProgress = now;
}

void MemoryBudget::Holder::setKind(MemoryKind newKind) {
  const std::lock_guard lock(budget.mutex);
  budget.endRelease(*this);
  budget.kindBytes[indexOf(kind)] -= bytes;
  budget.kindBytes[indexOf(newKind)] += bytes;
  kind = newKind;
}

void MemoryBudget::Holder::recordProgress(Instant now) {
  const std::lock_guard lock(budget.mutex);
  budget.endRelease(*this);
  lastProgress = now;
}

void MemoryBudget::Calls::run() const {
  for (auto &it : releases)
    it();
  if (report)
    report();
}

std::size_t MemoryBudget::usedBytes() const {
  const std::lock_guard lock(mutex);
  return used;
}

std::array<std::size_t, static_cast<std::size_t>(MemoryKind::Count)>
MemoryBudget::bytesByKind() const {
  const std::lock_guard lock(mutex);
  return kindBytes;
}

MemoryBudget::Counters MemoryBudget::refusalsByKind() const {
  const std::lock_guard lock(mutex);
  return refusals;
}

MemoryBudget::Counters MemoryBudget::reclaimsByKind() const {
  const std::lock_guard lock(mutex);
  return reclaims;
}

/// Returns the limit that applies to a reservation. Large uploads leave room for the copies of
/// those that are complete, these for answers to requests that have run, and all large ones for
/// small requests.
std::size_t MemoryBudget::ceiling(MemoryKind kind, std::size_t bytes) const {
  const std::size_t eighth = options.limit / 8;
  if (bytes <= SmallBytes)
    return options.limit;
  if (kind == MemoryKind::Answer || kind == MemoryKind::UnreadAnswer)
    return options.limit - eighth;
  return kind == MemoryKind::ForwardedCopy ? options.limit - 2 * eighth : options.limit / 2;
}

MemoryBudget::Outcome MemoryBudget::reserve(Holder &holder, std::size_t bytes, Instant now,
                                            Calls &calls) {
  const std::size_t others = used - holder.bytes;
  const std::size_t allowed = ceiling(holder.kind, bytes);
  const bool isTooLong = holder.kind == MemoryKind::Answer && bytes > options.perAnswer;
  if (bytes <= holder.bytes || (!isTooLong && bytes <= allowed && others <= allowed - bytes)) {
    setSize(holder, bytes);
    holder.lastProgress = now;
    return Outcome::Granted;
  }
  MemoryDecision decision{.kind = holder.kind, .bytes = bytes, .used = used, .limit = allowed};
  if (!isTooLong && bytes <= allowed) {
    holder.lastProgress = now; // it must not be reclaimed for its own reservation
    if (reclaim(others + bytes - allowed, now, decision, calls)) {
      if (decision.holders > 0)
        report(decision, now, calls);
      return Outcome::Reclaiming;
    }
  }
  ++refusals[indexOf(holder.kind)];
  report(decision, now, calls);
  return Outcome::Refused;
}

/// Tells stalled holders to give back `missing` bytes, the largest and longest-stalled first.
/// Returns false and changes nothing if they hold less.
bool MemoryBudget::reclaim(std::size_t missing, Instant now, MemoryDecision &decision,
                           Calls &calls) {
  if (releasing >= missing)
    return true;
  const bool isLarge = decision.bytes > SmallBytes;
  if (isLarge && now < nextSearch)
    return false;
  auto stalled = stalledHolders(now);
  // One large body is not worth the idle connections of hundreds of callers.
  if (isLarge)
    std::erase_if(stalled, [](const Holder *it) { return it->kind == MemoryKind::Connection; });
  std::size_t available = releasing;
  std::size_t n = 0;
  while (n < stalled.size() && available < missing)
    available += stalled[n++]->bytes;
  if (available < missing) {
    if (isLarge)
      nextSearch = now + SearchInterval;
    return false;
  }
  for (std::size_t i = 0; i < n; ++i) {
    Holder &it = *stalled[i];
    it.isReleasing = true;
    releasing += it.bytes;
    ++reclaims[indexOf(it.kind)];
    decision.longestStall = std::max(decision.longestStall, now - it.lastProgress);
    calls.releases.push_back(it.release);
  }
  decision.reclaimed = true;
  decision.holders = n;
  return true;
}

std::vector<MemoryBudget::Holder *> MemoryBudget::stalledHolders(Instant now) const {
  std::vector<Holder *> out;
  for (auto *it : holders) {
    const bool waitsForPeer = it->kind != MemoryKind::Request &&
                              it->kind != MemoryKind::ForwardedCopy &&
                              it->kind != MemoryKind::Answer;
    if (waitsForPeer && it->release && !it->isReleasing && it->bytes > 0 &&
        now - it->lastProgress >= StallTime)
      out.push_back(it);
  }
  std::sort(out.begin(), out.end(), [](const Holder *a, const Holder *b) {
    return std::tuple(b->bytes, a->lastProgress) < std::tuple(a->bytes, b->lastProgress);
  });
  return out;
}

void MemoryBudget::report(MemoryDecision decision, Instant now, Calls &calls) {
  if (!options.onDecision)
    return;
  if (now < nextReport) {
    ++notReported;
    return;
  }
  nextReport = now + ReportInterval;
  decision.notReported = std::exchange(notReported, 0);
  calls.report = [this, decision] { options.onDecision(decision); };
}

/// The holder has given its memory back, or goes on since it has made progress in the meantime.
void MemoryBudget::endRelease(Holder &holder) {
  if (std::exchange(holder.isReleasing, false))
    releasing -= holder.bytes;
}

void MemoryBudget::setSize(Holder &holder, std::size_t bytes) {
  endRelease(holder);
  used = used - holder.bytes + bytes;
  auto &ofKind = kindBytes[indexOf(holder.kind)];
  ofKind = ofKind - holder.bytes + bytes;
  holder.bytes = bytes;
}

MemoryBudget::Outcome growText(MemoryBudget::Holder &holder, std::string &text, std::size_t n,
                               std::size_t maxBytes, Instant now) {
  const std::size_t needed = text.size() + n;
  if (needed <= text.capacity() && !text.empty())
    return MemoryBudget::Outcome::Granted;
  const std::size_t wanted = std::max(needed, std::min(2 * text.capacity(), maxBytes));
  const auto outcome = holder.resize(wanted, now);
  if (outcome != MemoryBudget::Outcome::Granted)
    return outcome;
  std::string grown; // reserve() of a string with contents may allocate twice its capacity
  grown.reserve(wanted);
  grown += text;
  text.swap(grown);
  return outcome;
}

} // namespace catkin
