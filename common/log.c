#include <fcntl.h>
#include <inttypes.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/log.h"

#define LG_LINE_BYTES 2048
/* Longer values are cut, so that a line has room for those after them. */
#define LG_VALUE_BYTES 640
#define LG_CUT_MARK_BYTES 32
#define LG_NAME_BYTES 64
#define LG_CATEGORY "curranttack"
/* Rate limit of info and debug lines on standard output (token bucket). */
#define LG_RATE_PER_S 400
#define LG_RATE_BURST 4000

static char lg_vm[LG_NAME_BYTES] = "-";
static char lg_domain[LG_NAME_BYTES] = "-";
static bool lg_to_stdout;
static int64_t lg_tokens = LG_RATE_BURST;
static int64_t lg_refilled_us;
static uint64_t lg_dropped_lines;
static log4c_category_t *lg_root;
static log4c_appender_t *lg_appender;

static const struct {
	const char *name;
	int priority;
} lg_levels[] = {
    [LG_ERROR] = {"error", LOG4C_PRIORITY_ERROR},
    [LG_WARN] = {"warn", LOG4C_PRIORITY_WARN},
    [LG_INFO] = {"info", LOG4C_PRIORITY_INFO},
    [LG_DEBUG] = {"debug", LOG4C_PRIORITY_DEBUG},
};

/* lg_event() has formatted the line, so the layout returns it unchanged. */
static const char *
lg_layout_format(
    const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* Never blocks: a line that does not fit into the pipe is dropped and counted. */
static int
lg_write_stdout(const char *text)
{
	char line[LG_LINE_BYTES + 1];
	int n = snprintf(line, sizeof(line), "%s\n", text);

	if (n >= (int)sizeof(line))
		n = (int)sizeof(line) - 1;
	if (write(STDOUT_FILENO, line, (size_t)n) != n) {
		lg_dropped_lines++;
		return -1;
	}
	return n;
}

static int
lg_appender_append(log4c_appender_t *app, const log4c_logging_event_t *event)
{
	(void)app;
	if (!lg_to_stdout)
		return fprintf(stderr, "%s\n", event->evt_rendered_msg);
	return lg_write_stdout(event->evt_rendered_msg);
}

static const log4c_layout_type_t lg_layout_type = {"kv", lg_layout_format};
static const log4c_appender_type_t lg_appender_type = {
    "kv", NULL, lg_appender_append, NULL};

static int
lg_find_priority(const char *level)
{
	size_t i;

	for (i = 0; i < sizeof(lg_levels) / sizeof(lg_levels[0]); i++) {
		if (strcmp(lg_levels[i].name, level) == 0)
			return lg_levels[i].priority;
	}
	return -1;
}

void
lg_use_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags != -1)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	lg_to_stdout = true;
}

int
lg_init(const char *vm, const char *domain, const char *level)
{
	log4c_layout_t *layout;
	int priority;

	snprintf(lg_vm, sizeof(lg_vm), "%s", vm);
	snprintf(lg_domain, sizeof(lg_domain), "%s", domain);
	priority = lg_find_priority(level);
	if (priority == -1)
		return -1;

	/* Keeps log4c from searching for configuration files. */
	log4c_rc->config.nocleanup = 1;
	log4c_layout_type_set(&lg_layout_type);
	log4c_appender_type_set(&lg_appender_type);
	layout = log4c_layout_get("kv");
	log4c_layout_set_type(layout, &lg_layout_type);
	lg_appender = log4c_appender_get("kv");
	log4c_appender_set_type(lg_appender, &lg_appender_type);
	log4c_appender_set_layout(lg_appender, layout);
	lg_root = log4c_category_get(LG_CATEGORY);
	if (lg_root == NULL)
		return -1;
	log4c_category_set_appender(lg_root, lg_appender);
	log4c_category_set_additivity(lg_root, 0);
	log4c_category_set_priority(lg_root, priority);
	return 0;
}

static log4c_category_t *
lg_get_category(const char *module)
{
	char name[LG_NAME_BYTES];

	snprintf(name, sizeof(name), LG_CATEGORY ".%s", module);
	return log4c_category_get(name);
}

int
lg_set_module_level(const char *module, const char *level)
{
	int priority = lg_find_priority(level);

	if (priority == -1)
		return -1;
	log4c_category_set_priority(lg_get_category(module), priority);
	return 0;
}

/* How much of a value is written: no more than that, and whole characters. */
static size_t
lg_written_bytes(const char *value, size_t bytes)
{
	size_t n = LG_VALUE_BYTES;

	if (bytes <= n)
		return bytes;
	while (n > 0 && ((unsigned char)value[n] & 0xc0) == 0x80)
		n--;
	return n;
}

static size_t
lg_append_escaped(char *line, size_t at, const char *value)
{
	const char *p;
	size_t bytes = strlen(value);
	const char *end = value + lg_written_bytes(value, bytes);
	bool quote = *value == '\0' || strpbrk(value, " \"=\\\n\r\t") != NULL;

	if (quote && at < LG_LINE_BYTES - 1)
		line[at++] = '"';
	for (p = value; p < end && at < LG_LINE_BYTES - 4; p++) {
		if (*p == '"' || *p == '\\') {
			line[at++] = '\\';
			line[at++] = *p;
		} else if (*p == '\n') {
			line[at++] = '\\';
			line[at++] = 'n';
		} else if ((unsigned char)*p < ' ') {
			line[at++] = '?';
		} else {
			line[at++] = *p;
		}
	}
	if (end < value + bytes && at < LG_LINE_BYTES - LG_CUT_MARK_BYTES)
		at += (size_t)snprintf(
		    line + at, LG_CUT_MARK_BYTES, "...(%zu_bytes)", bytes);
	if (quote && at < LG_LINE_BYTES - 1)
		line[at++] = '"';
	line[at] = '\0';
	return at;
}

static size_t
lg_append_pair(char *line, size_t at, const char *key, const char *value)
{
	int n;

	if (at >= LG_LINE_BYTES - 8)
		return at;
	n = snprintf(
	    line + at, LG_LINE_BYTES - at, "%s%s=", at == 0 ? "" : " ", key);
	if (n < 0 || at + (size_t)n >= LG_LINE_BYTES - 8)
		return at;
	return lg_append_escaped(line, at + (size_t)n, value);
}

static void
lg_format_ts(char *ts, size_t len)
{
	int64_t now_us = clk_wall_us();
	time_t secs = now_us / CLK_US_PER_S;
	struct tm tm;
	size_t n;

	gmtime_r(&secs, &tm);
	n = strftime(ts, len, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(ts + n, len - n, ".%06" PRId64 "Z", now_us % CLK_US_PER_S);
}

uint64_t
lg_dropped(void)
{
	return lg_dropped_lines;
}

/* Token bucket for info and debug lines; errors and warnings are not limited. */
static bool
lg_take_token(void)
{
	int64_t now_us = clk_now_us();

	if (lg_refilled_us == 0)
		lg_refilled_us = now_us;
	lg_tokens += (now_us - lg_refilled_us) * LG_RATE_PER_S / CLK_US_PER_S;
	if (now_us - lg_refilled_us >= CLK_US_PER_S / LG_RATE_PER_S)
		lg_refilled_us = now_us;
	if (lg_tokens > LG_RATE_BURST)
		lg_tokens = LG_RATE_BURST;
	if (lg_tokens <= 0) {
		lg_dropped_lines++;
		return false;
	}
	lg_tokens--;
	return true;
}

void
lg_event(enum lg_level level, const char *module, const char *event, ...)
{
	char line[LG_LINE_BYTES];
	char ts[LG_NAME_BYTES];
	const char *key;
	const char *value;
	log4c_category_t *cat;
	size_t at = 0;
	va_list ap;

	if (lg_root == NULL)
		return;
	cat = lg_get_category(module);
	if (!log4c_category_is_priority_enabled(cat, lg_levels[level].priority))
		return;
	if (lg_to_stdout && level > LG_WARN && !lg_take_token())
		return;
	lg_format_ts(ts, sizeof(ts));
	at = lg_append_pair(line, at, "ts", ts);
	at = lg_append_pair(line, at, "level", lg_levels[level].name);
	at = lg_append_pair(line, at, "module", module);
	at = lg_append_pair(line, at, "event", event);
	at = lg_append_pair(line, at, "vm", lg_vm);
	at = lg_append_pair(line, at, "domain", lg_domain);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *)) != NULL) {
		value = va_arg(ap, const char *);
		if (value != NULL)
			at = lg_append_pair(line, at, key, value);
	}
	va_end(ap);
	log4c_category_log(cat, lg_levels[level].priority, "%s", line);
}

const char *
lg_i64(int64_t v)
{
	static __thread char buffers[32][24];
	static __thread unsigned int next;
	char *buf = buffers[next++ % 32];

	snprintf(buf, sizeof(buffers[0]), "%" PRId64, v);
	return buf;
}
