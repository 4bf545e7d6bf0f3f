#include "crash_quarantine_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace catkin {

namespace {

// Crashes at about the same time may have one cause outside the requests, such as a lost rack. They
// count once against a trait that is known to be in sound requests.
constexpr Duration MinTimeBetweenCrashes = std::chrono::milliseconds(200);
// An engine that crashes is back after some seconds; until then it is the same crash.
constexpr Duration MinRestartTime = std::chrono::seconds(1);
// A sound trait that is rarely requested may be in the batch of one or two crashes by chance.
constexpr int CrashesForQuarantine = 3;
// Times from the last crash to the next probe, by the number of failed probes. Each of them crashes
// an engine, so there are few.
constexpr std::array<Duration, 3> QuarantineTimes{
    std::chrono::seconds(10), std::chrono::seconds(20), std::chrono::minutes(5)};
// A trait of which no request has come to the probing host for this long is forgotten.
constexpr Duration CrashRetention = std::chrono::minutes(10);
// Covers several heartbeats, since some of them may be lost.
constexpr Duration AnnouncementTime = 8 * config::FleetHeartbeat;
constexpr Duration ProbeTimeout = std::chrono::seconds(20);
// Bounds of memory and of the size of messages. A batch has tens of requests with several traits.
constexpr Duration BegunRetention = std::chrono::minutes(2);
constexpr std::size_t MaxBegunTraits = 4096; // in one generation of a history
constexpr std::size_t MaxCrashes = 512;
constexpr std::size_t MaxReports = 24;
constexpr std::size_t KeptCrashesPerTrait = 2 * CrashesForQuarantine;
constexpr std::size_t MaxSuspectsPerMessage = 480; // about 10 kB of a datagram
constexpr std::size_t MaxSuspectsPerCrash = 512;

/// Returns how many of the crashes, which are in order, are apart from each other.
int countApart(const std::vector<Instant> &times) {
  int n = 0;
  Instant last{};
  for (auto it : times) {
    if (n > 0 && it - last < MinTimeBetweenCrashes)
      continue;
    ++n;
    last = it;
  }
  return n;
}

Duration quarantineTime(int failedProbes) {
  const auto n = static_cast<std::size_t>(std::max(failedProbes, 0));
  return QuarantineTimes[std::min(n, QuarantineTimes.size() - 1)];
}

} // namespace

void AnswerHistory::record(const RequestTrait &trait, Instant now) {
  if (newer.size() >= MaxBegunTraits) {
    older = std::move(newer);
    newer = {};
    rotatedAt = now;
  }
  newer[trait] = now;
}

std::optional<Instant> AnswerHistory::lastBegun(const RequestTrait &trait) const {
  for (auto *it : {&newer, &older})
    if (auto found = it->find(trait); found != it->end())
      return found->second;
  return std::nullopt;
}

void AnswerHistory::expire(Instant now) {
  if (now - rotatedAt < BegunRetention)
    return;
  older = std::move(newer);
  newer = {};
  rotatedAt = now;
}

void CrashQuarantine::onCrash(const EndpointIncarnation &engine,
                              const std::vector<RequestTrait> &suspects, Instant now) {
  if (suspects.empty())
    return;
  auto &crash = crashes.try_emplace(engine, Crash{.at = now}).first->second;
  crash.changedAt = now;
  for (auto it : suspects)
    if (crash.suspects.size() < MaxSuspectsPerCrash && crash.suspects.count(it) == 0)
      setState(crash, it, ownStateOf(it, crash));
  for (auto it : suspects)
    probes.erase(it);
  dropOldest();
  changed = true;
}

EndpointIncarnation CrashQuarantine::presentCrash(EndpointIncarnation engine, Instant now) const {
  for (auto it = crashes.find(engine); it != crashes.end(); it = crashes.find(engine)) {
    if (now - it->second.at < MinRestartTime)
      break;
    ++engine.incarnation;
  }
  return engine;
}

void CrashQuarantine::onAnswerBegun(const std::vector<RequestTrait> &traits, Instant now) {
  for (auto trait : traits) {
    probes.erase(trait);
    histories[static_cast<std::size_t>(trait.kind)].record(trait, now);
    for (auto &[engine, crash] : crashes) {
      if (!crash.blames(trait) || crash.at >= now)
        continue;
      setState(crash, trait, SuspectState::Cleared);
      crash.changedAt = now;
      changed = true;
    }
  }
}

bool CrashQuarantine::onReport(const CrashReport &report, Instant now) {
  const Instant at = now - report.age;
  if (report.age > CrashRetention)
    return false;
  auto [it, news] = crashes.try_emplace(report.engine, Crash{.at = at});
  auto &crash = it->second;
  // The sender's clock starts when it notices the crash, and messages take time.
  crash.at = std::min(crash.at, at);
  for (auto &suspect : report.suspects) {
    auto known = crash.suspects.find(suspect.trait);
    const bool isNews = known == crash.suspects.end() ? crash.suspects.size() < MaxSuspectsPerCrash
                                                      : known->second < suspect.state;
    if (!isNews)
      continue;
    const auto state = std::max(suspect.state, ownStateOf(suspect.trait, crash));
    news = true;
    setState(crash, suspect.trait, state);
  }
  if (news) {
    crash.changedAt = now;
    changed = true;
  }
  dropOldest();
  return news;
}

/// Returns the newest crashes of each trait in quarantine. A host that has not heard of the others
/// keeps the trait in quarantine because of them.
CrashQuarantine::CrashList CrashQuarantine::crashesThatKeepQuarantine() const {
  CrashList out;
  for (auto &[trait, conviction] : quarantine) {
    CrashList ofTrait;
    for (auto &it : crashes)
      if (it.second.blames(trait))
        ofTrait.push_back(&it);
    keepNewest(ofTrait, KeptCrashesPerTrait);
    out.insert(out.end(), ofTrait.begin(), ofTrait.end());
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

void CrashQuarantine::keepNewest(CrashList &list, std::size_t n) {
  std::sort(list.begin(), list.end(), [](auto *a, auto *b) { return a->second.at > b->second.at; });
  list.resize(std::min(list.size(), n));
}

/// Old crashes that keep a quarantine must not displace news.
std::vector<CrashReport> CrashQuarantine::reports(Instant now) const {
  CrashList list = crashesThatKeepQuarantine();
  keepNewest(list, MaxReports / 2);
  CrashList news;
  for (auto &it : crashes)
    if (now - it.second.changedAt < AnnouncementTime &&
        std::find(list.begin(), list.end(), &it) == list.end())
      news.push_back(&it);
  keepNewest(news, MaxReports - list.size());
  list.insert(list.end(), news.begin(), news.end());
  std::vector<CrashReport> out;
  out.reserve(list.size());
  std::size_t suspectsLeft = MaxSuspectsPerMessage;
  for (auto *it : list) {
    out.push_back(reportOf(it->first, it->second, suspectsLeft, now));
    suspectsLeft -= out.back().suspects.size();
  }
  return out;
}

/// Once an old crash has been announced, only those of its suspects matter that are in quarantine
/// or have been cleared. Whether a request has been cleared matters only while that is news, unlike
/// a part of a prompt, which requests share.
bool CrashQuarantine::mattersToOthers(const RequestTrait &trait, SuspectState state,
                                      const Crash &crash, Instant now) const {
  if (now - crash.at < AnnouncementTime || quarantine.count(trait) > 0)
    return true;
  const bool isShared = trait.kind == TraitKind::PromptPart;
  return state == SuspectState::Cleared && (isShared || now - crash.changedAt < AnnouncementTime);
}

/// Suspects of several crashes come first: they tell most, and others may not find room.
CrashReport CrashQuarantine::reportOf(const EndpointIncarnation &engine, const Crash &crash,
                                      std::size_t maxSuspects, Instant now) const {
  CrashReport out{.engine = engine, .age = now - crash.at, .suspects = {}};
  for (auto &[trait, state] : crash.suspects)
    if (mattersToOthers(trait, state, crash, now))
      out.suspects.push_back({trait, state});
  if (out.suspects.size() <= maxSuspects)
    return out;
  std::stable_partition(out.suspects.begin(), out.suspects.end(),
                        [&](auto &it) { return timesBlamed(it.trait) > 1; });
  out.suspects.resize(maxSuspects);
  return out;
}

QuarantineVerdict CrashQuarantine::judgeTrait(const RequestTrait &trait, Instant now) const {
  using Kind = QuarantineVerdict::Kind;
  auto it = quarantine.find(trait);
  if (it == quarantine.end())
    return {};
  const Instant until = it->second.lastCrash + quarantineTime(it->second.failedProbes);
  if (now < until)
    return {Kind::Quarantined, trait, until - now};
  auto probe = probes.find(trait);
  const bool isProbing = probe != probes.end() && now - probe->second < ProbeTimeout;
  return {isProbing ? Kind::Quarantined : Kind::Probe, trait, {}};
}

void CrashQuarantine::update(Instant now) {
  if (!changed && now < nextUpdate)
    return;
  changed = false;
  nextUpdate = Instant::max();
  for (auto &[engine, crash] : crashes)
    if (crash.at + reportDelay > now)
      nextUpdate = std::min(nextUpdate, crash.at + reportDelay);
  auto next = convict(now);
  logChanges(next, now);
  quarantine = std::move(next);
}

bool CrashQuarantine::hasBegun(const RequestTrait &trait) const {
  return std::any_of(crashes.begin(), crashes.end(), [&](auto &it) {
    auto found = it.second.suspects.find(trait);
    return found != it.second.suspects.end() && found->second != SuspectState::NeverBegun;
  });
}

SuspectState CrashQuarantine::ownStateOf(const RequestTrait &trait, const Crash &crash) const {
  const auto begun = histories[static_cast<std::size_t>(trait.kind)].lastBegun(trait);
  if (!begun)
    return SuspectState::NeverBegun;
  return *begun > crash.at ? SuspectState::Cleared : SuspectState::BegunBefore;
}

int CrashQuarantine::timesBlamed(const RequestTrait &trait) const {
  auto it = blamedCrashes.find(trait);
  return it == blamedCrashes.end() ? 0 : it->second;
}

void CrashQuarantine::setState(Crash &crash, const RequestTrait &trait, SuspectState state) {
  const bool before = crash.blames(trait);
  crash.suspects[trait] = state;
  const bool after = crash.blames(trait);
  if (before == after)
    return;
  const int n = blamedCrashes[trait] += after ? 1 : -1;
  if (n == 0)
    blamedCrashes.erase(trait);
  if (n >= CrashesForQuarantine)
    repeated.insert(trait);
  else
    repeated.erase(trait);
}

CrashQuarantine::Crashes::iterator CrashQuarantine::forget(Crashes::iterator crash) {
  for (auto &[trait, state] : crash->second.suspects)
    setState(crash->second, trait, SuspectState::Cleared);
  changed = true;
  return crashes.erase(crash);
}

void CrashQuarantine::dropOldest() {
  while (crashes.size() > MaxCrashes)
    forget(std::min_element(crashes.begin(), crashes.end(),
                            [](auto &a, auto &b) { return a.second.at < b.second.at; }));
}

std::map<Instant, std::vector<RequestTrait>> CrashQuarantine::repeatedSuspects(Instant now) const {
  std::map<Instant, std::vector<RequestTrait>> out;
  for (auto &[engine, crash] : crashes)
    for (auto &it : repeated)
      if (crash.at + reportDelay <= now && crash.blames(it))
        out[crash.at].push_back(it);
  return out;
}

/// Picks the trait that explains the most crashes, then the one that explains the most of the
/// others, and so on. A sound trait that was in the batch of the same crashes explains nothing
/// more. Of several traits that explain as many, those of the kind that fewest requests share come
/// first.
std::map<RequestTrait, CrashQuarantine::Conviction> CrashQuarantine::convict(Instant now) const {
  auto unexplained = repeatedSuspects(now);
  std::set<RequestTrait> begun;
  std::copy_if(repeated.begin(), repeated.end(), std::inserter(begun, begun.end()),
               [&](auto &it) { return hasBegun(it); });
  std::map<RequestTrait, Conviction> out;
  for (;;) {
    CrashTimes times;
    for (auto &[at, traits] : unexplained)
      for (auto it : traits)
        times[it].push_back(at);
    // A trait with which answers have begun, whenever, is less suspect than one without.
    const auto strengthOf = [&](const CrashTimes::value_type &it) {
      const bool neverBegun = begun.count(it.first) == 0;
      const int n = neverBegun ? static_cast<int>(it.second.size()) : countApart(it.second);
      return std::pair(neverBegun, n);
    };
    std::pair<bool, int> strongest;
    TraitKind kind = TraitKind::Count;
    std::vector<Instant> explained;
    for (auto &it : times) { // ordered by kind
      const auto strength = strengthOf(it);
      if (strength.second < CrashesForQuarantine || (!explained.empty() && strength <= strongest))
        continue;
      strongest = strength;
      kind = it.first.kind;
      explained = it.second;
    }
    if (explained.empty())
      break;
    // Traits of one kind with exactly the same crashes cannot be told apart.
    for (auto &it : times)
      if (it.first.kind == kind && it.second == explained && strengthOf(it) == strongest)
        out[it.first] = convictionOf(it.first);
    for (auto it : explained)
      unexplained.erase(it);
  }
  // Several deadly requests at once are in each other's batches. A request without an answer in so
  // many crashes is one of them, whatever else explains these.
  for (auto &it : repeated)
    if (it.kind == TraitKind::ExactRequest && begun.count(it) == 0 &&
        countedCrashes(it, now) >= CrashesForQuarantine)
      out.try_emplace(it, convictionOf(it));
  return out;
}

int CrashQuarantine::countedCrashes(const RequestTrait &trait, Instant now) const {
  return static_cast<int>(std::count_if(crashes.begin(), crashes.end(), [&](auto &it) {
    return it.second.at + reportDelay <= now && it.second.blames(trait);
  }));
}

/// Counts all crashes of a trait in quarantine, also those that have just been reported.
CrashQuarantine::Conviction CrashQuarantine::convictionOf(const RequestTrait &trait) const {
  std::vector<Instant> times;
  for (auto &[engine, crash] : crashes)
    if (crash.blames(trait))
      times.push_back(crash.at);
  std::sort(times.begin(), times.end());
  Conviction out{.lastCrash = times.back(), .crashes = static_cast<int>(times.size())};
  // Requests that were under way when the quarantine began are not probes.
  for (std::size_t i = CrashesForQuarantine; i < times.size(); ++i)
    out.failedProbes += times[i] - times[i - 1] >= QuarantineTimes.front() ? 1 : 0;
  return out;
}

void CrashQuarantine::logChanges(const std::map<RequestTrait, Conviction> &next,
                                 Instant now) const {
  for (auto &[trait, conviction] : next) {
    auto known = quarantine.find(trait);
    if (known != quarantine.end() && known->second == conviction)
      continue;
    logLine(LogLevel::Warn, "request trait in quarantine, engines crash on it",
            {{"trait", traitText(trait)},
             {"kind", toString(trait.kind)},
             {"crashes", conviction.crashes},
             {"last_crash_ms", toMillis(now - conviction.lastCrash)},
             {"quarantine_ms", toMillis(quarantineTime(conviction.failedProbes))}});
  }
  for (auto &[trait, conviction] : quarantine)
    if (next.count(trait) == 0)
      logLine(LogLevel::Info, "request trait released from quarantine",
              {{"trait", traitText(trait)},
               {"kind", toString(trait.kind)},
               {"crashes", conviction.crashes}});
}

void CrashQuarantine::expire(Instant now) {
  for (auto it = crashes.begin(); it != crashes.end();)
    it = now - it->second.at > CrashRetention ? forget(it) : std::next(it);
  for (auto &it : histories)
    it.expire(now);
  std::erase_if(probes, [&](auto &it) { return now - it.second >= ProbeTimeout; });
  update(now);
}

} // namespace catkin
