#include "file_p.h"
#include "operator_client_p.h"
#include "request_explainer_p.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <thread>

namespace {

using namespace catkin;

constexpr auto PollInterval = std::chrono::milliseconds(250);

constexpr auto Examples = R"(Examples:
  catkinctl get plans > plans.json             the list now in force; its revision on stderr
  catkinctl diff plans plans.json              what applying the file would change
  catkinctl validate uses uses.json            errors of a list with their paths
  catkinctl apply plans plans.json --revision 7 --wait
  catkinctl show replicas --output json
  catkinctl drain endpoint drafting-3
  catkinctl wait --revision 8 --timeout 20
  cat logs/* | catkinctl explain 2885a8ab70f703db

Exit codes: 0 done, 1 usage, 2 invalid list, 3 another operator was first, 4 not accepted,
5 unknown whether accepted, 6 no host answered or key refused, 7 not in force in time.
)";

constexpr auto BashCompletion = R"(_catkinctl() {
  local cur=${COMP_WORDS[COMP_CWORD]}
  case ${COMP_WORDS[COMP_CWORD-1]} in
    get|diff|validate|apply) COMPREPLY=($(compgen -W "plans uses" -- "$cur")) ;;
    show) COMPREPLY=($(compgen -W "hosts endpoints models replicas plans decisions config" -- "$cur")) ;;
    drain) COMPREPLY=($(compgen -W "host endpoint" -- "$cur")) ;;
    *) if [ "$COMP_CWORD" -eq 1 ]; then
         COMPREPLY=($(compgen -W "get diff validate apply show drain wait explain completion" -- "$cur"))
       else
         COMPREPLY=($(compgen -f -- "$cur"))
       fi ;;
  esac
}
complete -F _catkinctl catkinctl
)";

struct Options {
  std::vector<std::string> hosts{"127.0.0.1:9400"};
  std::string keyFile;
  std::string output = "table";
  std::string list;
  std::string file;
  std::string view;
  std::string kind;
  std::string name;
  std::optional<std::uint64_t> revision;
  int timeoutSeconds = 30;
  bool wait = false;
  bool undo = false;
};

/// Reads the operator key from a file or from CATKIN_OPERATOR_KEY. There is no flag for the key,
/// because other users of the machine can see the arguments of a process.
std::string readOperatorKey(const Options &options, std::string &error) {
  std::string key;
  if (!options.keyFile.empty())
    readTextFile(options.keyFile, key, error);
  else if (auto *it = std::getenv("CATKIN_OPERATOR_KEY"))
    key = it;
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r'))
    key.pop_back();
  return key;
}

/// Waits until a revision (0: the newest) is in force on every live host, or for the timeout.
CtlResult waitForRevision(const OperatorTransport &send, const Options &options,
                          std::uint64_t revision) {
  auto polls = static_cast<int>(std::chrono::seconds(options.timeoutSeconds) / PollInterval);
  return ctlWait(send, revision, std::max(polls, 1),
                 [] { std::this_thread::sleep_for(PollInterval); });
}

CtlResult applyAndWait(const OperatorTransport &send, const Options &options,
                       const std::string &document) {
  auto result = ctlApply(send, options.list, document, options.revision);
  if (result.exit != CtlExit::Ok || !options.wait)
    return result;
  std::fputs(result.output.c_str(), stdout);
  return waitForRevision(send, options, 0);
}

/// Explains a request by the hosts' logs on standard input.
CtlResult explainRequest(const std::string &id) {
  RequestExplainer explainer(id);
  for (std::string line; std::getline(std::cin, line);)
    explainer.add(line);
  auto text = explainer.explain();
  if (text.empty())
    return {CtlExit::Usage, {}, "no log on standard input contains request " + id};
  return {CtlExit::Ok, std::move(text), {}};
}

/// Prints a result and returns its exit code.
int printResult(const CtlResult &result) {
  std::fputs(result.output.c_str(), stdout);
  if (!result.error.empty())
    std::fprintf(stderr, "catkinctl: %s\n", result.error.c_str());
  return static_cast<int>(result.exit);
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Operators' command line of catkinthread");
  app.footer(Examples);
  app.require_subcommand(1);
  app.fallthrough();
  app.set_version_flag("--version", CATKIN_VERSION);
  app.add_option("--hosts", options.hosts, "Operator addresses of hosts, ip:port; tried in turn")
      ->envname("CATKIN_OPERATOR_HOSTS")
      ->delimiter(',');
  app.add_option("--key-file", options.keyFile,
                 "File with the operator key; else CATKIN_OPERATOR_KEY")
      ->envname("CATKIN_OPERATOR_KEY_FILE");
  app.add_option("--output", options.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));

  auto listArgument = [&](CLI::App *command) {
    command->add_option("list", options.list, "plans or uses")
        ->required()
        ->check(CLI::IsMember({"plans", "uses"}));
  };
  auto fileArgument = [&](CLI::App *command) {
    listArgument(command);
    command->add_option("file", options.file, "File with the list; - for standard input")
        ->required();
  };
  auto *get = app.add_subcommand("get", "Print a list; its revision goes to standard error");
  listArgument(get);
  auto *diff = app.add_subcommand("diff", "Show what applying a file would change");
  fileArgument(diff);
  auto *validate = app.add_subcommand("validate", "Check a list without applying it");
  fileArgument(validate);
  auto *apply = app.add_subcommand("apply", "Replace a list, unless another operator was first");
  fileArgument(apply);
  apply->add_option("--revision", options.revision,
                    "Revision the edit was made on; default: newest");
  apply->add_flag("--wait", options.wait, "Wait until it is in force everywhere");
  auto *show = app.add_subcommand("show", "Show hosts, endpoints, models, replicas, plans, ...");
  show->add_option("view", options.view)
      ->required()
      ->check(CLI::IsMember(
          {"hosts", "endpoints", "models", "replicas", "plans", "decisions", "config"}));
  auto *drain = app.add_subcommand("drain", "Keep new work off a host or endpoint");
  drain->add_option("kind", options.kind)->required()->check(CLI::IsMember({"host", "endpoint"}));
  drain->add_option("name", options.name)->required();
  drain->add_flag("--undo", options.undo, "Allow new work again");
  auto *wait = app.add_subcommand("wait", "Wait until a revision is in force on every live host");
  wait->add_option("--revision", options.revision, "Default: the newest");
  for (auto *it : {wait, apply})
    it->add_option("--timeout", options.timeoutSeconds, "Seconds to wait")
        ->check(CLI::Range(1, 3600));
  auto *explain = app.add_subcommand(
      "explain", "Explain why a request failed, from hosts' logs on standard input");
  explain->add_option("id", options.name, "Request id")->required();
  auto *completion = app.add_subcommand("completion", "Print a completion script for bash");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &e) {
    // CLI11 reports a missing command first, although an unknown option is the likely cause.
    const auto unknown = app.remaining();
    if (!unknown.empty() && dynamic_cast<const CLI::RequiredError *>(&e))
      return printResult({CtlExit::Usage, {}, "unknown option or command: " + unknown.front()});
    return app.exit(e) == 0 ? 0 : static_cast<int>(CtlExit::Usage);
  }
  if (completion->parsed())
    return printResult({CtlExit::Ok, BashCompletion, {}});

  if (explain->parsed())
    return printResult(explainRequest(options.name));

  std::vector<Address> hosts;
  for (auto &it : options.hosts) {
    auto address = parseAddress(it);
    if (!address)
      return printResult({CtlExit::Usage, {}, "--hosts: \"" + it + "\" is not ip:port"});
    hosts.push_back(*address);
  }
  std::string error = "no operator key: set CATKIN_OPERATOR_KEY or --key-file";
  auto key = readOperatorKey(options, error);
  if (key.empty())
    return printResult({CtlExit::Usage, {}, error});
  std::string document;
  if (!options.file.empty() && !readTextFile(options.file, document, error))
    return printResult({CtlExit::Usage, {}, error});

  auto send = httpOperatorTransport(hosts, key);
  if (get->parsed())
    return printResult(ctlGet(send, options.list));
  if (diff->parsed())
    return printResult(ctlDiff(send, options.list, document));
  if (validate->parsed())
    return printResult(ctlValidate(send, options.list, document));
  if (apply->parsed())
    return printResult(applyAndWait(send, options, document));
  if (show->parsed())
    return printResult(ctlShow(send, options.view, options.output == "json"));
  if (drain->parsed())
    return printResult(ctlDrain(send, options.kind, options.name, options.undo));
  return printResult(waitForRevision(send, options, options.revision.value_or(0)));
}
