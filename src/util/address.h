#ifndef PGW_UTIL_ADDRESS_H
#define PGW_UTIL_ADDRESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

G_BEGIN_DECLS

/**
 * struct pgw_address - a socket address made of an IP number and a port
 * @storage: as connect() and bind() take it
 * @size: bytes of @storage in use
 */
struct pgw_address {
    struct sockaddr_storage storage;
    socklen_t size;
};

#define PGW_ADDRESS_TEXT_SIZE 56

/**
 * pgw_address_parse() - read "192.0.2.7:8080" or "[2001:db8::7]:8080"
 * @out: receives the address
 * @text: the text; names are refused, only IP numbers are taken
 * @error: %PGW_ERROR_INVALID
 */
bool pgw_address_parse(struct pgw_address *out, const char *text,
                       GError **error);

/**
 * pgw_address_format() - write an address as pgw_address_parse() reads it
 * @out: buffer of %PGW_ADDRESS_TEXT_SIZE bytes
 * @address: an IPv4 or IPv6 address
 */
void pgw_address_format(char out[PGW_ADDRESS_TEXT_SIZE],
                        const struct pgw_address *address);

/** pgw_address_format_host() - write the IP number of an address, without its
 * port */
void pgw_address_format_host(char out[PGW_ADDRESS_TEXT_SIZE],
                             const struct pgw_address *address);

/**
 * pgw_address_port() - port of an address in host byte order
 * @address: an IPv4 or IPv6 address
 */
unsigned pgw_address_port(const struct pgw_address *address);

G_END_DECLS

#endif
