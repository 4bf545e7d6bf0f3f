#pragma once

#include "standin_p.h"

#include <random>

/// Stand-in for a plain HTTP service that counts the calls that it runs.
namespace catkin::standin {

/// Settings of a service.
struct ServiceOptions {
  Address listen{"127.0.0.1", 0};
  std::string name = "service";
  Duration delay{0};      ///< from the run to the response
  double dropAnswers = 0; ///< share of calls that run but get no response
  std::uint64_t seed = 1;
};

/// Responds on any path with the path, the idempotency key, the number of runs of the key and the
/// hash of the body. A caller can thus check that the response belongs to its request.
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
