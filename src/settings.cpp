#include "settings_p.h"

#include "file_p.h"

#include "policy_p.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <set>
#include <variant>

namespace catkin {

namespace {

using SettingMember =
    std::variant<std::string Settings::*, Address Settings::*, std::vector<Address> Settings::*,
                 int Settings::*, double Settings::*, Duration Settings::*>;

/// Description of one setting. The flag of a duration ends in its unit, "-ms" or "-s", which is
/// also the unit of the bounds.
struct SettingSpec {
  const char *flag;
  const char *help;
  SettingMember member;
  bool required = false;
  double min = 0;
  double max = 0;
};

const std::vector<SettingSpec> &settingSpecs() {
  static const std::vector<SettingSpec> Table{
      {"host", "name of this host", &Settings::host, true},
      {"data-centre", "data centre of this host", &Settings::dataCentre, true},
      {"listen", "ip:port of the callers' API", &Settings::listen, true},
      {"advertise", "ip:port given to callers; default: listen", &Settings::advertise},
      {"peer-listen", "ip:port for calls of other hosts", &Settings::peerListen, true},
      {"peer-advertise", "ip:port given to other hosts; default: peer-listen",
       &Settings::peerAdvertise},
      {"operator-listen", "ip:port of the operators' API", &Settings::operatorListen, true},
      {"platform", "ip:port of the platform's object API", &Settings::platform, true},
      {"peers", "peer addresses of the other hosts, separated by commas", &Settings::peers},
      {"operator-key-file", "file with the operators' key; or CATKIN_OPERATOR_KEY",
       &Settings::operatorKeyFile},
      {"threads", "worker threads", &Settings::threads, false, 1, 64},
      {"log-level", "debug, info, warn or error", &Settings::logLevel},
      {"retention", "retention policy", &Settings::retention},
      {"placement", "placement policy", &Settings::placement},
      {"cold-second-weight", "cost of a second that a request waits for a cold start",
       &Settings::coldSecondWeight, false, 0, 1e6},
      {"idle-second-weight", "cost of an accelerator second that a replica is idle",
       &Settings::idleSecondWeight, false, 0, 1e6},
      {"fixed-keep-alive-s", "keep-alive of the fixed retention policies",
       &Settings::fixedKeepAlive, false, 1, 86400},
      {"store-concurrent-loads", "concurrent model loads from the weight store",
       &Settings::storeConcurrentLoads, false, 1, 1000},
      {"store-loads-per-second", "model loads started from the weight store per second",
       &Settings::storeLoadsPerSecond, false, 0.01, 1000},
      {"store-adapters-in-flight", "concurrent adapter loads from the weight store",
       &Settings::storeAdaptersInFlight, false, 1, 10000},
      {"load-bytes-per-second", "initial estimate of the load rate", &Settings::loadBytesPerSecond,
       false, 1, 1e13},
      {"default-deadline-ms", "deadline of requests that state none", &Settings::defaultDeadline,
       false, 1, 600000},
      {"max-deadline-ms", "longest permitted deadline", &Settings::maxDeadline, false, 1, 600000},
      {"silence-ms", "longest time without a byte in an engine's answer", &Settings::silenceTimeout,
       false, 10, 600000},
      {"service-silence-ms", "longest time without a byte in a service's answer",
       &Settings::serviceSilenceTimeout, false, 10, 600000},
      {"connect-ms", "time to connect to an endpoint", &Settings::connectTimeout, false, 10, 60000},
      {"stop-timeout-s", "longest duration of a graceful stop", &Settings::stopTimeout, false, 0,
       3600},
      {"max-connections", "limit of open connections from callers", &Settings::maxConnections,
       false, 1, 100000},
      {"max-body-bytes", "longest request body", &Settings::maxBodyBytes, false, 1024, 1 << 28},
      {"max-held-mb", "limit of the memory held on behalf of callers", &Settings::maxHeldMegabytes,
       false, 8, 100000},
  };
  return Table;
}

std::string environmentName(std::string_view flag) {
  std::string name = "CATKIN_";
  for (char c : flag)
    name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  return name;
}

std::optional<double> parseDouble(const std::string &text) {
  double value = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::string rangeError(const SettingSpec &spec) {
  std::ostringstream out;
  out << "must be from " << spec.min << " to " << spec.max;
  return out.str();
}

/// Each overload parses a value and assigns it. Returns an error, empty on success.
std::string assign(Settings &s, const SettingSpec &, std::string Settings::*member,
                   const std::string &text) {
  s.*member = text;
  return text.empty() ? "must not be empty" : "";
}

std::string assign(Settings &s, const SettingSpec &, Address Settings::*member,
                   const std::string &text) {
  auto address = parseAddress(text);
  if (!address)
    return "\"" + text + "\" is not an IPv4 address with a port, such as 10.0.0.1:8080";
  s.*member = *address;
  return {};
}

std::string assign(Settings &s, const SettingSpec &spec, std::vector<Address> Settings::*member,
                   const std::string &text) {
  (s.*member).clear();
  for (auto &part : CLI::detail::split(text, ',')) {
    Settings one;
    if (auto error = assign(one, spec, &Settings::listen, part); !error.empty())
      return error;
    (s.*member).push_back(one.listen);
  }
  return {};
}

std::string assign(Settings &s, const SettingSpec &spec, double Settings::*member,
                   const std::string &text) {
  auto value = parseDouble(text);
  if (!value || !(*value >= spec.min && *value <= spec.max))
    return rangeError(spec);
  s.*member = *value;
  return {};
}

std::string assign(Settings &s, const SettingSpec &spec, int Settings::*member,
                   const std::string &text) {
  auto value = parseDouble(text);
  if (!value || !(*value >= spec.min && *value <= spec.max) || std::floor(*value) != *value)
    return "must be a whole number; " + rangeError(spec);
  s.*member = static_cast<int>(*value);
  return {};
}

std::string assign(Settings &s, const SettingSpec &spec, Duration Settings::*member,
                   const std::string &text) {
  auto value = parseDouble(text);
  if (!value || !(*value >= spec.min && *value <= spec.max))
    return rangeError(spec);
  bool millis = std::string_view(spec.flag).ends_with("-ms");
  s.*member = fromSeconds(millis ? *value / 1000 : *value);
  return {};
}

using Errors = std::vector<std::string>;

void addError(Errors &errors, std::string_view flag, const std::string &message) {
  errors.push_back("--" + std::string(flag) + ": " + message);
}

void readValue(const SettingSpec &spec, const CLI::Option &option, SettingsResult &result) {
  if (option.count() == 0) {
    if (spec.required)
      addError(result.errors, spec.flag, "is required (or " + environmentName(spec.flag) + ")");
    return;
  }
  auto values = option.results();
  if (values.size() != 1 || values.front().empty()) {
    addError(result.errors, spec.flag, values.size() > 1 ? "is given twice" : "needs a value");
    return;
  }
  auto error =
      std::visit([&](auto member) { return assign(result.settings, spec, member, values.front()); },
                 spec.member);
  if (!error.empty())
    addError(result.errors, spec.flag, error);
}

/// Adds an error for each unknown argument. Values are omitted, because they may be secrets.
void addUnknownArguments(const std::vector<std::string> &extras, Errors &errors) {
  for (auto &it : extras) {
    if (it.starts_with("-"))
      errors.push_back(it.substr(0, it.find('=')) + ": unknown flag");
    else
      errors.emplace_back("unexpected argument without a flag");
  }
}

/// Reads the operators' key from the embedding program, the environment or the key file, in this
/// order.
void readOperatorKey(SettingsResult &result, const std::string &embeddedKey) {
  auto &s = result.settings;
  const char *fromEnvironment = std::getenv("CATKIN_OPERATOR_KEY");
  if (!embeddedKey.empty())
    s.operatorKey = embeddedKey;
  else if (fromEnvironment)
    s.operatorKey = fromEnvironment;
  else if (!s.operatorKeyFile.empty()) {
    std::string error;
    if (!readTextFile(s.operatorKeyFile, s.operatorKey, error))
      return addError(result.errors, "operator-key-file", error);
    s.operatorKey.erase(std::min(s.operatorKey.find_first_of("\r\n"), s.operatorKey.size()));
    if (s.operatorKey.empty())
      return addError(result.errors, "operator-key-file", "is empty");
  }
  constexpr std::size_t MinKeyLength = 16;
  if (s.operatorKey.size() < MinKeyLength)
    result.errors.emplace_back("operators' key: needs at least 16 characters, from "
                               "--operator-key-file or CATKIN_OPERATOR_KEY");
}

template <class Names> std::string joinNames(const Names &names) {
  std::string text;
  for (auto &it : names)
    text += (text.empty() ? "" : ", ") + std::string(it);
  return text;
}

void checkChoice(const char *flag, const std::string &value, const std::vector<std::string> &known,
                 Errors &errors) {
  if (std::find(known.begin(), known.end(), value) == known.end())
    addError(errors, flag, "\"" + value + "\" is not one of: " + joinNames(known));
}

/// Sets the defaults of the advertised addresses and checks all addresses.
void checkAddresses(Settings &s, Errors &errors) {
  if (s.advertise.empty())
    s.advertise = s.listen;
  if (s.peerAdvertise.empty())
    s.peerAdvertise = s.peerListen;
  if (s.advertise.ip == "0.0.0.0")
    addError(errors, "advertise", "is required when --listen is 0.0.0.0");
  if (s.peerAdvertise.ip == "0.0.0.0")
    addError(errors, "peer-advertise", "is required when --peer-listen is 0.0.0.0");
  std::set<Address> own;
  for (auto *it : {&s.listen, &s.peerListen, &s.operatorListen})
    if (!it->empty() && !own.insert(*it).second)
      errors.push_back("--listen, --peer-listen and --operator-listen must differ: " +
                       it->toString() + " is given twice");
  std::erase(s.peers, s.peerAdvertise);
}

/// Checks the settings that depend on each other or on a list of names.
void validateSettings(SettingsResult &result) {
  auto &s = result.settings;
  auto &errors = result.errors;
  checkChoice("log-level", s.logLevel, {"debug", "info", "warn", "error"}, errors);
  checkChoice("retention", s.retention, retentionPolicyNames(), errors);
  checkChoice("placement", s.placement, placementPolicyNames(), errors);
  checkAddresses(s, errors);
  for (auto [flag, name] : {std::pair("host", &s.host), std::pair("data-centre", &s.dataCentre)})
    if (name->size() > config::MaxNameLength)
      addError(errors, flag, "is too long");
  if (s.defaultDeadline > s.maxDeadline)
    addError(errors, "default-deadline-ms", "must not exceed --max-deadline-ms");
  if (s.stopTimeout < s.maxDeadline)
    addError(errors, "stop-timeout-s",
             "must not be below --max-deadline-ms, or a planned stop would cut off requests");
}

boost::json::value toJson(const Settings &s, std::string Settings::*member) {
  return boost::json::string(s.*member);
}
boost::json::value toJson(const Settings &s, Address Settings::*member) {
  return boost::json::string((s.*member).empty() ? "" : (s.*member).toString());
}
boost::json::value toJson(const Settings &s, std::vector<Address> Settings::*member) {
  boost::json::array list;
  for (auto &it : s.*member)
    list.emplace_back(it.toString());
  return list;
}
boost::json::value toJson(const Settings &s, int Settings::*member) { return s.*member; }
boost::json::value toJson(const Settings &s, double Settings::*member) { return s.*member; }
boost::json::value toJson(const Settings &s, Duration Settings::*member) {
  return toSeconds(s.*member);
}

} // namespace

SettingsResult readSettings(int argc, const char *const *argv, const std::string &operatorKey) {
  SettingsResult result;
  CLI::App app{"catkind, the host daemon of catkinthread"};
  app.set_help_flag();
  app.allow_extras();
  app.add_flag("--help,-h", result.help, "print this text and exit");
  app.add_flag("--version", result.version, "print the version and exit");
  app.add_flag("--check", result.check, "check the settings and exit");
  std::vector<std::string> unused;
  std::vector<std::pair<const SettingSpec *, CLI::Option *>> options;
  for (auto &it : settingSpecs()) {
    auto *option = app.add_option("--" + std::string(it.flag), unused, it.help);
    // A missing or repeated value is reported by readValue(), together with all other errors.
    option->expected(0, 1)->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    option->envname(environmentName(it.flag));
    options.emplace_back(&it, option);
  }
  result.helpText = app.help();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    result.errors.emplace_back(e.what());
    return result;
  }
  if (result.help || result.version)
    return result;
  for (auto &[spec, option] : options)
    readValue(*spec, *option, result);
  addUnknownArguments(app.remaining(), result.errors);
  readOperatorKey(result, operatorKey);
  validateSettings(result);
  return result;
}

std::string describeSettings(const Settings &settings) {
  boost::json::object out;
  for (auto &it : settingSpecs())
    out[it.flag] = std::visit([&](auto member) { return toJson(settings, member); }, it.member);
  return boost::json::serialize(out);
}

} // namespace catkin
