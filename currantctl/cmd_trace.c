#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "currantctl/ctl.h"

#define TRACE_LINE_BYTES 8192
#define TRACE_TIME_FIELD "ts="

/**
 * struct trace_line - a log line that mentions the job
 * @text: whole line
 * @ts: its time stamp, in @text
 * @order: position in the order of reading
 */
struct trace_line {
	char *text;
	const char *ts;
	size_t order;
};

/** struct trace - log lines, with space for @capacity of them */
struct trace {
	struct trace_line *line;
	size_t count;
	size_t capacity;
};

static void
trace_add(struct trace *t, const char *text, const char *ts)
{
	struct trace_line *line;

	if (t->count == t->capacity) {
		t->capacity = t->capacity * 2 + 64;
		t->line = realloc(t->line, t->capacity * sizeof(*t->line));
	}
	if (t->line == NULL)
		abort();
	line = &t->line[t->count];
	line->text = strdup(text);
	if (line->text == NULL)
		abort();
	line->ts = line->text + (ts - text);
	line->order = t->count++;
}

static int
trace_read_log(struct trace *t, const char *path, const char *id)
{
	char text[TRACE_LINE_BYTES];
	const char *ts;
	FILE *f = fopen(path, "r");

	if (f == NULL) {
		fprintf(stderr, "currantctl: %s: cannot be read\n", path);
		return CTL_USAGE;
	}
	while (fgets(text, sizeof(text), f) != NULL) {
		ts = strstr(text, TRACE_TIME_FIELD);
		if (ts != NULL && strstr(text, id) != NULL)
			trace_add(t, text, ts);
	}
	fclose(f);
	return CTL_OK;
}

static int
trace_compare_lines(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;
	size_t nx = strcspn(x->ts, " ");
	size_t ny = strcspn(y->ts, " ");
	int c = strncmp(x->ts, y->ts, nx < ny ? nx : ny);

	if (c != 0)
		return c;
	return x->order < y->order ? -1 : 1;
}

int
cmd_trace(struct ctl *ctl, int argc, char **argv)
{
	struct trace t = {0};
	int code = CTL_OK;
	size_t i;
	int f;

	(void)ctl;
	if (argc < 3) {
		fprintf(stderr, "currantctl: usage: trace LOG... JOB\n");
		return CTL_USAGE;
	}
	for (f = 1; f < argc - 1 && code == CTL_OK; f++)
		code = trace_read_log(&t, argv[f], argv[argc - 1]);
	if (code == CTL_OK && t.count > 0)
		qsort(t.line, t.count, sizeof(t.line[0]), trace_compare_lines);
	for (i = 0; i < t.count; i++) {
		if (code == CTL_OK)
			fputs(t.line[i].text, stdout);
		free(t.line[i].text);
	}
	free(t.line);
	if (code == CTL_OK && t.count == 0) {
		fprintf(stderr, "currantctl: no log line mentions %s\n",
		    argv[argc - 1]);
		return CTL_NOT_RUN;
	}
	return code;
}
