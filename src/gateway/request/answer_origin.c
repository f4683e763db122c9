#include "gateway/request/answer_origin.h"
#include <stddef.h>
#include <string.h>

enum pgw_answer_origin
pgw_answer_origin(const struct pgw_answer_evidence *evidence)
{
    if (evidence->id != NULL) {
        return strcmp(evidence->id, evidence->awaited) == 0
                   ? PGW_ANSWER_OWN
                   : PGW_ANSWER_FOREIGN;
    }
    if (!evidence->connection_is_shared) {
        return PGW_ANSWER_OWN;
    }
    /* Upstreams name the attempt in each answer to a request that ran. */
    if (evidence->genuine) {
        return PGW_ANSWER_FOREIGN;
    }
    if (!evidence->not_run || !evidence->refusals_are_named) {
        return PGW_ANSWER_OWN;
    }
    return evidence->may_run_again ? PGW_ANSWER_UNCERTAIN : PGW_ANSWER_FOREIGN;
}
