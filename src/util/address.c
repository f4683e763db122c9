#include "util/address.h"

#include "parsleygw/errors.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#define MAX_PORT 65535

static bool
parse_port(unsigned *out, const char *text)
{
    guint64 value;

    if (!g_ascii_string_to_unsigned(text, 10, 0, MAX_PORT, &value, NULL)) {
        return false;
    }
    *out = (unsigned)value;
    return true;
}

static bool
parse_ipv6(struct pgw_address *out, const char *text, size_t length,
           unsigned port)
{
    struct sockaddr_in6 address = {.sin6_family = AF_INET6,
                                   .sin6_port = htons((uint16_t)port)};
    char host[INET6_ADDRSTRLEN];

    if (length < 3 || text[length - 1] != ']' || length >= sizeof(host)) {
        return false;
    }
    memcpy(host, text + 1, length - 2);
    host[length - 2] = '\0';
    if (inet_pton(AF_INET6, host, &address.sin6_addr) != 1) {
        return false;
    }
    memcpy(&out->storage, &address, sizeof(address));
    out->size = sizeof(address);
    return true;
}

static bool
parse_ipv4(struct pgw_address *out, const char *text, size_t length,
           unsigned port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    char host[INET_ADDRSTRLEN];

    if (length >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, length);
    host[length] = '\0';
    if (inet_pton(AF_INET, host, &address.sin_addr) != 1) {
        return false;
    }
    memcpy(&out->storage, &address, sizeof(address));
    out->size = sizeof(address);
    return true;
}

bool
pgw_address_parse(struct pgw_address *out, const char *text, GError **error)
{
    const char *colon = strrchr(text, ':');
    unsigned port = 0;
    bool ok = false;

    memset(out, 0, sizeof(*out));
    if (colon != NULL && parse_port(&port, colon + 1)) {
        size_t length = (size_t)(colon - text);

        ok = text[0] == '[' ? parse_ipv6(out, text, length, port)
                            : parse_ipv4(out, text, length, port);
    }
    if (!ok) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_INVALID,
                    "\"%.64s\" is no IP number with a port; write it as "
                    "\"192.0.2.7:8080\" or \"[2001:db8::7]:8080\"",
                    text);
    }
    return ok;
}

void
pgw_address_format_host(char out[PGW_ADDRESS_TEXT_SIZE],
                        const struct pgw_address *address)
{
    *out = '\0';
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;

        inet_ntop(AF_INET6, &in6->sin6_addr, out, PGW_ADDRESS_TEXT_SIZE);
    }
    else {
        const struct sockaddr_in *in = (const void *)&address->storage;

        inet_ntop(AF_INET, &in->sin_addr, out, PGW_ADDRESS_TEXT_SIZE);
    }
}

void
pgw_address_format(char out[PGW_ADDRESS_TEXT_SIZE],
                   const struct pgw_address *address)
{
    char host[PGW_ADDRESS_TEXT_SIZE];

    pgw_address_format_host(host, address);
    g_snprintf(out, PGW_ADDRESS_TEXT_SIZE,
               address->storage.ss_family == AF_INET6 ? "[%s]:%u" : "%s:%u",
               host, pgw_address_port(address));
}

unsigned
pgw_address_port(const struct pgw_address *address)
{
    if (address->storage.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const void *)&address->storage;

        return ntohs(in6->sin6_port);
    }
    const struct sockaddr_in *in = (const void *)&address->storage;

    return ntohs(in->sin_port);
}
