#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <utility>

/// Adapts callback-based operations to coroutines.
namespace catkin {

/// Calls `start` with a completion function and suspends the coroutine until that function has been
/// called. The function takes the result and must be called exactly once, from any thread. The
/// coroutine resumes on its own executor and returns the result.
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
