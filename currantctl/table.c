#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantctl/ctl.h"

#define TABLE_CELL_BYTES 96
#define TABLE_MAX_COLUMNS 16

static json_t *
table_get_field(json_t *row, const char *field)
{
	char part[64];
	const char *dot;

	while ((dot = strchr(field, '.')) != NULL) {
		snprintf(part, sizeof(part), "%.*s", (int)(dot - field), field);
		row = json_object_get(row, part);
		field = dot + 1;
	}
	return json_object_get(row, field);
}

static void
table_format_cell(json_t *row, const char *field, char *cell)
{
	json_t *value = table_get_field(row, field);

	cell[0] = '\0';
	if (json_is_string(value))
		snprintf(
		    cell, TABLE_CELL_BYTES, "%s", json_string_value(value));
	else if (json_is_integer(value))
		snprintf(cell, TABLE_CELL_BYTES, "%" JSON_INTEGER_FORMAT,
		    json_integer_value(value));
	else if (json_is_real(value))
		snprintf(
		    cell, TABLE_CELL_BYTES, "%.2f", json_real_value(value));
	else if (json_is_boolean(value))
		snprintf(cell, TABLE_CELL_BYTES, "%s",
		    json_is_true(value) ? "yes" : "no");
}

void
ctl_print_table(json_t *rows, const struct ctl_column *columns, size_t count)
{
	int width[TABLE_MAX_COLUMNS];
	char cell[TABLE_CELL_BYTES];
	json_t *row;
	size_t i;
	size_t c;

	for (c = 0; c < count; c++)
		width[c] = (int)strlen(columns[c].title);
	json_array_foreach(rows, i, row) {
		for (c = 0; c < count; c++) {
			table_format_cell(row, columns[c].field, cell);
			if ((int)strlen(cell) > width[c])
				width[c] = (int)strlen(cell);
		}
	}
	for (c = 0; c < count; c++)
		printf("%-*s%s", c + 1 < count ? width[c] : 0, columns[c].title,
		    c + 1 < count ? "  " : "\n");
	json_array_foreach(rows, i, row) {
		for (c = 0; c < count; c++) {
			table_format_cell(row, columns[c].field, cell);
			printf("%-*s%s", c + 1 < count ? width[c] : 0, cell,
			    c + 1 < count ? "  " : "\n");
		}
	}
}

void
ctl_print_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_ENCODE_ANY);

	puts(text);
	free(text);
}

int
ctl_print_list(struct ctl *ctl, const char *path, const char *field,
    const struct ctl_column *columns, size_t count)
{
	struct ctl_response resp;
	json_t *unreachable;
	json_t *name;
	size_t i;
	int code;

	code = ctl_fetch(ctl, path, &resp);
	if (code == CTL_OK && ctl->json)
		ctl_print_json(resp.body);
	else if (code == CTL_OK)
		ctl_print_table(
		    json_object_get(resp.body, field), columns, count);
	unreachable = json_object_get(resp.body, "unreachable");
	json_array_foreach(unreachable, i, name)
		fprintf(stderr, "currantctl: no answer from %s\n",
		    json_string_value(name));
	ctl_response_free(&resp);
	return code;
}

int
ctl_print_text(const struct ctl *ctl, const char *path, const char *field)
{
	struct ctl_response resp;
	const char *text;
	int code;

	code = ctl_fetch(ctl, path, &resp);
	text = json_string_value(json_object_get(resp.body, field));
	if (code == CTL_OK && text == NULL) {
		fprintf(stderr,
		    "currantctl: the response has no text in field \"%s\"\n",
		    field);
		code = CTL_UNKNOWN;
	} else if (code == CTL_OK) {
		puts(text);
	}
	ctl_response_free(&resp);
	return code;
}
