#ifndef PGW_CLI_FETCH_H
#define PGW_CLI_FETCH_H

#include "cli/cli.h"
#include "util/curl_head.h"

/**
 * struct pgw_cli_answer - what one process's admin server said
 * @address: its ip:port
 * @status: HTTP status, 0 when there was no answer
 * @body: the body
 * @problem: why there was no answer, or NULL
 * @head: progress of its head
 */
struct pgw_cli_answer {
    char *address;
    long status;
    GString *body;
    char *problem;
    struct pgw_curl_head head;
};

/**
 * pgw_cli_admin_addresses() - admin servers of all processes
 * @cli: options; with --admin-port the store is asked for the declared
 *   upstreams and their instances' servers are added
 * @error: as pgw_cli_load_set(), or %PGW_ERROR_INVALID when there are none
 *
 * Return: array of text, to release with g_ptr_array_unref(), or NULL.
 */
GPtrArray *pgw_cli_admin_addresses(struct pgw_cli *cli, GError **error);

/**
 * pgw_cli_fetch_all() - GET one path from many processes at once
 * @addresses: array of text
 * @path: path and query
 * @timeout_ms: longest wait for all
 *
 * Return: array of &struct pgw_cli_answer in the order of @addresses;
 * release with g_array_unref().
 */
GArray *pgw_cli_fetch_all(const GPtrArray *addresses, const char *path,
                          uint32_t timeout_ms);

#endif
