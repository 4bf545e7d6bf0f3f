#include "prompt_quarantine_p.h"

#include "config.h"
#include "log_p.h"

#include <algorithm>
#include <utility>

namespace catkin {

namespace {

// Crashes at about the same time may have one cause outside the prompts, such as a lost rack. They
// count once against a part that is known to be in sound requests.
constexpr Duration MinTimeBetweenCrashes = std::chrono::milliseconds(200);
// An engine that crashes is back after some seconds; until then it is the same crash.
constexpr Duration MinRestartTime = std::chrono::seconds(1);
// A sound part that is rarely requested may be in the batch of one or two crashes by chance.
constexpr int CrashesForQuarantine = 3;
// The first probe comes this long after the last crash; the time doubles with each failed probe.
constexpr Duration FirstQuarantine = std::chrono::seconds(10);
constexpr Duration LongestQuarantine = std::chrono::minutes(5);
// A part of which no request has come to the probing host for this long is forgotten.
constexpr Duration CrashRetention = std::chrono::minutes(10);
// Covers several heartbeats, since some of them may be lost.
constexpr Duration AnnouncementTime = 8 * config::FleetHeartbeat;
constexpr Duration ProbeTimeout = std::chrono::seconds(20);
// Bounds the memory for the parts that answers have begun with, and the size of messages.
constexpr Duration BegunRetention = std::chrono::minutes(2);
constexpr std::size_t MaxBegunParts = 8192;
constexpr std::size_t MaxCrashes = 512;
constexpr std::size_t MaxReports = 24;
constexpr std::size_t MaxSuspectsPerReport = 48;
constexpr std::size_t MaxSuspectsPerCrash = 256;

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
  constexpr int MaxDoublings = 10;
  return std::min(FirstQuarantine * (1 << std::min(failedProbes, MaxDoublings)), LongestQuarantine);
}

} // namespace

void PromptQuarantine::onCrash(const EndpointIncarnation &engine,
                               const std::vector<PromptPart> &suspects, Instant now) {
  if (suspects.empty())
    return;
  auto &crash = crashes.try_emplace(engine, Crash{.at = now}).first->second;
  crash.changedAt = now;
  for (auto it : suspects)
    if (crash.suspects.size() < MaxSuspectsPerCrash)
      crash.suspects.try_emplace(it, ownStateOf(it, crash));
  for (auto it : suspects)
    probes.erase(it);
  dropOldest();
  changed = true;
}

EndpointIncarnation PromptQuarantine::presentCrash(EndpointIncarnation engine, Instant now) const {
  for (auto it = crashes.find(engine); it != crashes.end(); it = crashes.find(engine)) {
    if (now - it->second.at < MinRestartTime)
      break;
    ++engine.incarnation;
  }
  return engine;
}

void PromptQuarantine::onAnswerBegun(const std::vector<PromptPart> &parts, Instant now) {
  for (auto part : parts) {
    probes.erase(part);
    if (lastBegun.size() < MaxBegunParts || lastBegun.count(part) > 0)
      lastBegun[part] = now;
    for (auto &[engine, crash] : crashes) {
      if (!crash.blames(part) || crash.at >= now)
        continue;
      crash.suspects[part] = SuspectState::Cleared;
      crash.changedAt = now;
      changed = true;
    }
  }
}

bool PromptQuarantine::onReport(const CrashReport &report, Instant now) {
  const Instant at = now - report.age;
  if (report.age > CrashRetention)
    return false;
  auto [it, news] = crashes.try_emplace(report.engine, Crash{.at = at});
  auto &crash = it->second;
  // The sender's clock starts when it notices the crash, and messages take time.
  crash.at = std::min(crash.at, at);
  for (auto &suspect : report.suspects) {
    if (crash.suspects.size() >= MaxSuspectsPerCrash)
      break;
    auto [known, isNew] = crash.suspects.try_emplace(suspect.part, SuspectState::NeverBegun);
    const auto state = std::max({known->second, suspect.state, ownStateOf(suspect.part, crash)});
    news = news || isNew || state != known->second;
    known->second = state;
  }
  if (news) {
    crash.changedAt = now;
    changed = true;
  }
  dropOldest();
  return news;
}

bool PromptQuarantine::keepsQuarantine(const Crash &crash) const {
  return std::any_of(quarantine.begin(), quarantine.end(),
                     [&](auto &it) { return crash.blames(it.first); });
}

std::vector<CrashReport> PromptQuarantine::reports(Instant now) const {
  using Entry = std::pair<const EndpointIncarnation, Crash>;
  std::vector<std::pair<std::pair<bool, Instant>, const Entry *>> newest;
  for (auto &it : crashes) {
    const bool matters = keepsQuarantine(it.second);
    if (matters || now - it.second.changedAt < AnnouncementTime)
      newest.emplace_back(std::pair(matters, it.second.at), &it);
  }
  std::sort(newest.begin(), newest.end(), [](auto &a, auto &b) { return a.first > b.first; });
  newest.resize(std::min(newest.size(), MaxReports));
  std::vector<CrashReport> out;
  out.reserve(newest.size());
  for (auto &[order, it] : newest)
    out.push_back(reportOf(it->first, it->second, now));
  return out;
}

/// Once an old crash has been announced, only those of its suspects matter that are in quarantine
/// or have been cleared.
CrashReport PromptQuarantine::reportOf(const EndpointIncarnation &engine, const Crash &crash,
                                       Instant now) const {
  CrashReport out{.engine = engine, .age = now - crash.at, .suspects = {}};
  const bool isOld = now - crash.at >= AnnouncementTime;
  for (auto &[part, state] : crash.suspects)
    if ((!isOld || state == SuspectState::Cleared || quarantine.count(part) > 0) &&
        out.suspects.size() < MaxSuspectsPerReport)
      out.suspects.push_back({part, state});
  return out;
}

PromptVerdict PromptQuarantine::judgePart(PromptPart part, Instant now) const {
  using Kind = PromptVerdict::Kind;
  auto it = quarantine.find(part);
  if (it == quarantine.end())
    return {};
  const Instant until = it->second.lastCrash + quarantineTime(it->second.failedProbes);
  if (now < until)
    return {Kind::Quarantined, part, until - now};
  auto probe = probes.find(part);
  const bool isProbing = probe != probes.end() && now - probe->second < ProbeTimeout;
  return {isProbing ? Kind::Quarantined : Kind::Probe, part, {}};
}

void PromptQuarantine::update(Instant now) {
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

std::set<PromptPart> PromptQuarantine::begunParts() const {
  std::set<PromptPart> out;
  for (auto &[engine, crash] : crashes)
    for (auto &[part, state] : crash.suspects)
      if (state != SuspectState::NeverBegun)
        out.insert(part);
  return out;
}

SuspectState PromptQuarantine::ownStateOf(PromptPart part, const Crash &crash) const {
  auto it = lastBegun.find(part);
  if (it == lastBegun.end())
    return SuspectState::NeverBegun;
  return it->second > crash.at ? SuspectState::Cleared : SuspectState::BegunBefore;
}

void PromptQuarantine::dropOldest() {
  while (crashes.size() > MaxCrashes)
    crashes.erase(std::min_element(crashes.begin(), crashes.end(),
                                   [](auto &a, auto &b) { return a.second.at < b.second.at; }));
}

/// Picks the part that explains the most crashes, then the one that explains the most of the
/// others, and so on. A sound part that was in the batch of the same crashes explains nothing more.
std::map<PromptPart, PromptQuarantine::Conviction> PromptQuarantine::convict(Instant now) const {
  std::map<Instant, std::vector<PromptPart>> unexplained; // suspects by time of the crash
  for (auto &[engine, crash] : crashes)
    for (auto &[part, state] : crash.suspects)
      if (crash.blames(part) && crash.at + reportDelay <= now)
        unexplained[crash.at].push_back(part);
  const auto begun = begunParts();
  std::map<PromptPart, Conviction> out;
  for (;;) {
    CrashTimes times;
    for (auto &[at, parts] : unexplained)
      for (auto it : parts)
        times[it].push_back(at);
    // A part with which answers have begun, whenever, is less suspect than one without.
    const auto strengthOf = [&](const CrashTimes::value_type &it) {
      const bool neverBegun = begun.count(it.first) == 0;
      const int n = neverBegun ? static_cast<int>(it.second.size()) : countApart(it.second);
      return std::pair(neverBegun, n);
    };
    std::pair<bool, int> strongest;
    std::vector<Instant> explained;
    for (auto &it : times) {
      const auto strength = strengthOf(it);
      if (strength.second < CrashesForQuarantine || (!explained.empty() && strength <= strongest))
        continue;
      strongest = strength;
      explained = it.second;
    }
    if (explained.empty())
      return out;
    // Parts of exactly the same crashes cannot be told apart.
    for (auto &it : times)
      if (it.second == explained && strengthOf(it) == strongest)
        out[it.first] = convictionOf(it.first);
    for (auto it : explained)
      unexplained.erase(it);
  }
}

/// Counts all crashes of a part in quarantine, also those that have just been reported.
PromptQuarantine::Conviction PromptQuarantine::convictionOf(PromptPart part) const {
  std::vector<Instant> times;
  for (auto &[engine, crash] : crashes)
    if (crash.blames(part))
      times.push_back(crash.at);
  std::sort(times.begin(), times.end());
  Conviction out{.lastCrash = times.back(), .crashes = static_cast<int>(times.size())};
  // Requests that were under way when the quarantine began are not probes.
  for (std::size_t i = CrashesForQuarantine; i < times.size(); ++i)
    out.failedProbes += times[i] - times[i - 1] >= FirstQuarantine ? 1 : 0;
  return out;
}

void PromptQuarantine::logChanges(const std::map<PromptPart, Conviction> &next, Instant now) const {
  for (auto &[part, conviction] : next) {
    auto known = quarantine.find(part);
    if (known != quarantine.end() && known->second == conviction)
      continue;
    logLine(LogLevel::Warn, "prompt part in quarantine, engines crash on it",
            {{"part", promptPartText(part)},
             {"crashes", conviction.crashes},
             {"last_crash_ms", toMillis(now - conviction.lastCrash)},
             {"quarantine_ms", toMillis(quarantineTime(conviction.failedProbes))}});
  }
  for (auto &[part, conviction] : quarantine)
    if (next.count(part) == 0)
      logLine(LogLevel::Info, "prompt part released from quarantine",
              {{"part", promptPartText(part)}, {"crashes", conviction.crashes}});
}

void PromptQuarantine::expire(Instant now) {
  const auto n =
      std::erase_if(crashes, [&](auto &it) { return now - it.second.at > CrashRetention; });
  changed = changed || n > 0;
  std::erase_if(lastBegun, [&](auto &it) { return now - it.second > BegunRetention; });
  std::erase_if(probes, [&](auto &it) { return now - it.second >= ProbeTimeout; });
  update(now);
}

} // namespace catkin
