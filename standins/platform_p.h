#pragma once

#include "object_store_p.h"
#include "standin_p.h"

#include <array>
#include <random>

/// Stand-in for the platform: object API, list of hosts and endpoints, fault injection.
namespace catkin::standin {

struct PlatformOptions {
  Address listen{"127.0.0.1", 0};
  double writesPerSecond = 400;
  double readsPerSecond = 2000;
  Duration nodeLag = std::chrono::seconds(1);
  std::vector<ListedNode> nodes; ///< known from the start, without lag
};

/// Parses the entries of {"nodes":[...]}. Nothing if one is invalid; `error` then names the field.
std::optional<std::vector<ListedNode>> parseNodes(const json::object &body, std::string &error);

enum class CallKind { Get, List, Put, Erase, Watch, Nodes, Refused, LostReply, Count };

class PlatformStandin final : public Standin {
public:
  PlatformStandin(asio::any_io_executor executor, const PlatformOptions &options);

private:
  using NodeMap = std::map<std::string, ListedNode>;
  struct Faults {
    bool down = false;
    Duration delay{0};
    double loseReplies = 0;
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
