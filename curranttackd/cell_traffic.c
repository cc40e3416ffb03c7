#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"
#include "curranttackd/cell_relay.h"

/* An owner whose lease has not been confirmed for this long starts nothing. */
#define CP_UNCONFIRMED_START_LIMIT_US (6 * CLK_US_PER_S)
/* Interval of full passes, which also handle what is due at some time. */
#define CP_FULL_PASS_US (20 * CLK_US_PER_MS)
#define CP_MIN_PASS_DELAY_US (2 * CLK_US_PER_MS)

/* @kept: the run still counts as being on the worker. */
static void
cp_log_order_refused(const struct cp_host *h, const struct wp_order *o,
    enum wp_order_result result, bool kept)
{
	lg_event(LG_INFO, "pool", "order_refused", "job", o->ref.job, "step",
	    lg_i64(o->ref.step), "index", lg_i64(o->ref.index), "run",
	    lg_i64(o->run), "kind", lg_i64(o->kind), "worker", o->worker,
	    "result", lg_i64(result), "sends", lg_i64(o->sends), "kept",
	    lg_i64(kept), "fence", lg_i64((int64_t)h->fence), "ticket_bytes",
	    o->ticket != NULL ? lg_i64((int64_t)strlen(o->ticket)) : NULL,
	    NULL);
}

static void
cp_on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
{
	struct cp_request *req = arg;
	struct cp_host *h = req->h;
	bool kept;

	if (cp_request_is_current(req)) {
		kept = wp_on_order_result(
		    h->pool, req->order, result, clock_ms, clk_now_us());
		if (result != WP_ACCEPTED)
			cp_log_order_refused(h, req->order, result, kept);
		if (result != WP_ACCEPTED || h->pool->starts_delayed)
			cp_schedule_pass(h);
	}
	talloc_free(req);
}

/* An owner can't call all workers of a large pool by itself. */
static bool
cp_uses_relays(const struct cp_host *h)
{
	return HASH_COUNT(h->pool->workers) >
	    h->cell->settings->relay_above_workers;
}

/* A worker that has restarted has a later one than the pool's. */
static uint64_t
cp_token(const struct cp_host *h, uint64_t workers_own)
{
	return workers_own != 0 ? workers_own : h->fence;
}

static void
cp_send_orders(struct cp_host *h)
{
	bool relayed = cp_uses_relays(h);
	struct wp_order *o;

	while ((o = wp_next_order(h->pool)) != NULL) {
		struct cp_request *req = cp_request_create(h);

		req->order = talloc_steal(req, o);
		ct_add(CT_TASKS_STARTED, o->kind == WP_ORDER_START);
		rl_order(h->cell->relay, wp_find_worker(h->pool, o->worker), o,
		    cp_token(h, o->fence), relayed && !wp_bypasses_relays(o),
		    cp_on_order, req);
	}
}

static void
cp_renewal_failed(
    struct cp_host *h, struct wp_worker *w, enum wp_order_result result)
{
	int64_t now_us = clk_now_us();
	bool was_reachable = w->reachable;

	wp_on_renewal_failed(h->pool, w, result, now_us);
	if (was_reachable && !w->reachable)
		lg_event(LG_INFO, "pool", "worker_unreachable", "pool", h->name,
		    "worker", w->id, "result", lg_i64(result), "silent_ms",
		    lg_i64((now_us - w->clock_read_us) / CLK_US_PER_MS),
		    "incarnation", lg_i64(w->incarnation_ms), "lease_left_ms",
		    lg_i64(wp_lease_left_us(w, now_us) / CLK_US_PER_MS), "why",
		    wp_lease_why_name(wp_lease_why(w, now_us)), "tasks",
		    lg_i64(wp_count_tasks(w)), NULL);
}

static void
cp_handle_renewal(const struct cp_request *req, enum wp_order_result result,
    const struct wp_renewal_reply *reply)
{
	struct cp_host *h = req->h;
	struct wp_worker *w = wp_find_worker(h->pool, req->worker);
	int64_t now_us = clk_now_us();

	if (w == NULL)
		return;
	/* It did nothing; the next renewal tells whether it is there. */
	if (result == WP_REFUSED_STALE_TOKEN &&
	    wp_is_fenced_by_owner(w, req->fence))
		result = WP_REFUSED_UNHEALTHY;
	if (reply != NULL && req->overdue)
		wp_on_overdue_reply(h->pool, w, reply, req->fence, now_us);
	else if (reply != NULL)
		wp_on_renewal(h->pool, w, reply, now_us);
	else if (!req->overdue || result == WP_REFUSED_STALE_TOKEN)
		cp_renewal_failed(h, w, result);
	cp_schedule_pass(h);
}

static void
cp_on_renewal(enum wp_order_result result, const struct wp_renewal_reply *reply,
    void *arg)
{
	struct cp_request *req = arg;

	if (cp_request_is_current(req))
		cp_handle_renewal(req, result, reply);
	if (result == WP_OVERDUE)
		req->overdue = true;
	else
		talloc_free(req);
}

static void
cp_send_renewals(struct cp_host *h, int64_t now_us)
{
	bool relayed = cp_uses_relays(h);
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_renewal renewal;

	HASH_ITER(hh, h->pool->workers, w, tmp) {
		struct cp_request *req;

		if (!wp_renewal_due(h->pool, w, now_us, &renewal))
			continue;
		req = cp_request_create(h);
		req->worker = tx_dup(req, w->id);
		req->fence = renewal.fence;
		rl_renew(h->cell->relay, w, &renewal,
		    cp_token(h, renewal.fence), relayed, cp_on_renewal, req);
	}
}

static void
cp_on_advice(
    bool ok, const struct wp_approval *approved, uint32_t count, void *arg)
{
	struct cp_request *req = arg;
	struct cp_host *h = req->h;
	int64_t now_us = clk_now_us();

	if (cp_request_is_current(req)) {
		wp_on_advice(h->pool, &req->advice_request, ok, approved, count,
		    now_us, now_us);
		cp_schedule_pass(h);
	}
	talloc_free(req);
}

/* One line for each change of what is known of a run and its worker's crash. */
static void
cp_log_crashes(struct cp_host *h)
{
	struct wp_crash_event *e;

	while ((e = wp_next_crash_event(h->pool)) != NULL) {
		lg_event(LG_WARN, "pool", "task_crash", "pool", h->name, "kind",
		    wp_crash_kind_name(e->kind), "job", e->ref.job, "step",
		    lg_i64(e->ref.step), "index", lg_i64(e->ref.index), "run",
		    lg_i64(e->crash.run), "worker", e->crash.worker,
		    "incarnation", lg_i64(e->crash.incarnation_ms), "crashes",
		    lg_i64(e->crashes), "weight", lg_i64(e->crash.weight),
		    NULL);
		talloc_free(e);
	}
}

/* One line each time that a worker comes to list more than a limit. */
static void
cp_log_over_limit(struct cp_host *h)
{
	struct wp_over_event *e;

	while ((e = wp_next_over_event(h->pool)) != NULL) {
		lg_event(LG_WARN, "pool", "over_limit", "pool", h->name,
		    "limit", wp_over_kind_name(e->kind), "worker", e->worker,
		    "incarnation", lg_i64(e->incarnation_ms), "listed_at_ms",
		    lg_i64(e->clock_ms), "cpu_mcpu",
		    lg_i64(e->capacity.cpu_mcpu), "mem_mb",
		    lg_i64(e->capacity.mem_mb), "gpu", lg_i64(e->capacity.gpu),
		    "listed_cpu_mcpu", lg_i64(e->listed.cpu_mcpu),
		    "listed_mem_mb", lg_i64(e->listed.mem_mb), "listed_gpu",
		    lg_i64(e->listed.gpu), "used_cpu_mcpu",
		    lg_i64(e->used.cpu_mcpu), "used_mem_mb",
		    lg_i64(e->used.mem_mb), "used_gpu", lg_i64(e->used.gpu),
		    "orphaned_cpu_mcpu", lg_i64(e->orphaned.cpu_mcpu),
		    "orphaned_mem_mb", lg_i64(e->orphaned.mem_mb),
		    "orphaned_gpu", lg_i64(e->orphaned.gpu), "run_count",
		    lg_i64(e->run_count), "runs", e->runs, NULL);
		talloc_free(e);
	}
}

/* -1 where the time is unknown. */
static const char *
cp_ms(int64_t us)
{
	return lg_i64(us < 0 ? -1 : us / CLK_US_PER_MS);
}

/* One line each time that what a worker's lease is taken to be begins anew. */
static void
cp_log_leases(struct cp_host *h)
{
	struct wp_lease_event *e;

	while ((e = wp_next_lease_event(h->pool)) != NULL) {
		bool began = e->kind == WP_LEASE_RESTARTED;
		const char *by = e->replied ? "reply" : "entry";

		lg_event(LG_INFO, "pool", wp_lease_kind_name(e->kind), "pool",
		    h->name, "worker", e->worker, "incarnation",
		    lg_i64(e->incarnation_ms), "clock_at_ms",
		    lg_i64(e->clock_ms), "lease_until_ms",
		    lg_i64(e->lease_end_clock_ms), "lease_left_ms",
		    cp_ms(e->lease_left_us), "why", wp_lease_why_name(e->why),
		    "silent_ms", cp_ms(e->silent_us), "tasks", lg_i64(e->tasks),
		    "known_incarnation", lg_i64(e->known_incarnation_ms),
		    "skipped", lg_i64(e->skipped), "fence",
		    lg_i64((int64_t)h->fence), "earlier_incarnation",
		    began ? lg_i64(e->earlier_incarnation_ms) : NULL,
		    "earlier_clock_at_ms",
		    began ? lg_i64(e->earlier_clock_ms) : NULL, "by",
		    began ? by : NULL, NULL);
		talloc_free(e);
	}
}

static void
cp_send_advice_requests(struct cp_host *h, int64_t now_us)
{
	struct wp_advice_request request;

	while (wp_next_advice_request(h->pool, now_us, &request)) {
		struct cp_request *req = cp_request_create(h);

		req->advice_request = request;
		av_submit(h->cell->advice, &request, cp_on_advice, req);
	}
}

/* Schedules, then sends the orders, requests and commits that result. */
void
cp_run_pass(struct cp_host *h, int64_t now_us)
{
	/* The process may have been stopped since the last tick. */
	if (!cp_check_permit(h, now_us))
		return;
	h->pool->draining = h->state != CP_OWNER ||
	    now_us - h->lease_confirmed_us > CP_UNCONFIRMED_START_LIMIT_US;
	h->pool->ownership_unconfirmed =
	    now_us - h->lease_confirmed_us >= CP_LEASE_MS * CLK_US_PER_MS;
	if (now_us >= h->full_pass_at_us) {
		h->full_pass_at_us = now_us + CP_FULL_PASS_US;
		wp_tick(h->pool, now_us);
	} else {
		wp_schedule(h->pool, now_us);
	}
	cp_log_crashes(h);
	cp_log_over_limit(h);
	cp_log_leases(h);
	if (h->pool->superseded) {
		cp_step_down(h, "fenced by a worker");
		return;
	}
	cp_send_orders(h);
	cp_send_advice_requests(h, now_us);
	cp_send_renewals(h, now_us);
	rl_flush(h->cell->relay);
	cp_start_commit(h);
}

static void
cp_on_pass_timer(void *arg)
{
	struct cp_host *h = arg;
	int64_t begin_us = clk_now_us();

	h->pass_scheduled = false;
	if (h->pool == NULL)
		return;
	cp_run_pass(h, begin_us);
	h->pass_duration_us = clk_now_us() - begin_us;
}

/*
 * The loop runs timers before sockets, so responses get twice the time of the
 * last pass before the next one.
 */
void
cp_schedule_pass(struct cp_host *h)
{
	int64_t delay_us = 2 * h->pass_duration_us;

	if (h->pass_scheduled)
		return;
	if (delay_us < CP_MIN_PASS_DELAY_US)
		delay_us = CP_MIN_PASS_DELAY_US;
	if (delay_us > CP_FULL_PASS_US)
		delay_us = CP_FULL_PASS_US;
	h->pass_scheduled = true;
	loop_after(h->cell->loop, delay_us, cp_on_pass_timer, h);
}
