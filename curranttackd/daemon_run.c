#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/token.h"
#include "curranttackd/api.h"
#include "curranttackd/call_handlers.h"
#include "curranttackd/daemon_run.h"
#include "curranttackd/front.h"
#include "curranttackd/members.h"
#include "curranttackd/shard_host.h"

#define DM_TICK_INTERVAL_US (20 * CLK_US_PER_MS)
#define DM_SERVICES_INTERVAL_US (100 * CLK_US_PER_MS)
#define DM_CONFIG_INTERVAL_US (200 * CLK_US_PER_MS)
/* For load balancers to see that GET /ready fails, before the exit. */
#define DM_UNREADY_DELAY_US (CLK_US_PER_S)
/* For answers to reach their callers before the exit. */
#define DM_FLUSH_US (200 * CLK_US_PER_MS)
/* For the request on a connection that was accepted last. */
#define DM_FRESH_US (300 * CLK_US_PER_MS)

static bool
dm_accept_hello(const Currant__Hello *hello, void *arg)
{
	struct daemon *d = arg;

	return tk_equal(d->settings->peer_token, hello->token);
}

static void
dm_on_frame(struct peer_link *link, const Currant__Frame *frame, void *arg)
{
	struct daemon *d = arg;

	if (frame->summary != NULL)
		me_on_summary(d->members, frame->summary);
	if (frame->config_fetch != NULL)
		cw_on_config_fetch(d, link, frame->config_fetch);
	if (frame->config_docs != NULL)
		cw_on_config_docs(d, frame->config_docs);
	if (frame->call != NULL)
		ca_on_call(d->calls, link, frame->call);
	if (frame->reply != NULL)
		ca_on_reply(d->calls, frame->reply);
}

static void
dm_on_closed(struct peer_link *link, void *arg)
{
	struct daemon *d = arg;

	me_on_link_closed(d->members, link);
	ca_on_link_closed(d->calls, link);
}

static const struct peer_hooks dm_peer_hooks = {
    .accept_hello = dm_accept_hello,
    .on_frame = dm_on_frame,
    .on_closed = dm_on_closed,
};

static int
dm_create_view(struct daemon *d)
{
	struct mb_report self = {0};

	snprintf(self.vm, sizeof(self.vm), "%s", d->settings->vm);
	snprintf(self.domain, sizeof(self.domain), "%s", d->settings->domain);
	snprintf(self.address, sizeof(self.address), "%s",
	    d->settings->advertise_peers != NULL ? d->settings->advertise_peers
						 : d->peers_address);
	self.incarnation = d->incarnation;
	snprintf(self.preset, sizeof(self.preset), "%s",
	    po_preset_name(PO_ORDINARY));
	d->view = mb_create(NULL, &self, d->settings->member_timeout_us,
	    d->settings->remote_member_timeout_us);
	return d->view != NULL ? 0 : -1;
}

static int
dm_create_peers(struct daemon *d)
{
	Currant__Hello hello = CURRANT__HELLO__INIT;
	int fd;

	fd = hs_listen(d->settings->listen_peers, d->peers_address,
	    sizeof(d->peers_address));
	if (fd == -1)
		return -1;
	hello.version = FR_VERSION;
	hello.vm = d->settings->vm;
	hello.domain = d->settings->domain;
	hello.token = d->settings->peer_token;
	hello.incarnation = d->incarnation;
	d->peers = peer_create(
	    d->control_loop, d->control_loop, fd, &hello, &dm_peer_hooks, d);
	return d->peers != NULL ? 0 : -1;
}

static int
dm_create_frontends(struct daemon *d)
{
	int callers_fd;
	int operators_fd;

	callers_fd = hs_listen(d->settings->listen_callers, d->callers_address,
	    sizeof(d->callers_address));
	operators_fd = hs_listen(d->settings->listen_operators,
	    d->operators_address, sizeof(d->operators_address));
	if (callers_fd == -1 || operators_fd == -1)
		return -1;
	return fr_create(d, callers_fd, operators_fd, &api_routes);
}

struct daemon *
dm_create(TALLOC_CTX *ctx, struct settings *s)
{
	struct daemon *d;

	d = talloc_zero(ctx, struct daemon);
	if (d == NULL)
		return NULL;
	d->settings = s;
	d->incarnation = (uint64_t)clk_wall_us();
	d->started_us = clk_now_us();
	pthread_mutex_init(&d->config_lock, NULL);
	pthread_mutex_init(&d->members_lock, NULL);
	d->config = cf_create(NULL);
	d->control_loop = loop_create(d);
	if (d->config == NULL || d->control_loop == NULL)
		goto fail;
	d->control_http = hc_create(d->control_loop, d->control_loop, 0);
	d->kv_ops = &kv_http_ops;
	d->kv = kv_http_create(d->control_loop, d->control_http,
	    s->store_address, s->store_timeout_us);
	d->members = me_create(d);
	d->calls = ca_create(d, &ch_ops);
	if (d->kv == NULL || d->members == NULL || d->calls == NULL)
		goto fail;
	if (dm_create_peers(d) == -1 || dm_create_view(d) == -1 ||
	    dm_create_frontends(d) == -1)
		goto fail;
	return d;
fail:
	talloc_free(d);
	return NULL;
}

static bool
dm_shard_hosts_idle(const struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->shard_host_count; i++) {
		if (!ho_is_idle(d->shard_host[i]))
			return false;
	}
	return true;
}

static void
dm_log_exit(struct daemon *d, int64_t now_us)
{
	struct hs_counts n;

	fr_get_counts(d, &n);
	lg_event(LG_INFO, "daemon", "exit", "in_flight",
	    lg_i64(atomic_load(&d->requests_in_flight)), "connections",
	    lg_i64(n.connections), "reading", lg_i64(n.reading), "unanswered",
	    lg_i64(n.unanswered), "sending", lg_i64(n.sending), "read",
	    lg_i64((int64_t)ct_get(CT_HTTP_READ)), "answered",
	    lg_i64((int64_t)ct_get(CT_HTTP_ANSWERED)), "cut",
	    lg_i64((int64_t)ct_get(CT_HTTP_CUT)), "answered_at_end",
	    lg_i64((int64_t)ct_get(CT_HTTP_AT_END)), "after_ms",
	    lg_i64((now_us - d->shutdown_started_us) / CLK_US_PER_MS), NULL);
}

static void
dm_exit(struct daemon *d, int64_t now_us)
{
	dm_log_exit(d, now_us);
	loop_stop(d->control_loop);
}

/*
 * Requests end before the shards are released, since the end of a claimed
 * request is reported to the owner of a shard.
 */
static void
dm_release_shards(struct daemon *d, int64_t now_us)
{
	uint32_t i;

	if (atomic_load(&d->requests_in_flight) > 0 &&
	    !dr_is_overdue(&d->drain, now_us))
		return;
	for (i = 0; i < d->shard_host_count; i++)
		ho_begin_release(d->shard_host[i]);
}

static void
dm_get_view(struct daemon *d, struct dr_view *view)
{
	struct hs_counts n;

	fr_get_counts(d, &n);
	view->requests = n.reading + n.unanswered + n.sending +
	    (uint32_t)atomic_load(&d->requests_in_flight);
	view->fresh = n.fresh;
	view->has_duties = !fr_all_refuse(d) || !dm_shard_hosts_idle(d) ||
	    peer_has_unsent(d->peers);
}

static void
dm_step_shutdown(struct daemon *d, int64_t now_us)
{
	enum dr_step step = d->drain.step;
	struct dr_view view;

	if (step == DR_CLOSING)
		dm_release_shards(d, now_us);
	if (dr_is_overdue(&d->drain, now_us))
		fr_answer_all_overdue(d);
	dm_get_view(d, &view);
	switch (dr_next(&d->drain, &view, now_us)) {
	case DR_SERVING:
		return;
	case DR_CLOSING:
		if (step == DR_SERVING)
			fr_stop_accepting(d);
		return;
	case DR_ENDED:
		if (fr_all_stopped(d) || now_us >= d->drain.end_by_us)
			dm_exit(d, now_us);
		else
			fr_stop(d);
		return;
	}
}

static void
dm_update_cpu_time(struct daemon *d)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	atomic_store(&d->control_cpu_us,
	    (int64_t)ts.tv_sec * CLK_US_PER_S + ts.tv_nsec / 1000);
}

static void
dm_on_tick(void *arg)
{
	struct daemon *d = arg;
	int64_t now_us = clk_now_us();
	uint32_t i;

	sl_tick(d, now_us);
	for (i = 0; i < d->shard_host_count; i++)
		ho_tick(d->shard_host[i], now_us);
	ca_expire_calls(d->calls, now_us);
	dm_update_cpu_time(d);
	if (atomic_load(&d->shutting_down))
		dm_step_shutdown(d, now_us);
}

static void
dm_on_services_due(void *arg)
{
	struct daemon *d = arg;

	cw_update_services(d, clk_now_us());
}

static void
dm_on_config_due(void *arg)
{
	struct daemon *d = arg;

	cw_tick(d, clk_now_us());
}

static void
dm_begin_shutdown(struct daemon *d)
{
	struct dr_limits limits = {
	    .unready_us = DM_UNREADY_DELAY_US,
	    .end_us = d->settings->drain_timeout_us,
	    .flush_us = DM_FLUSH_US,
	    .fresh_us = DM_FRESH_US,
	};

	if (atomic_exchange(&d->shutting_down, true))
		return;
	d->shutdown_started_us = clk_now_us();
	dr_begin(&d->drain, &limits, d->shutdown_started_us);
	fr_begin_drain(d);
	lg_event(LG_INFO, "daemon", "leaving", "in_flight",
	    lg_i64(atomic_load(&d->requests_in_flight)), NULL);
	me_send_heartbeat(d->members);
}

static void
dm_on_terminate(struct tevent_context *ev, struct tevent_signal *se, int signum,
    int count, void *siginfo, void *arg)
{
	(void)ev;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	dm_begin_shutdown(arg);
}

static void
dm_on_hangup(struct tevent_context *ev, struct tevent_signal *se, int signum,
    int count, void *siginfo, void *arg)
{
	struct daemon *d = arg;

	(void)ev;
	(void)se;
	(void)signum;
	(void)count;
	(void)siginfo;
	d->reload_settings(d);
}

int
dm_run(struct daemon *d)
{
	struct tevent_context *ev = loop_ev(d->control_loop);

	signal(SIGPIPE, SIG_IGN);
	if (tevent_add_signal(ev, d, SIGTERM, 0, dm_on_terminate, d) == NULL ||
	    tevent_add_signal(ev, d, SIGINT, 0, dm_on_terminate, d) == NULL ||
	    tevent_add_signal(ev, d, SIGHUP, 0, dm_on_hangup, d) == NULL)
		return -1;
	if (fr_start(d) == -1)
		return -1;
	me_start(d->members);
	loop_every(d->control_loop, DM_TICK_INTERVAL_US, dm_on_tick, d);
	loop_every(
	    d->control_loop, DM_SERVICES_INTERVAL_US, dm_on_services_due, d);
	loop_every(d->control_loop, DM_CONFIG_INTERVAL_US, dm_on_config_due, d);
	cw_tick(d, clk_now_us());
	printf("ready %s %s %s\n", d->callers_address, d->operators_address,
	    d->peers_address);
	fflush(stdout);
	lg_event(LG_INFO, "daemon", "started", "callers", d->callers_address,
	    "operators", d->operators_address, "peers", d->peers_address, NULL);
	loop_run(d->control_loop);
	return 0;
}
