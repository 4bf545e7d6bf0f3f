#pragma once

#include "fleet_types_p.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Finds the requests that crash engines by their traits, and quarantines them: one request that
/// callers repeat, or all requests with a part of a prompt. An engine that crashes breaks the
/// connections of its whole batch, so each crash makes a suspect of every trait of the requests
/// whose answers had not begun. A trait with which an answer begins after a crash is cleared of it:
/// a trait that crashes engines never lets an answer begin. Hosts exchange crashes with their
/// suspects, since one host sees only some of the requests of an engine and perhaps no crash at
/// all. Callers pass in the time.
namespace catkin {

/// What is known about a trait under suspicion in one crash. Evidence is only ever added.
enum class SuspectState {
  NeverBegun,  ///< no answer to a request with the trait is known to have begun
  BegunBefore, ///< one had begun before the crash
  Cleared,     ///< one has begun since the crash
  Count
};
template <> struct EnumNames<SuspectState> {
  static constexpr std::array<std::string_view, 3> Table{"suspects", "begun_before", "cleared"};
};

/// A trait under suspicion in one crash.
struct CrashSuspect {
  RequestTrait trait;
  SuspectState state = SuspectState::NeverBegun;
  friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/// What a host tells others about the crash of an engine.
struct CrashReport {
  EndpointIncarnation engine;
  Duration age{}; ///< time since the crash, by the sender's clock
  std::vector<CrashSuspect> suspects;
};

/// When answers to requests with a trait last began at this host. The memory is bounded: when the
/// newer of two generations is full, it replaces the older one.
class AnswerHistory {
public:
  void record(const RequestTrait &trait, Instant now);
  /// Returns when the last answer began; empty if that is not known or long ago.
  std::optional<Instant> lastBegun(const RequestTrait &trait) const;
  void expire(Instant now);

private:
  std::map<RequestTrait, Instant> newer;
  std::map<RequestTrait, Instant> older;
  Instant rotatedAt;
};

/// What applies to a request because of its traits.
struct QuarantineVerdict {
  enum class Kind {
    Clear,       ///< no trait is in quarantine
    Quarantined, ///< refuse the request
    Probe        ///< a trait may have become sound, and this host may try it
  };
  Kind kind = Kind::Clear;
  RequestTrait trait;   ///< the trait in quarantine
  Duration remaining{}; ///< until the quarantine may end; zero if that time is not known
};

/// The evidence and the quarantine, as one host knows them.
class CrashQuarantine {
public:
  /// Sets how long a crash waits for reports that clear its suspects before it counts: as long as
  /// a message takes to reach all hosts.
  void setReportDelay(Duration d) { reportDelay = d; }
  /// An engine has crashed while requests with these traits waited for their answer to begin.
  void onCrash(const EndpointIncarnation &engine, const std::vector<RequestTrait> &suspects,
               Instant now);
  /// Returns the crash of the engine that happens now. While the store is away, an engine that has
  /// started again keeps the incarnation that was known before; its further crashes are numbered.
  EndpointIncarnation presentCrash(EndpointIncarnation engine, Instant now) const;
  /// Returns true if the engine is known to have crashed in this incarnation.
  bool knowsCrash(const EndpointIncarnation &engine) const { return crashes.count(engine) > 0; }
  /// The answer to a request with these traits has begun.
  void onAnswerBegun(const std::vector<RequestTrait> &traits, Instant now);
  /// Another host has reported a crash. Returns true if the report contains news.
  bool onReport(const CrashReport &report, Instant now);
  /// Returns the crashes that hosts may not have heard of, and those that keep a trait in
  /// quarantine.
  std::vector<CrashReport> reports(Instant now) const;
  /// Returns what applies to a request with these traits. `mayProbe`: tells whether this host is
  /// the one that tries a trait whose quarantine may end.
  template <class MayProbe>
  QuarantineVerdict judge(const std::vector<RequestTrait> &traits, Instant now, MayProbe mayProbe) {
    update(now);
    QuarantineVerdict out;
    for (auto it : traits) {
      QuarantineVerdict verdict = judgeTrait(it, now);
      if (verdict.kind == QuarantineVerdict::Kind::Probe && !mayProbe(it))
        verdict.kind = QuarantineVerdict::Kind::Quarantined;
      if (verdict.kind == QuarantineVerdict::Kind::Quarantined)
        return verdict;
      if (verdict.kind == QuarantineVerdict::Kind::Probe)
        out = verdict;
    }
    return out;
  }
  /// This host sends a request with the trait although the trait is in quarantine. No other one is
  /// sent until the answer begins, the engine crashes or the probe ends otherwise.
  void startProbe(const RequestTrait &trait, Instant now) { probes[trait] = now; }
  void endProbe(const RequestTrait &trait) { probes.erase(trait); }
  /// Returns the number of traits in quarantine.
  std::size_t size() const { return quarantine.size(); }
  /// Forgets old crashes.
  void expire(Instant now);

private:
  struct Crash {
    Instant at;
    Instant changedAt; ///< when a suspect was added or cleared
    std::map<RequestTrait, SuspectState> suspects;
    /// Returns true if the trait is under suspicion and has not been cleared.
    bool blames(const RequestTrait &trait) const {
      auto it = suspects.find(trait);
      return it != suspects.end() && it->second != SuspectState::Cleared;
    }
  };
  /// Why a trait is in quarantine.
  struct Conviction {
    Instant lastCrash;
    int crashes = 0;
    int failedProbes = 0; ///< those of them that ended an earlier quarantine
    friend bool operator==(const Conviction &, const Conviction &) = default;
  };
  using Crashes = std::map<EndpointIncarnation, Crash>;
  using CrashList = std::vector<const Crashes::value_type *>;
  using CrashTimes = std::map<RequestTrait, std::vector<Instant>>;

  QuarantineVerdict judgeTrait(const RequestTrait &trait, Instant now) const;
  /// Determines the quarantine from the evidence if that has changed.
  void update(Instant now);
  std::map<RequestTrait, Conviction> convict(Instant now) const;
  /// Returns how many crashes that all hosts should have heard of blame the trait.
  int countedCrashes(const RequestTrait &trait, Instant now) const;
  Conviction convictionOf(const RequestTrait &trait) const;
  CrashList crashesThatKeepQuarantine() const;
  /// Sorts a list from the newest crash to older ones, and cuts it after `n`.
  static void keepNewest(CrashList &list, std::size_t n);
  CrashReport reportOf(const EndpointIncarnation &engine, const Crash &crash,
                       std::size_t maxSuspects, Instant now) const;
  /// Sets what is known of a suspect. All changes go through here, so that `blamedCrashes` holds.
  void setState(Crash &crash, const RequestTrait &trait, SuspectState state);
  /// Returns how many crashes blame the trait.
  int timesBlamed(const RequestTrait &trait) const;
  /// Removes a crash and returns the next one.
  Crashes::iterator forget(Crashes::iterator crash);
  bool mattersToOthers(const RequestTrait &trait, SuspectState state, const Crash &crash,
                       Instant now) const;
  /// Returns the suspects of several crashes, by time of the crash. Most suspects are sound
  /// requests that come only once, and need not be compared with others.
  std::map<Instant, std::vector<RequestTrait>> repeatedSuspects(Instant now) const;
  /// Returns true if an answer with the trait is known to have begun before or since some crash.
  bool hasBegun(const RequestTrait &trait) const;
  /// Returns what this host itself knows of the trait in a crash.
  SuspectState ownStateOf(const RequestTrait &trait, const Crash &crash) const;
  /// Drops the oldest crashes beyond a number that bounds memory.
  void dropOldest();
  void logChanges(const std::map<RequestTrait, Conviction> &next, Instant now) const;

  Duration reportDelay{};
  Crashes crashes;
  std::map<RequestTrait, int> blamedCrashes; ///< crashes that blame each trait; none with 0
  std::set<RequestTrait> repeated;           ///< traits that enough crashes blame
  /// By kind, since requests that come only once must not displace parts of prompts.
  std::array<AnswerHistory, static_cast<std::size_t>(TraitKind::Count)> histories;
  std::map<RequestTrait, Conviction> quarantine;
  std::map<RequestTrait, Instant> probes; ///< start of the probe in progress
  bool changed = false;
  Instant nextUpdate = Instant::max(); ///< when the next crash counts
};

} // namespace catkin
