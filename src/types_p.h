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

/// Types shared by all modules: time, names, addresses and enums with name tables.
namespace catkin {

/// Time base of the decision code: microseconds of a monotonic clock. The clock has no now(). The
/// current time always comes from Env, so that tests can run on a virtual clock.
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

/// A name whose type tells what it identifies, so that the compiler rejects a plan's name in place
/// of a model's.
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
using TeamName = Name<struct TeamTag>;
/// Version of the software of an endpoint, not of weights nor of the configuration.
using SoftwareVersion = Name<struct SoftwareVersionTag>;

/// Position in the changes of the platform's store. The store may come back from an older copy of
/// itself; its numbers then go back and are given out again for other changes, in the next era.
struct StoreRevision {
  std::uint64_t era = 0; ///< 0 also if the store does not name it
  std::uint64_t number = 0;
  StoreRevision() = default;
  StoreRevision(std::uint64_t number) : number(number) {}
  StoreRevision(std::uint64_t era, std::uint64_t number) : era(era), number(number) {}
  friend auto operator<=>(const StoreRevision &, const StoreRevision &) = default;
};

/// IPv4 address and port, written as "ip:port".
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  bool empty() const { return ip.empty(); }
  std::string toString() const { return ip + ":" + std::to_string(port); }
  friend auto operator<=>(const Address &, const Address &) = default;
};

/// Parses "ip:port". Returns nothing unless the text is an IPv4 address with a port from 1 to
/// 65535.
std::optional<Address> parseAddress(std::string_view text);

/// Texts of an enum's values. A specialisation has the member
/// `static constexpr std::array<std::string_view, size> Table` in the order of the values.
template <class E> struct EnumNames;

/// Text of `e` from its name table.
template <class E> constexpr std::string_view toString(E e) {
  static_assert(EnumNames<E>::Table.size() == static_cast<std::size_t>(E::Count));
  return EnumNames<E>::Table[static_cast<std::size_t>(e)];
}

/// The value whose text is `text`; nothing if no value has that text.
template <class E> constexpr std::optional<E> parseEnum(std::string_view text) {
  for (std::size_t i = 0; i < EnumNames<E>::Table.size(); ++i)
    if (EnumNames<E>::Table[i] == text)
      return static_cast<E>(i);
  return std::nullopt;
}

/// Whether a request ran, as far as known. Sent to callers in the field `outcome`.
enum class RunOutcome { NotRun, Ran, MayHaveRun, Count };
template <> struct EnumNames<RunOutcome> {
  static constexpr std::array<std::string_view, 3> Table{"not_run", "ran", "may_have_run"};
};

/// Priority class of a plan. A higher class has a larger share of the starts of waiting requests.
enum class Priority { Low, Normal, High, Count };
template <> struct EnumNames<Priority> {
  static constexpr std::array<std::string_view, 3> Table{"low", "normal", "high"};
};

/// State of a host or endpoint in its life cycle.
enum class Liveness { Live, Leaving, Gone, Count };
template <> struct EnumNames<Liveness> {
  static constexpr std::array<std::string_view, 3> Table{"live", "leaving", "gone"};
};

/// Location of the nearest copy of a checkpoint, as seen from one endpoint.
enum class CopySource { Memory, Disk, Remote, Count };
template <> struct EnumNames<CopySource> {
  static constexpr std::array<std::string_view, 3> Table{"memory", "disk", "remote"};
};

/// State of a replica on an endpoint. Intended means that the replica is recorded, but its order
/// may not have been sent or answered yet.
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
