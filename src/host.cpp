#include "catkin/catkin.h"

#include "config.h"
#include "daemon_p.h"
#include "policy_p.h"

#include <future>
#include <thread>
#include <utility>

namespace catkin {

namespace {

/// Adds the flag unless `value` is empty.
void addFlag(std::vector<std::string> &out, const std::string &flag, const std::string &value) {
  if (!value.empty())
    out.push_back("--" + flag + "=" + value);
}

/// Command line of a daemon with the same settings.
std::vector<std::string> toArguments(const Init &init) {
  std::vector<std::string> out{"catkind"};
  addFlag(out, "host", init.host);
  addFlag(out, "data-centre", init.dataCentre);
  addFlag(out, "listen", init.listen);
  addFlag(out, "peer-listen", init.peerListen);
  addFlag(out, "operator-listen", init.operatorListen);
  addFlag(out, "platform", init.platform);
  std::string peers;
  for (auto &it : init.peers)
    peers += (peers.empty() ? "" : ",") + it;
  addFlag(out, "peers", peers);
  addFlag(out, "retention", init.retention);
  addFlag(out, "placement", init.placement);
  addFlag(out, "threads", std::to_string(init.threads));
  out.insert(out.end(), init.extra.begin(), init.extra.end());
  return out;
}

/// Parses and validates the settings in the same way as the daemon's flags.
SettingsResult toSettings(const Init &init) {
  auto arguments = toArguments(init);
  std::vector<const char *> argv;
  argv.reserve(arguments.size());
  for (auto &it : arguments)
    argv.push_back(it.c_str());
  return readSettings(static_cast<int>(argv.size()), argv.data(), init.operatorKey);
}

} // namespace

Caps getCaps() {
  return {.version = CATKIN_VERSION,
          .retentionPolicies = retentionPolicyNames(),
          .placementPolicies = placementPolicyNames(),
          .maxHeaderBytes = config::MaxHeaderBytes,
          .maxListBytes = config::MaxListBytes,
          .maxDeadlineMs =
              static_cast<std::uint32_t>(std::chrono::milliseconds(config::MaxDeadline).count())};
}

struct Host::Impl {
  Settings settings;
  DaemonControls controls;
  std::thread thread;
};

Host::Host(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

std::unique_ptr<Host> Host::create(const Init &init, std::string &error) {
  auto result = toSettings(init);
  error.clear();
  for (auto &it : result.errors)
    error += it + "\n";
  if (!error.empty())
    return nullptr;
  auto impl = std::make_unique<Impl>();
  impl->settings = std::move(result.settings);
  std::promise<std::string> started;
  auto outcome = started.get_future();
  impl->thread = std::thread([host = impl.get(), &started] {
    bool running = false;
    auto fault = runDaemon(
        host->settings, {.handleSignals = false, .onStarted = [&](const DaemonControls &controls) {
                           host->controls = controls;
                           running = true;
                           started.set_value({});
                         }});
    if (!running)
      started.set_value(fault);
  });
  error = outcome.get();
  if (error.empty())
    return std::unique_ptr<Host>(new Host(std::move(impl)));
  impl->thread.join();
  return nullptr;
}

Host::~Host() {
  requestStop();
  wait();
}

Stats Host::stats() const { return impl->thread.joinable() ? impl->controls.stats() : Stats{}; }

void Host::requestStop() {
  if (impl->thread.joinable())
    impl->controls.requestStop();
}

void Host::wait() {
  if (impl->thread.joinable())
    impl->thread.join();
}

} // namespace catkin
