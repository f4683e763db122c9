#include "parsleygw/io.h"

void
pgw_io_dispose(struct pgw_io *io)
{
    g_clear_pointer(&io->value, g_free);
    io->length = 0;
    io->kind = PGW_IO_NONE;
}
