#include "config_freshness_p.h"

#include <algorithm>

namespace catkin {

namespace {

// The operator writes what a restore has lost again within about a second. A proof that is old when
// the store fails must not expire in the meantime if the bound is 5 s.
constexpr Duration RestoreSettleTime = std::chrono::seconds(2);
// Answers to older questions are too late to prove anything useful.
constexpr Duration QuestionLifetime = std::chrono::seconds(10);

} // namespace

bool ConfigFreshness::onStoreAnswer(Instant sentAt, std::uint64_t era, Instant now) {
  if (era != storeEra) { // the first era that a process sees may have begun just now as well
    storeEra = era;
    settled = now + RestoreSettleTime;
  }
  if (now < settled)
    return false;
  prove(sentAt);
  return true;
}

void ConfigFreshness::onAsked(std::uint64_t id, Instant now) {
  std::erase_if(questions, [&](auto &it) { return now - it.second > QuestionLifetime; });
  questions[id] = now;
}

bool ConfigFreshness::onAnswer(std::uint64_t id, Duration age) {
  const auto question = questions.extract(id);
  if (question.empty() || age < Duration::zero())
    return false;
  prove(question.mapped() - age);
  return true;
}

std::optional<Duration> ConfigFreshness::age(Instant now) const {
  return provenAt ? std::optional(now - *provenAt) : std::nullopt;
}

bool ConfigFreshness::isProvenWithin(Duration bound, Instant now) const {
  const auto current = age(now);
  return current && *current < bound;
}

void ConfigFreshness::prove(Instant at) { provenAt = std::max(provenAt.value_or(at), at); }

} // namespace catkin
