/// \file Links every module of the installed library: checks settings, or runs an entry.

#include <asio/io_context.hpp>
#include <Config.h>
#include <Entry.h>
#include <Runtime.h>

#include <cstdlib>
#include <iostream>

namespace {

/// Settings that miss all that is required; true when the findings come together.
bool refusesEmptySettings()
{
    try {
        firefly::parseSettings("{}", "empty.yaml");
    } catch (const firefly::SettingsError &e) {
        std::cout << firefly::toString(e.findings());
        return e.findings().size() > 1;
    }
    return false;
}

} // namespace

int main(int argc, char *argv[])
{
    if (argc < 2) {
        return refusesEmptySettings() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    asio::io_context context;
    const firefly::EntryRuntime runtime(context, firefly::loadSettings(argv[1]));
    context.run();
    return EXIT_SUCCESS;
}
