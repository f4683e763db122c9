#include "gateway/config/documents.h"

static bool
put(struct pgw_documents *documents, uint64_t revision, bool deleted,
    const char *body)
{
    struct pgw_document document = {
        .kind = (char *)"k",
        .name = (char *)"n",
        .revision = revision,
        .deleted = deleted,
        .body = (char *)body,
    };

    return pgw_documents_put(documents, &document) != NULL;
}

/* Copies arrive twice and in any order. The highest revision wins, and a late
 * copy does not restore a deleted object. */
static void
test_highest_revision_wins(void)
{
    struct pgw_documents *documents = pgw_documents_new();

    g_assert_true(put(documents, 4, false, "four"));
    g_assert_false(put(documents, 4, false, "again"));
    g_assert_false(put(documents, 2, false, "two"));
    g_assert_cmpstr(pgw_documents_find(documents, "k", "n")->body, ==, "four");
    g_assert_true(put(documents, 5, true, NULL));
    g_assert_false(put(documents, 4, false, "late"));
    g_assert_true(pgw_documents_find(documents, "k", "n")->deleted);
    g_assert_true(put(documents, 8, false, "new"));
    g_assert_false(pgw_documents_find(documents, "k", "n")->deleted);
    pgw_documents_free(documents);
}

static void
test_list_by_kind(void)
{
    struct pgw_documents *documents = pgw_documents_new();
    GPtrArray *list;

    put(documents, 1, false, "x");
    list = pgw_documents_list(documents, "other");
    g_assert_cmpuint(list->len, ==, 0);
    g_ptr_array_unref(list);
    list = pgw_documents_list(documents, NULL);
    g_assert_cmpuint(list->len, ==, 1);
    g_ptr_array_unref(list);
    pgw_documents_free(documents);
}

/* Guards against entries that take a naming for older than the one that knows
 * best; an older or a newer revision says nothing about its age. */
static void
test_age_is_refined(void)
{
    struct pgw_documents *documents = pgw_documents_new();
    struct pgw_document document = {
        .kind = (char *)"versions",
        .name = (char *)"m",
        .revision = 4,
        .body = (char *)"{}",
        .changed_after_us = 1000,
    };

    g_assert_null(pgw_documents_refine(documents, &document));
    pgw_documents_put(documents, &document);
    g_assert_null(pgw_documents_refine(documents, &document));
    document.changed_after_us = 3000;
    document.revision = 3;
    g_assert_null(pgw_documents_refine(documents, &document));
    document.revision = 4;
    g_assert_cmpuint(
        pgw_documents_refine(documents, &document)->changed_after_us, ==,
        3000);
    document.changed_after_us = 0;
    g_assert_null(pgw_documents_refine(documents, &document));
    pgw_documents_free(documents);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/documents/highest_revision_wins",
                    test_highest_revision_wins);
    g_test_add_func("/documents/list_by_kind", test_list_by_kind);
    g_test_add_func("/documents/age_is_refined", test_age_is_refined);
    return g_test_run();
}
