#include <signal.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_calls.h"
#include "curranttackd/cell_frames.h"
#include "curranttackd/cell_lookup.h"
#include "curranttackd/cell_maintenance.h"
#include "curranttackd/cell_member.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "curranttackd/cell_relay.h"
#include "curranttackd/cell_run.h"
#include "platform/platform.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/frame.h"

#define CELL_TICK_US (25 * CLK_US_PER_MS)
/* For a daemon that owns no pool and is outranked as a claimant. */
#define CELL_IDLE_TICK_US (100 * CLK_US_PER_MS)
/* Time for the load balancer to notice that this daemon is not ready. */
#define CELL_UNREADY_US (2500 * CLK_US_PER_MS)
/* Part of the grace period that is kept for the exit itself. */
#define CELL_EXIT_MARGIN_US (800 * CLK_US_PER_MS)
/* For answers to reach their callers before the exit. */
#define CELL_FLUSH_US (200 * CLK_US_PER_MS)
/* For the request on a connection that was accepted last. */
#define CELL_FRESH_US (300 * CLK_US_PER_MS)

static void
cell_on_job(struct rp_job *job, void *arg)
{
	cp_on_job(arg, job);
}

static void
cell_on_cancel(struct rp_job *job, void *arg)
{
	cp_on_cancel(arg, job);
}

static void
cell_on_worker(struct rp_worker *w, void *arg)
{
	cp_on_worker(arg, w);
}

static void
cell_on_owner(struct rp_owner *o, void *arg)
{
	cp_on_owner(arg, o);
}

static void
cell_on_member(struct rp_member *m, void *arg)
{
	struct cell *c = arg;

	cp_on_member(c, m);
	cell_member_on_changed(c, m);
}

static void
cell_on_store_answered(void *arg)
{
	struct cell *c = arg;

	c->store_answered_us = clk_now_us();
}

static const struct rp_hooks cell_replica_hooks = {
    .job = cell_on_job,
    .cancel = cell_on_cancel,
    .worker = cell_on_worker,
    .owner = cell_on_owner,
    .member = cell_on_member,
    .store_answered = cell_on_store_answered,
};

static void
cell_start_drain(struct cell *c)
{
	int64_t grace_us = c->settings->grace_us;
	struct dr_limits limits = {
	    .unready_us = CELL_UNREADY_US,
	    .end_us = grace_us > 2 * CELL_EXIT_MARGIN_US
		? grace_us - CELL_EXIT_MARGIN_US
		: grace_us / 2,
	    .flush_us = CELL_FLUSH_US,
	    .fresh_us = CELL_FRESH_US,
	};

	c->draining = true;
	c->drain_started_us = clk_now_us();
	dr_begin(&c->drain, &limits, c->drain_started_us);
	cc_begin_drain(c->frontend);
	lg_event(LG_INFO, "daemon", "draining", NULL);
	cp_release_all(c);
	cell_member_leave(c);
}

static void
cell_log_stopped(struct cell *c, const struct hs_counts *n)
{
	lg_event(LG_INFO, "daemon", "stopped", "busy",
	    lg_i64(cc_pending_count(c->frontend)), "connections",
	    lg_i64(n->connections), "reading", lg_i64(n->reading), "unanswered",
	    lg_i64(n->unanswered), "sending", lg_i64(n->sending), "read",
	    lg_i64((int64_t)ct_get(CT_HTTP_READ)), "answered",
	    lg_i64((int64_t)ct_get(CT_HTTP_ANSWERED)), "cut",
	    lg_i64((int64_t)ct_get(CT_HTTP_CUT)), "answered_at_end",
	    lg_i64((int64_t)ct_get(CT_HTTP_AT_END)), "after_ms",
	    lg_i64((clk_now_us() - c->drain_started_us) / CLK_US_PER_MS), NULL);
}

/* Connections are closed at once: callers must not send to them any more. */
static void
cell_stop(struct cell *c)
{
	struct hs_counts n;

	cc_get_counts(c->frontend, &n);
	cc_stop(c->frontend);
	cell_log_stopped(c, &n);
	loop_stop(c->loop);
}

static void
cell_get_view(struct cell *c, struct dr_view *view)
{
	struct hs_counts n;

	cc_get_counts(c->frontend, &n);
	view->requests = n.reading + n.unanswered + n.sending;
	view->fresh = n.fresh;
	view->has_duties = cp_owned_count(c) > 0;
}

static void
cell_drain_tick(struct cell *c, int64_t now_us)
{
	enum dr_step step = c->drain.step;
	struct dr_view view;

	if (step == DR_ENDED)
		return;
	/* A claim that was under way may have succeeded since. */
	cp_release_all(c);
	/* What has arrived by now is part of the decision. */
	cc_run(c->frontend);
	if (dr_is_overdue(&c->drain, now_us))
		cc_answer_overdue(c->frontend);
	cell_get_view(c, &view);
	if (dr_next(&c->drain, &view, now_us) == step)
		return;
	if (c->drain.step == DR_CLOSING)
		cc_stop_accepting(c->frontend);
	else
		cell_stop(c);
}

/* Timer wake-ups cost CPU time, which most VMs of a large cell lack. */
static void
cell_adjust_tick(struct cell *c)
{
	bool idle =
	    cp_is_outranked(c) && cp_owned_count(c) == 0 && !c->draining;

	if (idle == c->slow_tick)
		return;
	c->slow_tick = idle;
	loop_set_interval(c->tick, idle ? CELL_IDLE_TICK_US : CELL_TICK_US);
}

static void
cell_tick(void *arg)
{
	struct cell *c = arg;
	int64_t now_us = clk_now_us();

	cell_adjust_tick(c);
	cell_member_tick(c, now_us);
	rp_tick(c->replica, now_us);
	pn_tick(c->links, now_us);
	rl_tick(c->relay, now_us);
	cp_tick(c);
	av_tick(c->advice, now_us);
	cm_tick(c, now_us);
	cc_tick(c->frontend, now_us);
	if (c->draining)
		cell_drain_tick(c, now_us);
}

static void
cell_on_signal(struct tevent_context *ev, struct tevent_signal *se, int sig,
    int count, void *siginfo, void *arg)
{
	struct cell *c = arg;

	(void)ev;
	(void)se;
	(void)count;
	(void)siginfo;
	if (sig == SIGHUP) {
		lg_event(LG_INFO, "daemon", "reloaded", NULL);
		return;
	}
	if (!c->draining)
		cell_start_drain(c);
}

static int
cell_create_peers(struct cell *c)
{
	Currant__Hello hello = CURRANT__HELLO__INIT;
	int fd;

	fd = hs_listen(c->settings->peers_address, c->peers_address,
	    sizeof(c->peers_address));
	if (fd == -1) {
		lg_event(LG_ERROR, "daemon", "cannot_listen", "address",
		    c->settings->peers_address, NULL);
		return -1;
	}
	hello.version = FR_VERSION;
	hello.vm = c->settings->vm;
	hello.domain = c->settings->domain;
	hello.token = (char *)"";
	hello.incarnation = c->incarnation;
	c->peers = peer_create(c, c->loop, fd, &hello, &cell_peer_hooks, c);
	return c->peers != NULL ? 0 : -1;
}

static int
cell_create(struct cell *c)
{
	struct pf_settings pf = {
	    .store = c->settings->store_address,
	    .advice = c->settings->advice_address != NULL
		? c->settings->advice_address
		: "",
	    .maintenance = c->settings->duties_address != NULL
		? c->settings->duties_address
		: "",
	};

	c->incarnation = (uint64_t)clk_wall_us();
	c->store_answered_us = clk_now_us();
	c->loop = loop_create(c);
	if (c->loop == NULL || cell_create_peers(c) == -1)
		return -1;
	c->fleet = pf_create(c, c->loop, &pf);
	c->links = pn_create(c, cp_on_connection_refused);
	c->advice = av_create(c);
	c->relay = rl_create(c);
	c->lookup = lk_create(c);
	c->replica = rp_start(c, c->loop, c->fleet, &cell_replica_hooks, c);
	c->frontend = cc_create(c);
	if (c->frontend == NULL)
		return -1;
	tevent_add_signal(loop_ev(c->loop), c, SIGTERM, 0, cell_on_signal, c);
	tevent_add_signal(loop_ev(c->loop), c, SIGINT, 0, cell_on_signal, c);
	tevent_add_signal(loop_ev(c->loop), c, SIGHUP, 0, cell_on_signal, c);
	c->tick = loop_interval(c->loop, CELL_TICK_US, cell_tick, c);
	return c->tick != NULL ? 0 : -1;
}

int
cell_run(struct cell_settings *settings)
{
	struct cell *c = talloc_zero(NULL, struct cell);

	if (c == NULL)
		abort();
	c->settings = settings;
	signal(SIGPIPE, SIG_IGN);
	if (cell_create(c) == -1)
		return -1;
	lg_event(LG_INFO, "daemon", "started", "incarnation",
	    lg_i64((int64_t)c->incarnation), NULL);
	loop_run(c->loop);
	return 0;
}
