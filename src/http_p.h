#pragma once

#include "types_p.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 server and client based on Boost.Beast and Asio coroutines. Both support streamed
/// responses, and the client reuses idle connections. Used by the daemon, the tools and the
/// stand-ins.
namespace catkin {

class MemoryBudget;

namespace asio = boost::asio;
namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// ---- Server ------------------------------------------------------------------------------------

/// One request and the response to it.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest &request() const = 0;
  /// Address of the caller's end of the connection; empty if unknown.
  virtual Address remoteAddress() const = 0;
  /// Number of the connection. The server numbers connections from 1 in the order in which it
  /// accepts them. 0 if unknown.
  virtual std::uint64_t connectionId() const { return 0; }
  /// Sends a complete response. Returns false if the caller has disconnected.
  virtual asio::awaitable<bool> respond(HttpResponse response) = 0;
  /// Starts a chunked response. The body of `head` is ignored. Returns false if the caller has
  /// disconnected.
  virtual asio::awaitable<bool> startStream(HttpResponse head) = 0;
  /// Sends one part of the body. Returns false if the caller has disconnected.
  virtual asio::awaitable<bool> writeChunk(std::string_view data) = 0;
  /// Ends a chunked response. Returns false if the caller has disconnected.
  virtual asio::awaitable<bool> endStream() = 0;
  /// Returns true once the caller has closed the connection or its sending side. This is detected
  /// while a response is pending, unless the caller has pipelined its next request.
  virtual bool isCallerGone() const = 0;
  /// Sets a function that is called once when the caller is found to have disconnected. An empty
  /// function removes the handler.
  virtual void onCallerGone(const std::function<void()> &handler) { (void)handler; }
  /// Closes the connection after this exchange without ending the stream, so that the caller sees a
  /// truncated response.
  virtual void abort() = 0;
};

using HttpHandler = std::function<asio::awaitable<void>(HttpExchange &)>;

struct HttpServerOptions {
  Address listen; ///< port 0 selects a free port
  std::size_t maxHeaderBytes = 16 * 1024;
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 4096;
  Duration readTimeout = std::chrono::seconds(10);  ///< for one whole request from its first byte
  Duration idleTimeout = std::chrono::seconds(60);  ///< between requests
  Duration writeTimeout = std::chrono::seconds(30); ///< for sending one response or chunk
  /// Limit of the memory for all request bodies together, if `memory` is null. A request that would
  /// exceed it is rejected with 503.
  std::size_t maxBufferedBytes = 32 * 1024 * 1024;
  /// Account of the process, in which connections, heads, bodies and unread answers are counted.
  /// If null, the server has one of its own, for bodies only.
  std::shared_ptr<MemoryBudget> memory;
};

/// The connections of a server.
struct HttpConnectionCounts {
  std::size_t open = 0;
  std::uint64_t refused = 0; ///< with 503, since the server was at its limit
  std::uint64_t evicted = 0; ///< idle ones that were closed for new ones
};

/// Returns an application/problem+json response. A `retryAfter` above zero adds a Retry-After
/// header, rounded up to whole seconds.
HttpResponse problemResponse(unsigned status, RunOutcome outcome, std::string_view detail,
                             Duration retryAfter = Duration::zero());
/// Returns a 200 response with a JSON body.
HttpResponse jsonResponse(std::string body);

/// HTTP/1.1 server that runs a handler for every request.
///
/// Malformed, oversized or slow requests are rejected with 400, 413, 431 or 408 as problem+json
/// with outcome not_run, and the connection is closed. At the limit of connections, the one that
/// has been idle longest is closed for a new one; if there is none, the new one is rejected with
/// 503. Each connection runs on its own strand, and a handler must use its exchange only on that
/// strand. If a handler throws or returns without a response, the server sends 500 with outcome
/// may_have_run. The server must be destroyed before the execution context, and the handler's
/// captures must live as long as the context runs.
class HttpServer {
public:
  HttpServer(asio::any_io_executor executor, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  /// Binds the address and starts accepting connections. Returns an empty string on success,
  /// otherwise the reason of the failure.
  std::string start();
  Address address() const; ///< listen address with the bound port
  /// Closes each connection after its next response, which carries "Connection: close". The server
  /// still accepts connections and handles requests.
  void drainConnections();
  /// Stops accepting connections and closes those without a request in progress.
  void stopAccepting();
  /// Number of open connections.
  std::size_t connectionCount() const;
  HttpConnectionCounts connectionCounts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

// ---- Client ------------------------------------------------------------------------------------

/// How a request to a server ended on the connection. Independent of the status code of the
/// response.
enum class HttpTransferStatus {
  Ok,           ///< a response arrived, with any status code
  NotConnected, ///< no byte of the request was sent
  Broken,       ///< the connection closed before the response was complete
  Silent,       ///< no byte arrived within the silence timeout
  Timeout,      ///< the overall timeout passed
  Malformed,    ///< the response was not valid HTTP or was too large
  Count
};
template <> struct EnumNames<HttpTransferStatus> {
  static constexpr std::array<std::string_view, 6> Table{"ok",     "not_connected", "broken",
                                                         "silent", "timeout",       "malformed"};
};

struct HttpTimeouts {
  Duration connect = std::chrono::milliseconds(500);
  Duration silence = std::chrono::seconds(2); ///< longest time without progress after connecting
  Duration total = std::chrono::seconds(30);
  /// Connections that have been idle for longer are not reused.
  Duration maxIdleForReuse = std::chrono::seconds(30);
};

struct HttpResult {
  HttpTransferStatus status = HttpTransferStatus::NotConnected;
  HttpResponse response;
};

/// A response whose body is read in pieces. Destroying the object before the body is complete
/// closes the connection, which cancels the request at the endpoint.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  virtual HttpTransferStatus status() const = 0; ///< status of the transfer so far
  virtual const http::response_header<> &head() const = 0;
  /// Reads the next piece of the body. An empty string means the end of the body or a failure,
  /// which `status` distinguishes.
  virtual asio::awaitable<std::string> read() = 0;
  /// Closes the connection. The status of a pending read becomes Broken.
  virtual void cancel() = 0;
  /// Returns true if the connection had served other requests before.
  virtual bool isOnReusedConnection() const = 0;
  /// Returns true if the peer keeps the connection open after the response.
  virtual bool keepsConnection() const = 0;
  /// Ends the use of the connection. No further response can be read.
  virtual void release() = 0;
  /// Sends a further request on the connection, which then is not reused, before the stream is
  /// destroyed. Its response follows those to earlier requests. Only for streams opened with
  /// StreamHooks::mayReadFurther. Returns false if the connection has failed.
  virtual asio::awaitable<bool> sendFurther(HttpRequest request) = 0;
  /// Discards the rest of the response and reads the head of the next one, which then is head().
  /// Only for streams opened with StreamHooks::mayReadFurther. Returns false if there is none,
  /// since the peer ends the connection or it has failed.
  virtual asio::awaitable<bool> readNextHead() = 0;
};

/// Callbacks of a streamed request. Either may be empty.
struct StreamHooks {
  /// Receives the stream before the request is sent, so that it can be cancelled while the client
  /// waits for the head of the response. The pointer is valid until the stream that open() returns
  /// is destroyed.
  std::function<void(HttpStream *)> started;
  /// Called when the silence timeout has passed, and then at short intervals. Returns true if the
  /// request should fail as Silent, false to continue waiting. If empty, the request fails.
  std::function<bool()> shouldFailOnSilence;
  /// Keeps the connection for the stream after the end of the response, until the stream is
  /// destroyed.
  bool mayReadFurther = false;
  /// Called when the request has been sent and its body takes no memory any more.
  std::function<void()> requestSent;
};

/// HTTP/1.1 client that keeps idle connections per address.
///
/// A request on a reused connection that fails before any byte of the response has arrived is not
/// retried, except if the peer had closed the connection before the request was sent. Calls may
/// come from several strands, but the calling coroutine must run on a strand or a single-threaded
/// executor.
class HttpClient {
public:
  static constexpr std::size_t MaxResponseBytes = 16 * 1024 * 1024;

  static constexpr std::size_t MaxConnections = 4096;

  /// Closes idle connections that would exceed `maxConnections` together with those in use.
  explicit HttpClient(asio::any_io_executor executor, std::size_t maxConnections = MaxConnections);
  ~HttpClient();
  /// Sends a request and reads the whole response. A response body longer than `maxBodyBytes` ends
  /// the request as Malformed.
  asio::awaitable<HttpResult> request(Address to, HttpRequest request, HttpTimeouts timeouts,
                                      std::size_t maxBodyBytes = MaxResponseBytes);
  /// Sends a request and reads the head of the response. The returned stream is never null; its
  /// status tells whether the request succeeded.
  asio::awaitable<std::unique_ptr<HttpStream>> open(Address to, HttpRequest request,
                                                    HttpTimeouts timeouts, StreamHooks hooks = {});
  /// Closes the idle connections to an address. Used after a connection to it has become silent.
  void closeIdleConnections(const Address &to);

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace catkin
