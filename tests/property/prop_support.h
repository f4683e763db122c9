#ifndef PROP_SUPPORT_H
#define PROP_SUPPORT_H

// The INIT macros of options leave out what is zero, as C allows.
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#include <cstdint>
#include <rapidcheck.h>
#include <vector>

// A random script of up to `length` steps; each number picks what happens
// next, so that a failing script shrinks by leaving steps out.
inline std::vector<uint32_t>
random_script(int length)
{
    auto step =
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint32_t>());

    return *rc::gen::resize(length,
                            rc::gen::container<std::vector<uint32_t>>(step));
}

// Takes several small choices out of one number.
struct choices {
    uint64_t bits;

    explicit choices(uint32_t step) : bits(step * 0x9E3779B97F4A7C15ull)
    {
    }

    uint32_t pick(uint32_t count)
    {
        uint32_t high = static_cast<uint32_t>(bits >> 32);

        bits = (bits + 0x632BE59BD9B4E019ull) * 0xD1342543DE82EF95ull;
        return high % count;
    }
};

#endif
