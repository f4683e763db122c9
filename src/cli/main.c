#include "cli/cli.h"

int
main(int argc, char **argv)
{
    return pgw_cli_main(argc, argv);
}
