#include "bench/entry/HeapCount.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

int depth = 0;          // NOLINT(*-avoid-non-const-global-variables)
std::int64_t inUse = 0; // NOLINT(*-avoid-non-const-global-variables)

std::int64_t sizeOf(void *memory)
{
    return static_cast<std::int64_t>(malloc_usable_size(memory));
}

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size); // NOLINT(*-no-malloc,*-owning-memory)
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    if (depth > 0) {
        inUse += sizeOf(memory);
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (depth > 0) {
        inUse -= sizeOf(memory);
    }
    std::free(memory); // NOLINT(*-no-malloc,*-owning-memory)
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace firefly::bench {

HeapCount::HeapCount()
{
    ++depth;
}

HeapCount::~HeapCount()
{
    --depth;
}

std::int64_t HeapCount::bytesInUse()
{
    return inUse;
}

} // namespace firefly::bench
