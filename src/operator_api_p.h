#pragma once

#include "control_p.h"
#include "http_p.h"
#include "log_p.h"

#include <memory>
#include <string>

/// The operators' interface of one host: lists, views, drains and recent decisions.
namespace catkin {

struct OperatorApiOptions {
  asio::any_io_executor strand; ///< the executor that Control lives on
  Control &control;             ///< must outlive the handler
  const DecisionLog &decisions;
  std::string key; ///< bearer key of operators; without one every request is refused
};

/// Handler for the operators' listener.
HttpHandler makeOperatorHandler(OperatorApiOptions options);

} // namespace catkin
