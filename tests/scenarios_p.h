#pragma once

#include "guards_p.h"
#include "harness_p.h"

#include <functional>
#include <string>
#include <vector>

/// Seeded fault scenarios of the promises, with their history checkers. A checker reads only what
/// the platform, services and callers saw, and returns the violations found.
namespace catkin::harness {

using Violations = std::vector<std::string>;
using Scenario = std::function<Violations(std::uint64_t seed, Guards guards)>;

/// Runs `count` seeds from `first` and prints each failing seed with its violations to stderr.
/// Returns the failing seeds.
std::vector<std::uint64_t> runSeeds(const std::string &name, const Scenario &scenario,
                                    std::uint64_t first, std::uint64_t count, Guards guards = {});
/// True if the scenario finds a violation in one of `count` seeds from 1; stops at the first.
bool isCaught(const Scenario &scenario, std::uint64_t count, Guards guards);

// ---- P5, P6: non-idempotent calls
// ----------------------------------------------------------------

/// Events of calls: CallRan (detail: key, endpoint: request) and Custom (model: key, endpoint:
/// request, detail: outcome told to the caller).
Violations checkRunsAtMostOnce(const std::vector<Event> &history);
/// A request answered `not_run` never runs; an answer `ran` follows a run of its key.
Violations checkOutcomesAreTrue(const std::vector<Event> &history);
Violations runCallsSeed(std::uint64_t seed, Guards guards);

// ---- Quota: shares of a plan's grant
// -------------------------------------------------------------

/// Events of quota runs, all Custom: detail "grant" (number: new grant), "in_force" (the grant is
/// acknowledged), "start" and "end" of a request (host: process).
Violations checkRunningWithinGrant(const std::vector<Event> &history);
Violations runQuotaSeed(std::uint64_t seed, Guards guards);

// ---- P9: configuration
// ---------------------------------------------------------------------------

/// Events of configuration runs: Write of config/lists, and Custom with detail "applied" (host:
/// process, number: revision) or an edit's outcome (model: the edit's mark, number: revision). Each
/// edit sets the concurrency of the first plan to a mark of its own.
Violations checkRevisionsNeverFall(const std::vector<Event> &history);
Violations checkEditAnswersAreTrue(const std::vector<Event> &history);
Violations runConfigSeed(std::uint64_t seed, Guards guards);

// ---- P1, P2, P9: control loops of several hosts
// ---------------------------------------------------------------------------

/// Control loops under kills, freezes, outages, cuts, lost replies and lost or duplicated messages.
/// Looks for two planners at once, configuration that goes back and a system that does not
/// recover, and applies checkDecided and checkMemory to the history.
Violations runControlSeed(std::uint64_t seed, Guards guards);

} // namespace catkin::harness
