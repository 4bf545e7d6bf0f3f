#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// Vocabulary shared by all modules: time, names, addresses and enums with name tables.
namespace catkin {

/// Time base of the decision code: microseconds of a monotonic clock. It has no now(); the current
/// time always comes from Env, so that tests can run on a virtual clock.
struct MonoClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonoClock, duration>;
  // Name required by <chrono>.
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};
using Duration = MonoClock::duration;
using Instant = MonoClock::time_point;

constexpr double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }
constexpr Duration fromSeconds(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
constexpr Duration fromMillis(double ms) { return fromSeconds(ms / 1000); }
constexpr std::int64_t toMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// A string that names one kind of thing, so that a plan cannot be passed where a model is meant.
template <class Tag> struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string v) : value(std::move(v)) {}
  explicit Name(std::string_view v) : value(v) {}
  explicit Name(const char *v) : value(v) {}

  bool empty() const { return value.empty(); }
  friend bool operator==(const Name &, const Name &) = default;
  friend std::strong_ordering operator<=>(const Name &, const Name &) = default;
};
using HostName = Name<struct HostTag>;
using EndpointName = Name<struct EndpointTag>;
using ModelName = Name<struct ModelTag>;
using PlanName = Name<struct PlanTag>;
using ServiceName = Name<struct ServiceTag>;
using DataCentreName = Name<struct DataCentreTag>;

/// IPv4 address and port. Text form "ip:port".
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  bool empty() const { return ip.empty(); }
  std::string toString() const { return ip + ":" + std::to_string(port); }
  friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses "ip:port". Empty if the text is not an IPv4 address with a port from 1 to 65535.
std::optional<Address> parseAddress(std::string_view text);

/// Specialise with `static constexpr std::array<std::string_view, size> Table` in enum order.
template <class E> struct EnumNames;

template <class E> constexpr std::string_view toString(E e) {
  static_assert(EnumNames<E>::Table.size() == static_cast<std::size_t>(E::Count));
  return EnumNames<E>::Table[static_cast<std::size_t>(e)];
}

template <class E> constexpr std::optional<E> parseEnum(std::string_view text) {
  for (std::size_t i = 0; i < EnumNames<E>::Table.size(); ++i)
    if (EnumNames<E>::Table[i] == text)
      return static_cast<E>(i);
  return std::nullopt;
}

/// What is known about whether a request ran. Sent to callers in the field `outcome`.
enum class RunOutcome { NotRun, Ran, MayHaveRun, Count };
template <> struct EnumNames<RunOutcome> {
  static constexpr std::array<std::string_view, 3> Table{"not_run", "ran", "may_have_run"};
};

/// Order in which waiting requests of different plans are served.
enum class Priority { Low, Normal, High, Count };
template <> struct EnumNames<Priority> {
  static constexpr std::array<std::string_view, 3> Table{"low", "normal", "high"};
};

/// Where a host or endpoint stands.
enum class Liveness { Live, Leaving, Gone, Count };
template <> struct EnumNames<Liveness> {
  static constexpr std::array<std::string_view, 3> Table{"live", "leaving", "gone"};
};

/// Where the nearest copy of a checkpoint is, as seen from one endpoint.
enum class CopySource { Memory, Disk, Remote, Count };
template <> struct EnumNames<CopySource> {
  static constexpr std::array<std::string_view, 3> Table{"memory", "disk", "remote"};
};

/// State of a replica on an endpoint. Intended: recorded, order perhaps not yet sent or answered.
enum class ReplicaState { Intended, Loaded, Releasing, Count };
template <> struct EnumNames<ReplicaState> {
  static constexpr std::array<std::string_view, 3> Table{"intended", "loaded", "releasing"};
};

} // namespace catkin

template <class Tag> struct std::hash<catkin::Name<Tag>> {
  std::size_t operator()(const catkin::Name<Tag> &n) const noexcept {
    return std::hash<std::string>{}(n.value);
  }
};
