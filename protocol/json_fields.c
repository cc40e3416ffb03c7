#include <arpa/inet.h>
#include <ctype.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "protocol/json_fields.h"

#define JF_MAX_NAME 63
#define JF_MAX_CORES 4096.0
#define JF_MAX_LINK_MBPS 1000000.0
#define JF_THOUSANDTHS 1000.0
#define JF_KB INT64_C(1000)

static bool
jf_depth_ok(const char *text, size_t bytes)
{
	bool in_string = false;
	int depth = 0;
	size_t i;

	for (i = 0; i < bytes; i++) {
		char c = text[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '{' || c == '['))
			depth++;
		else if (!in_string && (c == '}' || c == ']'))
			depth--;
		if (depth > JF_MAX_DEPTH)
			return false;
	}
	return true;
}

json_t *
jf_parse(const void *text, size_t bytes, char *error)
{
	json_error_t parse_error;
	json_t *value;

	error[0] = '\0';
	if (!jf_depth_ok(text, bytes)) {
		snprintf(error, JF_ERROR_BYTES, "nested deeper than %d levels",
		    JF_MAX_DEPTH);
		return NULL;
	}
	value = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &parse_error);
	if (value == NULL)
		snprintf(error, JF_ERROR_BYTES, "line %d: %s", parse_error.line,
		    parse_error.text);
	return value;
}

static void
jf_init(struct jf_reader *r, json_t *value, char *error)
{
	r->object = value;
	r->error = error;
	r->known_count = 0;
	if (error[0] == '\0' && !json_is_object(value))
		snprintf(error, JF_ERROR_BYTES, "%s: must be an object",
		    r->path[0] != '\0' ? r->path : "document");
}

void
jf_begin(struct jf_reader *r, json_t *value, char *error)
{
	error[0] = '\0';
	r->path[0] = '\0';
	jf_init(r, value, error);
}

void
jf_child(struct jf_reader *r, const struct jf_reader *parent, json_t *value,
    const char *name, int index)
{
	const char *dot = parent->path[0] != '\0' ? "." : "";

	if (index >= 0)
		snprintf(r->path, sizeof(r->path), "%.60s%s%s[%d]",
		    parent->path, dot, name, index);
	else
		snprintf(r->path, sizeof(r->path), "%.60s%s%s", parent->path,
		    dot, name);
	jf_init(r, value, parent->error);
}

bool
jf_failed(const struct jf_reader *r)
{
	return r->error[0] != '\0';
}

void
jf_fail(struct jf_reader *r, const char *field, const char *reason)
{
	if (jf_failed(r))
		return;
	snprintf(r->error, JF_ERROR_BYTES, "%s%s%s: %s", r->path,
	    r->path[0] != '\0' ? "." : "", field, reason);
}

static json_t *
jf_get(struct jf_reader *r, const char *field, bool required)
{
	json_t *value;

	if (jf_failed(r))
		return NULL;
	if (r->known_count < JF_MAX_KEYS)
		r->known[r->known_count++] = field;
	value = json_object_get(r->object, field);
	if (value == NULL && required)
		jf_fail(r, field, "is missing");
	return value;
}

static bool
jf_is_known(const struct jf_reader *r, const char *key)
{
	uint32_t i;

	for (i = 0; i < r->known_count; i++) {
		if (strcmp(r->known[i], key) == 0)
			return true;
	}
	return false;
}

bool
jf_end(struct jf_reader *r)
{
	const char *key;
	json_t *value;

	if (jf_failed(r))
		return false;
	json_object_foreach(r->object, key, value) {
		if (!jf_is_known(r, key)) {
			jf_fail(r, key, "is not known");
			return false;
		}
	}
	return true;
}

const char *
jf_string(struct jf_reader *r, const char *field, bool required)
{
	json_t *value = jf_get(r, field, required);

	if (value == NULL)
		return NULL;
	if (!json_is_string(value)) {
		jf_fail(r, field, "must be a string");
		return NULL;
	}
	return json_string_value(value);
}

static bool
jf_has_name_characters(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!isalnum((unsigned char)*text) &&
		    strchr("._-", *text) == NULL)
			return false;
	}
	return true;
}

bool
jf_is_name(const char *text)
{
	size_t bytes = strlen(text);

	return bytes > 0 && bytes <= JF_MAX_NAME &&
	    jf_has_name_characters(text);
}

const char *
jf_name(struct jf_reader *r, const char *field, bool required)
{
	const char *name = jf_string(r, field, required);

	if (name == NULL || jf_is_name(name))
		return name;
	jf_fail(r, field,
	    jf_has_name_characters(name)
		? "must have 1 to 63 characters"
		: "may hold only letters, digits, '.', '_', '-'");
	return NULL;
}

static void
jf_fail_range(struct jf_reader *r, const char *field, int64_t min, int64_t max)
{
	char reason[96];

	snprintf(reason, sizeof(reason), "must be from %" PRId64 " to %" PRId64,
	    min, max);
	jf_fail(r, field, reason);
}

int64_t
jf_integer(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t min, int64_t max)
{
	json_t *value = jf_get(r, field, false);

	if (value == NULL)
		return fallback;
	if (!json_is_integer(value)) {
		jf_fail(r, field, "must be an integer");
		return fallback;
	}
	if (json_integer_value(value) < min ||
	    json_integer_value(value) > max) {
		jf_fail_range(r, field, min, max);
		return fallback;
	}
	return json_integer_value(value);
}

bool
jf_bool(struct jf_reader *r, const char *field, bool fallback)
{
	json_t *value = jf_get(r, field, false);

	if (value == NULL)
		return fallback;
	if (!json_is_boolean(value)) {
		jf_fail(r, field, "must be true or false");
		return fallback;
	}
	return json_boolean_value(value);
}

json_t *
jf_array(struct jf_reader *r, const char *field, bool required)
{
	json_t *value = jf_get(r, field, required);

	if (value != NULL && !json_is_array(value)) {
		jf_fail(r, field, "must be a list");
		return NULL;
	}
	return value;
}

/* Reads a required positive number; returns it in thousandths. */
static int64_t
jf_thousandths(
    struct jf_reader *r, const char *field, double max, const char *rule)
{
	json_t *value = jf_get(r, field, true);
	double number;

	if (value == NULL)
		return 0;
	number = json_number_value(value);
	if (!json_is_number(value) || !(number > 0.0) || number > max) {
		jf_fail(r, field, rule);
		return 0;
	}
	return (int64_t)llround(number * JF_THOUSANDTHS);
}

int64_t
jf_cpu_mcpu(struct jf_reader *r, const char *field)
{
	return jf_thousandths(
	    r, field, JF_MAX_CORES, "must be a number of cores, up to 4096");
}

int64_t
jf_link_kbps(struct jf_reader *r, const char *field)
{
	return jf_thousandths(r, field, JF_MAX_LINK_MBPS,
	    "must be a number of megabits a second, up to 1000000");
}

/** struct jf_unit - a unit's suffix and its factor */
struct jf_unit {
	const char *suffix;
	int64_t factor;
};

static bool
jf_scaled(const char *text, const struct jf_unit *units, size_t count,
    int64_t *result)
{
	double scaled;
	char *end;
	double n;
	size_t i;

	if (!isdigit((unsigned char)text[0]))
		return false;
	n = strtod(text, &end);
	for (i = 0; i < count; i++) {
		if (strcmp(end, units[i].suffix) != 0)
			continue;
		scaled = n * (double)units[i].factor;
		if (!(scaled < (double)INT64_MAX))
			return false;
		*result = llround(scaled);
		return true;
	}
	return false;
}

int64_t
jf_memory_bytes(struct jf_reader *r, const char *field)
{
	static const struct jf_unit units[] = {
	    {"KB", JF_KB},
	    {"MB", JF_KB * JF_KB},
	    {"GB", JF_KB * JF_KB * JF_KB},
	    {"TB", JF_KB * JF_KB * JF_KB * JF_KB},
	};
	const char *text = jf_string(r, field, true);
	int64_t bytes;

	if (text == NULL)
		return 0;
	if (!jf_scaled(text, units, 4, &bytes) || bytes <= 0) {
		jf_fail(r, field, "must be a size such as \"128GB\"");
		return 0;
	}
	return bytes;
}

int64_t
jf_duration_us(struct jf_reader *r, const char *field, int64_t fallback,
    int64_t min, int64_t max)
{
	static const struct jf_unit units[] = {
	    {"us", 1},
	    {"ms", CLK_US_PER_MS},
	    {"s", CLK_US_PER_S},
	    {"m", 60 * CLK_US_PER_S},
	    {"h", 3600 * CLK_US_PER_S},
	};
	const char *text = jf_string(r, field, fallback == -1);
	int64_t us;

	if (text == NULL)
		return fallback;
	if (!jf_scaled(text, units, 5, &us)) {
		jf_fail(r, field, "must be a time such as \"250ms\" or \"3s\"");
		return fallback;
	}
	if (us < min || us > max) {
		char reason[96];

		snprintf(reason, sizeof(reason),
		    "must be from %" PRId64 "ms to %" PRId64 "ms",
		    min / CLK_US_PER_MS, max / CLK_US_PER_MS);
		jf_fail(r, field, reason);
		return fallback;
	}
	return us;
}

const char *
jf_address(struct jf_reader *r, const char *field, bool required)
{
	const char *text = jf_string(r, field, required);
	struct in_addr addr;
	char host[64];
	const char *colon;
	char *end;
	unsigned long port;

	if (text == NULL)
		return NULL;
	colon = strrchr(text, ':');
	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		goto bad;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	port = strtoul(colon + 1, &end, 10);
	if (inet_pton(AF_INET, host, &addr) != 1 || colon[1] == '\0' ||
	    *end != '\0' || port > UINT16_MAX)
		goto bad;
	return text;
bad:
	jf_fail(r, field, "must be an address such as \"127.0.0.1:7000\"");
	return NULL;
}
