#pragma once

#include "object_store_p.h"
#include "standin_p.h"

#include <array>
#include <random>

/// Stand-in for the platform: object API, list of hosts and endpoints, and fault injection.
namespace catkin::standin {

/// Settings of the platform.
struct PlatformOptions {
  Address listen{"127.0.0.1", 0};
  double writesPerSecond = 400;
  double readsPerSecond = 2000;
  Duration nodeLag = std::chrono::seconds(1); ///< delay until a change is listed
  std::vector<ListedNode> nodes;              ///< listed from the start, without delay
};

/// Parses the entries of {"nodes":[...]}. Empty if an entry is invalid; `error` then says why.
std::optional<std::vector<ListedNode>> parseNodes(const json::object &body, std::string &error);

/// Calls counted in /control/stats.
enum class CallKind { Get, List, Put, Erase, Watch, Nodes, Refused, LostReply, Count };

/// HTTP server of the simulated platform.
class PlatformStandin final : public Standin {
public:
  PlatformStandin(asio::any_io_executor executor, const PlatformOptions &options);

private:
  using NodeMap = std::map<std::string, ListedNode>;
  /// Injected faults.
  struct Faults {
    bool down = false;      ///< abort all calls
    Duration delay{0};      ///< added to each call
    double loseReplies = 0; ///< share of writes that are applied without a response
  };

  asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) override;
  asio::awaitable<void> getObject(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> listObjects(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> putObject(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> eraseObject(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> getNodes(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> setFaults(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> setNodes(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> getStats(HttpExchange &exchange, const Target &target);

  asio::awaitable<bool> admit(HttpExchange &exchange, CallKind kind);
  asio::awaitable<void> watch(HttpExchange &exchange, const std::string &key, std::uint64_t after,
                              Duration wait);
  asio::awaitable<void> answerWriteResult(HttpExchange &exchange, const std::string &key,
                                          std::pair<StoreStatus, std::uint64_t> result);
  bool shouldLoseReply();
  std::uint64_t &counter(CallKind kind) { return counts[static_cast<std::size_t>(kind)]; }

  ObjectStore store;
  Waiters watchers;
  CallBudget writeBudget;
  CallBudget readBudget;
  Lagged<NodeMap> nodes;
  Faults faults;
  std::mt19937_64 random{1};
  std::array<std::uint64_t, static_cast<std::size_t>(CallKind::Count)> counts{};
  std::uint64_t waitingWatches = 0;
};

} // namespace catkin::standin

template <> struct catkin::EnumNames<catkin::standin::CallKind> {
  static constexpr std::array<std::string_view, 8> Table{
      "get", "list", "put", "erase", "watch", "nodes", "refused", "lost_replies"};
};
