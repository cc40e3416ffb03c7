#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantctl/ctl.h"

#define REPORT_PPM 1000000.0
#define REPORT_MAX_BAR_PX 400.0
#define REPORT_ROW_PX 22
#define REPORT_MAX_BURN 10.0

static const struct argp_option report_options[] = {
    {"html", 'H', "FILE", 0, "write one self-contained HTML page", 0},
    {0},
};

static error_t
report_parse(int key, char *arg, struct argp_state *state)
{
	const char **html = state->input;

	switch (key) {
	case 'H':
		*html = arg;
		break;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp report_argp = {report_options, report_parse, NULL,
    "Error-budget burn per objective and window, over all daemons. 1.00 "
    "spends the budget exactly.",
    NULL, NULL, NULL};

static json_t *
report_find_row(json_t *merged, const char *objective, json_int_t minutes)
{
	json_t *row;
	size_t i;

	json_array_foreach(merged, i, row) {
		if (strcmp(json_string_value(json_object_get(row, "objective")),
			objective) == 0 &&
		    json_integer_value(json_object_get(row, "minutes")) ==
			minutes)
			return row;
	}
	return NULL;
}

static void
report_add_count(json_t *row, const char *field, json_t *window)
{
	json_object_set_new(row, field,
	    json_integer(json_integer_value(json_object_get(row, field)) +
		json_integer_value(json_object_get(window, field))));
}

/* Adds up the counts of all daemons by objective and window. */
static json_t *
report_merge_counts(json_t *parts)
{
	json_t *merged = json_array();
	json_t *part;
	json_t *window;
	json_t *row;
	size_t i;
	size_t k;

	json_array_foreach(parts, i, part) {
		const char *name =
		    json_string_value(json_object_get(part, "objective"));

		json_array_foreach(
		    json_object_get(part, "windows"), k, window) {
			json_int_t minutes = json_integer_value(
			    json_object_get(window, "minutes"));

			row = report_find_row(merged, name, minutes);
			if (row == NULL) {
				row = json_pack("{s:s, s:O, s:O, s:I, s:i, "
						"s:i, s:O}",
				    "objective", name, "service",
				    json_object_get(part, "service"), "class",
				    json_object_get(part, "class"), "minutes",
				    minutes, "good", 0, "bad", 0, "good_ppm",
				    json_object_get(part, "good_ppm"));
				json_array_append_new(merged, row);
			}
			report_add_count(row, "good", window);
			report_add_count(row, "bad", window);
		}
	}
	return merged;
}

/* Burn: share of bad responses over the share that the objective allows. */
static void
report_compute_burn(json_t *merged)
{
	json_t *row;
	size_t i;

	json_array_foreach(merged, i, row) {
		double good =
		    (double)json_integer_value(json_object_get(row, "good"));
		double bad =
		    (double)json_integer_value(json_object_get(row, "bad"));
		double allowed = 1.0 -
		    (double)json_integer_value(
			json_object_get(row, "good_ppm")) /
			REPORT_PPM;
		double burn_counters = 0.0;

		if (good + bad > 0.0)
			burn_counters = bad / (good + bad) / allowed;
		json_object_set_new(row, "burn", json_real(burn_counters));
	}
}

static void
report_write_escaped(FILE *f, const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '<')
			fputs("&lt;", f);
		else if (*text == '&')
			fputs("&amp;", f);
		else
			fputc(*text, f);
	}
}

static void
report_write_html_row(FILE *f, json_t *row, size_t i)
{
	double burn = json_real_value(json_object_get(row, "burn"));
	double capped = burn > REPORT_MAX_BURN ? REPORT_MAX_BURN : burn;
	int y = (int)i * REPORT_ROW_PX;

	fprintf(f, "<text x=\"0\" y=\"%d\">", y + 16);
	report_write_escaped(
	    f, json_string_value(json_object_get(row, "objective")));
	fprintf(f,
	    " %" JSON_INTEGER_FORMAT " min</text>"
	    "<rect x=\"260\" y=\"%d\" width=\"%.1f\" height=\"16\" "
	    "fill=\"%s\"/><text x=\"680\" y=\"%d\">%.2f (%" JSON_INTEGER_FORMAT
	    " bad of %" JSON_INTEGER_FORMAT ")</text>\n",
	    json_integer_value(json_object_get(row, "minutes")), y + 3,
	    capped / REPORT_MAX_BURN * REPORT_MAX_BAR_PX,
	    burn > 1.0 ? "#b3261e" : "#2e7d32", y + 16, burn,
	    json_integer_value(json_object_get(row, "bad")),
	    json_integer_value(json_object_get(row, "bad")) +
		json_integer_value(json_object_get(row, "good")));
}

static int
report_write_html(const char *path, json_t *merged, json_t *unreachable)
{
	FILE *f = fopen(path, "w");
	json_t *row;
	json_t *name;
	size_t n = json_array_size(merged);
	double full_burn_x = 260.0 + REPORT_MAX_BAR_PX / REPORT_MAX_BURN;
	size_t i;

	if (f == NULL) {
		perror(path);
		return CTL_USAGE;
	}
	fprintf(f,
	    "<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\">"
	    "<title>Service-level burn</title><style>body{font:14px "
	    "sans-serif;margin:2em}</style><h1>Service-level burn</h1>"
	    "<p>Burn rate of the error budget; right of the line it is spent "
	    "before the end of its period.</p>"
	    "<svg width=\"960\" height=\"%zu\">\n",
	    n * REPORT_ROW_PX + 10);
	json_array_foreach(merged, i, row)
		report_write_html_row(f, row, i);
	fprintf(f,
	    "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%zu\" "
	    "stroke=\"#444\"/></svg>\n",
	    full_burn_x, full_burn_x, n * REPORT_ROW_PX);
	json_array_foreach(unreachable, i, name) {
		fputs("<p>No answer from ", f);
		report_write_escaped(f, json_string_value(name));
		fputs(": its requests are not counted.</p>\n", f);
	}
	fputs("</html>\n", f);
	return fclose(f) == 0 ? CTL_OK : CTL_USAGE;
}

static void
report_print(json_t *merged, json_t *unreachable)
{
	static const struct ctl_column columns[] = {
	    {"OBJECTIVE", "objective"},
	    {"SERVICE", "service"},
	    {"CLASS", "class"},
	    {"MINUTES", "minutes"},
	    {"GOOD", "good"},
	    {"BAD", "bad"},
	    {"BURN", "burn"},
	};
	json_t *name;
	size_t i;

	ctl_print_table(merged, columns, 7);
	json_array_foreach(unreachable, i, name)
		printf("no answer from %s: its requests are not counted\n",
		    json_string_value(name));
}

int
cmd_report_burn(struct ctl *ctl, int argc, char **argv)
{
	const char *html = NULL;
	struct ctl_response resp;
	json_t *unreachable;
	json_t *merged;
	int code;

	argp_parse(&report_argp, argc, argv, 0, NULL, &html);
	code = ctl_fetch(ctl, "/v1/burn", &resp);
	if (code != CTL_OK)
		goto out;
	merged = report_merge_counts(json_object_get(resp.body, "burn"));
	report_compute_burn(merged);
	unreachable = json_object_get(resp.body, "unreachable");
	if (html != NULL)
		code = report_write_html(html, merged, unreachable);
	if (ctl->json) {
		json_t *o = json_pack(
		    "{s:O, s:O}", "burn", merged, "unreachable", unreachable);

		ctl_print_json(o);
		json_decref(o);
	} else if (html == NULL) {
		report_print(merged, unreachable);
	}
	json_decref(merged);
out:
	ctl_response_free(&resp);
	return code;
}
