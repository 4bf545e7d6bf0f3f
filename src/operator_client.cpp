#include "operator_client_p.h"

#include "json_p.h"
#include "list_diff_p.h"

#include <algorithm>

namespace catkin {

namespace {

// Enough to last through a failover of the host that receives the requests.
constexpr int MaxApplyAttempts = 5;

std::string listTarget(const std::string &list) { return "/operator/v1/lists/" + list; }

CtlResult fail(CtlExit exit, std::string error) { return {exit, {}, std::move(error)}; }

/// Formats a problem+json body for the terminal: title, detail and each error with its path.
std::string describeProblem(const OperatorResponse &response) {
  json::object object;
  if (!parseObject(response.body, object))
    return "status " + std::to_string(response.status);
  JsonReader in(object);
  auto text = in.text("title");
  if (auto detail = in.text("detail"); !detail.empty())
    text += ": " + detail;
  in.objects("errors",
             [&](JsonReader &it) { text += "\n  " + it.text("path") + ": " + it.text("message"); });
  return text;
}

/// Result of a command whose request failed.
CtlResult errorResult(const OperatorResponse &response) {
  if (!response.received)
    return fail(CtlExit::Unreachable, "no host answered");
  if (response.status == 401)
    return fail(CtlExit::Unreachable, "the operator key was refused");
  if (response.status == 412)
    return fail(CtlExit::Conflict, "another operator was first; the current revision is " +
                                       std::to_string(response.revision));
  if (response.status == 422)
    return fail(CtlExit::Invalid, describeProblem(response));
  if (response.status == 404)
    return fail(CtlExit::Usage, describeProblem(response));
  return fail(CtlExit::NotAccepted, describeProblem(response));
}

bool isSameDocument(const std::string &a, const std::string &b) {
  std::vector<DiffLine> lines;
  return diffLists(a, b, lines) && lines.empty();
}

/// Resolves an edit whose first reply was lost and whose repetition was refused because its base
/// revision is no longer current. Reads the list back to find out whether this edit or another
/// operator's edit took effect.
CtlResult resolveLostReply(const OperatorTransport &send, const std::string &list,
                           const std::string &document, std::uint64_t base) {
  auto now = send({.target = listTarget(list)});
  if (!now.received || now.status != 200)
    return fail(CtlExit::Unknown, "the reply was lost and the list could not be read back");
  if (isSameDocument(now.body, document))
    return {CtlExit::Ok,
            "accepted as revision " + std::to_string(now.revision) + " (found by reading back)\n",
            {}};
  if (now.revision == base + 1)
    return fail(CtlExit::Conflict, "not accepted: another operator's edit is revision " +
                                       std::to_string(now.revision));
  return fail(CtlExit::Unknown, "the reply was lost and revision " + std::to_string(now.revision) +
                                    " is in force; the edit may have been accepted and replaced");
}

std::string formatCell(const json::value &v) {
  if (v.is_string())
    return std::string(std::string_view(v.get_string()));
  return json::serialize(v);
}

/// Formats an array of objects with the same fields as a table.
std::string formatTable(const json::array &rows) {
  if (rows.empty() || !rows[0].is_object())
    return "(none)\n";
  std::vector<std::vector<std::string>> lines(1);
  for (auto &it : rows[0].get_object())
    lines[0].emplace_back(std::string_view(it.key()));
  for (auto &row : rows) {
    lines.emplace_back();
    for (auto &it : row.get_object())
      lines.back().push_back(formatCell(it.value()));
  }
  std::vector<std::size_t> widths(lines[0].size());
  for (auto &line : lines)
    for (std::size_t i = 0; i < std::min(line.size(), widths.size()); ++i)
      widths[i] = std::max(widths[i], line[i].size());
  std::string out;
  for (auto &line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      out += line[i];
      if (i + 1 < line.size() && i < widths.size())
        out.append(widths[i] - line[i].size() + 2, ' ');
    }
    out += '\n';
  }
  return out;
}

} // namespace

CtlResult ctlGet(const OperatorTransport &send, const std::string &list) {
  auto response = send({.target = listTarget(list)});
  if (!response.received || response.status != 200)
    return errorResult(response);
  return {CtlExit::Ok, response.body + "\n", "revision " + std::to_string(response.revision)};
}

CtlResult ctlDiff(const OperatorTransport &send, const std::string &list,
                  const std::string &document) {
  auto response = send({.target = listTarget(list)});
  if (!response.received || response.status != 200)
    return errorResult(response);
  std::vector<DiffLine> lines;
  if (!diffLists(response.body, document, lines))
    return fail(CtlExit::Invalid, "the list is not a JSON object");
  CtlResult result;
  for (auto &it : lines)
    result.output += formatDiff(it) + "\n";
  if (lines.empty())
    result.output = "no difference from revision " + std::to_string(response.revision) + "\n";
  return result;
}

CtlResult ctlValidate(const OperatorTransport &send, const std::string &list,
                      const std::string &document) {
  auto response =
      send({.method = "POST", .target = listTarget(list) + "/validate", .body = document});
  if (!response.received || response.status != 200)
    return errorResult(response);
  return {CtlExit::Ok, "valid\n", {}};
}

CtlResult ctlApply(const OperatorTransport &send, const std::string &list,
                   const std::string &document, std::optional<std::uint64_t> revision) {
  if (!revision) {
    auto current = send({.target = listTarget(list)});
    if (!current.received || current.status != 200)
      return errorResult(current);
    revision = current.revision;
  }
  bool replyLost = false;
  for (int i = 0; i < MaxApplyAttempts; ++i) {
    auto response =
        send({.method = "PUT", .target = listTarget(list), .body = document, .ifMatch = revision});
    if (response.received && response.status == 200)
      return {CtlExit::Ok, "accepted as revision " + std::to_string(response.revision) + "\n", {}};
    if (response.received && response.status == 412 && replyLost)
      return resolveLostReply(send, list, document, *revision);
    // 504: the host does not know either whether the platform has written the edit.
    bool unknown = (!response.received && response.sent) || response.status == 504;
    if (!unknown)
      return replyLost ? fail(CtlExit::Unknown,
                              "the reply was lost; then: " + errorResult(response).error)
                       : errorResult(response);
    replyLost = true;
  }
  return fail(CtlExit::Unknown,
              "every reply was lost; check the outcome later with `catkinctl get`");
}

CtlResult ctlShow(const OperatorTransport &send, const std::string &view, bool asJson) {
  auto response = send({.target = "/operator/v1/" + view});
  if (!response.received || response.status != 200)
    return errorResult(response);
  json::object object;
  if (asJson || !parseObject(response.body, object))
    return {CtlExit::Ok, response.body + "\n", {}};
  std::string out;
  for (auto &it : object) {
    if (it.value().is_array())
      out += formatTable(it.value().get_array());
    else
      out += std::string(std::string_view(it.key())) + ": " + formatCell(it.value()) + "\n";
  }
  return {CtlExit::Ok, out, {}};
}

CtlResult ctlDrain(const OperatorTransport &send, const std::string &kind, const std::string &name,
                   bool undo) {
  auto body = json::serialize(
      json::object{{json::string_view(kind.data(), kind.size()), name}, {"on", !undo}});
  auto response = send({.method = "POST", .target = "/operator/v1/drain", .body = body});
  if (!response.received || response.status != 200)
    return errorResult(response);
  return {
      CtlExit::Ok, kind + " " + name + (undo ? " is no longer draining\n" : " is draining\n"), {}};
}

CtlResult ctlWait(const OperatorTransport &send, std::uint64_t revision, int maxPolls,
                  const std::function<void()> &sleep) {
  std::string behind = "no host answered";
  for (int i = 0; i < maxPolls; ++i) {
    auto response = send({.target = "/operator/v1/config"});
    json::object object;
    if (response.received && response.status == 200 && parseObject(response.body, object)) {
      JsonReader in(object);
      auto newest = in.unsignedInt("revision");
      auto wanted = revision == 0 ? newest : revision;
      behind.clear();
      in.objects("hosts", [&](JsonReader &it) {
        auto host = it.text("host");
        if (it.unsignedInt("revision") < wanted || !it.flag("shares_applied"))
          behind += (behind.empty() ? "" : ", ") + host;
      });
      if (behind.empty() && newest >= wanted)
        return {
            CtlExit::Ok, "revision " + std::to_string(wanted) + " is in force everywhere\n", {}};
    }
    sleep();
  }
  return fail(CtlExit::Timeout, "not yet in force on: " + behind);
}

} // namespace catkin
