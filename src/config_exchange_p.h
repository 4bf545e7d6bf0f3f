#pragma once

#include "http_p.h"
#include "object_follower_p.h"
#include "real_env_p.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Passes the configuration object from host to host as the platform's store gave it, over HTTP. It
/// may be a megabyte, so that it goes neither into a datagram nor through the JSON-RPC codec.
namespace catkin {

/// Reads the configuration of another host. Every callback runs later.
class ConfigSource {
public:
  using Done = std::function<void(std::optional<FeedObject>)>;
  virtual ~ConfigSource() = default;
  /// Empty if that host has none or does not answer.
  virtual void fetch(const Address &from, Done done) = 0;
};

class ConfigExchange : public ConfigSource {
public:
  /// `currentText` gives the text that formatConfigObject() made, or an empty one if this host has
  /// none.
  ConfigExchange(const asio::any_io_executor &executor, const Address &listen,
                 std::function<const std::string &()> currentText);
  /// Empty on success, otherwise the reason.
  std::string start();
  Address address() const { return server.address(); } ///< with the port actually bound
  void fetch(const Address &from, Done done) override;

private:
  asio::awaitable<void> handle(HttpExchange &exchange);

  std::function<const std::string &()> currentText;
  int activeResponses = 0; ///< answers that are being sent
  HttpServer server;
  HttpCaller caller;
};

/// An object as hosts pass it on, and read again. Empty if the text is not one.
std::string formatConfigObject(const FeedObject &object);
std::optional<FeedObject> parseConfigObject(std::string_view text);

} // namespace catkin
