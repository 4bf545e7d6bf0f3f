#include "host_registration_p.h"

#include "log_p.h"

#include <utility>

namespace catkin {

namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(300);

} // namespace

struct HostRegistration::Impl : std::enable_shared_from_this<Impl> {
  CoreEnv &env;
  std::string key;
  FleetHostEntry self;
  bool removed = false;

  Impl(CoreEnv &env, const std::string &kind, FleetHostEntry entry)
      : env(env), key(kind + "/" + entry.host.value), self(std::move(entry)) {}

  void add() {
    if (removed)
      return;
    env.platform().get(key, [it = shared_from_this()](StoreStatus s, const StoreObject &o) {
      if (s == StoreStatus::Ok && o.value == formatHostEntry(it->self))
        return logLine(LogLevel::Info, "registered already");
      if (s == StoreStatus::Ok || s == StoreStatus::NotFound)
        it->write(s == StoreStatus::Ok ? o.version : 0);
      else
        it->env.after(RetryPause, [it] { it->add(); });
    });
  }

  void write(std::uint64_t version) {
    if (removed)
      return;
    env.platform().put(key, formatHostEntry(self), version,
                       [it = shared_from_this()](StoreStatus s, const StoreObject &) {
                         if (s == StoreStatus::Ok)
                           return logLine(LogLevel::Info, "registered");
                         it->env.after(RetryPause, [it] { it->add(); });
                       });
  }

  void remove() {
    removed = true;
    env.platform().get(key, [it = shared_from_this()](StoreStatus s, const StoreObject &o) {
      if (s != StoreStatus::Ok)
        return logLine(LogLevel::Warn, "registration not removed", {{"status", toString(s)}});
      it->env.platform().erase(it->key, o.version, [](StoreStatus status, const StoreObject &) {
        logLine(LogLevel::Info, "registration removed", {{"status", toString(status)}});
      });
    });
  }
};

HostRegistration::HostRegistration(CoreEnv &env, const std::string &kind, FleetHostEntry self)
    : impl(std::make_shared<Impl>(env, kind, std::move(self))) {}

HostRegistration::~HostRegistration() = default;

void HostRegistration::add() { impl->add(); }

void HostRegistration::remove() { impl->remove(); }

} // namespace catkin
