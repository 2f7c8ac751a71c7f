#include "bench/entry/HeapCount.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

int instanceCount = 0;         // NOLINT(*-avoid-non-const-global-variables)
std::int64_t countedBytes = 0; // NOLINT(*-avoid-non-const-global-variables)

std::int64_t allocatedSize(void *memory)
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
    if (instanceCount > 0) {
        countedBytes += allocatedSize(memory);
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (instanceCount > 0) {
        countedBytes -= allocatedSize(memory);
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
    ++instanceCount;
}

HeapCount::~HeapCount()
{
    --instanceCount;
}

std::int64_t HeapCount::bytesInUse()
{
    return countedBytes;
}

} // namespace firefly::bench
