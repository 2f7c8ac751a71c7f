/// \file The entry process: parses its command line and settings, and runs an EntryRuntime.

#include "Config/Settings.h"
#include "Ops/ProcessExit.h"
#include "Runtime.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

constexpr const char *Usage = R"(fireflyswitchd, the entry process of fireflyswitch.

Usage:
  fireflyswitchd --config FILE [--check]
  fireflyswitchd --help

Options:
  --config FILE  Settings, as YAML.
  --check        Only check the settings.
  --help         Show this text.

Exit codes: 0 stopped gracefully or settings valid, 1 failed, 2 bad command line or settings.
)";

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

int serve(const firefly::Settings &settings)
{
    asio::io_context context;
    firefly::EntryRuntime runtime(context, settings);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&runtime](const std::error_code &ec, int) {
        if (!ec) {
            runtime.drain();
        }
    });
    context.run();
    return 0;
}

int run(int argc, char *argv[])
{
    std::map<std::string, docopt::value> options;
    try {
        options = docopt::docopt_parse(Usage, {argv + 1, argv + argc}, true, false);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << Usage;
        return 0;
    } catch (const std::exception &) {
        std::cerr << Usage;
        return ExitBadSettings;
    }
    std::optional<firefly::Settings> settings;
    try {
        settings = firefly::loadSettings(options.at("--config").asString());
    } catch (const firefly::SettingsError &e) {
        std::cerr << e.what() << '\n';
        return ExitBadSettings;
    }
    if (options.at("--check").asBool()) {
        std::cout << "settings are valid\n";
        return 0;
    }
    try {
        return serve(*settings);
    } catch (const std::exception &e) {
        std::cerr << "fireflyswitchd: " << e.what() << '\n';
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char *argv[])
{
    firefly::exitProcess(run(argc, argv));
}
