#pragma once

#include "standin_p.h"

#include <random>

/// Stand-in for a plain service that counts its runs.
namespace catkin::standin {

struct ServiceOptions {
  Address listen{"127.0.0.1", 0};
  std::string name = "service";
  Duration delay{0};
  double dropAnswers = 0; ///< share of calls that run but are not answered
  std::uint64_t seed = 1;
};

/// Answers any path with a JSON object that holds the path, the key, the number of the key's run
/// and the hash of the body, so that a caller can tell whether the answer is its own.
class ServiceStandin final : public Standin {
public:
  ServiceStandin(asio::any_io_executor executor, ServiceOptions options);

private:
  asio::awaitable<void> handle(HttpExchange &exchange, const Target &target) override;
  asio::awaitable<void> handleCall(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> listRuns(HttpExchange &exchange, const Target &target);
  asio::awaitable<void> handleControl(HttpExchange &exchange, const Target &target);

  ServiceOptions options;
  std::map<std::string, std::uint64_t> runsByKey; // by idempotency key
  std::uint64_t totalRuns = 0;
  std::uint64_t droppedAnswers = 0;
  std::mt19937_64 random;
};

} // namespace catkin::standin
