/// \file Links all modules of the installed library.  Without arguments it checks that empty
/// settings are refused; with the path of a settings file it runs an entry.

#include <asio/io_context.hpp>
#include <Config.h>
#include <Entry.h>
#include <Runtime.h>

#include <cstdlib>
#include <iostream>

namespace {

/// Returns whether parsing empty settings reports all missing settings in one SettingsError.
bool areEmptySettingsRefused()
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
        return areEmptySettingsRefused() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    asio::io_context context;
    const firefly::EntryRuntime runtime(context, firefly::loadSettings(argv[1]));
    context.run();
    return EXIT_SUCCESS;
}
