#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_pool_internal.h"
#include "curranttackd/cell_relay.h"

/* Without a confirmed lease the owner goes on this long. */
#define CP_START_WINDOW_US (6 * CLK_US_PER_S)
/* Everything that time alone brings about is looked at so often. */
#define CP_TICK_US (20 * CLK_US_PER_MS)
#define CP_KICK_US (2 * CLK_US_PER_MS)

static void
cp_on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
{
	struct cp_request *ref = arg;
	struct cp_host *h = ref->h;

	if (cp_request_is_current(ref)) {
		if (result != WP_ACCEPTED)
			lg_event(LG_INFO, "pool", "order_refused", "job",
			    ref->order->ref.job, "step",
			    lg_i64(ref->order->ref.step), "index",
			    lg_i64(ref->order->ref.index), "run",
			    lg_i64(ref->order->run), "kind",
			    lg_i64(ref->order->kind), "worker",
			    ref->order->worker, "result", lg_i64(result), NULL);
		wp_on_order_result(
		    h->pool, ref->order, result, clock_ms, clk_now_us());
		if (result != WP_ACCEPTED)
			cp_schedule_pass(h);
	}
	talloc_free(ref);
}

/* Pools of many workers need daemons in the workers' domains to help. */
static bool
cp_is_relayed(const struct cp_host *h)
{
	return HASH_COUNT(h->pool->workers) >
	    h->cell->settings->relay_above_workers;
}

static void
cp_send_orders(struct cp_host *h)
{
	bool relayed = cp_is_relayed(h);
	struct wp_order *o;

	while ((o = wp_next_order(h->pool)) != NULL) {
		struct cp_request *ref = cp_request_create(h);

		ref->order = talloc_steal(ref, o);
		ct_add(CT_TASKS_STARTED, o->kind == WP_ORDER_START);
		rl_order(h->cell->relay, wp_find_worker(h->pool, o->worker), o,
		    h->fence, relayed, cp_on_order, ref);
	}
}

static void
cp_on_hold(enum wp_order_result result, const struct wp_renewal_reply *reply,
    void *arg)
{
	struct cp_request *ref = arg;
	struct cp_host *h = ref->h;
	struct wp_worker *w = NULL;

	if (cp_request_is_current(ref))
		w = wp_find_worker(h->pool, ref->worker);
	if (w != NULL) {
		if (reply != NULL)
			wp_on_renewal(h->pool, w, reply, clk_now_us());
		else
			wp_on_renewal_failed(h->pool, w, result, clk_now_us());
		cp_schedule_pass(h);
	}
	talloc_free(ref);
}

static void
cp_send_holds(struct cp_host *h, int64_t now_us)
{
	bool relayed = cp_is_relayed(h);
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_renewal hold;

	HASH_ITER(hh, h->pool->workers, w, tmp) {
		struct cp_request *ref;

		if (!wp_renewal_due(h->pool, w, now_us, &hold))
			continue;
		ref = cp_request_create(h);
		memcpy(ref->worker, w->id, sizeof(ref->worker));
		rl_hold(h->cell->relay, w, &hold, h->fence, relayed, cp_on_hold,
		    ref);
	}
}

static void
cp_on_advice(bool ok, const struct wp_approval *good, uint32_t count, void *arg)
{
	struct cp_request *ref = arg;
	struct cp_host *h = ref->h;
	int64_t now_us = clk_now_us();

	if (cp_request_is_current(ref)) {
		wp_on_advice(
		    h->pool, &ref->ask, ok, good, count, now_us, now_us);
		cp_schedule_pass(h);
	}
	talloc_free(ref);
}

static void
cp_send_asks(struct cp_host *h, int64_t now_us)
{
	struct wp_advice_request ask;

	while (wp_next_advice_request(h->pool, now_us, &ask)) {
		struct cp_request *ref = cp_request_create(h);

		ref->ask = ask;
		av_submit(h->cell->advice, &ask, cp_on_advice, ref);
	}
}

/* What has changed since the last time goes out. */
void
cp_run_pass(struct cp_host *h, int64_t now_us)
{
	h->pool->draining = h->state != CP_OWNER ||
	    now_us - h->lease_confirmed_us > CP_START_WINDOW_US;
	h->pool->ownership_unconfirmed =
	    now_us - h->lease_confirmed_us >= CP_LEASE_MS * CLK_US_PER_MS;
	if (now_us >= h->full_pass_at_us) {
		h->full_pass_at_us = now_us + CP_TICK_US;
		wp_tick(h->pool, now_us);
	} else {
		wp_schedule(h->pool, now_us);
	}
	if (h->pool->superseded) {
		cp_step_down(h, "fenced by a worker");
		return;
	}
	cp_send_orders(h);
	cp_send_asks(h, now_us);
	cp_send_holds(h, now_us);
	rl_flush(h->cell->relay);
	cp_start_commit(h);
}

static void
cp_run_kicked(void *arg)
{
	struct cp_host *h = arg;
	int64_t begin_us = clk_now_us();

	h->pass_scheduled = false;
	if (h->pool == NULL)
		return;
	cp_run_pass(h, begin_us);
	h->pass_duration_us = clk_now_us() - begin_us;
}

/* The loop prefers timers to sockets: answers get twice the time of an act. */
void
cp_schedule_pass(struct cp_host *h)
{
	int64_t delay_us = 2 * h->pass_duration_us;

	if (h->pass_scheduled)
		return;
	if (delay_us < CP_KICK_US)
		delay_us = CP_KICK_US;
	if (delay_us > CP_TICK_US)
		delay_us = CP_TICK_US;
	h->pass_scheduled = true;
	loop_after(h->cell->loop, delay_us, cp_run_kicked, h);
}
