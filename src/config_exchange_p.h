#pragma once

#include "http_p.h"
#include "object_follower_p.h"
#include "real_env_p.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Transfers the configuration object between hosts over HTTP, unchanged from the platform's store.
/// The object may be a megabyte, which is too large for datagrams and for the JSON-RPC codec.
namespace catkin {

/// Reads the configuration of another host. Callbacks never run inside the call that takes them.
class ConfigSource {
public:
  using Done = std::function<void(std::optional<FeedObject>)>;
  virtual ~ConfigSource() = default;
  /// Fetches the configuration of the host at `from`. `done` gets an empty value if that host has
  /// none or does not answer.
  virtual void fetch(const Address &from, Done done) = 0;
};

/// Serves this host's configuration to other hosts and fetches theirs.
class ConfigExchange : public ConfigSource {
public:
  /// `currentText` returns the output of formatConfigObject() for the current configuration, or an
  /// empty text if this host has none.
  ConfigExchange(const asio::any_io_executor &executor, const Address &listen,
                 std::function<const std::string &()> currentText);
  /// Starts the server. Empty on success, otherwise the reason.
  std::string start();
  /// Returns the listen address with the port that was bound.
  Address address() const { return server.address(); }
  void fetch(const Address &from, Done done) override;

private:
  asio::awaitable<void> handle(HttpExchange &exchange);

  std::function<const std::string &()> currentText;
  int activeResponses = 0; ///< responses that are being sent
  HttpServer server;
  HttpCaller caller;
};

/// Encodes an object for the transfer between hosts.
std::string formatConfigObject(const FeedObject &object);
/// Decodes an object that formatConfigObject() has encoded. Empty if the text is invalid.
std::optional<FeedObject> parseConfigObject(std::string_view text);

} // namespace catkin
