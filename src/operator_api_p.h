#pragma once

#include "control_p.h"
#include "http_p.h"
#include "log_p.h"

#include <memory>
#include <string>

/// HTTP API of one host for operators: lists, views, drains and recent decisions.
namespace catkin {

struct OperatorApiOptions {
  asio::any_io_executor strand; ///< executor on which Control runs
  Control &control;             ///< must outlive the handler
  const DecisionLog &decisions;
  std::string key; ///< bearer key of operators; if empty, every request is refused
};

/// Makes the request handler of the operators' listener.
HttpHandler makeOperatorHandler(OperatorApiOptions options);

} // namespace catkin
