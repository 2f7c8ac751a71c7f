/// \file Scheduler process on the users' platform: reads the settings and runs a NodeRuntime.

#include "Node.h"
#include "Ops/ProcessExit.h"
#include "platform/SettingsFile.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr const char *Usage = R"(fireflynode, a scheduler process on the users' platform.

Usage:
  fireflynode [--settings FILE] [--check]
  fireflynode --help

Options:
  --settings FILE  Settings, as YAML; otherwise the file that FIREFLYSWITCH_BOOT names.
  --check          Only check the settings.
  --help           Show this text.

Exit codes: 0 stopped gracefully or settings valid, 1 failed, 2 bad command line or settings.
)";

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

std::string settingsPath(const std::map<std::string, docopt::value> &options)
{
    const docopt::value &fileOption = options.at("--settings");
    if (fileOption) {
        return fileOption.asString();
    }
    const char *path = std::getenv(firefly::platform::SettingsPathVariable);
    if (!path) {
        throw firefly::NodeSettingsError(std::string("neither --settings nor ")
                                         + firefly::platform::SettingsPathVariable + " is given");
    }
    return path;
}

/// The signals that the process handles; what arrives before serve() waits for them is kept.
struct Signals
{
    explicit Signals(asio::io_context &context)
        : stop(context, SIGTERM, SIGINT)
        , reload(context, SIGHUP)
    {}

    asio::signal_set stop;
    asio::signal_set reload;
};

int serve(asio::io_context &context, Signals &signals, const std::string &path,
          const firefly::NodeSettings &settings)
{
    firefly::NodeRuntime runtime(context, settings);
    signals.stop.async_wait([&runtime](const std::error_code &ec, int) {
        if (!ec) {
            runtime.drain();
        }
    });
    std::function<void()> waitForReload = [&] {
        signals.reload.async_wait([&](const std::error_code &ec, int) {
            if (ec) {
                return;
            }
            try {
                runtime.onSettingsChanged(firefly::platform::readSettings(path));
            } catch (const firefly::NodeSettingsError &e) {
                std::cerr << e.what() << '\n';
            }
            waitForReload();
        });
    };
    waitForReload();
    context.run();
    return 0;
}

int run(int argc, char *argv[])
{
    asio::io_context context(1);
    Signals signals(context);
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
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::string path = settingsPath(options);
        const firefly::NodeSettings settings = firefly::platform::readSettings(path);
        if (options.at("--check").asBool()) {
            std::cout << "settings are valid\n";
            return 0;
        }
        return serve(context, signals, path, settings);
    } catch (const firefly::NodeSettingsError &e) {
        std::cerr << e.what() << '\n';
        return ExitBadSettings;
    } catch (const std::exception &e) {
        std::cerr << "fireflynode: " << e.what() << '\n';
        return ExitFailed;
    }
}

} // namespace

int main(int argc, char *argv[])
{
    firefly::exitProcess(run(argc, argv));
}
