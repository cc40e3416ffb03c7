/*
 * Stand-in for the platform's workers. Arguments: ID:CORES:GB:ACCELERATORS
 * for each worker. It checks capacity, obeys leases and epochs, keeps
 * outcomes until they are acknowledged, and counts as violations what must
 * never happen: an overcommitted worker, or a task in two places.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/rng.h"
#include "standin.h"
#include "state/types.h"

#define TICK_US (5 * CLK_US_PER_MS)
#define USAGE_LAG_US (200 * CLK_US_PER_MS)

struct task {
	char *job;
	uint32_t index;
	uint64_t attempt;
	struct st_res need;
	int64_t started_us;
	int64_t ends_us;
	bool idempotent;
	enum st_result result;
	struct task *prev;
	struct task *next;
};

struct poll {
	struct hs_request *req;
	int64_t deadline_us;
	struct poll *next;
};

struct worker {
	struct farm *farm;
	char id[64];
	char address[64];
	struct st_res capacity;
	struct st_res used;
	struct task *running;
	struct task *ended;
	struct poll *polls;
	uint64_t epoch;
	uint64_t seq;
	uint64_t generation;
	int64_t lease_until_us;
	int64_t clock_offset_us;
	uint64_t news;
	bool cut;
	bool fail_all;
	int64_t usage_percent;
};

/*
 * Counts live and total starts of one task over all workers, and keeps how
 * far its last checkpoint had come.
 */
struct history {
	char key[160];
	uint32_t live;
	uint32_t starts;
	uint32_t completions;
	bool idempotent;
	int64_t checkpoint_us;
	UT_hash_handle hh;
};

struct farm {
	struct loop *loop;
	struct worker *worker;
	uint32_t count;
	struct history *history;
	uint64_t starts;
	uint64_t ends;
	uint64_t syncs;
	uint64_t sync_bytes;
	uint64_t overcommitted;
	uint64_t doubled;
	uint64_t repeated;
};

static int64_t
worker_clock_us(const struct worker *w)
{
	return clk_now_us() + w->clock_offset_us;
}

static struct history *
get_history(struct farm *f, const struct task *t)
{
	struct history *h;
	char key[160];

	snprintf(key, sizeof(key), "%s/%u", t->job, t->index);
	HASH_FIND_STR(f->history, key, h);
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		memcpy(h->key, key, sizeof(key));
		h->idempotent = t->idempotent;
		HASH_ADD_STR(f->history, key, h);
	}
	return h;
}

static void
violation(uint64_t *counter, const struct worker *w, const struct task *t,
    const char *what)
{
	(*counter)++;
	fprintf(stderr,
	    "VIOLATION %s worker=%s job=%s index=%u attempt=%" PRIu64 "\n",
	    what, w->id, t->job, t->index, t->attempt);
}

static struct task *
find_task(struct task *list, const char *job, uint32_t index, uint64_t attempt)
{
	struct task *t;

	DL_FOREACH(list, t) {
		if (t->attempt == attempt && t->index == index &&
		    strcmp(t->job, job) == 0)
			return t;
	}
	return NULL;
}

static void
free_task(struct task *t)
{
	free(t->job);
	free(t);
}

static void
end_task(struct worker *w, struct task *t, enum st_result result, bool keep)
{
	struct history *h = get_history(w->farm, t);

	DL_DELETE(w->running, t);
	st_res_sub(&w->used, &t->need);
	h->live--;
	w->farm->ends++;
	if (result == ST_RESULT_DONE)
		h->completions++;
	if (!keep) {
		free_task(t);
		return;
	}
	t->result = result;
	DL_APPEND(w->ended, t);
	w->news++;
}

static void
lose_lease(struct worker *w)
{
	struct task *t;
	struct task *next;

	DL_FOREACH_SAFE(w->running, t, next)
		end_task(w, t, ST_RESULT_CANCELLED, false);
	w->generation++;
	w->lease_until_us = 0;
}

static void
read_task(json_t *o, struct task *t)
{
	const char *job = json_string_value(json_object_get(o, "job"));

	t->job = strdup(job != NULL ? job : "");
	t->index = (uint32_t)json_integer_value(json_object_get(o, "index"));
	t->attempt =
	    (uint64_t)json_integer_value(json_object_get(o, "attempt"));
	t->need.cpu_mcpu = json_integer_value(json_object_get(o, "cpu_mcpu"));
	t->need.mem_bytes = json_integer_value(json_object_get(o, "mem_bytes"));
	t->need.accel =
	    (int32_t)json_integer_value(json_object_get(o, "accelerators"));
	t->idempotent = json_is_true(json_object_get(o, "idempotent"));
	t->started_us = clk_now_us();
	t->ends_us = INT64_MAX;
	if (json_object_get(o, "run_us") != NULL)
		t->ends_us = t->started_us +
		    json_integer_value(json_object_get(o, "run_us"));
}

static json_t *
show_ref(const struct task *t)
{
	return json_pack("{s:s, s:i, s:I}", "job", t->job, "index",
	    (int)t->index, "attempt", (json_int_t)t->attempt);
}

static void
start_task(struct worker *w, json_t *o, json_t *started, json_t *refused)
{
	struct task *t = calloc(1, sizeof(*t));
	struct history *h;
	struct st_res free_res = w->capacity;

	read_task(o, t);
	if (find_task(w->running, t->job, t->index, t->attempt) != NULL) {
		json_array_append_new(started, show_ref(t));
		free_task(t);
		return;
	}
	if (find_task(w->ended, t->job, t->index, t->attempt) != NULL) {
		free_task(t);
		return;
	}
	st_res_sub(&free_res, &w->used);
	if (!st_res_fits(&t->need, &free_res)) {
		violation(&w->farm->overcommitted, w, t, "overcommitted");
		json_array_append_new(refused, show_ref(t));
		free_task(t);
		return;
	}
	h = get_history(w->farm, t);
	if (h->live > 0)
		violation(&w->farm->doubled, w, t, "two-places");
	if (h->starts > 0 && !t->idempotent)
		violation(&w->farm->repeated, w, t, "repeated");
	h->live++;
	h->starts++;
	w->farm->starts++;
	if (t->ends_us != INT64_MAX)
		t->ends_us -= h->checkpoint_us;
	st_res_add(&w->used, &t->need);
	DL_APPEND(w->running, t);
	json_array_append_new(started, show_ref(t));
	if (w->fail_all)
		end_task(w, t, ST_RESULT_FAILED, true);
}

static void
stop_task(struct worker *w, json_t *o)
{
	struct task probe = {0};
	struct task *t;

	read_task(o, &probe);
	t = find_task(w->running, probe.job, probe.index, probe.attempt);
	if (t != NULL) {
		if (json_is_true(json_object_get(o, "checkpoint")))
			get_history(w->farm, t)->checkpoint_us +=
			    clk_now_us() - t->started_us;
		end_task(w, t, ST_RESULT_CANCELLED, true);
	} else if (find_task(w->ended, probe.job, probe.index, probe.attempt) ==
	    NULL) {
		/* Never started here, and now it never will be. */
		t = calloc(1, sizeof(*t));
		read_task(o, t);
		t->result = ST_RESULT_CANCELLED;
		DL_APPEND(w->ended, t);
		w->news++;
	}
	free(probe.job);
}

/* Runs a task on fewer cores, and longer; never on more than it was given. */
static void
throttle_task(struct worker *w, json_t *o)
{
	struct task probe = {0};
	struct task *t;
	int64_t now_us = clk_now_us();

	read_task(o, &probe);
	t = find_task(w->running, probe.job, probe.index, probe.attempt);
	free(probe.job);
	if (t == NULL || probe.need.cpu_mcpu <= 0 ||
	    probe.need.cpu_mcpu >= t->need.cpu_mcpu)
		return;
	if (t->ends_us != INT64_MAX)
		t->ends_us = now_us +
		    (t->ends_us - now_us) * t->need.cpu_mcpu /
			probe.need.cpu_mcpu;
	w->used.cpu_mcpu -= t->need.cpu_mcpu - probe.need.cpu_mcpu;
	t->need.cpu_mcpu = probe.need.cpu_mcpu;
}

static void
ack_task(struct worker *w, json_t *o)
{
	struct task probe = {0};
	struct task *t;

	read_task(o, &probe);
	t = find_task(w->ended, probe.job, probe.index, probe.attempt);
	if (t != NULL) {
		DL_DELETE(w->ended, t);
		free_task(t);
	}
	free(probe.job);
}

static json_t *
show_usage(const struct worker *w)
{
	json_t *usage = json_array();
	const struct task *t;

	DL_FOREACH(w->running, t) {
		json_t *o;

		if (clk_now_us() < t->started_us + USAGE_LAG_US)
			continue;
		o = show_ref(t);
		json_object_set_new(o, "cpu_mcpu",
		    json_integer(t->need.cpu_mcpu * w->usage_percent / 100));
		json_object_set_new(o, "mem_bytes",
		    json_integer(t->need.mem_bytes * w->usage_percent / 100));
		json_array_append_new(usage, o);
	}
	return usage;
}

static json_t *
show_ended(const struct worker *w)
{
	json_t *list = json_array();
	const struct task *t;

	DL_FOREACH(w->ended, t) {
		json_t *o = show_ref(t);

		json_object_set_new(
		    o, "result", json_string(st_result_name(t->result)));
		json_array_append_new(list, o);
	}
	return list;
}

static json_t *
build_reply(struct worker *w, bool inventory)
{
	json_t *ended = show_ended(w);
	json_t *running;
	json_t *reply;
	struct task *t;

	reply =
	    json_pack("{s:I, s:I}", "clock_us", (json_int_t)worker_clock_us(w),
		"lease_generation", (json_int_t)w->generation);
	if (json_array_size(ended) > 0)
		json_object_set(reply, "ended", ended);
	json_decref(ended);
	if (inventory) {
		running = json_array();
		DL_FOREACH(w->running, t)
			json_array_append_new(running, show_ref(t));
		json_object_set_new(reply, "running", running);
		if (w->usage_percent > 0)
			json_object_set_new(reply, "usage", show_usage(w));
	}
	return reply;
}

static void
apply_sync(struct worker *w, json_t *body, struct hs_request *req)
{
	json_t *started = json_array();
	json_t *refused = json_array();
	uint64_t generation;
	int64_t until_us;
	json_t *reply;
	json_t *o;
	size_t i;

	generation = (uint64_t)json_integer_value(
	    json_object_get(body, "lease_generation"));
	until_us = json_integer_value(json_object_get(body, "lease_until_us"));
	json_array_foreach(json_object_get(body, "ack"), i, o)
		ack_task(w, o);
	if (generation == w->generation) {
		if (until_us > w->lease_until_us)
			w->lease_until_us = until_us;
		json_array_foreach(json_object_get(body, "stop"), i, o)
			stop_task(w, o);
		json_array_foreach(json_object_get(body, "throttle"), i, o)
			throttle_task(w, o);
		json_array_foreach(json_object_get(body, "start"), i, o) {
			if (worker_clock_us(w) < w->lease_until_us)
				start_task(w, o, started, refused);
		}
	} else {
		json_array_foreach(json_object_get(body, "start"), i, o)
			json_array_append(refused, o);
	}
	reply = build_reply(w,
	    json_is_true(json_object_get(body, "want_inventory")) ||
		generation != w->generation);
	if (json_array_size(started) > 0)
		json_object_set(reply, "started", started);
	if (json_array_size(refused) > 0)
		json_object_set(reply, "refused", refused);
	json_decref(started);
	json_decref(refused);
	standin_reply_json(req, 200, reply);
}

static void
handle_sync(struct worker *w, struct hs_request *req)
{
	json_t *body = standin_body(req);
	uint64_t epoch;
	uint64_t seq;

	if (body == NULL)
		return;
	w->farm->syncs++;
	w->farm->sync_bytes += req->body_bytes;
	epoch = (uint64_t)json_integer_value(json_object_get(body, "epoch"));
	seq = (uint64_t)json_integer_value(json_object_get(body, "seq"));
	if (epoch < w->epoch || (epoch == w->epoch && seq <= w->seq)) {
		standin_reply_json(req, 409,
		    json_pack("{s:I, s:I, s:I}", "fenced_by",
			(json_int_t)w->epoch, "clock_us",
			(json_int_t)worker_clock_us(w), "lease_generation",
			(json_int_t)w->generation));
	} else {
		w->epoch = epoch;
		w->seq = seq;
		apply_sync(w, body, req);
	}
	json_decref(body);
}

static void
answer_poll(struct worker *w, struct hs_request *req)
{
	standin_reply_json(req, 200,
	    json_pack("{s:I, s:o}", "news", (json_int_t)w->news, "ended",
		show_ended(w)));
}

static void
handle_events(struct worker *w, struct hs_request *req)
{
	uint64_t after = (uint64_t)standin_query_i64(req, "after", 0);
	struct poll *p;

	if (w->news > after) {
		answer_poll(w, req);
		return;
	}
	p = calloc(1, sizeof(*p));
	p->req = req;
	p->deadline_us = clk_now_us() +
	    standin_query_i64(req, "wait_ms", 10000) * CLK_US_PER_MS;
	LL_PREPEND(w->polls, p);
}

static void
handle_behaviour(struct worker *w, struct hs_request *req)
{
	json_t *body = standin_body(req);
	json_t *value;

	if (body == NULL)
		return;
	value = json_object_get(body, "cut");
	if (value != NULL)
		w->cut = json_is_true(value);
	value = json_object_get(body, "fail_all");
	if (value != NULL)
		w->fail_all = json_is_true(value);
	value = json_object_get(body, "usage_percent");
	if (value != NULL)
		w->usage_percent = json_integer_value(value);
	/* Like a replaced VM: nothing of before is left. */
	if (json_is_true(json_object_get(body, "reset"))) {
		lose_lease(w);
		w->epoch = 0;
		w->seq = 0;
	}
	json_decref(body);
	standin_reply(req, 200, "ok");
}

static void
handle_report(struct farm *f, struct hs_request *req)
{
	struct history *h;
	uint64_t live = 0;
	uint64_t multi = 0;

	for (h = f->history; h != NULL; h = h->hh.next) {
		live += h->live;
		multi += !h->idempotent && h->completions > 1;
	}
	standin_reply_json(req, 200,
	    json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "starts",
		(json_int_t)f->starts, "ends", (json_int_t)f->ends, "live",
		(json_int_t)live, "overcommitted", (json_int_t)f->overcommitted,
		"doubled", (json_int_t)f->doubled, "repeated",
		(json_int_t)f->repeated, "completed_twice", (json_int_t)multi,
		"syncs", (json_int_t)f->syncs, "sync_bytes",
		(json_int_t)f->sync_bytes));
}

static void
on_request(struct hs_request *req, void *arg)
{
	struct worker *w = arg;

	if (strcmp(req->path, "/_report") == 0)
		handle_report(w->farm, req);
	else if (strcmp(req->path, "/_behaviour") == 0)
		handle_behaviour(w, req);
	else if (w->cut)
		hs_abort(req, "", 0, 1);
	else if (strcmp(req->path, "/v1/sync") == 0)
		handle_sync(w, req);
	else if (strcmp(req->path, "/v1/events") == 0)
		handle_events(w, req);
	else
		standin_reply(req, 404, "no such path");
}

static void
tick_worker(struct worker *w, int64_t now_us)
{
	struct task *t;
	struct task *next;
	struct poll *p;
	struct poll *pnext;
	uint64_t news = w->news;

	if (w->lease_until_us != 0 && worker_clock_us(w) >= w->lease_until_us)
		lose_lease(w);
	DL_FOREACH_SAFE(w->running, t, next) {
		if (now_us >= t->ends_us)
			end_task(w, t, ST_RESULT_DONE, true);
	}
	LL_FOREACH_SAFE(w->polls, p, pnext) {
		if (w->news == news && now_us < p->deadline_us)
			continue;
		LL_DELETE(w->polls, p);
		answer_poll(w, p->req);
		free(p);
	}
}

static void
on_tick(void *arg)
{
	struct farm *f = arg;
	int64_t now_us = clk_now_us();
	uint32_t i;

	for (i = 0; i < f->count; i++)
		tick_worker(&f->worker[i], now_us);
}

int
main(int argc, char **argv)
{
	struct farm f = {0};
	struct rng rng = {1};
	char *addresses = calloc((size_t)argc, 80);
	size_t at = 0;
	int i;

	f.loop = loop_create(NULL);
	f.count = (uint32_t)(argc - 1);
	f.worker = calloc((size_t)argc, sizeof(*f.worker));
	for (i = 1; i < argc; i++) {
		struct worker *w = &f.worker[i - 1];
		double cores;
		double gb;

		if (sscanf(argv[i], "%63[^:]:%lf:%lf:%d", w->id, &cores, &gb,
			&w->capacity.accel) != 4) {
			fprintf(stderr, "worker: bad argument %s\n", argv[i]);
			return 2;
		}
		w->farm = &f;
		w->capacity.cpu_mcpu = (int64_t)(cores * 1000.0);
		w->capacity.mem_bytes = (int64_t)(gb * 1e9);
		w->generation = 1 + rng_below(&rng, 1000000);
		w->clock_offset_us = (int64_t)rng_below(&rng, 1000000000);
		standin_serve(f.loop, w->address, on_request, w);
		at += (size_t)sprintf(
		    addresses + at, "%s%s", i > 1 ? " " : "", w->address);
	}
	loop_every(f.loop, TICK_US, on_tick, &f);
	standin_run(f.loop, addresses);
	return 0;
}
