#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

/// Bridges between callbacks and coroutines.
namespace catkin {

/// Waits for a callback. `start` is called with a function that must be called exactly once, from
/// any thread, with the result; the coroutine then goes on on its own executor.
template <class Result, class Start> boost::asio::awaitable<Result> waitForCallback(Start start) {
  auto initiate = [](auto handler, Start begin) {
    auto executor = boost::asio::get_associated_executor(handler);
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    begin([executor, shared](Result result) {
      boost::asio::post(executor, [shared, result = std::move(result)]() mutable {
        std::move (*shared)(std::move(result));
      });
    });
  };
  co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                                 void(Result)>(
      std::move(initiate), boost::asio::use_awaitable, std::move(start));
}

} // namespace catkin
