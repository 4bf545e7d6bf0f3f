#pragma once

#include "guards_p.h"
#include "harness_p.h"

#include <functional>
#include <string>
#include <vector>

/// Seeded fault scenarios of the promises, with their history checkers. A checker reads only the
/// events observed by the platform, services and callers, and returns one line per violation.
namespace catkin::harness {

using Violations = std::vector<std::string>;
using Scenario = std::function<Violations(std::uint64_t seed, Guards guards)>;

/// Runs `count` seeds from `first` and prints each failing seed with its violations to stderr.
/// Returns the failing seeds.
std::vector<std::uint64_t> runSeeds(const std::string &name, const Scenario &scenario,
                                    std::uint64_t first, std::uint64_t count, Guards guards = {});
/// Returns true if the scenario finds a violation with one of the seeds 1 to `count`. Stops at the
/// first such seed.
bool isCaught(const Scenario &scenario, std::uint64_t count, Guards guards);

// ---- P5, P6: non-idempotent calls

// The calls scenario records CallRan (detail: key, endpoint: request) and Custom (model: key,
// endpoint: request, detail: outcome returned to the caller).

/// No key runs twice.
Violations checkRunsAtMostOnce(const std::vector<Event> &history);
/// A request answered with `not_run` never runs, and an answer `ran` follows a run of its key.
Violations checkOutcomesAreTrue(const std::vector<Event> &history);
/// Runs ledgers of three hosts under faults and applies both checkers.
Violations runCallsSeed(std::uint64_t seed, Guards guards);

// ---- Quota: shares of a plan's grant

// The quota scenario records Custom events: detail "grant" (model: revision, number: new grant),
// "recorded" (number: sum of the stored shares), "in_force" (model: revision; the stored shares
// are within that grant), "start" and "end" of a request (host: process).

/// Neither the running requests nor the stored shares add up to more than the largest grant that is
/// in force or being introduced. Stops at the first violation.
Violations checkRunningWithinGrant(const std::vector<Event> &history);
/// Runs share tables of four hosts under faults and applies checkRunningWithinGrant().
Violations runQuotaSeed(std::uint64_t seed, Guards guards);

// ---- P9: configuration

// The configuration scenario records Write of config/lists, and Custom with detail "applied"
// (host: process, number: revision) or an edit's outcome (model: the edit's tag, number:
// revision). Each edit sets the concurrency of the first plan to a unique number, its tag.

/// The applied revision of a process only increases.
Violations checkRevisionsNeverFall(const std::vector<Event> &history);
/// An accepted edit is stored with the returned revision, an edit answered as conflicting, invalid
/// or not accepted is not stored, and no revision is written twice.
Violations checkEditAnswersAreTrue(const std::vector<Event> &history);
/// Runs configuration synchronisation of four hosts under faults and applies both checkers.
Violations runConfigSeed(std::uint64_t seed, Guards guards);

// ---- P1, P2, P9: control loops of several hosts

/// Runs control loops under kills, freezes, outages, network cuts, lost replies and lost or
/// duplicated messages. Reports two planners at once, a configuration revision that decreases and a
/// system that does not recover, and applies checkDecided and checkMemory to the history.
Violations runControlSeed(std::uint64_t seed, Guards guards);

} // namespace catkin::harness
