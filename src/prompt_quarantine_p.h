#pragma once

#include "fleet_types_p.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// Finds the parts of prompts that crash engines, and quarantines them. An engine that crashes
/// breaks the connections of its whole batch, so each crash makes a suspect of every part of the
/// requests whose answers had not begun. A part with which an answer begins after a crash is
/// cleared of it: a part that crashes engines never lets an answer begin. Hosts exchange crashes
/// with their suspects, since one host sees only some of the requests of an engine and perhaps no
/// crash at all. Callers pass in the time.
namespace catkin {

/// What is known about a part under suspicion in one crash. Evidence is only ever added.
enum class SuspectState {
  NeverBegun,  ///< no answer to a request with the part is known to have begun
  BegunBefore, ///< one had begun before the crash
  Cleared,     ///< one has begun since the crash
  Count
};
template <> struct EnumNames<SuspectState> {
  static constexpr std::array<std::string_view, 3> Table{"suspects", "begun_before", "cleared"};
};

/// A part under suspicion in one crash.
struct CrashSuspect {
  PromptPart part = 0;
  SuspectState state = SuspectState::NeverBegun;
  friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/// What a host tells others about the crash of an engine.
struct CrashReport {
  EndpointIncarnation engine;
  Duration age{}; ///< time since the crash, by the sender's clock
  std::vector<CrashSuspect> suspects;
};

/// What applies to a request because of the parts of its prompt.
struct PromptVerdict {
  enum class Kind {
    Clear,       ///< no part is in quarantine
    Quarantined, ///< refuse the request
    Probe        ///< a part may have become sound, and this host may try it
  };
  Kind kind = Kind::Clear;
  PromptPart part = 0;  ///< the part in quarantine
  Duration remaining{}; ///< until the quarantine may end; zero if that time is not known
};

/// The evidence and the quarantine, as one host knows them.
class PromptQuarantine {
public:
  /// Sets how long a crash waits for reports that clear its suspects before it counts: as long as
  /// a message takes to reach all hosts.
  void setReportDelay(Duration d) { reportDelay = d; }
  /// An engine has crashed while requests with these parts waited for their answer to begin.
  void onCrash(const EndpointIncarnation &engine, const std::vector<PromptPart> &suspects,
               Instant now);
  /// Returns the crash of the engine that happens now. While the store is away, an engine that has
  /// started again keeps the incarnation that was known before; its further crashes are numbered.
  EndpointIncarnation presentCrash(EndpointIncarnation engine, Instant now) const;
  /// Returns true if the engine is known to have crashed in this incarnation.
  bool knowsCrash(const EndpointIncarnation &engine) const { return crashes.count(engine) > 0; }
  /// The answer to a request with these parts has begun.
  void onAnswerBegun(const std::vector<PromptPart> &parts, Instant now);
  /// Another host has reported a crash. Returns true if the report contains news.
  bool onReport(const CrashReport &report, Instant now);
  /// Returns the crashes that hosts may not have heard of, and those that keep a part in
  /// quarantine.
  std::vector<CrashReport> reports(Instant now) const;
  /// Returns what applies to a request with these parts. `mayProbe`: tells whether this host is the
  /// one that tries a part whose quarantine may end.
  template <class MayProbe>
  PromptVerdict judge(const std::vector<PromptPart> &parts, Instant now, MayProbe mayProbe) {
    update(now);
    PromptVerdict out;
    for (auto it : parts) {
      PromptVerdict verdict = judgePart(it, now);
      if (verdict.kind == PromptVerdict::Kind::Probe && !mayProbe(it))
        verdict.kind = PromptVerdict::Kind::Quarantined;
      if (verdict.kind == PromptVerdict::Kind::Quarantined)
        return verdict;
      if (verdict.kind == PromptVerdict::Kind::Probe)
        out = verdict;
    }
    return out;
  }
  /// This host sends a request with the part although the part is in quarantine. No other one is
  /// sent until the answer begins, the engine crashes or the probe ends otherwise.
  void startProbe(PromptPart part, Instant now) { probes[part] = now; }
  void endProbe(PromptPart part) { probes.erase(part); }
  /// Returns the number of parts in quarantine.
  std::size_t size() const { return quarantine.size(); }
  /// Forgets old crashes.
  void expire(Instant now);

private:
  struct Crash {
    Instant at;
    Instant changedAt; ///< when a suspect was added or cleared
    std::map<PromptPart, SuspectState> suspects;
    /// Returns true if the part is under suspicion and has not been cleared.
    bool blames(PromptPart part) const {
      auto it = suspects.find(part);
      return it != suspects.end() && it->second != SuspectState::Cleared;
    }
  };
  /// Why a part is in quarantine.
  struct Conviction {
    Instant lastCrash;
    int crashes = 0;
    int failedProbes = 0; ///< those of them that ended an earlier quarantine
    friend bool operator==(const Conviction &, const Conviction &) = default;
  };
  using CrashTimes = std::map<PromptPart, std::vector<Instant>>;

  PromptVerdict judgePart(PromptPart part, Instant now) const;
  /// Determines the quarantine from the evidence if that has changed.
  void update(Instant now);
  std::map<PromptPart, Conviction> convict(Instant now) const;
  Conviction convictionOf(PromptPart part) const;
  /// Returns true if a part is in quarantine because of the crash.
  bool keepsQuarantine(const Crash &crash) const;
  CrashReport reportOf(const EndpointIncarnation &engine, const Crash &crash, Instant now) const;
  /// Returns the parts with which answers are known to have begun before or since some crash.
  std::set<PromptPart> begunParts() const;
  /// Returns what this host itself knows of the part in a crash.
  SuspectState ownStateOf(PromptPart part, const Crash &crash) const;
  /// Drops the oldest crashes beyond a number that bounds memory.
  void dropOldest();
  void logChanges(const std::map<PromptPart, Conviction> &next, Instant now) const;

  Duration reportDelay{};
  std::map<EndpointIncarnation, Crash> crashes;
  std::map<PromptPart, Instant> lastBegun; ///< at this host
  std::map<PromptPart, Conviction> quarantine;
  std::map<PromptPart, Instant> probes; ///< start of the probe in progress
  bool changed = false;
  Instant nextUpdate = Instant::max(); ///< when the next crash counts
};

} // namespace catkin
