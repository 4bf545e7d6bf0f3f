#pragma once

#include "types_p.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Client of the operators' interface, used by catkinctl.
namespace catkin {

enum class CtlExit {
  Ok,
  Usage,       ///< wrong arguments, unreadable file
  Invalid,     ///< the list has faults
  Conflict,    ///< another operator was first
  NotAccepted, ///< the edit did not take effect
  Unknown,     ///< it could not be found out whether the edit took effect
  Unreachable, ///< no host answered, or the key was refused
  Timeout,     ///< not in force everywhere in time
  Count
};

/// A response of the operators' interface. `received` is false if the connection failed; `sent`
/// tells whether the request may nevertheless have been carried out.
struct OperatorResponse {
  bool received = false;
  bool sent = false;
  int status = 0;
  std::uint64_t revision = 0; ///< from the ETag, 0 if there was none
  std::string body;
};

/// One HTTP request to the operators' interface.
struct OperatorRequest {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::optional<std::uint64_t> ifMatch;
};

using OperatorTransport = std::function<OperatorResponse(const OperatorRequest &)>;

/// HTTP transport that tries the addresses in turn until one can be connected to.
OperatorTransport httpOperatorTransport(std::vector<Address> hosts, std::string key);

/// Result of one command: exit code and text for the terminal.
struct CtlResult {
  CtlExit exit = CtlExit::Ok;
  std::string output;
  std::string error;
};

/// Commands. `list` is "plans" or "uses"; `document` its new text.
CtlResult ctlGet(const OperatorTransport &send, const std::string &list);
CtlResult ctlDiff(const OperatorTransport &send, const std::string &list,
                  const std::string &document);
CtlResult ctlValidate(const OperatorTransport &send, const std::string &list,
                      const std::string &document);
/// Applies a list on top of `revision` (default: the one now in force; 0 before the first edit). A
/// lost reply is resolved by sending the same conditional edit again, of which only one can
/// succeed, and by reading back.
CtlResult ctlApply(const OperatorTransport &send, const std::string &list,
                   const std::string &document, std::optional<std::uint64_t> revision);
/// `asJson` false prints a table.
CtlResult ctlShow(const OperatorTransport &send, const std::string &view, bool asJson);
CtlResult ctlDrain(const OperatorTransport &send, const std::string &kind, const std::string &name,
                   bool undo);
/// Polls until `revision` (0: the newest) is in force on every live host. `sleep` waits between
/// polls.
CtlResult ctlWait(const OperatorTransport &send, std::uint64_t revision, int maxPolls,
                  const std::function<void()> &sleep);

} // namespace catkin
