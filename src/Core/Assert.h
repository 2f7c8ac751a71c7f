#pragma once

#include <stdexcept>
#include <string>

namespace firefly {

/// Thrown when an invariant of the program does not hold.
///
/// Tests do not catch it, so that they fail.  The daemon catches it in its dispatch loop, logs it
/// and rejects the message that was being handled.
class InvariantViolation : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

namespace internal {

[[noreturn]] inline void failInvariant(const char *condition, const char *message, const char *file,
                                       int line)
{
    throw InvariantViolation(std::string(file) + ":" + std::to_string(line) + ": " + message + " ("
                             + condition + ")");
}

} // namespace internal
} // namespace firefly

/// Checks a precondition or invariant at run time, in release builds too.
/// \throws firefly::InvariantViolation when \a condition is false.
#define FIREFLY_ASSERT(condition, message)                                                         \
    ((condition) ? static_cast<void>(0)                                                            \
                 : ::firefly::internal::failInvariant(#condition, message, __FILE__, __LINE__))
