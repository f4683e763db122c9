#ifndef PARSLEYGW_SETTINGS_H
#define PARSLEYGW_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Settings of one process
 *
 * Each daemon reads one JSON file when it starts. If a key is unknown, of the
 * wrong type, out of range or missing, the daemon exits with one line that
 * names the file, the path of the key, the value found and the remedy.
 * Addresses are IP addresses with a port; host names are refused, because a
 * process must be able to start without a name service.
 */

/**
 * struct pgw_entry_settings - settings of parsleygw-entry
 * @instance: name of this instance, unique in the fleet
 * @zone: availability zone, as upstream objects write it
 * @region: region of the zone; empty where there is one region only
 * @listen: ip:port for callers; port 0 selects a free one
 * @admin_listen: ip:port of the admin server; port 0 selects a free one
 * @store_url: object API, http://ip:port
 * @bootstrap_file: bootstrap file of configuration objects; NULL for none
 * @seeds: NULL-terminated ip:port of sidecars to replicate the
 *   configuration from
 * @threads: number of event loops that serve callers
 * @max_body_bytes: largest body that a caller may send
 * @header_timeout_ms: time that a caller has to send the complete header
 * @body_timeout_ms: time that a caller has to send the complete body
 * @max_inflight: requests in flight above which new ones are refused
 * @policy: name of a placement policy, see pgw_place_policy_find()
 * @probe_fanout: ranked sidecars probed before a request is sent
 * @log_level: error, warning, info or debug
 * @drain_timeout_ms: longest wait for requests in flight during a graceful
 *   drain
 */
struct pgw_entry_settings {
    char *instance;
    char *zone;
    char *region;
    char *listen;
    char *admin_listen;
    char *store_url;
    char *bootstrap_file;
    char **seeds;
    uint32_t threads;
    uint64_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t body_timeout_ms;
    uint32_t max_inflight;
    char *policy;
    uint32_t probe_fanout;
    char *log_level;
    uint32_t drain_timeout_ms;
};

/**
 * struct pgw_sidecar_settings - settings of parsleygw-sidecar
 * @instance: name of the upstream's instance, unique in the fleet
 * @zone: availability zone
 * @region: region of the zone; empty where there is one region only
 * @pool: name of the pool object that the upstream belongs to
 * @listen: ip:port for entries; port 0 selects a free one
 * @admin_listen: ip:port of the admin server; port 0 selects a free one
 * @upstream_url: the upstream, http://ip:port
 * @upstream_type: "model" or "service"
 * @store_url: object API, http://ip:port
 * @bootstrap_file: bootstrap file of configuration objects; NULL for none
 * @seeds: NULL-terminated ip:port of other sidecars
 * @max_running: largest number of requests that run at the upstream
 * @queue_limit: largest number of queued requests; further ones are refused as
 *   not run
 * @queue_bytes: largest total size of queued requests
 * @checks_fencing: whether the upstream itself refuses orders with an old
 *   fencing token; if not, the sidecar does
 * @kv_store_url: store of saved KV caches, http://ip:port; NULL for none
 * @event_poll_ms: longest wait of one poll for KV cache events
 * @drain_timeout_ms: longest wait for requests in flight during a graceful
 *   drain
 * @log_level: error, warning, info or debug
 */
struct pgw_sidecar_settings {
    char *instance;
    char *zone;
    char *region;
    char *pool;
    char *listen;
    char *admin_listen;
    char *upstream_url;
    char *upstream_type;
    char *store_url;
    char *bootstrap_file;
    char **seeds;
    uint32_t max_running;
    uint32_t queue_limit;
    uint64_t queue_bytes;
    bool checks_fencing;
    char *kv_store_url;
    uint32_t event_poll_ms;
    uint32_t drain_timeout_ms;
    char *log_level;
};

/**
 * pgw_entry_settings_load() - read and check an entry's settings
 * @out: receives the settings; release with pgw_entry_settings_free()
 * @path: JSON file
 * @error: %PGW_ERROR_INVALID, %PGW_ERROR_NOT_FOUND, %PGW_ERROR_TOO_LARGE
 *   or %PGW_ERROR_IO
 *
 * Return: whether the file holds valid settings; @out is set only then.
 */
bool pgw_entry_settings_load(struct pgw_entry_settings **out, const char *path,
                             GError **error);

void pgw_entry_settings_free(struct pgw_entry_settings *settings);

/**
 * pgw_sidecar_settings_load() - read and check a sidecar's settings
 * @out: receives the settings; release with pgw_sidecar_settings_free()
 * @path: JSON file
 * @error: as pgw_entry_settings_load()
 *
 * Return: whether the file holds valid settings; @out is set only then.
 */
bool pgw_sidecar_settings_load(struct pgw_sidecar_settings **out,
                               const char *path, GError **error);

void pgw_sidecar_settings_free(struct pgw_sidecar_settings *settings);

G_END_DECLS

#endif
