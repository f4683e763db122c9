#include "util/log.h"
#include "util/log_bound.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_DOMAIN "parsleygw"
#define MAX_VALUE 1024
#define MAX_SPEC 24

static struct {
    char *instance;
    char *zone;
    int level;
    int fd;
} logger = {.level = PGW_LOG_INFO, .fd = STDERR_FILENO};

/* Room for lines, shared by all threads. */
static struct {
    GMutex lock;
    struct pgw_log_bound bound;
} room;

static const char *const level_names[] = {
    [PGW_LOG_ERROR] = "error", [PGW_LOG_WARNING] = "warning",
    [PGW_LOG_INFO] = "info",   [PGW_LOG_ROUTINE] = "info",
    [PGW_LOG_DEBUG] = "debug",
};

static const GLogLevelFlags level_flags[] = {
    [PGW_LOG_ERROR] = G_LOG_LEVEL_CRITICAL,
    [PGW_LOG_WARNING] = G_LOG_LEVEL_WARNING,
    [PGW_LOG_INFO] = G_LOG_LEVEL_INFO,
    [PGW_LOG_ROUTINE] = G_LOG_LEVEL_INFO,
    [PGW_LOG_DEBUG] = G_LOG_LEVEL_DEBUG,
};

/* Logs leave the instance. A prompt or a key in them is readable by whoever
 * reads logs, so the values of these names are never written, whichever
 * module passes them. */
static const char *const secret_names[] = {
#ifndef PGW_DISABLE_LOG_SECRETS
    "prompt", "body", "key", "authorization", "text", "idempotency_key",
#endif
    NULL};

bool
pgw_log_enabled(enum pgw_log_level level)
{
    return (int)level <= __atomic_load_n(&logger.level, __ATOMIC_RELAXED);
}

static bool
needs_quotes(const char *value)
{
    if (*value == '\0') {
        return true;
    }
    for (const char *c = value; *c != '\0'; c++) {
        unsigned char byte = (unsigned char)*c;

        if (byte <= ' ' || byte == '"' || byte == '\\' || byte == '=' ||
            byte >= 0x7f) {
            return true;
        }
    }
    return false;
}

static void
append_escaped(GString *out, unsigned char byte)
{
    switch (byte) {
    case '"':
    case '\\':
        g_string_append_c(out, '\\');
        g_string_append_c(out, (char)byte);
        break;
    case '\n':
        g_string_append(out, "\\n");
        break;
    default:
        if (byte < ' ' || byte == 0x7f) {
            g_string_append_printf(out, "\\x%02x", byte);
        }
        else {
            g_string_append_c(out, (char)byte);
        }
        break;
    }
}

void
pgw_log_append_value(GString *out, const char *value)
{
    if (value == NULL) {
        value = "-";
    }
    if (!needs_quotes(value)) {
        g_string_append(out, value);
        return;
    }
    g_string_append_c(out, '"');
    for (size_t i = 0; i < MAX_VALUE && value[i] != '\0'; i++) {
        append_escaped(out, (unsigned char)value[i]);
    }
    g_string_append_c(out, '"');
}

/* clang's analyzer loses track of a va_list that is handed down by address;
 * pgw_log_event() starts it before the first and ends it after the last. */
/* NOLINTBEGIN(clang-analyzer-valist.Uninitialized) */
static int64_t
next_signed(va_list *args, unsigned longs, bool is_size)
{
    if (is_size) {
        return va_arg(*args, ssize_t);
    }
    switch (longs) {
    case 0:
        return va_arg(*args, int);
    case 1:
        return va_arg(*args, long);
    default:
        return va_arg(*args, long long);
    }
}

static uint64_t
next_unsigned(va_list *args, unsigned longs, bool is_size)
{
    if (is_size) {
        return va_arg(*args, size_t);
    }
    switch (longs) {
    case 0:
        return va_arg(*args, unsigned);
    case 1:
        return va_arg(*args, unsigned long);
    default:
        return va_arg(*args, unsigned long long);
    }
}

/* A conversion such as "%-8.3lu" without its length modifier. */
struct conversion {
    char flags[MAX_SPEC];
    unsigned longs;
    bool is_size;
    char type;
};

static const char *
parse_conversion(struct conversion *out, const char *format)
{
    size_t used = 0;

    memset(out, 0, sizeof(*out));
    out->flags[used++] = *format++;
    while (*format != '\0' && strchr("-+#0123456789.", *format) != NULL) {
        if (used < sizeof(out->flags) - 4) {
            out->flags[used++] = *format;
        }
        format++;
    }
    while (*format == 'l' || *format == 'z' || *format == 'h') {
        out->longs += *format == 'l';
        out->is_size = out->is_size || *format == 'z';
        format++;
    }
    out->type = *format;
    return *format == '\0' ? format : format + 1;
}

static void
append_number(GString *out, struct conversion *spec, va_list *args)
{
    char format[MAX_SPEC + 4];
    char text[64];

    switch (spec->type) {
    case 'd':
    case 'i':
        g_snprintf(format, sizeof(format), "%s" G_GINT64_MODIFIER "d",
                   spec->flags);
        snprintf(text, sizeof(text), format,
                 next_signed(args, spec->longs, spec->is_size));
        break;
    case 'u':
    case 'x':
    case 'X':
        g_snprintf(format, sizeof(format), "%s" G_GINT64_MODIFIER "%c",
                   spec->flags, spec->type);
        snprintf(text, sizeof(text), format,
                 next_unsigned(args, spec->longs, spec->is_size));
        break;
    case 'p':
        snprintf(text, sizeof(text), "%p", va_arg(*args, void *));
        break;
    default:
        g_snprintf(format, sizeof(format), "%s%c", spec->flags, spec->type);
        snprintf(text, sizeof(text), format, va_arg(*args, double));
        break;
    }
    g_string_append(out, text);
}

static void
append_conversion(GString *out, struct conversion *spec, va_list *args)
{
    switch (spec->type) {
    case '\0':
        break;
    case '%':
        g_string_append_c(out, '%');
        break;
    case 'c':
        g_string_append_c(out, (char)va_arg(*args, int));
        break;
    case 's': {
        const char *text = va_arg(*args, const char *);

        g_string_append(out, text != NULL ? text : "-");
        break;
    }
    default:
        append_number(out, spec, args);
        break;
    }
}

/* NOLINTEND(clang-analyzer-valist.Uninitialized) */

/* Formats one "key=conversion" of @format; returns what follows it. */
static const char *
append_pair(GString *out, const char *format, va_list *args)
{
    size_t name_length = strcspn(format, "= ");
    char *name = g_strndup(format, name_length);
    GString *value = g_string_new(NULL);

    format += name_length;
    format += *format == '=';
    while (*format != '\0' && *format != ' ') {
        struct conversion spec;

        if (*format != '%') {
            g_string_append_c(value, *format++);
            continue;
        }
        format = parse_conversion(&spec, format);
        append_conversion(value, &spec, args);
    }
    g_string_append_printf(out, " %s=", name);
    if (g_strv_contains(secret_names, name)) {
        g_string_assign(value, "[not logged]");
    }
    pgw_log_append_value(out, value->str);
    g_string_free(value, TRUE);
    g_free(name);
    return format + strspn(format, " ");
}

void
pgw_log_event(enum pgw_log_level level, const char *event, const char *format,
              ...)
{
    va_list args;
    GString *pairs = g_string_new(NULL);

    va_start(args, format);
    while (*format != '\0') {
        format = append_pair(pairs, format, &args);
    }
    va_end(args);
    const GLogField fields[] = {
        {"GLIB_DOMAIN", LOG_DOMAIN, -1}, {"PGW_LEVEL", level_names[level], -1},
        {"PGW_EVENT", event, -1},        {"PGW_PAIRS", pairs->str, -1},
        {"PGW_ROUTINE", "1", -1},
    };
    g_log_structured_array(level_flags[level], fields,
                           G_N_ELEMENTS(fields) - (level != PGW_LOG_ROUTINE));
    g_string_free(pairs, TRUE);
}

static const char *
find_field(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return NULL;
}

static void
append_head(GString *line, const char *level, const char *event)
{
    GDateTime *now = g_date_time_new_now_utc();
    char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

    g_string_append_printf(line, "ts=%s.%06dZ level=%s instance=", time,
                           g_date_time_get_microsecond(now), level);
    pgw_log_append_value(line, logger.instance);
    if (logger.zone != NULL && *logger.zone != '\0') {
        g_string_append(line, " zone=");
        pgw_log_append_value(line, logger.zone);
    }
    g_string_append(line, " event=");
    pgw_log_append_value(line, event);
    g_free(time);
    g_date_time_unref(now);
}

static enum pgw_log_level
level_of_flags(GLogLevelFlags flags)
{
    if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return PGW_LOG_ERROR;
    }
    if (flags & G_LOG_LEVEL_WARNING) {
        return PGW_LOG_WARNING;
    }
    return flags & G_LOG_LEVEL_DEBUG ? PGW_LOG_DEBUG : PGW_LOG_INFO;
}

/* A line is one write(), so that lines of several threads never mix. What a
 * full pipe refuses is lost, and counted: a log reader that hangs must not
 * hold up requests. */
static void
write_all(const GString *line)
{
    if (write(logger.fd, line->str, line->len) >= 0) {
        return;
    }
    g_mutex_lock(&room.lock);
    pgw_log_bound_lost(&room.bound);
    g_mutex_unlock(&room.lock);
}

static void
tell_dropped(unsigned lines)
{
    GString *line = g_string_new(NULL);

    append_head(line, level_names[PGW_LOG_WARNING], "log_dropped");
    g_string_append_printf(line, " lines=%u\n", lines);
    write_all(line);
    g_string_free(line, TRUE);
}

static bool
has_room(enum pgw_log_level level, bool routine)
{
    unsigned dropped = 0;
    bool has;

    if (level == PGW_LOG_ERROR) {
        return true;
    }
    g_mutex_lock(&room.lock);
    has = pgw_log_bound_take(&room.bound, routine, g_get_monotonic_time(),
                             &dropped);
    g_mutex_unlock(&room.lock);
    if (dropped > 0) {
        tell_dropped(dropped);
    }
    return has;
}

static GLogWriterOutput
write_line(GLogLevelFlags flags, const GLogField *fields, gsize count,
           gpointer unused G_GNUC_UNUSED)
{
    enum pgw_log_level level = level_of_flags(flags);
    const char *event = find_field(fields, count, "PGW_EVENT");
    const char *pairs = find_field(fields, count, "PGW_PAIRS");
    GString *line;

    if (!pgw_log_enabled(level) ||
        !has_room(level, find_field(fields, count, "PGW_ROUTINE") != NULL)) {
        return G_LOG_WRITER_HANDLED;
    }
    line = g_string_sized_new(256);
    append_head(line, level_names[level], event != NULL ? event : "library");
    if (event == NULL) {
        g_string_append(line, " domain=");
        pgw_log_append_value(line, find_field(fields, count, "GLIB_DOMAIN"));
        g_string_append(line, " message=");
        pgw_log_append_value(line, find_field(fields, count, "MESSAGE"));
    }
    g_string_append(line, pairs != NULL ? pairs : "");
    g_string_append_c(line, '\n');
    write_all(line);
    g_string_free(line, TRUE);
    return G_LOG_WRITER_HANDLED;
}

void
pgw_log_set_output(int fd, unsigned lines_per_s)
{
    int flags = fcntl(fd, F_GETFL);

    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    logger.fd = fd;
    room.bound.lines_per_s = lines_per_s;
}

static int
parse_level(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (g_strcmp0(name, level_names[i]) == 0) {
            return (int)i;
        }
    }
    return PGW_LOG_INFO;
}

void
pgw_log_init(const char *instance, const char *zone, const char *level)
{
    static bool installed;

    g_free(logger.instance);
    g_free(logger.zone);
    logger.instance = g_strdup(instance);
    logger.zone = g_strdup(zone);
    __atomic_store_n(&logger.level, parse_level(level), __ATOMIC_RELAXED);
    /* GLib takes a writer only once. */
    if (!installed) {
        installed = true;
        g_log_set_writer_func(write_line, NULL, NULL);
    }
}
