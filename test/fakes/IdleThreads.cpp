/// \file Replaces pthread_create() in a program, also for its libraries: the threads exist but
/// never run what they were created for.

#include <dlfcn.h>
#include <pthread.h>
#include <unistd.h>

namespace {

void *idle(void * /*argument*/)
{
    for (;;) {
        pause();
    }
}

} // namespace

extern "C" int pthread_create(pthread_t *thread, const pthread_attr_t *attributes,
                              void *(* /*start*/)(void *), void *argument)
{
    using Create = int (*)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    const auto create = reinterpret_cast<Create>(dlsym(RTLD_NEXT, "pthread_create"));
    return create(thread, attributes, &idle, argument);
}
