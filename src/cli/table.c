#include "cli/table.h"

#include "cli/objects.h"

#include <stdio.h>

/* Numbers keep their type for JSON. */
struct cell {
    char *text;
    gint64 number;
    gboolean is_number;
};

struct pgw_cli_table {
    const char *const *columns;
    guint width;
    GArray *cells;
};

static void
cell_clear(gpointer data)
{
    g_free(((struct cell *)data)->text);
}

struct pgw_cli_table *
pgw_cli_table_new(const char *const *columns)
{
    struct pgw_cli_table *table = g_new0(struct pgw_cli_table, 1);

    table->columns = columns;
    table->width = g_strv_length((char **)columns);
    table->cells = g_array_new(FALSE, FALSE, sizeof(struct cell));
    g_array_set_clear_func(table->cells, cell_clear);
    return table;
}

void
pgw_cli_table_free(struct pgw_cli_table *table)
{
    g_array_unref(table->cells);
    g_free(table);
}

void
pgw_cli_table_text(struct pgw_cli_table *table, const char *text)
{
    struct cell cell = {.text = g_strdup(text)};

    g_array_append_val(table->cells, cell);
}

void
pgw_cli_table_number(struct pgw_cli_table *table, gint64 number)
{
    struct cell cell = {.number = number, .is_number = TRUE};

    cell.text = g_strdup_printf("%" G_GINT64_FORMAT, number);
    g_array_append_val(table->cells, cell);
}

static const char *
cell_text(const struct pgw_cli_table *table, guint row, guint column)
{
    const struct cell *cell =
        &g_array_index(table->cells, struct cell, row * table->width + column);

    return cell->text != NULL && *cell->text != '\0' ? cell->text : "-";
}

static guint
row_count(const struct pgw_cli_table *table)
{
    return table->cells->len / table->width;
}

static void
print_cell(const char *text, glong width, gboolean is_last)
{
    glong length = g_utf8_strlen(text, -1);

    fputs(text, stdout);
    if (is_last) {
        putchar('\n');
        return;
    }
    for (glong i = length; i < width + 2; i++) {
        putchar(' ');
    }
}

static void
print_text(const struct pgw_cli_table *table)
{
    glong *widths = g_new0(glong, table->width);

    for (guint column = 0; column < table->width; column++) {
        widths[column] = g_utf8_strlen(table->columns[column], -1);
        for (guint row = 0; row < row_count(table); row++) {
            glong length = g_utf8_strlen(cell_text(table, row, column), -1);

            widths[column] = MAX(widths[column], length);
        }
    }
    for (guint column = 0; column < table->width; column++) {
        char *head = g_ascii_strup(table->columns[column], -1);

        print_cell(head, widths[column], column + 1 == table->width);
        g_free(head);
    }
    for (guint row = 0; row < row_count(table); row++) {
        for (guint column = 0; column < table->width; column++) {
            print_cell(cell_text(table, row, column), widths[column],
                       column + 1 == table->width);
        }
    }
    g_free(widths);
}

static void
add_cell(JsonBuilder *json, const struct cell *cell)
{
    if (cell->is_number) {
        json_builder_add_int_value(json, cell->number);
    }
    else if (cell->text == NULL) {
        json_builder_add_null_value(json);
    }
    else {
        json_builder_add_string_value(json, cell->text);
    }
}

JsonNode *
pgw_cli_table_to_json(const struct pgw_cli_table *table)
{
    JsonBuilder *json = json_builder_new();
    JsonNode *root;

    json_builder_begin_array(json);
    for (guint i = 0; i < table->cells->len; i++) {
        if (i % table->width == 0) {
            json_builder_begin_object(json);
        }
        json_builder_set_member_name(json, table->columns[i % table->width]);
        add_cell(json, &g_array_index(table->cells, struct cell, i));
        if (i % table->width == table->width - 1) {
            json_builder_end_object(json);
        }
    }
    json_builder_end_array(json);
    root = json_builder_get_root(json);
    g_object_unref(json);
    return root;
}

void
pgw_cli_json_print(JsonNode *node)
{
    char *text = pgw_cli_json_text(node, true);

    puts(text);
    g_free(text);
    json_node_unref(node);
}

void
pgw_cli_table_print(const struct pgw_cli_table *table, gboolean json)
{
    if (json) {
        pgw_cli_json_print(pgw_cli_table_to_json(table));
    }
    else {
        print_text(table);
    }
}
