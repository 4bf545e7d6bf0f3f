#pragma once

#include "standin_p.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <string>

/// Settings and main loop of a stand-in program.
namespace catkin::standin {

/// Adds the setting `--<name>` with the environment variable CATKIN_<NAME>.
template <class T>
CLI::Option *addSetting(CLI::App &app, const std::string &name, T &value, const std::string &help) {
  std::string variable = "CATKIN_" + name;
  std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char c) {
    return c == '-' ? '_' : static_cast<char>(std::toupper(c));
  });
  CLI::Option *option = nullptr;
  if constexpr (std::is_same_v<T, bool>)
    option = app.add_flag("--" + name + ",!--no-" + name, value, help);
  else
    option = app.add_option("--" + name, value, help);
  return option->envname(variable)->capture_default_str();
}

/// Parses "ip:port", where the port may be 0.
inline std::optional<Address> parseListen(const std::string &text) {
  if (text.ends_with(":0")) {
    auto address = parseAddress(text.substr(0, text.size() - 1) + "1");
    if (address)
      address->port = 0;
    return address;
  }
  return parseAddress(text);
}

/// Converts milliseconds with a fraction.
inline Duration fromFractionalMillis(double n) { return fromSeconds(n / 1000); }

/// Runs the stand-in that `make(executor, listen)` creates until SIGTERM or SIGINT. Prints its
/// address as a JSON line on standard error once it listens. Returns the exit code.
template <class Make>
int runStandin(const std::string &program, const std::string &listen, Make make) {
  const auto address = parseListen(listen);
  if (!address) {
    std::fprintf(stderr, "%s: --listen must be ip:port\n", program.c_str());
    return 2;
  }
  asio::io_context context(1);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  auto standin = make(context.get_executor(), *address);
  if (const auto reason = standin->start(); !reason.empty()) {
    std::fprintf(stderr, "%s: %s\n", program.c_str(), reason.c_str());
    return 1;
  }
  const auto line = json::serialize(json::object{
      {"event", "listening"}, {"program", program}, {"address", standin->address().toString()}});
  std::fprintf(stderr, "%s\n", line.c_str());
  context.run();
  return 0;
}

} // namespace catkin::standin
