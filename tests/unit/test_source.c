#include "gateway/placement/source.h"
#include <glib.h>

static const struct pgw_source_options options = PGW_SOURCE_OPTIONS_INIT;

static void
expect(const struct pgw_source_input *input, enum pgw_source_from from,
       bool save)
{
    struct pgw_source source = pgw_source_decide(input, &options);

    g_assert_cmpint(source.from, ==, from);
    g_assert_cmpint(source.save, ==, save);
}

/* Another engine has all missing parts cached: nothing is prefilled or saved.
 */
static void
test_holder_of_all(void)
{
    struct pgw_source_input input = {.shared = 5000,
                                     .missing = 5000,
                                     .has_holder = true,
                                     .has_store = true};

    expect(&input, PGW_SOURCE_ENGINE, false);
    input.holder_missing = 15; /* less than one block */
    expect(&input, PGW_SOURCE_ENGINE, false);
}

/* Engines have cached the part that all prompts begin with, but not the
 * others. The store has had those since they were first prefilled. Without a
 * store the holder is better than no source. */
static void
test_holder_of_the_first_part(void)
{
    struct pgw_source_input input = {.shared = 5382,
                                     .missing = 5382,
                                     .has_holder = true,
                                     .holder_missing = 4870,
                                     .has_store = true};

    expect(&input, PGW_SOURCE_STORE, true);
    input.has_store = false;
    expect(&input, PGW_SOURCE_ENGINE, false);
}

/* After new weights no engine has any part cached: what is prefilled first is
 * saved. */
static void
test_cold(void)
{
    struct pgw_source_input input = {
        .shared = 568, .missing = 568, .has_store = true};

    expect(&input, PGW_SOURCE_STORE, true);
    input.has_store = false;
    expect(&input, PGW_SOURCE_PREFILL, false);
}

/* As far as is known the engine lacks nothing: long prompts are fetched
 * anyway, short ones are not. */
static void
test_nothing_is_missing(void)
{
    struct pgw_source_input input = {
        .shared = 568, .has_holder = true, .has_store = true};

    expect(&input, PGW_SOURCE_PREFILL, false);
    input.shared = 5382;
    expect(&input, PGW_SOURCE_ENGINE, false);
    input.has_holder = false;
    expect(&input, PGW_SOURCE_STORE, false);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/source/holder_of_all", test_holder_of_all);
    g_test_add_func("/source/holder_of_first", test_holder_of_the_first_part);
    g_test_add_func("/source/cold", test_cold);
    g_test_add_func("/source/nothing_missing", test_nothing_is_missing);
    return g_test_run();
}
