#pragma once

namespace firefly {

/// Ends the process with exit code \a code, after all buffered output has been written.
///
/// Runs no static destructors: those of log4cplus wait for its threads, and the process would stay,
/// serving nothing, for as long as one of them gets no processor time.
[[noreturn]] void exitProcess(int code);

} // namespace firefly
