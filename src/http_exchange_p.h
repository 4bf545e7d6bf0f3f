#pragma once

#include "http_connection_p.h"
#include "real_env_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>

#include <memory>

/// The exchange that the HTTP server passes to its handler. Private to the server.
namespace catkin {

/// The exchange of one request. Exists for the duration of Connection::handleRequest.
class ConnectionExchange final : public HttpExchange {
public:
  explicit ConnectionExchange(HttpConnection &c)
      : connection(c), chunked(c.request.version() >= 11) {}

  const HttpRequest &request() const override { return connection.request; }
  Address remoteAddress() const override { return connection.peer; }
  std::uint64_t connectionId() const override { return connection.id; }
  bool isCallerGone() const override { return connection.disconnected; }
  void onCallerGone(const std::function<void()> &handler) override {
    connection.disconnectHandler = handler;
  }
  void abort() override { aborted = true; }

  asio::awaitable<bool> respond(HttpResponse response) override {
    if (responded || aborted)
      co_return false;
    responded = true;
    ended = true;
    setKeepAlive(response);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    const bool headOnly = connection.request.method() == http::verb::head;
    const auto memory = holdUnread(response.body().size());
    co_return co_await connection.write([&](Socket &s) -> asio::awaitable<Error> {
      if (headOnly) {
        auto [ec, n] = co_await http::async_write_header(s, serializer, Tuple);
        co_return ec;
      }
      while (!serializer.is_done()) {
        auto [ec, n] = co_await http::async_write_some(s, serializer, Tuple);
        if (ec)
          co_return ec;
        if (memory)
          memory->recordProgress(steadyNow());
      }
      co_return Error{};
    });
  }

  asio::awaitable<bool> startStream(HttpResponse head) override {
    if (responded || aborted)
      co_return false;
    responded = true;
    http::response<http::empty_body> message(std::move(head.base()));
    message.erase(http::field::content_length);
    keepAlive = chunked; // the end of the connection marks the end of an HTTP/1.0 body
    setKeepAlive(message);
    message.chunked(chunked);
    http::response_serializer<http::empty_body> serializer(message);
    co_return co_await connection.write([&](Socket &s) -> asio::awaitable<Error> {
      auto [ec, n] = co_await http::async_write_header(s, serializer, Tuple);
      co_return ec;
    });
  }

  asio::awaitable<bool> writeChunk(std::string_view data) override {
    if (!responded || ended || aborted)
      co_return false;
    if (data.empty())
      co_return !connection.disconnected; // an empty chunk would end the body
    const asio::const_buffer bytes(data.data(), data.size());
    co_return co_await connection.write([&](Socket &s) -> asio::awaitable<Error> {
      if (chunked) {
        auto [ec, n] = co_await asio::async_write(s, http::make_chunk(bytes), Tuple);
        co_return ec;
      }
      auto [ec, n] = co_await asio::async_write(s, bytes, Tuple);
      co_return ec;
    });
  }

  asio::awaitable<bool> endStream() override {
    if (!responded || ended || aborted)
      co_return false;
    ended = true;
    if (!chunked)
      co_return !connection.disconnected;
    co_return co_await connection.write([&](Socket &s) -> asio::awaitable<Error> {
      auto [ec, n] = co_await asio::async_write(s, http::make_chunk_last(), Tuple);
      co_return ec;
    });
  }

  /// True if the connection can serve another request.
  bool isReusable() const { return responded && ended && keepAlive && !aborted; }
  bool needsResponse() const { return !responded && !aborted; }

private:
  using Socket = asio::ip::tcp::socket;
  using Error = boost::system::error_code;
  static constexpr auto Tuple = asio::as_tuple(asio::use_awaitable);
  /// Smaller answers are sent with one write, and their memory is not worth counting.
  static constexpr std::size_t MinCountedAnswer = 16 * 1024;

  /// Counts an answer until the caller has taken it. If memory is needed and the caller reads
  /// nothing, the connection is closed.
  std::unique_ptr<MemoryBudget::Holder> holdUnread(std::size_t bytes) const {
    if (!connection.ownMemory || bytes < MinCountedAnswer)
      return nullptr;
    auto holder =
        std::make_unique<MemoryBudget::Holder>(*connection.state->memory, MemoryKind::UnreadAnswer,
                                               connection.onStrand(&HttpConnection::close));
    holder->charge(bytes, steadyNow());
    return holder;
  }

  /// Sets the HTTP version and the Connection header of a response.
  template <class Message> void setKeepAlive(Message &message) {
    keepAlive = keepAlive && message.keep_alive() && connection.request.keep_alive() &&
                !connection.state->draining && !connection.state->stopping;
    message.version(connection.request.version());
    message.keep_alive(keepAlive);
  }

  HttpConnection &connection;
  const bool chunked;
  bool responded = false;
  bool ended = false;
  bool aborted = false;
  bool keepAlive = true;
};

} // namespace catkin
