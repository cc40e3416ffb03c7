#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/toml.h"
#include "curranttackd/cell_settings.h"
#include "curranttackd/settings.h"
#include "protocol/json_fields.h"

#define CS_SECTION "cell"
#define CS_MAX_CONNECTIONS 20000
#define CS_DEFAULT_CPU_MCPU 1000
/* Workers that one daemon can call without relays. */
#define CS_DEFAULT_RELAY_ABOVE 100
/* Traffic with a worker that is called directly, at a few starts a second. */
#define CS_WORKER_KBPS 32
/* Fraction of a VM's link that may carry traffic with workers. */
#define CS_WORKER_LINK_DIVISOR 2
#define CS_DEFAULT_LINK_KBPS 1000000
#define CS_MAX_WORKERS 100000
/* Daemons that can all be told of each job's end without overload. */
#define CS_DEFAULT_SMALL_CELL 16
#define CS_MAX_DAEMONS 10000
#define CS_DEFAULT_VALUE_BYTES (1 << 20)
/* A job's record has to fit, without its checkpoints. */
#define CS_MIN_VALUE_BYTES (64 << 10)
#define CS_HOUR_US (3600 * CLK_US_PER_S)

/* typedef cs_section_fn - reads one table of the file */
typedef void (*cs_section_fn)(struct jf_reader *r, struct cell_settings *s);

static char *
cs_text(struct cell_settings *s, const char *text)
{
	return text != NULL ? talloc_strdup(s, text) : NULL;
}

static const char *
cs_read_text(struct jf_reader *r, const char *field)
{
	const char *text = jf_string(r, field, true);

	if (text != NULL && text[0] == '\0')
		jf_fail(r, field, "must not be empty");
	return text;
}

/*
 * The name is part of keys, and daemons keep names of others in arrays: a hash
 * stands for one that doesn't fit there.
 */
static char *
cs_read_vm_name(struct jf_reader *r, struct cell_settings *s)
{
	const char *name = cs_read_text(r, "id");

	if (name == NULL || jf_is_name(name))
		return cs_text(s, name);
	return talloc_asprintf(
	    s, "vm-%016" PRIx64, XXH3_64bits(name, strlen(name)));
}

static void
cs_read_vm(struct jf_reader *r, struct cell_settings *s)
{
	s->vm = cs_read_vm_name(r, s);
	s->domain = cs_text(s, cs_read_text(r, "domain"));
	s->cpu_mcpu = CS_DEFAULT_CPU_MCPU;
	if (json_object_get(r->object, "cores") != NULL)
		s->cpu_mcpu = (uint32_t)jf_cpu_mcpu(r, "cores");
	s->link_kbps = CS_DEFAULT_LINK_KBPS;
	if (json_object_get(r->object, "link_mbps") != NULL)
		s->link_kbps = (uint32_t)jf_link_kbps(r, "link_mbps");
}

/* The processor limits it on most VMs, a narrow link before that. */
static uint32_t
cs_default_relay_above(const struct cell_settings *s)
{
	uint32_t workers =
	    s->link_kbps / CS_WORKER_LINK_DIVISOR / CS_WORKER_KBPS;

	return workers < CS_DEFAULT_RELAY_ABOVE ? workers
						: CS_DEFAULT_RELAY_ABOVE;
}

static void
cs_read_listen(struct jf_reader *r, struct cell_settings *s)
{
	s->callers_address = cs_text(s, jf_address(r, "callers", true));
	s->ready_address = cs_text(s, jf_address(r, "ready", true));
	s->metrics_address = cs_text(s, jf_address(r, "metrics", false));
	s->peers_address = cs_text(s, jf_address(r, "peers", true));
}

static void
cs_read_cell(struct jf_reader *r, struct cell_settings *s)
{
	s->store_address = cs_text(s, jf_address(r, "store", true));
	s->advice_address = cs_text(s, jf_address(r, "advice", false));
	s->duties_address = cs_text(s, jf_address(r, "duties", false));
	s->duty_turn_us =
	    jf_duration_us(r, "duty_turn", 3 * CLK_US_PER_S, 0, CS_HOUR_US);
	s->maintenance_down_us =
	    jf_duration_us(r, "maintenance", 2 * CLK_US_PER_S, 0, CS_HOUR_US);
	s->max_lease_ms =
	    (uint32_t)jf_integer(r, "max_lease_ms", 10000, 1000, 600000);
	s->grace_us = jf_duration_us(
	    r, "grace", 6 * CLK_US_PER_S, 500 * CLK_US_PER_MS, CS_HOUR_US);
	s->report_interval_us = jf_duration_us(r, "report_interval",
	    1500 * CLK_US_PER_MS, 100 * CLK_US_PER_MS, CS_HOUR_US);
	s->report_delay_us = jf_duration_us(
	    r, "report_delay", 3 * CLK_US_PER_S, CLK_US_PER_S, CS_HOUR_US);
	s->keep_ended_us = jf_duration_us(
	    r, "keep_ended", 120 * CLK_US_PER_S, 0, 24 * CS_HOUR_US);
	s->relay_above_workers = (uint32_t)jf_integer(
	    r, "relay_above", cs_default_relay_above(s), 0, CS_MAX_WORKERS);
	s->small_cell_daemons = (uint32_t)jf_integer(
	    r, "small_cell", CS_DEFAULT_SMALL_CELL, 0, CS_MAX_DAEMONS);
	s->max_value_bytes = (uint32_t)jf_integer(r, "max_value_bytes",
	    CS_DEFAULT_VALUE_BYTES, CS_MIN_VALUE_BYTES, INT32_MAX);
	s->max_connections =
	    (uint32_t)jf_integer(r, "connections", 1000, 1, CS_MAX_CONNECTIONS);
}

static void
cs_read_log(struct jf_reader *r, struct cell_settings *s)
{
	const char *level = jf_string(r, "level", false);

	s->log_level = cs_text(s, level != NULL ? level : "info");
}

static const struct {
	const char *name;
	bool required;
	cs_section_fn read;
} cs_sections[] = {
    {"vm", true, cs_read_vm},
    {"listen", true, cs_read_listen},
    {CS_SECTION, true, cs_read_cell},
    {"log", false, cs_read_log},
};

bool
cell_settings_present(const char *path)
{
	char error[TOML_ERROR_BYTES];
	struct toml_doc doc;
	bool present;

	if (toml_read_file(path, &doc, error) == -1)
		return false;
	present = json_object_get(doc.root, CS_SECTION) != NULL;
	toml_free(&doc);
	return present;
}

static void
cs_read_all(struct jf_reader *top, struct cell_settings *s)
{
	json_t *empty = json_object();
	size_t i;

	for (i = 0; i < sizeof(cs_sections) / sizeof(cs_sections[0]); i++) {
		const char *name = cs_sections[i].name;
		json_t *table = json_object_get(top->object, name);
		struct jf_reader r;

		top->known[top->known_count++] = name;
		if (table == NULL && cs_sections[i].required) {
			jf_fail(top, name, "is missing");
			break;
		}
		jf_child(&r, top, table != NULL ? table : empty, name, -1);
		cs_sections[i].read(&r, s);
		jf_end(&r);
		if (jf_failed(top))
			break;
	}
	jf_end(top);
	json_decref(empty);
}

struct cell_settings *
cell_settings_load(TALLOC_CTX *ctx, const char *path, char *error)
{
	char reason[JF_ERROR_BYTES] = "";
	struct toml_doc doc;
	struct cell_settings *s;
	struct jf_reader top;

	if (toml_read_file(path, &doc, error) == -1)
		return NULL;
	s = talloc_zero(ctx, struct cell_settings);
	jf_begin(&top, doc.root, reason);
	cs_read_all(&top, s);
	if (reason[0] != '\0') {
		se_format_error(&doc, path, reason, error);
		TALLOC_FREE(s);
	}
	toml_free(&doc);
	return s;
}
