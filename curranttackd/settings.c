#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/toml.h"
#include "curranttackd/settings.h"
#include "protocol/json_fields.h"

#define SE_MINUTE_US (60 * CLK_US_PER_S)
#define SE_HOUR_US (60 * SE_MINUTE_US)
#define SE_MAX_THREADS 16
#define SE_MAX_CONNECTIONS 20000

/** typedef se_section_fn - reads one table of the settings file */
typedef void (*se_section_fn)(struct jf_reader *r, struct settings *s);

static char *
se_copy(struct settings *s, const char *text)
{
	return talloc_strdup(s, text);
}

static void
se_read_vm(struct jf_reader *r, struct settings *s)
{
	s->vm = se_copy(s, jf_name(r, "id", true));
	s->domain = se_copy(s, jf_name(r, "domain", true));
}

static void
se_read_listen(struct jf_reader *r, struct settings *s)
{
	s->listen_callers = se_copy(s, jf_address(r, "callers", true));
	s->listen_operators = se_copy(s, jf_address(r, "operators", true));
	s->listen_peers = se_copy(s, jf_address(r, "peers", true));
	s->advertise_peers =
	    se_copy(s, jf_address(r, "advertise_peers", false));
}

static void
se_read_platform(struct jf_reader *r, struct settings *s)
{
	s->store_address = se_copy(s, jf_address(r, "store", true));
	s->vm_list_address = se_copy(s, jf_address(r, "vms", true));
	s->store_timeout_us = jf_duration_us(r, "store_timeout",
	    2 * CLK_US_PER_S, 10 * CLK_US_PER_MS, SE_MINUTE_US);
	s->store_lease_ttl_us = jf_duration_us(
	    r, "store_lease", 3 * CLK_US_PER_S, CLK_US_PER_S, SE_MINUTE_US);
	s->vm_list_poll_interval_us = jf_duration_us(
	    r, "vms_poll", CLK_US_PER_S, 100 * CLK_US_PER_MS, 3 * CLK_US_PER_S);
}

static void
se_read_access(struct jf_reader *r, struct settings *s)
{
	s->peer_token = se_copy(s, jf_string(r, "peer_token", true));
	s->caller_token = se_copy(s, jf_string(r, "caller_token", false));
	s->operator_token = se_copy(s, jf_string(r, "operator_token", false));
	if (s->peer_token != NULL && strlen(s->peer_token) < 8)
		jf_fail(r, "peer_token", "must have at least 8 characters");
}

static void
se_read_members(struct jf_reader *r, struct settings *s)
{
	s->heartbeat_interval_us = jf_duration_us(r, "heartbeat",
	    300 * CLK_US_PER_MS, 50 * CLK_US_PER_MS, CLK_US_PER_S);
	s->summary_interval_us = jf_duration_us(
	    r, "summary", CLK_US_PER_S, 100 * CLK_US_PER_MS, 2 * CLK_US_PER_S);
	s->member_timeout_us = jf_duration_us(
	    r, "timeout", 2 * CLK_US_PER_S, 200 * CLK_US_PER_MS, SE_MINUTE_US);
	if (!jf_failed(r) &&
	    s->member_timeout_us < 3 * s->heartbeat_interval_us)
		jf_fail(r, "timeout", "must be at least 3 heartbeats");
}

static void
se_read_workers(struct jf_reader *r, struct settings *s)
{
	s->worker_lease_ttl_us = jf_duration_us(
	    r, "lease", 6 * CLK_US_PER_S, CLK_US_PER_S, 10 * SE_MINUTE_US);
	s->worker_renew_interval_us = jf_duration_us(r, "renew",
	    s->worker_lease_ttl_us / 3, 100 * CLK_US_PER_MS, 5 * SE_MINUTE_US);
	if (!jf_failed(r) &&
	    s->worker_renew_interval_us * 2 > s->worker_lease_ttl_us)
		jf_fail(r, "renew", "must be at most half of the lease");
}

static void
se_read_shards(struct jf_reader *r, struct settings *s)
{
	s->commits_per_s =
	    (uint32_t)jf_integer(r, "commits_per_second", 6, 1, 200);
	s->commit_burst = (uint32_t)jf_integer(r, "commit_burst", 12, 1, 1000);
	s->snapshot_interval_entries =
	    (uint32_t)jf_integer(r, "snapshot_every", 64, 2, 10000);
	s->ended_job_retention_us = jf_duration_us(
	    r, "keep_ended", SE_HOUR_US, 0, 30 * 24 * SE_HOUR_US);
	s->claim_retention_us = jf_duration_us(r, "keep_claims",
	    24 * SE_HOUR_US, SE_MINUTE_US, 30 * 24 * SE_HOUR_US);
	s->max_claim_bytes = (size_t)jf_integer(r, "max_claim_mb", 24, 1, 1024)
	    << 20;
}

static void
se_read_limits(struct jf_reader *r, struct settings *s)
{
	s->frontend_threads =
	    (uint32_t)jf_integer(r, "threads", 2, 1, SE_MAX_THREADS);
	s->max_connections =
	    (uint32_t)jf_integer(r, "connections", 2000, 1, SE_MAX_CONNECTIONS);
	s->idle_timeout_s =
	    (uint32_t)jf_integer(r, "idle_seconds", 120, 1, 3600);
	s->max_body_bytes = (size_t)jf_integer(r, "max_body_kb", 1024, 1, 1900)
	    << 10;
	s->drain_timeout_us = jf_duration_us(r, "drain", 30 * CLK_US_PER_S,
	    100 * CLK_US_PER_MS, 10 * SE_MINUTE_US);
}

static void
se_read_requests(struct jf_reader *r, struct settings *s)
{
	const char *choice = jf_string(r, "choice", false);

	s->power_of_two_choices =
	    choice != NULL && strcmp(choice, "two_random") == 0;
	if (choice != NULL && !s->power_of_two_choices &&
	    strcmp(choice, "least_outstanding") != 0)
		jf_fail(r, "choice", "must be least_outstanding or two_random");
}

static void
se_check_level(struct jf_reader *r, const char *field, const char *level)
{
	static const char *const levels[] = {"error", "warn", "info", "debug"};
	size_t i;

	for (i = 0; level != NULL && i < 4; i++) {
		if (strcmp(level, levels[i]) == 0)
			return;
	}
	jf_fail(r, field, "must be error, warn, info or debug");
}

static void
se_read_log(struct jf_reader *r, struct settings *s)
{
	const char *level = jf_string(r, "level", false);
	json_t *modules = json_object_get(r->object, "modules");
	const char *name;
	json_t *value;

	s->log_level = se_copy(s, level != NULL ? level : "info");
	se_check_level(r, "level", s->log_level);
	if (r->known_count < JF_MAX_KEYS)
		r->known[r->known_count++] = "modules";
	json_object_foreach(modules, name, value) {
		struct se_module_level *m;

		se_check_level(r, "modules", json_string_value(value));
		if (jf_failed(r) || s->module_level_count == SE_MAX_MODULES)
			return;
		m = &s->module_level[s->module_level_count++];
		m->module = se_copy(s, name);
		m->level = se_copy(s, json_string_value(value));
	}
}

static const struct {
	const char *name;
	bool required;
	se_section_fn read;
} se_sections[] = {
    {"vm", true, se_read_vm},
    {"listen", true, se_read_listen},
    {"platform", true, se_read_platform},
    {"access", true, se_read_access},
    {"members", false, se_read_members},
    {"workers", false, se_read_workers},
    {"shards", false, se_read_shards},
    {"limits", false, se_read_limits},
    {"requests", false, se_read_requests},
    {"log", false, se_read_log},
};

#define SE_SECTION_COUNT (sizeof(se_sections) / sizeof(se_sections[0]))

static void
se_read_all(struct jf_reader *top, struct settings *s)
{
	json_t *empty = json_object();
	size_t i;

	for (i = 0; i < SE_SECTION_COUNT && !jf_failed(top); i++) {
		const char *name = se_sections[i].name;
		json_t *table = json_object_get(top->object, name);
		struct jf_reader r;

		top->known[top->known_count++] = name;
		if (table == NULL && se_sections[i].required) {
			jf_fail(top, name, "is missing");
			break;
		}
		jf_child(&r, top, table != NULL ? table : empty, name, -1);
		se_sections[i].read(&r, s);
		jf_end(&r);
	}
	jf_end(top);
	json_decref(empty);
}

void
se_format_error(const struct toml_doc *doc, const char *path,
    const char *reason, char *error)
{
	char field[JF_ERROR_BYTES];
	json_t *line = NULL;
	char *colon;
	char *dot;

	/*
	 * The reason begins with the field. A missing field has no line; the
	 * one of its table is used then.
	 */
	snprintf(field, sizeof(field), "%s", reason);
	colon = strstr(field, ": ");
	if (colon != NULL)
		*colon = '\0';
	line = json_object_get(doc->lines, field);
	dot = strrchr(field, '.');
	if (line == NULL && dot != NULL) {
		*dot = '\0';
		line = json_object_get(doc->lines, field);
	}
	if (line != NULL)
		snprintf(error, SE_ERROR_BYTES,
		    "%s:%" JSON_INTEGER_FORMAT ": %s", path,
		    json_integer_value(line), reason);
	else
		snprintf(error, SE_ERROR_BYTES, "%s: %s", path, reason);
}

struct settings *
se_load(TALLOC_CTX *ctx, const char *path, char *error)
{
	char reason[JF_ERROR_BYTES] = "";
	struct toml_doc doc;
	struct settings *s;
	struct jf_reader top;

	if (toml_read_file(path, &doc, error) == -1)
		return NULL;
	s = talloc_zero(ctx, struct settings);
	jf_begin(&top, doc.root, reason);
	se_read_all(&top, s);
	/* Reports of another domain come through the leaders of both. */
	s->remote_member_timeout_us =
	    3 * s->summary_interval_us + 2 * s->member_timeout_us;
	if (reason[0] != '\0') {
		se_format_error(&doc, path, reason, error);
		TALLOC_FREE(s);
	}
	toml_free(&doc);
	return s;
}
