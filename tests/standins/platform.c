/*
 * Stand-in for the users' platform: store with revisions, leases, watches and
 * history, workers with fencing and leases on their own clock, advice, and an
 * operator's side. Faults are set through POST /_fault; GET /_report tells what
 * the workers have seen, GET /_runs?job=ID when each run of a job began and ended.
 *
 * A fault acts on the next "count" calls that match, or for "for_ms", then on
 * "percent" of them: "target" is store, store-N (what uses its N-th door), w
 * (all workers), w-N, advice or duties; "path" and "body" are parts of the
 * request's; "but" is what a request that is spared has in its body. Earlier
 * faults go first. Kinds: see fault_kinds.
 *
 * A door to the store has one to the advice service beside it, which answers one
 * call at a time; POST /_advice?ms=N sets for how long each takes. POST
 * /_via?from=A&to=B puts a link's address in place of one that others store
 * ("worker" instead of "from": a worker's, which the response tells).
 *
 * Usage: standin-platform WORKERS CPU [DOORS]
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "common/base64.h"
#include "common/clock.h"
#include "common/rng.h"
#include "standin.h"

#define TICK_US (5 * CLK_US_PER_MS)
#define MAX_WORKERS 64
#define MAX_DOORS 16
#define MAX_VIAS 128
#define MAX_HISTORY 20000
#define NAME_BYTES 96
/* Longest id of a worker and its end: keys of the store have 200 bytes. */
#define ID_BYTES 193
#define STOP_US (50 * CLK_US_PER_MS)
/* A clock begins below this. */
#define MAX_FIRST_CLOCK_MS 10000000
/* Connection attempts to a worker that is off, beside the first. */
#define MAX_RETRIES 2
/* A longer lease is shortened to this. */
#define MAX_HOLD_US (10 * CLK_US_PER_S)
#define MAINTENANCE_US (800 * CLK_US_PER_MS)
/* Workers write their entries so often. */
#define BEAT_US (1500 * CLK_US_PER_MS)
/* A shrunk capacity counts once its report can't have been missed. */
#define SHRINK_US (3 * CLK_US_PER_S + BEAT_US)
/* Changes of its capacity that a worker remembers. */
#define MAX_SIZES 256
/* A task that crashes its worker does so after this long. */
#define CRASH_AFTER_US (5 * CLK_US_PER_MS)
#define CRASHED_FOR_US (2500 * CLK_US_PER_MS)
/* After so many crashes, the task that causes them may start less often. */
#define CRASH_BUDGET 3

struct item {
	char *key;
	char *value; /* base64 */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
	UT_hash_handle hh;
};

struct lease {
	uint64_t id;
	int64_t ttl_us;
	int64_t expires_us;
	UT_hash_handle hh;
};

struct change {
	uint64_t revision;
	char *key;
	json_t *row;
};

struct watcher {
	struct hs_request *req;
	const char *door;
	char *prefix;
	uint64_t after;
	int64_t deadline_us;
	struct watcher *next;
};

enum fault_kind {
	FAULT_DOWN,	/* not done, no answer */
	FAULT_LOST,	/* done, no answer */
	FAULT_LATE,	/* no answer, and done later */
	FAULT_REFUSE,	/* 503, nothing done */
	FAULT_THROTTLE, /* 429, nothing done */
	FAULT_ROOM,	/* of a start: 409, nothing done */
	FAULT_SLOW,	/* of a hold or the store, for a time: answered later */
};

/* What becomes of a connection without an answer. */
enum fault_end {
	END_SILENT,
	END_CLOSED,
	END_RESET,
};

static const struct {
	const char *name;
	enum fault_kind kind;
	enum fault_end end;
} fault_kinds[] = {
    {"down", FAULT_DOWN, END_SILENT},
    {"close_before", FAULT_DOWN, END_CLOSED},
    {"reset_before", FAULT_DOWN, END_RESET},
    {"lost", FAULT_LOST, END_SILENT},
    {"close_after", FAULT_LOST, END_CLOSED},
    {"reset_after", FAULT_LOST, END_RESET},
    {"late", FAULT_LATE, END_SILENT},
    {"late_close", FAULT_LATE, END_CLOSED},
    {"late_reset", FAULT_LATE, END_RESET},
    {"refuse", FAULT_REFUSE, END_SILENT},
    {"throttle", FAULT_THROTTLE, END_SILENT},
    {"room", FAULT_ROOM, END_SILENT},
    {"slow", FAULT_SLOW, END_SILENT},
};

#define FAULT_KINDS (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

/* The next calls that match, or all until a time. */
struct fault {
	enum fault_kind kind;
	enum fault_end end;
	char target[NAME_BYTES];
	char path[NAME_BYTES];
	char body[NAME_BYTES];
	char but[NAME_BYTES];
	int64_t count;
	int64_t percent; /* 0: all */
	int64_t until_us;
	int64_t delay_us;
	struct fault *prev;
	struct fault *next;
};

/* What a task asks for, read from the text that its job carries. */
struct demand {
	int64_t work_us;
	int64_t cpu;
	bool fails;
	bool crashes;
};

struct run {
	char task[NAME_BYTES];
	uint32_t run;
	uint32_t record;
	struct demand demand;
	int64_t ends_us;
	int64_t stops_us;
	struct run *prev;
	struct run *next;
};

/* A run of a task, kept after its end; how: NULL while it goes on. */
struct record {
	char task[NAME_BYTES];
	char worker[ID_BYTES];
	uint32_t run;
	int64_t began_us;
	int64_t ended_us;
	const char *how;
	uint32_t stops; /* orders to stop it, and the last one's time */
	int64_t stop_us;
	uint64_t
	    renewed_by; /* fence of the lease's last renewal, and its time */
	int64_t renewed_us;
	bool late; /* the order was carried out late */
};

struct end {
	uint64_t number;
	char task[NAME_BYTES];
	uint32_t run;
	const char *how;
	bool counted; /* as done, unless it is lost before it is noted */
	struct end *prev;
	struct end *next;
};

/* Highest run that has been on a worker, for each task. */
struct seen {
	char task[NAME_BYTES];
	uint32_t run;
	UT_hash_handle hh;
};

struct holder {
	struct hs_request *req;
	uint64_t acked;
	int64_t deadline_us;
	struct holder *prev;
	struct holder *next;
};

/* A capacity that a worker had, and until when. */
struct size {
	int64_t cpu;
	int64_t until_us;
};

struct worker {
	char name[NAME_BYTES]; /* its id, but for what lengthens it */
	char id[ID_BYTES];
	char *vm;
	char address[64];
	int64_t cpu;
	struct size sizes[MAX_SIZES];
	uint32_t size_count;
	uint64_t seq;
	int64_t beat_at_us;
	int64_t listed_us;
	uint32_t renamed;
	bool mute;
	int64_t born_us;
	int64_t first_clock_ms; /* of this incarnation, at born_us */
	uint64_t fence;
	int64_t lease_until_us;
	uint64_t next_end;
	struct run *runs;
	struct end *ends;
	struct seen *seen;
	struct holder *holders;
	bool off;
	int64_t retry_us; /* calls to a worker that is off are kept, or 0 */
	bool left;
	int64_t down_until_us;
	int64_t crashes_us;
	int64_t crashed_until_us;
	uint32_t maintained;
};

/* The address of a link to another address, as long as that. */
struct via {
	char from[64];
	char to[64];
};

/* How often each task has run, over all workers. */
struct tally {
	char task[NAME_BYTES];
	uint32_t now;
	uint32_t done;
	uint32_t started;
	uint32_t crashed;
	uint32_t started_late; /* after CRASH_BUDGET crashes */
	UT_hash_handle hh;
};

static struct loop *loop;
static struct item *items;
static struct lease *leases;
static struct watcher *watchers;
static struct change history[MAX_HISTORY];
static uint32_t history_count;
static uint64_t lost_history;
/* Items on a page of a range; 0 for all. */
static size_t page_items;
static uint64_t revision = 1;
static uint64_t next_lease = 1;
static struct fault *faults;
static struct worker workers[MAX_WORKERS];
/* What all entries and answers of advice have in common. */
static struct {
	char *service;
	char *kind;
	char *rack;
	char *ticket;
} texts;
static size_t text_bytes;
static uint32_t worker_count;
static struct rng clocks = {1};
static struct tally *tallies;
static struct record *records;
static uint32_t record_count;
/* What is being executed was held back. */
static bool is_late;
/* Entries of silent workers are removed after so long; 0: never. */
static int64_t expiry_us;
static uint32_t twice;
/* Acknowledgements of ends that this life of the worker hasn't had. */
static uint32_t foreign_acks;
static uint32_t again;
static uint32_t over;
static uint32_t over_budget;
static char store_address[64];
static char advice_address[64];
static char control_address[64];
static char duty_address[64];
static char doors[MAX_DOORS][16];
/* When each door's advice service, or the common one, is idle again. */
static int64_t advice_idle_us[MAX_DOORS + 1];
static int64_t advice_us;
static struct via vias[MAX_VIAS];
static uint32_t via_count;
static uint32_t most_down;

static bool
has_prefix(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

/* --- faults --- */

/* "w" is all of "w-0" and so on. */
static bool
is_target(const struct fault *f, const char *target)
{
	size_t n = strlen(f->target);

	return strncmp(f->target, target, n) == 0 &&
	    (target[n] == '\0' || target[n] == '-');
}

static bool
is_hit(struct fault *f, const char *target, const char *path, const char *body)
{
	if (!is_target(f, target) || strstr(path, f->path) == NULL ||
	    strstr(body, f->body) == NULL ||
	    (f->but[0] != '\0' && strstr(body, f->but) != NULL))
		return false;
	if (f->until_us == 0)
		return f->count-- > 0;
	return f->percent == 0 || rand() % 100 < f->percent;
}

/* Faults of the kind "slow" are found when the answer is due. */
static struct fault *
find_fault(
    const char *target, const char *path, const char *body, bool is_answer)
{
	struct fault *f;
	struct fault *tmp;

	DL_FOREACH_SAFE(faults, f, tmp) {
		if (f->until_us != 0 && clk_now_us() > f->until_us) {
			DL_DELETE(faults, f);
			free(f);
			continue;
		}
		if ((f->kind == FAULT_SLOW) == is_answer &&
		    is_hit(f, target, path, body))
			return f;
	}
	return NULL;
}

/* Whether a target answers nothing for a time, what it has accepted included. */
static bool
is_silent(const char *target, const char *path)
{
	const struct fault *f;

	DL_FOREACH(faults, f) {
		if (f->kind == FAULT_DOWN && f->until_us > clk_now_us() &&
		    f->percent == 0 && is_target(f, target) &&
		    strstr(path, f->path) != NULL && f->body[0] == '\0')
			return true;
	}
	return false;
}

static struct fault *
fault_of(const char *target, struct hs_request *req)
{
	return find_fault(target, req->path, req->body, false);
}

static void
copy_text(char *to, size_t bytes, const json_t *body, const char *field)
{
	const char *text = json_string_value(json_object_get(body, field));

	snprintf(to, bytes, "%s", text != NULL ? text : "");
}

static void
add_fault(struct hs_request *req)
{
	json_t *body = standin_body(req);
	struct fault *f = calloc(1, sizeof(*f));
	int64_t for_ms = json_integer_value(json_object_get(body, "for_ms"));
	char kind[NAME_BYTES];
	size_t i;

	copy_text(kind, sizeof(kind), body, "kind");
	copy_text(f->target, sizeof(f->target), body, "target");
	copy_text(f->path, sizeof(f->path), body, "path");
	copy_text(f->body, sizeof(f->body), body, "body");
	copy_text(f->but, sizeof(f->but), body, "but");
	for (i = 0; i < FAULT_KINDS; i++) {
		if (strcmp(fault_kinds[i].name, kind) == 0)
			break;
	}
	if (i == FAULT_KINDS) {
		free(f);
		json_decref(body);
		standin_reply(req, 400, "no such kind");
		return;
	}
	f->kind = fault_kinds[i].kind;
	f->end = fault_kinds[i].end;
	f->count = json_integer_value(json_object_get(body, "count"));
	f->percent = json_integer_value(json_object_get(body, "percent"));
	f->delay_us = json_integer_value(json_object_get(body, "delay_ms")) *
	    CLK_US_PER_MS;
	if (for_ms > 0)
		f->until_us = clk_now_us() + for_ms * CLK_US_PER_MS;
	DL_APPEND(faults, f);
	json_decref(body);
	standin_reply(req, 200, "ok");
}

static void
never_answer(struct hs_request *req)
{
	(void)req; /* the caller's own time-out ends it */
}

/* Whether a fault keeps a request from being executed for good. */
static bool
rejects(const struct fault *f, struct hs_request *req)
{
	if (f == NULL)
		return false;
	if (f->end != END_SILENT)
		hs_cut(req, f->end == END_RESET);
	switch (f->kind) {
	case FAULT_DOWN:
		if (f->end == END_SILENT)
			never_answer(req);
		else
			standin_reply(req, 503, "cut");
		return true;
	case FAULT_REFUSE:
		standin_reply(req, 503, "busy");
		return true;
	case FAULT_THROTTLE:
		standin_reply(req, 429, "too many");
		return true;
	case FAULT_ROOM:
	case FAULT_LOST:
	case FAULT_LATE:
	case FAULT_SLOW:
		return false;
	}
	return false;
}

/* --- store --- */

static json_t *
item_row(const struct item *it)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", it->key, "value",
	    it->value, "revision", (json_int_t)it->revision, "created",
	    (json_int_t)it->created, "lease", (json_int_t)it->lease);
}

/* The older half is gone, and who has not seen it is told so. */
static void
compact_history(void)
{
	uint32_t gone = MAX_HISTORY / 2;
	uint32_t i;

	if (history[gone - 1].revision > lost_history)
		lost_history = history[gone - 1].revision;
	for (i = 0; i < gone; i++) {
		free(history[i].key);
		json_decref(history[i].row);
	}
	history_count -= gone;
	memmove(history, history + gone, history_count * sizeof(*history));
}

/* The first change after a revision. */
static uint32_t
first_change_after(uint64_t after)
{
	uint32_t low = 0;
	uint32_t high = history_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (history[middle].revision <= after)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void
note_change(const char *key, json_t *row)
{
	struct change *c;

	if (history_count == MAX_HISTORY)
		compact_history();
	c = &history[history_count++];
	c->revision = revision;
	c->key = strdup(key);
	c->row = row;
}

static struct item *
find_item(const char *key)
{
	struct item *it;

	HASH_FIND_STR(items, key, it);
	return it;
}

/* A value with the addresses of links in place of what they lead to. */
static char *
value_via_links(const char *value)
{
	size_t bytes = 0;
	uint8_t *data = b64_decode(NULL, value, &bytes);
	char *text;
	char *copy;
	uint32_t i;

	if (data == NULL || via_count == 0) {
		talloc_free(data);
		return strdup(value);
	}
	for (i = 0; i < via_count; i++) {
		size_t n = strlen(vias[i].from);
		uint8_t *at = memmem(data, bytes, vias[i].from, n);

		if (at != NULL)
			memcpy(at, vias[i].to, n);
	}
	text = b64_encode(NULL, data, bytes);
	copy = strdup(text);
	talloc_free(text);
	talloc_free(data);
	return copy;
}

static void
put_item(const char *key, const char *value, uint64_t lease)
{
	struct item *it = find_item(key);

	if (it == NULL) {
		it = calloc(1, sizeof(*it));
		it->key = strdup(key);
		it->created = revision;
		HASH_ADD_KEYPTR(hh, items, it->key, strlen(it->key), it);
	}
	free(it->value);
	it->value = value_via_links(value);
	it->revision = revision;
	it->lease = lease;
	note_change(key, item_row(it));
}

static void
remove_item(const char *key)
{
	struct item *it = find_item(key);

	if (it == NULL)
		return;
	note_change(key,
	    json_pack("{s:s, s:I, s:b}", "key", key, "revision",
		(json_int_t)revision, "deleted", 1));
	HASH_DEL(items, it);
	free(it->key);
	free(it->value);
	free(it);
}

static int
by_key(struct item *a, struct item *b)
{
	return strcmp(a->key, b->key);
}

static void
answer_watchers(void)
{
	struct watcher *w;
	struct watcher *tmp;

	LL_FOREACH_SAFE(watchers, w, tmp) {
		json_t *events;
		uint32_t i;

		if (is_silent(w->door, "kv-watch"))
			continue;
		events = json_array();
		for (i = first_change_after(w->after); i < history_count; i++) {
			if (has_prefix(history[i].key, w->prefix))
				json_array_append(events, history[i].row);
		}
		if (json_array_size(events) == 0 &&
		    clk_now_us() < w->deadline_us) {
			json_decref(events);
			continue;
		}
		LL_DELETE(watchers, w);
		standin_reply_json(w->req, 200,
		    json_pack("{s:o, s:I}", "events", events, "as_of",
			(json_int_t)revision));
		free(w->prefix);
		free(w);
	}
}

static void
store_range(struct hs_request *req)
{
	const char *prefix = hs_query(req, "prefix");
	const char *after = hs_query(req, "after");
	json_t *rows = json_array();
	bool more = false;
	struct item *it;
	struct item *tmp;

	HASH_SORT(items, by_key);
	HASH_ITER(hh, items, it, tmp) {
		if (!has_prefix(it->key, prefix != NULL ? prefix : "") ||
		    (after != NULL && strcmp(it->key, after) <= 0))
			continue;
		more = page_items > 0 && json_array_size(rows) == page_items;
		if (more)
			break;
		json_array_append_new(rows, item_row(it));
	}
	standin_reply_json(req, 200,
	    json_pack("{s:o, s:b, s:I}", "items", rows, "has_more", more,
		"as_of", (json_int_t)revision));
}

static void
store_watch(struct hs_request *req, const char *door)
{
	const char *prefix = hs_query(req, "prefix");
	struct watcher *w;

	if ((uint64_t)standin_query_i64(req, "after", 0) < lost_history) {
		standin_reply(req, 410, "gone");
		return;
	}
	w = calloc(1, sizeof(*w));
	w->req = req;
	w->door = door;
	w->prefix = strdup(prefix != NULL ? prefix : "");
	w->after = (uint64_t)standin_query_i64(req, "after", 0);
	w->deadline_us =
	    clk_now_us() + standin_query_i64(req, "wait_ms", 0) * CLK_US_PER_MS;
	LL_PREPEND(watchers, w);
	answer_watchers();
}

static bool
conditions_hold(json_t *body, json_t *conflict)
{
	bool hold = true;
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "expected"), i, row) {
		const char *key =
		    json_string_value(json_object_get(row, "key"));
		struct item *it = find_item(key);
		uint64_t is = it != NULL ? it->revision : 0;

		if (is !=
		    (uint64_t)json_integer_value(
			json_object_get(row, "revision")))
			hold = false;
		json_array_append_new(conflict,
		    it != NULL
			? item_row(it)
			: json_pack("{s:s, s:i}", "key", key, "revision", 0));
	}
	return hold;
}

static bool
leases_live(json_t *body)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "set_keys"), i, row) {
		uint64_t id =
		    (uint64_t)json_integer_value(json_object_get(row, "lease"));
		struct lease *l = NULL;

		if (id != 0)
			HASH_FIND(hh, leases, &id, sizeof(id), l);
		if (id != 0 && l == NULL)
			return false;
	}
	return true;
}

static int
apply_txn(json_t *body, json_t *conflict)
{
	json_t *row;
	size_t i;

	if (!leases_live(body))
		return 404;
	if (!conditions_hold(body, conflict))
		return 412;
	revision++;
	json_array_foreach(json_object_get(body, "set_keys"), i, row)
		put_item(json_string_value(json_object_get(row, "key")),
		    json_string_value(json_object_get(row, "value")),
		    (uint64_t)json_integer_value(
			json_object_get(row, "lease")));
	json_array_foreach(json_object_get(body, "remove"), i, row)
		remove_item(json_string_value(row));
	answer_watchers();
	return 200;
}

static void
apply_late(void *arg)
{
	json_t *conflict = json_array();

	apply_txn(arg, conflict);
	json_decref(conflict);
	json_decref(arg);
}

static void
store_txn(struct hs_request *req, const struct fault *f)
{
	json_t *body = standin_body(req);
	json_t *conflict;
	int status;

	if (body == NULL)
		return;
	if (f != NULL && f->kind == FAULT_LATE) {
		loop_after(loop, f->delay_us, apply_late, body);
		if (f->end != END_SILENT)
			standin_reply(req, 503, "cut");
		return;
	}
	conflict = json_array();
	status = apply_txn(body, conflict);
	json_decref(body);
	if (f != NULL && f->end == END_SILENT) {
		json_decref(conflict);
		return;
	}
	if (status == 200)
		standin_reply_json(req, 200,
		    json_pack("{s:I}", "revision", (json_int_t)revision));
	else if (status == 412)
		standin_reply_json(
		    req, 412, json_pack("{s:O}", "items", conflict));
	else
		standin_reply(req, status, "no such lease");
	json_decref(conflict);
}

static void
store_lease(struct hs_request *req)
{
	json_t *body = standin_body(req);
	struct lease *l = calloc(1, sizeof(*l));

	l->id = next_lease++;
	l->ttl_us =
	    json_integer_value(json_object_get(body, "ttl_ms")) * CLK_US_PER_MS;
	l->expires_us = clk_now_us() + l->ttl_us;
	HASH_ADD(hh, leases, id, sizeof(l->id), l);
	json_decref(body);
	standin_reply_json(req, 200,
	    json_pack("{s:I, s:I}", "lease", (json_int_t)l->id, "ttl_ms",
		(json_int_t)(l->ttl_us / CLK_US_PER_MS)));
}

static void
end_lease(struct lease *l)
{
	struct item *it;
	struct item *tmp;

	revision++;
	HASH_ITER(hh, items, it, tmp) {
		if (it->lease == l->id)
			remove_item(it->key);
	}
	HASH_DEL(leases, l);
	free(l);
	answer_watchers();
}

static struct lease *
lease_of(const char *path)
{
	const char *slash = strrchr(path, '/');
	uint64_t id = strtoull(slash + 1, NULL, 10);
	struct lease *l;

	HASH_FIND(hh, leases, &id, sizeof(id), l);
	return l;
}

static void
store_keep(struct hs_request *req, bool end)
{
	struct lease *l = lease_of(req->path);

	if (l == NULL) {
		standin_reply(req, 404, "no such lease");
		return;
	}
	if (end)
		end_lease(l);
	else
		l->expires_us = clk_now_us() + l->ttl_us;
	standin_reply_json(req, 200, json_pack("{s:i}", "ttl_ms", 1));
}

static void
serve_store(struct hs_request *req, const char *door, const struct fault *f)
{
	if (has_prefix(req->path, "/curranttack/kv-range"))
		store_range(req);
	else if (has_prefix(req->path, "/curranttack/kv-watch"))
		store_watch(req, door);
	else if (has_prefix(req->path, "/curranttack/kv-txn"))
		store_txn(req, f);
	else if (strcmp(req->path, "/curranttack/kv-lease") == 0)
		store_lease(req);
	else if (has_prefix(req->path, "/curranttack/kv-keep/"))
		store_keep(req, false);
	else if (has_prefix(req->path, "/curranttack/kv-lease-end/"))
		store_keep(req, true);
	else
		standin_reply(req, 404, "no such call");
}

/* A request that the store answers late. */
struct slow_call {
	struct hs_request *req;
	const char *door;
};

static void
serve_store_late(void *arg)
{
	struct slow_call *late = arg;

	serve_store(late->req, late->door, NULL);
	free(late);
}

static void
on_store(struct hs_request *req, void *arg)
{
	const char *door = arg;
	struct fault *slow = find_fault(door, req->path, req->body, true);
	struct slow_call *late;
	struct fault *f;

	if (slow != NULL) {
		late = calloc(1, sizeof(*late));
		late->req = req;
		late->door = door;
		loop_after(loop, slow->delay_us, serve_store_late, late);
		return;
	}
	f = fault_of(door, req);
	if (!rejects(f, req))
		serve_store(req, door, f);
}

/* --- workers --- */

static struct tally *
tally_of(const char *task)
{
	struct tally *t;

	HASH_FIND_STR(tallies, task, t);
	if (t != NULL)
		return t;
	t = calloc(1, sizeof(*t));
	snprintf(t->task, sizeof(t->task), "%s", task);
	HASH_ADD_STR(tallies, task, t);
	return t;
}

static int64_t
worker_clock_ms(const struct worker *w)
{
	return (clk_now_us() - w->born_us) / CLK_US_PER_MS + w->first_clock_ms;
}

/* Ahead of or behind the clock of the earlier incarnation. */
static void
draw_clock(struct worker *w)
{
	w->first_clock_ms = 1 + (int64_t)rng_below(&clocks, MAX_FIRST_CLOCK_MS);
}

static uint32_t
add_record(const struct worker *w, const char *task, uint32_t run)
{
	struct record *new;

	if ((record_count & (record_count - 1)) == 0)
		records = realloc(records,
		    (record_count > 0 ? 2 * record_count : 1) *
			sizeof(*records));
	new = &records[record_count];
	*new = (struct record){
	    .run = run,
	    .began_us = clk_now_us(),
	    .late = is_late,
	};
	snprintf(new->task, sizeof(new->task), "%s", task);
	memcpy(new->worker, w->id, sizeof(new->worker));
	return record_count++;
}

static void
end_record(const struct run *r, const char *how)
{
	records[r->record].ended_us = clk_now_us();
	records[r->record].how = how;
}

static void
end_run(struct worker *w, struct run *r, const char *how)
{
	struct end *e = calloc(1, sizeof(*e));
	struct tally *t = tally_of(r->task);

	end_record(r, how);
	t->now--;
	t->done += strcmp(how, "done") == 0;
	e->number = ++w->next_end;
	memcpy(e->task, r->task, sizeof(e->task));
	e->run = r->run;
	e->how = how;
	e->counted = strcmp(how, "done") == 0;
	DL_APPEND(w->ends, e);
	DL_DELETE(w->runs, r);
	free(r);
}

/* Ends that nobody took note of before the lease lapsed don't count. */
static void
discount_ends(struct worker *w)
{
	struct end *e;

	DL_FOREACH(w->ends, e) {
		if (e->counted)
			tally_of(e->task)->done--;
		e->counted = false;
	}
}

static int
percent_of(const struct run *r)
{
	int64_t left_us = r->ends_us - clk_now_us();

	if (left_us <= 0 || r->demand.work_us == 0)
		return 99;
	return (int)(100 - 100 * left_us / r->demand.work_us);
}

static json_t *
lists_of(struct worker *w, uint64_t acked)
{
	json_t *running = json_array();
	json_t *finished = json_array();
	struct end *tmp;
	struct run *r;
	struct end *e;

	DL_FOREACH(w->runs, r)
		json_array_append_new(running,
		    json_pack("[s, i, s, i, i]", r->task, (int)r->run, "",
			percent_of(r), 0));
	DL_FOREACH_SAFE(w->ends, e, tmp) {
		if (e->number <= acked) {
			DL_DELETE(w->ends, e);
			free(e);
			continue;
		}
		json_array_append_new(finished,
		    json_pack("[I, s, i, s, s]", (json_int_t)e->number, e->task,
			(int)e->run, e->how, ""));
	}
	return json_pack("{s:I, s:I, s:o, s:o}", "clock_ms",
	    (json_int_t)worker_clock_ms(w), "born",
	    (json_int_t)(w->born_us / CLK_US_PER_MS), "running", running,
	    "finished", finished);
}

static void
refuse(struct hs_request *req, const struct worker *w, const char *reason)
{
	standin_reply_json(req, 409,
	    json_pack("{s:I, s:s}", "clock_ms", (json_int_t)worker_clock_ms(w),
		"reason", reason));
}

static bool
fence_holds(struct worker *w, json_t *body)
{
	uint64_t fence = (uint64_t)json_integer_value(
	    json_object_get(body, "fencing_token"));

	if (fence < w->fence)
		return false;
	w->fence = fence;
	return true;
}

static void
extend_lease(struct worker *w, json_t *body)
{
	int64_t until_us =
	    (json_integer_value(json_object_get(body, "deadline_ms")) -
		w->first_clock_ms) *
		CLK_US_PER_MS +
	    w->born_us;
	int64_t longest_us = clk_now_us() + MAX_HOLD_US;
	const struct run *r;

	if (until_us > longest_us)
		until_us = longest_us;
	if (json_object_get(body, "deadline_ms") == NULL ||
	    until_us <= w->lease_until_us)
		return;
	w->lease_until_us = until_us;
	DL_FOREACH(w->runs, r) {
		records[r->record].renewed_by = w->fence;
		records[r->record].renewed_us = clk_now_us();
	}
}

static struct run *
find_run(struct worker *w, const char *task, uint32_t run)
{
	struct run *r;

	DL_FOREACH(w->runs, r) {
		if (r->run == run && strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static struct seen *
seen_of(struct worker *w, const char *task)
{
	struct seen *s;

	HASH_FIND_STR(w->seen, task, s);
	if (s != NULL)
		return s;
	s = calloc(1, sizeof(*s));
	snprintf(s->task, sizeof(s->task), "%s", task);
	HASH_ADD_STR(w->seen, task, s);
	return s;
}

/* The text of a job says "WORK_MS CPU [fail|crash]". */
static struct demand
read_demand(const char *spec)
{
	struct demand d = {0};
	char word[16] = "";
	int64_t work_ms = 0;

	sscanf(spec, "%" SCNd64 " %" SCNd64 " %15s", &work_ms, &d.cpu, word);
	d.work_us = work_ms * CLK_US_PER_MS;
	d.fails = strcmp(word, "fail") == 0;
	d.crashes = strcmp(word, "crash") == 0;
	return d;
}

/* The largest capacity that a start may still rely on. */
static int64_t
largest_cpu(const struct worker *w)
{
	int64_t oldest_us = clk_now_us() - SHRINK_US;
	uint32_t n = w->size_count < MAX_SIZES ? w->size_count : MAX_SIZES;
	int64_t largest = w->cpu;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (w->sizes[i].until_us > oldest_us &&
		    w->sizes[i].cpu > largest)
			largest = w->sizes[i].cpu;
	}
	return largest;
}

static void
begin_run(struct worker *w, const char *task, uint32_t run, const char *spec)
{
	int64_t cpu = largest_cpu(w);
	struct run *r = calloc(1, sizeof(*r));
	struct tally *t = tally_of(task);
	int64_t used = 0;
	struct run *other;

	snprintf(r->task, sizeof(r->task), "%s", task);
	r->run = run;
	r->demand = read_demand(spec);
	r->ends_us = clk_now_us() + r->demand.work_us;
	r->record = add_record(w, task, run);
	DL_APPEND(w->runs, r);
	seen_of(w, task)->run = run;
	DL_FOREACH(w->runs, other)
		used += other->demand.cpu;
	over += used > cpu;
	twice += t->now > 0;
	again += t->done > 0;
	if (used > cpu || t->now > 0 || t->done > 0)
		fprintf(stderr,
		    "stand-in: at_ms=%" PRId64 " task=%s run=%u worker=%s "
		    "over=%d twice=%d again=%d used=%" PRId64 " cpu=%" PRId64
		    "\n",
		    clk_now_us() / CLK_US_PER_MS, task, run, w->id, used > cpu,
		    t->now > 0, t->done > 0, used, w->cpu);
	t->now++;
	t->started++;
	if (r->demand.crashes && t->crashed >= CRASH_BUDGET &&
	    ++t->started_late == CRASH_BUDGET) {
		over_budget++;
		fprintf(stderr, "stand-in: task=%s run=%u budget\n", task, run);
	}
	if (r->demand.crashes && w->crashes_us == 0)
		w->crashes_us = clk_now_us() + CRASH_AFTER_US;
}

static void
run_start(struct worker *w, struct hs_request *req, json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t run =
	    (uint32_t)json_integer_value(json_object_get(body, "run"));
	int64_t deadline_ms =
	    json_integer_value(json_object_get(body, "deadline_ms"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *ticket = json_string_value(json_object_get(body, "ticket"));

	if (task == NULL || spec == NULL || run == 0) {
		standin_reply(req, 400, "task, run and spec");
		return;
	}
	if (!fence_holds(w, body)) {
		refuse(req, w, "fence");
		return;
	}
	if (deadline_ms < worker_clock_ms(w)) {
		refuse(req, w, "late");
		return;
	}
	extend_lease(w, body);
	if (ticket != NULL && strcmp(ticket, texts.ticket) != 0) {
		refuse(req, w, "ticket");
		return;
	}
	if (find_run(w, task, run) == NULL) {
		if (run <= seen_of(w, task)->run) {
			refuse(req, w, "old");
			return;
		}
		begin_run(w, task, run, spec);
	}
	standin_reply_json(req, 200,
	    json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock_ms(w)));
}

/* A run that is there needs no room. */
static void
refuse_for_room(struct worker *w, struct hs_request *req, json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t run =
	    (uint32_t)json_integer_value(json_object_get(body, "run"));

	if (task == NULL || run <= seen_of(w, task)->run) {
		run_start(w, req, body);
		return;
	}
	if (!fence_holds(w, body)) {
		refuse(req, w, "fence");
		return;
	}
	extend_lease(w, body);
	refuse(req, w, "room");
}

static void
run_stop(struct worker *w, struct hs_request *req, json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t run =
	    (uint32_t)json_integer_value(json_object_get(body, "run"));
	struct run *r;

	if (!fence_holds(w, body)) {
		refuse(req, w, "fence");
		return;
	}
	r = find_run(w, task, run);
	if (r != NULL) {
		records[r->record].stops++;
		records[r->record].stop_us = clk_now_us();
	}
	if (r != NULL && r->stops_us == 0)
		r->stops_us = clk_now_us() + STOP_US;
	if (seen_of(w, task)->run < run)
		seen_of(w, task)->run = run;
	standin_reply_json(req, 200,
	    json_pack("{s:I}", "clock_ms", (json_int_t)worker_clock_ms(w)));
}

static bool
has_unacked_end(const struct worker *w, uint64_t acked)
{
	const struct end *e;

	DL_FOREACH(w->ends, e) {
		if (e->number > acked)
			return true;
	}
	return false;
}

/* Lists that are on their way to the owner. */
struct slow_lists {
	struct hs_request *req;
	json_t *lists;
};

static void
send_slow_lists(void *arg)
{
	struct slow_lists *slow = arg;

	standin_reply_json(slow->req, 200, slow->lists);
	free(slow);
}

static void
send_lists(struct worker *w, struct hs_request *req, uint64_t acked)
{
	const struct fault *f = find_fault(w->name, "hold", "", true);
	json_t *lists = lists_of(w, acked);
	struct slow_lists *slow;

	if (f == NULL) {
		standin_reply_json(req, 200, lists);
		return;
	}
	slow = calloc(1, sizeof(*slow));
	slow->req = req;
	slow->lists = lists;
	loop_after(loop, f->delay_us, send_slow_lists, slow);
}

static void
run_hold(struct worker *w, struct hs_request *req, json_t *body)
{
	uint64_t acked =
	    (uint64_t)json_integer_value(json_object_get(body, "acked"));
	int64_t wait_ms = json_integer_value(json_object_get(body, "wait_ms"));
	struct holder *h;

	if (!fence_holds(w, body)) {
		refuse(req, w, "fence");
		return;
	}
	foreign_acks += req != NULL && acked > w->next_end;
	extend_lease(w, body);
	if (req == NULL || wait_ms == 0 || has_unacked_end(w, acked)) {
		send_lists(w, req, acked);
		return;
	}
	h = calloc(1, sizeof(*h));
	h->req = req;
	h->acked = acked;
	h->deadline_us = clk_now_us() + wait_ms * CLK_US_PER_MS;
	DL_APPEND(w->holders, h);
}

static void
execute(
    struct worker *w, struct hs_request *req, const char *path, json_t *body)
{
	if (strstr(path, "run-start") != NULL)
		run_start(w, req, body);
	else if (strstr(path, "run-stop") != NULL)
		run_stop(w, req, body);
	else if (strstr(path, "hold") != NULL)
		run_hold(w, req, body);
	else
		standin_reply_json(req, 200,
		    json_pack(
			"{s:I}", "clock_ms", (json_int_t)worker_clock_ms(w)));
}

struct late_call {
	struct worker *w;
	int64_t born_us;
	bool is_late;
	char path[NAME_BYTES];
	json_t *body;
};

static void
execute_late(void *arg)
{
	struct late_call *late = arg;

	is_late = late->is_late;
	/* What a worker held back is gone with that life of it. */
	if (late->born_us == late->w->born_us)
		execute(late->w, NULL, late->path, late->body);
	is_late = false;
	json_decref(late->body);
	free(late);
}

/* A connection attempt is tried again, each time after twice as long. */
struct kept_call {
	struct worker *w;
	uint32_t renamed;
	uint32_t retries;
	int64_t retry_us;
	char path[NAME_BYTES];
	json_t *body;
};

static void
retry_call(void *arg)
{
	struct kept_call *kept = arg;
	struct worker *w = kept->w;

	if (w->off && kept->retries-- > 0) {
		kept->retry_us *= 2;
		loop_after(loop, kept->retry_us, retry_call, kept);
		return;
	}
	is_late = true;
	if (!w->off && kept->renamed == w->renamed)
		execute(w, NULL, kept->path, kept->body);
	is_late = false;
	json_decref(kept->body);
	free(kept);
}

static void
keep_call(struct worker *w, struct hs_request *req)
{
	json_t *body = standin_body(req);
	struct kept_call *kept;

	if (body == NULL)
		return;
	kept = calloc(1, sizeof(*kept));
	kept->w = w;
	kept->renamed = w->renamed;
	kept->retries = MAX_RETRIES;
	kept->retry_us = w->retry_us;
	kept->body = body;
	snprintf(kept->path, sizeof(kept->path), "%s", req->path);
	loop_after(loop, kept->retry_us, retry_call, kept);
}

static void
hold_back(struct worker *w, struct hs_request *req, json_t *body,
    const struct fault *f)
{
	struct late_call *late = calloc(1, sizeof(*late));

	late->w = w;
	late->born_us = w->born_us;
	late->is_late = f->kind == FAULT_LATE;
	late->body = json_incref(body);
	snprintf(late->path, sizeof(late->path), "%s", req->path);
	loop_after(
	    loop, f->kind == FAULT_LATE ? f->delay_us : 1, execute_late, late);
	if (f->end != END_SILENT)
		standin_reply(req, 503, "cut");
}

static void
on_worker(struct hs_request *req, void *arg)
{
	struct worker *w = arg;
	const char *expected = hs_header(req, "X-Curranttack-Expect-Instance");
	struct fault *f = fault_of(w->name, req);
	json_t *body;

	if (w->off && w->retry_us != 0 && req->body_bytes > 0)
		keep_call(w, req);
	if (w->off) {
		never_answer(req);
		return;
	}
	if (rejects(f, req))
		return;
	if (expected != NULL && strcmp(expected, w->id) != 0) {
		if (w->renamed > 0) {
			never_answer(req);
			return;
		}
		standin_reply(req, 421, "another instance");
		return;
	}
	body = standin_body(req);
	if (body == NULL)
		return;
	if (f != NULL && f->kind == FAULT_ROOM)
		refuse_for_room(w, req, body);
	else if (f != NULL && (f->kind == FAULT_LATE || f->end == END_SILENT))
		hold_back(w, req, body, f);
	else
		execute(w, req, req->path, body);
	json_decref(body);
}

static void
worker_tick(struct worker *w)
{
	int64_t now_us = clk_now_us();
	struct holder *h;
	struct holder *htmp;
	struct run *r;
	struct run *tmp;

	if (now_us > w->lease_until_us)
		discount_ends(w);
	DL_FOREACH_SAFE(w->runs, r, tmp) {
		if (now_us > w->lease_until_us)
			end_run(w, r, "lapsed");
		else if (r->stops_us != 0 && now_us > r->stops_us)
			end_run(w, r, "stopped");
		else if (now_us > r->ends_us)
			end_run(w, r, r->demand.fails ? "failed" : "done");
	}
	DL_FOREACH_SAFE(w->holders, h, htmp) {
		if (!has_unacked_end(w, h->acked) && now_us < h->deadline_us)
			continue;
		DL_DELETE(w->holders, h);
		if (!w->off)
			send_lists(w, h->req, h->acked);
		free(h);
	}
}

static void
list_worker(struct worker *w)
{
	char key[ID_BYTES + 16];
	json_t *row;
	char *text;
	char *value;

	snprintf(key, sizeof(key), "servers/%s", w->id);
	row = json_pack("{s:s, s:s, s:s, s:s, s:{s:I, s:i, s:i}, s:[s, s], "
			"s:s, s:I, s:I, s:I}",
	    "service", texts.service, "address", w->address, "zone", "a",
	    "state", "ready", "capacity", "cpu", (json_int_t)w->cpu, "mem_mb",
	    100000, "gpu", 0, "labels", texts.kind, texts.rack, "machine",
	    w->vm, "born", (json_int_t)(w->born_us / CLK_US_PER_MS), "clock_ms",
	    (json_int_t)worker_clock_ms(w), "seq", (json_int_t)++w->seq);
	text = json_dumps(row, JSON_COMPACT);
	value = b64_encode(NULL, (const uint8_t *)text, strlen(text));
	revision++;
	put_item(key, value, 0);
	w->listed_us = clk_now_us();
	talloc_free(value);
	free(text);
	json_decref(row);
}

static void
unlist_worker(const struct worker *w)
{
	char key[ID_BYTES + 16];

	snprintf(key, sizeof(key), "servers/%s", w->id);
	if (find_item(key) == NULL)
		return;
	revision++;
	remove_item(key);
}

/* Workers can't reach a store that answers nobody. */
static void
beat(struct worker *w)
{
	if (expiry_us != 0 && clk_now_us() > w->listed_us + expiry_us)
		unlist_worker(w);
	if (clk_now_us() < w->beat_at_us)
		return;
	w->beat_at_us = clk_now_us() + BEAT_US;
	if (!w->off && !w->mute && !w->left &&
	    find_fault("store", "beat", "", false) == NULL)
		list_worker(w);
}

/* Whatever ran is gone, and nothing of it is remembered. */
static void
begin_life(struct worker *w)
{
	struct holder *h;
	struct holder *htmp;
	struct run *r;
	struct run *tmp;

	/* Its connections end with it. */
	DL_FOREACH_SAFE(w->holders, h, htmp) {
		DL_DELETE(w->holders, h);
		never_answer(h->req);
		free(h);
	}
	DL_FOREACH_SAFE(w->runs, r, tmp) {
		end_record(r, "died");
		tally_of(r->task)->now--;
		tally_of(r->task)->crashed++;
		DL_DELETE(w->runs, r);
		free(r);
	}
	discount_ends(w);
	w->ends = NULL;
	w->seen = NULL;
	w->next_end = 0;
	w->fence = 0;
	w->lease_until_us = 0;
	w->born_us = clk_now_us();
	draw_clock(w);
	w->seq = 0;
	w->beat_at_us = w->born_us + BEAT_US;
	w->crashes_us = 0;
}

/* Callers see at once that it is gone, and call again. */
static void
reset_holders(struct worker *w)
{
	struct holder *h;
	struct holder *tmp;

	DL_FOREACH_SAFE(w->holders, h, tmp) {
		DL_DELETE(w->holders, h);
		hs_cut(h->req, true);
		standin_reply(h->req, 503, "cut");
		free(h);
	}
}

static void
crash_worker(struct worker *w)
{
	begin_life(w);
	w->off = true;
	w->crashed_until_us = clk_now_us() + CRASHED_FOR_US;
}

/* --- maintenance --- */

static void
on_duty(struct hs_request *req, void *arg)
{
	json_t *body = standin_body(req);
	const char *vm = json_string_value(json_object_get(body, "machine"));
	uint32_t down = 0;
	struct fault *f;
	uint32_t n = MAX_WORKERS;
	uint32_t i;

	(void)arg;
	if (vm != NULL && has_prefix(vm, "m-"))
		n = (uint32_t)strtoul(vm + 2, NULL, 10);
	json_decref(body);
	if (n >= worker_count) {
		standin_reply(req, 400, "no such machine");
		return;
	}
	f = fault_of("duties", req);
	if (f != NULL && f->kind == FAULT_REFUSE) {
		standin_reply(req, 429, "busy");
		return;
	}
	if (rejects(f, req))
		return;
	if (workers[n].maintained == 0) {
		begin_life(&workers[n]);
		workers[n].maintained++;
		workers[n].off = true;
		workers[n].down_until_us = clk_now_us() + MAINTENANCE_US;
	}
	for (i = 0; i < worker_count; i++)
		down += workers[i].down_until_us != 0;
	if (down > most_down)
		most_down = down;
	standin_reply_json(req, 200, json_object());
}

/* --- advice --- */

/* An answer that the service works on. */
struct advice_call {
	struct hs_request *req;
	json_t *answer;
};

static void
answer_advice(void *arg)
{
	struct advice_call *call = arg;

	standin_reply_json(call->req, 200, call->answer);
	free(call);
}

static void
on_advice(struct hs_request *req, void *arg)
{
	int64_t *idle_us = arg;
	struct advice_call *call;
	json_t *body = standin_body(req);
	json_t *good = json_array();
	json_t *id;
	size_t i;

	if (rejects(fault_of("advice", req), req)) {
		json_decref(body);
		json_decref(good);
		return;
	}
	json_array_foreach(json_object_get(body, "workers"), i, id)
		json_array_append_new(good,
		    json_pack("[s, s]", json_string_value(id), texts.ticket));
	json_decref(body);
	call = calloc(1, sizeof(*call));
	call->req = req;
	call->answer = json_pack("{s:o}", "good", good);
	if (advice_us == 0) {
		answer_advice(call);
		return;
	}
	if (*idle_us < clk_now_us())
		*idle_us = clk_now_us();
	*idle_us += advice_us;
	loop_after(loop, *idle_us - clk_now_us(), answer_advice, call);
}

/* --- control --- */

static void
put_operator_item(struct hs_request *req, const char *key)
{
	char *value =
	    b64_encode(NULL, (const uint8_t *)req->body, req->body_bytes);

	revision++;
	put_item(key, value, 0);
	talloc_free(value);
	answer_watchers();
	standin_reply(req, 200, "ok");
}

static void
report(struct hs_request *req)
{
	uint32_t started = 0;
	uint32_t done = 0;
	uint32_t running = 0;
	uint32_t maintained = 0;
	uint32_t busy = 0;
	const struct run *r;
	uint32_t i;
	struct tally *t;
	struct tally *tmp;

	HASH_ITER(hh, tallies, t, tmp) {
		started += t->started;
		done += t->done > 0;
		running += t->now;
	}
	for (i = 0; i < worker_count; i++)
		maintained += workers[i].maintained;
	for (i = 0; i < worker_count; i++) {
		if (!workers[i].off)
			DL_FOREACH(workers[i].runs, r)
				busy++;
	}
	standin_reply_json(req, 200,
	    json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, "
		      "s:s}",
		"foreign_acks", (int)foreign_acks, "budget", (int)over_budget,
		"twice", (int)twice, "again", (int)again, "over", (int)over,
		"started", (int)started, "done", (int)done, "running",
		(int)running, "busy", (int)busy, "maintained", (int)maintained,
		"most_down", (int)most_down, "wave",
		find_item("status/wave/1") != NULL
		    ? find_item("status/wave/1")->value
		    : ""));
}

/* An entry among those of the workers, as another writer may leave it. */
static void
put_entry(struct hs_request *req)
{
	const char *id = hs_query(req, "id");
	char key[256];

	snprintf(key, sizeof(key), "servers/%s", id != NULL ? id : "");
	put_operator_item(req, key);
}

/*
 * How often tasks of one job have been started, how many of them run, and how
 * many workers have crashed under one of them at most.
 */
static void
report_job(struct hs_request *req)
{
	const char *job = hs_query(req, "job");
	uint32_t started = 0;
	uint32_t crashed = 0;
	uint32_t running = 0;
	struct tally *t;
	struct tally *tmp;

	HASH_ITER(hh, tallies, t, tmp) {
		if (job == NULL || !has_prefix(t->task, job))
			continue;
		started += t->started;
		running += t->now;
		if (t->crashed > crashed)
			crashed = t->crashed;
	}
	standin_reply_json(req, 200,
	    json_pack("{s:i, s:i, s:i}", "started", (int)started, "crashed",
		(int)crashed, "running", (int)running));
}

/*
 * Of one job: [task, run, worker, began, ended, how, stops, last stop, fence of
 * the last renewal, its time, whether it began late], times in ms.
 */
static void
report_runs(struct hs_request *req)
{
	const char *job = hs_query(req, "job");
	json_t *rows = json_array();
	uint32_t i;

	for (i = 0; i < record_count; i++) {
		const struct record *r = &records[i];

		if (job == NULL || !has_prefix(r->task, job))
			continue;
		json_array_append_new(rows,
		    json_pack("[s, i, s, I, I, s, i, I, I, I, b]", r->task,
			(int)r->run, r->worker,
			(json_int_t)(r->began_us / CLK_US_PER_MS),
			(json_int_t)(r->ended_us / CLK_US_PER_MS),
			r->how != NULL ? r->how : "", (int)r->stops,
			(json_int_t)(r->stop_us / CLK_US_PER_MS),
			(json_int_t)r->renewed_by,
			(json_int_t)(r->renewed_us / CLK_US_PER_MS), r->late));
	}
	standin_reply_json(req, 200,
	    json_pack("{s:o, s:I}", "runs", rows, "now_ms",
		(json_int_t)(clk_now_us() / CLK_US_PER_MS)));
}

static void
clear_faults(struct hs_request *req)
{
	struct fault *f;
	struct fault *tmp;

	DL_FOREACH_SAFE(faults, f, tmp) {
		DL_DELETE(faults, f);
		free(f);
	}
	standin_reply(req, 200, "ok");
}

/* @text, with as many characters more as make it text_bytes long. */
static char *
lengthen(const char *text)
{
	size_t bytes = strlen(text);
	size_t all = bytes < text_bytes ? text_bytes : bytes;
	char *longer = malloc(all + 1);

	memset(longer, 'x', all);
	memcpy(longer, text, bytes);
	longer[all] = '\0';
	return longer;
}

static void
name_worker(struct worker *w, const char *name)
{
	char *longer = lengthen(name);

	snprintf(w->name, sizeof(w->name), "%s", name);
	snprintf(w->id, sizeof(w->id), "%s", longer);
	free(longer);
}

/* Another worker on the same VM; nothing answers for the earlier one. */
static void
rename_worker(struct worker *w, uint32_t n)
{
	char id[NAME_BYTES];

	begin_life(w);
	unlist_worker(w);
	snprintf(id, sizeof(id), "w-%u-%u", n, ++w->renamed);
	name_worker(w, id);
	standin_serve(loop, w->address, on_worker, w);
	list_worker(w);
}

static void
switch_worker(struct hs_request *req)
{
	json_t *body = standin_body(req);
	int64_t n = json_integer_value(json_object_get(body, "worker"));
	struct worker *w = &workers[n];

	w->off = json_is_true(json_object_get(body, "off"));
	w->mute = json_is_true(json_object_get(body, "mute"));
	w->retry_us = json_integer_value(json_object_get(body, "retry_ms")) *
	    CLK_US_PER_MS;
	if (w->retry_us != 0)
		reset_holders(w);
	if (json_is_true(json_object_get(body, "left"))) {
		w->left = true;
		unlist_worker(w);
	}
	if (json_is_true(json_object_get(body, "reborn")))
		begin_life(w);
	if (json_is_true(json_object_get(body, "renamed")))
		rename_worker(w, (uint32_t)n);
	json_decref(body);
	standin_reply(req, 200, "ok");
}

/* Items go with their leases, and no watch shows it: what it missed is gone. */
static void
vanish_items(struct hs_request *req)
{
	const char *prefix = hs_query(req, "prefix");
	struct item *it;
	struct item *tmp;

	revision++;
	HASH_ITER(hh, items, it, tmp) {
		struct lease *l;

		if (prefix == NULL || !has_prefix(it->key, prefix))
			continue;
		HASH_FIND(hh, leases, &it->lease, sizeof(it->lease), l);
		if (l != NULL) {
			HASH_DEL(leases, l);
			free(l);
		}
		HASH_DEL(items, it);
		free(it->key);
		free(it->value);
		free(it);
	}
	standin_reply(req, 200, "ok");
}

/* A worker's cores shrink or grow while it runs, or with a new life. */
static void
size_worker(struct hs_request *req)
{
	json_t *body = standin_body(req);
	struct worker *w =
	    &workers[json_integer_value(json_object_get(body, "worker"))];

	w->sizes[w->size_count++ % MAX_SIZES] =
	    (struct size){w->cpu, clk_now_us()};
	w->cpu = json_integer_value(json_object_get(body, "cpu"));
	if (json_is_true(json_object_get(body, "reborn")))
		begin_life(w);
	json_decref(body);
	standin_reply(req, 200, "ok");
}

/* As if they had been started earlier; before any daemon knows them. */
static void
age_workers(struct hs_request *req)
{
	int64_t ms = standin_query_i64(req, "ms", 0);
	uint32_t i;

	for (i = 0; i < worker_count; i++)
		workers[i].born_us -= ms * CLK_US_PER_MS;
	standin_reply(req, 200, "ok");
}

/* Clocks begin as a seed draws them; before any daemon knows the workers. */
static void
seed_clocks(struct hs_request *req)
{
	uint32_t i;

	clocks.state = (uint64_t)standin_query_i64(req, "seed", 1);
	for (i = 0; i < worker_count; i++) {
		draw_clock(&workers[i]);
		list_worker(&workers[i]);
	}
	standin_reply(req, 200, "ok");
}

/* Before any daemon knows the workers. */
static void
add_via(struct hs_request *req)
{
	int64_t worker = standin_query_i64(req, "worker", -1);
	const char *from = worker >= 0 && worker < worker_count
	    ? workers[worker].address
	    : hs_query(req, "from");
	const char *to = hs_query(req, "to");
	struct via *v = &vias[via_count];
	uint32_t i;

	if (via_count == MAX_VIAS || from == NULL || to == NULL ||
	    strlen(from) != strlen(to) || strlen(to) >= sizeof(v->to)) {
		standin_reply(req, 400, "addresses of the same length");
		return;
	}
	snprintf(v->from, sizeof(v->from), "%s", from);
	snprintf(v->to, sizeof(v->to), "%s", to);
	via_count++;
	for (i = 0; i < worker_count; i++)
		list_worker(&workers[i]);
	standin_reply(req, 200, v->from);
}

static void
on_control(struct hs_request *req, void *arg)
{
	(void)arg;
	if (strcmp(req->path, "/_fault") == 0)
		add_fault(req);
	else if (strcmp(req->path, "/_via") == 0)
		add_via(req);
	else if (strcmp(req->path, "/_advice") == 0) {
		advice_us = standin_query_i64(req, "ms", 0) * CLK_US_PER_MS;
		standin_reply(req, 200, "ok");
	} else if (strcmp(req->path, "/_config") == 0)
		put_operator_item(req, "op/config");
	else if (strcmp(req->path, "/_wave") == 0)
		put_operator_item(req, "op/wave/1");
	else if (strcmp(req->path, "/_entry") == 0)
		put_entry(req);
	else if (strcmp(req->path, "/_page") == 0) {
		page_items = (size_t)standin_query_i64(req, "items", 0);
		standin_reply(req, 200, "ok");
	} else if (strcmp(req->path, "/_clear") == 0)
		clear_faults(req);
	else if (strcmp(req->path, "/_job") == 0)
		report_job(req);
	else if (strcmp(req->path, "/_runs") == 0)
		report_runs(req);
	else if (strcmp(req->path, "/_age") == 0)
		age_workers(req);
	else if (strcmp(req->path, "/_clocks") == 0)
		seed_clocks(req);
	else if (strcmp(req->path, "/_expiry") == 0) {
		expiry_us = standin_query_i64(req, "ms", 0) * CLK_US_PER_MS;
		standin_reply(req, 200, "ok");
	} else if (strcmp(req->path, "/_worker") == 0)
		switch_worker(req);
	else if (strcmp(req->path, "/_size") == 0)
		size_worker(req);
	else if (strcmp(req->path, "/_vanish") == 0)
		vanish_items(req);
	else if (strcmp(req->path, "/_forget") == 0) {
		lost_history = revision + 1;
		revision++;
		standin_reply(req, 200, "ok");
	} else
		report(req);
}

static void
tick(void *arg)
{
	struct lease *l;
	struct lease *tmp;
	uint32_t i;

	(void)arg;
	HASH_ITER(hh, leases, l, tmp) {
		if (clk_now_us() > l->expires_us)
			end_lease(l);
	}
	for (i = 0; i < worker_count; i++) {
		struct worker *w = &workers[i];

		if (w->down_until_us != 0 && clk_now_us() > w->down_until_us) {
			w->down_until_us = 0;
			w->off = false;
			w->born_us = clk_now_us();
			w->beat_at_us = w->born_us;
		}
		if (w->crashed_until_us != 0 &&
		    clk_now_us() > w->crashed_until_us) {
			w->crashed_until_us = 0;
			w->off = false;
			w->born_us = clk_now_us();
			w->beat_at_us = w->born_us;
		}
		if (w->crashes_us != 0 && clk_now_us() > w->crashes_us)
			crash_worker(w);
		worker_tick(w);
		beat(w);
	}
	answer_watchers();
}

static void
append_address(char *addresses, size_t bytes, hs_handler_fn handler, void *arg)
{
	size_t n = strlen(addresses);
	char address[64];

	standin_serve(loop, address, handler, arg);
	snprintf(addresses + n, bytes - n, " %s", address);
}

/* Addresses for single daemons, so that faults can be their own. */
static void
add_doors(uint32_t count, char *addresses, size_t bytes)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		snprintf(doors[i], sizeof(doors[i]), "store-%u", i);
		append_address(addresses, bytes, on_store, doors[i]);
	}
	for (i = 0; i < count; i++)
		append_address(addresses, bytes, on_advice, &advice_idle_us[i]);
}

static void
make_texts(void)
{
	texts.service = lengthen("batch");
	texts.kind = lengthen("a");
	texts.rack = lengthen("r1");
	texts.ticket = lengthen("ticket");
}

int
main(int argc, char **argv)
{
	char addresses[4096];
	char name[NAME_BYTES];
	uint32_t door_count;
	uint32_t i;

	if (argc < 3) {
		fprintf(stderr,
		    "usage: standin-platform WORKERS CPU [DOORS [TEXT]]\n"
		    "TEXT: least length of ids, labels and tickets\n");
		return 64;
	}
	door_count = argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 0;
	text_bytes = argc > 4 ? strtoul(argv[4], NULL, 10) : 0;
	make_texts();
	loop = loop_create(NULL);
	worker_count = (uint32_t)strtoul(argv[1], NULL, 10);
	if (worker_count > MAX_WORKERS || door_count > MAX_DOORS)
		return 64;
	standin_serve(loop, store_address, on_store, "store");
	standin_serve(
	    loop, advice_address, on_advice, &advice_idle_us[MAX_DOORS]);
	standin_serve(loop, control_address, on_control, NULL);
	standin_serve(loop, duty_address, on_duty, NULL);
	for (i = 0; i < worker_count; i++) {
		struct worker *w = &workers[i];

		snprintf(name, sizeof(name), "w-%u", i);
		name_worker(w, name);
		snprintf(name, sizeof(name), "m-%u", i);
		w->vm = lengthen(name);
		w->cpu = strtoll(argv[2], NULL, 10);
		w->born_us = clk_now_us();
		draw_clock(w);
		w->beat_at_us = w->born_us + BEAT_US * i / worker_count;
		standin_serve(loop, w->address, on_worker, w);
		list_worker(w);
	}
	loop_every(loop, TICK_US, tick, NULL);
	snprintf(addresses, sizeof(addresses), "%s %s %s %s", store_address,
	    advice_address, control_address, duty_address);
	add_doors(door_count, addresses, sizeof(addresses));
	standin_run(loop, addresses);
	return 0;
}
