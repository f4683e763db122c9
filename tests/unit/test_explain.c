#include "cli/explain.h"
#include <string.h>

/* Each process's output is another file, read one after the other, so lines
 * come in no order of time. */
static void
take(struct pgw_logs *logs, const char *instance, unsigned ms,
     const char *event)
{
    char *line =
        g_strdup_printf("ts=2026-03-28T17:22:%02u.%03u000Z level=info "
                        "instance=%s zone=hall event=%s",
                        ms / 1000, ms % 1000, instance, event);

    pgw_logs_take(logs, line, strlen(line));
    g_free(line);
}

/* The fleet: an engine and what its sidecar says of it. */
static void
take_fleet(struct pgw_logs *logs)
{
    take(logs, "entry-1", 100, "start role=entry version=0.1.0");
    take(logs, "entry-1", 200,
         "upstream_listed upstream=u1 service=s address=10.0.0.1:80 zone=a "
         "leaving=0 revision=1");
    take(logs, "entry-1", 210,
         "upstream_listed upstream=u2 service=s address=10.0.0.2:80 zone=a "
         "leaving=0 revision=2");
}

#define END                                                                   \
    "request_end request=r route=x service=s rank=0 config=3 limit_ms=3000 "

/* What is logged of one request, and the cause that must be found. */
static const struct {
    const char *name;
    const char *lines[4];
    const char *cause;
    const char *word;
} cases[] = {
    {"in time",
     {END "outcome=answered status=200 objective_ms=300 sends=1 runs=1 "
          "upstream=u1 first_ms=20 total_ms=30"},
     "none",
     "u1"},
    {"full upstream",
     {"attempt_end request=r upstream=u1 outcome=not_run status=503 ms=3",
      END "outcome=upstreams_refuse status=503 sends=1 runs=0 load=9 "
          "upstream=u1 total_ms=8"},
     "upstream_full",
     "9 others"},
    {"loading engine",
     {"order engine=10.0.0.1:80 upstream=u1 model=m version=4 token=7",
      "attempt_end request=r upstream=u1 outcome=not_run status=503 ms=3",
      END
      "outcome=upstreams_refuse status=503 sends=1 upstream=u1 total_ms=8"},
     "weights",
     "version 4"},
    {"load before a slow answer",
     {"order engine=10.0.0.1:80 upstream=u1 model=m version=4 token=7",
      END "outcome=answered status=200 objective_ms=10 sends=1 runs=1 "
          "upstream=u1 first_ms=20 total_ms=30"},
     "weights",
     "ms before the request came"},
    {"failure of its own",
     {END "outcome=answered status=500 objective_ms=300 sends=1 runs=1 "
          "upstream=u1 first_ms=90 total_ms=93"},
     "upstream_failed",
     "1 run in all"},
    {"other incarnation",
     {"attempt_end request=r upstream=u1 outcome=not_run status=421 ms=3", END
      "outcome=upstreams_refuse status=503 sends=1 upstream=u1 total_ms=8"},
     "upstream_lost",
     "421"},
    {"engine died",
     {"engine_lost engine=10.0.0.1:80",
      "attempt_end request=r upstream=u1 outcome=closed status=0 runs=1 ms=70",
      END "outcome=upstream_lost status=502 sends=1 runs=1 upstream=u1 "
          "total_ms=90"},
     "upstream_lost",
     "engine_lost"},
    {"answer lost",
     {"engine_lost engine=10.0.0.2:80",
      "attempt_end request=r upstream=u1 outcome=closed status=0 runs=1 ms=70",
      END "outcome=upstream_lost status=502 sends=1 runs=1 upstream=u1 "
          "total_ms=90"},
     "connection",
     "no process saw it go down"},
    {"queue",
     {"upstream_gone upstream=u2 leaving=0 trouble=0",
      END "outcome=no_place status=503 sends=0 queued_ms=800 total_ms=800"},
     "no_place",
     "800 ms"},
    {"no room",
     {"room_refused request=r workspace=small service=s reason=no_room "
      "returned=0 ratio=1.20 before=7 queued_tokens=900 tokens_per_s=300 "
      "retry_ms=800 promised=1 top=large top_share=0.81",
      END "outcome=no_room status=503 sends=0 queued_ms=0 total_ms=1"},
     "no_room",
     "workspace large got most (0.81 of all)"},
    {"limits",
     {END "outcome=upstream_limits status=503 sends=0 queued_ms=0 total_ms=1"},
     "upstream_limits",
     "at limits"},
    {"backoff",
     {END "outcome=upstreams_in_backoff status=503 sends=0 queued_ms=0 "
          "total_ms=1"},
     "upstreams_in_backoff",
     "without requests"},
    {"stream without its version",
     {END "outcome=stream_version_gone status=503 sends=0 queued_ms=0 "
          "total_ms=1"},
     "stream_version",
     "no upstream of service"},
    {"stream of an unknown version",
     {END "outcome=stream_origin_unknown status=503 sends=0 queued_ms=0 "
          "total_ms=1"},
     "stream_version",
     "knew which one"},
    {"late, long prompt",
     {"weights_named model=m version=5 age_ms=0",
      END "outcome=answered status=200 objective_ms=600 sends=1 runs=1 "
          "upstream=u1 missing=9000 fetch=- first_ms=900 total_ms=950"},
     "long_prompt",
     "version 5"},
    {"late, queue",
     {END "outcome=answered status=200 objective_ms=600 queued_ms=700 sends=1 "
          "runs=1 upstream=u1 missing=9000 first_ms=900 total_ms=950"},
     "no_place",
     "700 ms"},
    {"late, crowd",
     {END
      "outcome=answered status=200 objective_ms=600 sends=1 runs=1 load=11 "
      "upstream=u1 first_ms=900 total_ms=950"},
     "crowded",
     "11 others"},
    {"paused beside a long prompt",
     {END "outcome=answered status=200 objective_ms=600 sends=1 runs=1 load=2 "
          "upstream=u1 first_ms=90 total_ms=950 pause_ms=610 "
          "pause_objective_ms=400 pause_prompts=1"},
     "paused",
     "610 ms, over the 400 ms of its route, beside 1 long prompt that "
     "upstream u1"},
    {"paused beside none",
     {END "outcome=answered status=200 objective_ms=600 sends=1 runs=1 load=2 "
          "upstream=u1 first_ms=90 total_ms=950 pause_ms=610 "
          "pause_objective_ms=400 pause_prompts=0"},
     "slow",
     "no long prompt"},
    {"late, nothing found",
     {END "outcome=answered status=200 objective_ms=600 sends=1 runs=1 load=0 "
          "upstream=u1 first_ms=900 total_ms=950"},
     "slow",
     "u1"},
    {"own failure",
     {END "outcome=answered status=500 sends=2 runs=2 upstream=u1 first_ms=3"},
     "upstream_failed",
     "500"},
    {"sent again",
     {"attempt_end request=r upstream=u2 outcome=silent status=0 runs=1 "
      "ms=210",
      END "outcome=answered status=200 objective_ms=600 sends=2 runs=2 "
          "upstream=u1 first_ms=300 total_ms=320"},
     "upstream_silent",
     "u2"},
    {"went on",
     {"attempt_end request=r upstream=u2 outcome=closed status=200 runs=1 "
      "ms=210",
      "run_continued request=r from=u2 at=u1 after=12 events=12",
      END "outcome=answered status=200 objective_ms=600 sends=2 runs=2 "
          "upstream=u1 first_ms=300 total_ms=320"},
     "connection",
     "went on at u1 after event 12 of u2"},
    {"copy not used",
     {"attempt_end request=r upstream=u2 outcome=closed status=200 runs=1 "
      "ms=210",
      "run_not_continued request=r holder=u1 events=3 reason=holder_unfit",
      END "outcome=upstream_lost status=502 sends=1 runs=1 upstream=u2 "
          "total_ms=220"},
     "connection",
     "copy at u1 was not used (holder_unfit)"},
    {"damaged",
     {"attempt_end request=r upstream=u1 outcome=cut_event runs=1 ms=70",
      END "outcome=upstream_lost status=502 sends=1 upstream=u1 total_ms=90"},
     "answer_damaged",
     "cut_event"},
    {"stuck",
     {"request_stuck request=r upstream=u1 silent_ms=1012 "
      "stays=may_not_repeat",
      "run_cancelled request=r upstream=u1 late_ms=0 sent_ms=2100 "
      "heard_ms=2000 port=4000 reused=1 unacked=0 events=3",
      END "outcome=caller_gone status=200 sends=1 upstream=u1 total_ms=2100"},
     "upstream_silent",
     "may_not_repeat"},
    {"caller gone",
     {END "outcome=caller_gone status=0 sends=1 upstream=u1 total_ms=90"},
     "caller_left",
     "90 ms"},
    {"key",
     {"request_refused request=r status=401 reason=unauthorized config=8 "
      "config_age_ms=120"},
     "bad_key",
     "120 ms"},
    {"route",
     {"request_refused request=r status=404 reason=no_route config=8 "
      "config_age_ms=120"},
     "no_route",
     "configuration 8"},
    {"new process",
     {"request_refused request=r status=503 reason=no_configuration config=0"},
     "no_configuration",
     "just started"},
    {"stopping",
     {"request_refused request=r status=503 reason=stopping"},
     "stopping",
     "a planned stop"},
    {"quota",
     {END "outcome=over_quota status=429 sends=0 total_ms=4"},
     "quota",
     "spent its quota"},
    {"poison",
     {"request_refused request=r status=503 reason=crashes_upstreams"},
     "poison",
     "poison_crash"},
    {"killed entry",
     {"attempt_end request=r upstream=u1 outcome=closed status=0 ms=70"},
     "unknown",
     "no end"},
    {"outcome of a newer version",
     {END "outcome=something_new status=503 sends=0 total_ms=8"},
     "unknown",
     "something_new"},
};

static void
test_causes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct pgw_explanation *found;
        struct pgw_logs logs;

        pgw_logs_init(&logs, "r");
        /* The request's lines are read before those of the fleet. */
        for (unsigned j = 0; j < 4 && cases[i].lines[j] != NULL; j++) {
            take(&logs,
                 strstr(cases[i].lines[j], "engine=") ? "side-1" : "entry-1",
                 5000 + 100 * j, cases[i].lines[j]);
        }
        take_fleet(&logs);
        pgw_logs_finish(&logs);
        found = g_hash_table_lookup(logs.requests, "r");
        g_assert_nonnull(found);
        if (strcmp(pgw_cause_name(found->cause), cases[i].cause) != 0 ||
            strstr(found->sentence, cases[i].word) == NULL) {
            g_error("%s: %s: %s", cases[i].name, pgw_cause_name(found->cause),
                    found->sentence);
        }
        pgw_logs_dispose(&logs);
    }
}

/*
 * Logs of a busy entry: of the requests only the two that did not go well are
 * kept, and the list has them by time.
 */
static void
test_failed_only(void)
{
    struct pgw_logs logs;
    GPtrArray *list;

    pgw_logs_init(&logs, NULL);
    for (unsigned i = 0; i < 500; i++) {
        char *line = g_strdup_printf(
            "request_end request=g%u outcome=answered status=200 sends=1 "
            "objective_ms=300 first_ms=20",
            i);

        take(&logs, "entry-1", 3000 + i, line);
        g_free(line);
    }
    take(&logs, "entry-1", 9000,
         "request_end request=b2 outcome=no_place status=503 sends=0");
    take(&logs, "entry-2", 8000,
         "request_end request=b1 outcome=answered status=200 sends=1 "
         "objective_ms=300 first_ms=301 upstream=u1");
    pgw_logs_take(&logs, "no line of ours", 15);
    pgw_logs_finish(&logs);
    list = pgw_logs_list(&logs);
    g_assert_cmpuint(list->len, ==, 2);
    g_assert_cmpstr(
        ((struct pgw_explanation *)g_ptr_array_index(list, 0))->request, ==,
        "b1");
    g_assert_cmpuint(logs.ended, ==, 502);
    g_assert_cmpuint(logs.read, ==, 502);
    g_ptr_array_unref(list);
    pgw_logs_dispose(&logs);
}

/* The time line shows the request beside what its upstream, and the sidecar of
 * that, went through; other upstreams are left out. */
static void
test_timeline_has_context(void)
{
    struct pgw_timeline timeline;
    struct pgw_logs logs;
    char *text;

    pgw_logs_init(&logs, "r");
    take_fleet(&logs);
    take(&logs, "entry-1", 5000,
         "attempt_end request=r upstream=u1 outcome=closed status=0 ms=70");
    take(&logs, "entry-1", 5010,
         END
         "outcome=upstream_lost status=502 sends=1 upstream=u1 total_ms=90");
    take(&logs, "side-1", 5200, "engine_lost engine=10.0.0.1:80");
    take(&logs, "side-2", 5200, "engine_lost engine=10.0.0.2:80");
    pgw_logs_finish(&logs);
    pgw_explanation_timeline(&timeline,
                             g_hash_table_lookup(logs.requests, "r"));
    text = pgw_timeline_to_text(&timeline);
    g_assert_nonnull(strstr(text, "request_end"));
    g_assert_nonnull(strstr(text, "10.0.0.1:80"));
    g_assert_null(strstr(text, "10.0.0.2:80"));
    g_assert_true(strstr(text, "attempt_end") < strstr(text, "engine_lost"));
    g_free(text);
    pgw_timeline_dispose(&timeline);
    pgw_logs_dispose(&logs);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/causes", test_causes);
    g_test_add_func("/explain/failed_only", test_failed_only);
    g_test_add_func("/explain/timeline", test_timeline_has_context);
    return g_test_run();
}
