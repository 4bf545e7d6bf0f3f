#pragma once

#include "types_p.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Client of the operators' API, used by catkinctl.
namespace catkin {

/// Exit codes of catkinctl.
enum class CtlExit {
  Ok,
  Usage,       ///< wrong arguments or unreadable file
  Invalid,     ///< the list has errors
  Conflict,    ///< another operator was first
  NotAccepted, ///< the edit did not take effect
  Unknown,     ///< the edit may or may not have taken effect
  Unreachable, ///< no host answered, or the key was refused
  Timeout,     ///< the revision was not in force on every host in time
  Count
};

/// A response of the operators' API. `received` is false if no response came; `sent` then tells
/// whether the request may nevertheless have been carried out.
struct OperatorResponse {
  bool received = false;
  bool sent = false;
  int status = 0;
  std::uint64_t revision = 0; ///< from the ETag; 0 without one
  std::string body;
};

/// One HTTP request to the operators' API.
struct OperatorRequest {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::optional<std::uint64_t> ifMatch; ///< revision that the edit is based on
};

using OperatorTransport = std::function<OperatorResponse(const OperatorRequest &)>;

/// Makes an HTTP transport that tries the addresses in turn until a connection is made. A request
/// that may have been carried out is not sent to another address.
OperatorTransport httpOperatorTransport(std::vector<Address> hosts, std::string key);

/// Result of a command: exit code and text for the terminal.
struct CtlResult {
  CtlExit exit = CtlExit::Ok;
  std::string output;
  std::string error;
};

// Commands. `list` is "plans" or "uses", `document` its new text.

/// Prints a list as it is in force.
CtlResult ctlGet(const OperatorTransport &send, const std::string &list);
/// Prints the differences between the list in force and `document`.
CtlResult ctlDiff(const OperatorTransport &send, const std::string &list,
                  const std::string &document);
/// Checks `document` without applying it.
CtlResult ctlValidate(const OperatorTransport &send, const std::string &list,
                      const std::string &document);
/// Applies a list on top of `revision` (default: the one in force; 0 before the first edit). After
/// a lost reply, the same conditional edit is sent again, of which only one can succeed, and the
/// list is read back.
CtlResult ctlApply(const OperatorTransport &send, const std::string &list,
                   const std::string &document, std::optional<std::uint64_t> revision);
/// Prints a view as a table, or as JSON if `asJson` is set.
CtlResult ctlShow(const OperatorTransport &send, const std::string &view, bool asJson);
/// Starts to drain a host or endpoint, or ends the drain if `undo` is set. `kind` is "host" or
/// "endpoint".
CtlResult ctlDrain(const OperatorTransport &send, const std::string &kind, const std::string &name,
                   bool undo);
/// Polls until `revision` (0: the newest) is in force on every live host, at most `maxPolls` times.
/// `sleep` waits between two polls.
CtlResult ctlWait(const OperatorTransport &send, std::uint64_t revision, int maxPolls,
                  const std::function<void()> &sleep);

} // namespace catkin
