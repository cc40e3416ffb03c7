#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "state/advice_queue.h"

/* Calls of this VM in flight; the service handles them one at a time. */
#define AV_MAX_LOCAL_IN_FLIGHT 2
/* Added to twice the expected time of a call to get its deadline. */
#define AV_LOCAL_SLACK_US (700 * CLK_US_PER_MS)
/* Requests that have waited for so long go first: here, and on the way here. */
#define AV_MAX_LOCAL_WAIT_US (500 * CLK_US_PER_MS)
#define AV_MAX_WAIT_US (3 * CLK_US_PER_S)
#define AV_MAX_TARGETS 256
/* Requests with a lower cost are short and go to daemons kept for them. */
#define AV_SHORT_US (60 * CLK_US_PER_MS)
/* One daemon in this many is kept for short requests. */
#define AV_SHORT_TARGET_EVERY 3
/* Of these, one in this many is never lent to long requests. */
#define AV_KEPT_TARGET_EVERY 3
#define AV_AVOID_US (CLK_US_PER_S)
#define AV_REFRESH_US (100 * CLK_US_PER_MS)
#define AV_LOG_EVERY_US (CLK_US_PER_S)

struct av_target;

/*
 * A request: queued for a target, in the local queue, or forwarded to a peer.
 * A request from a peer has the serial of its link and the peer's id for it.
 */
struct av_request {
	struct av_dispatcher *d;
	struct wp_advice_request request;
	char *worker[WP_MAX_ADVICE_WORKERS];
	int64_t cost_us;
	int64_t made_us;
	int64_t queued_us;
	struct av_target *target;
	int64_t deadline_us;
	fl_advice_fn done;
	void *arg;
	uint64_t origin_link;
	uint64_t id;
	struct av_request *prev;
	struct av_request *next;
};

/* A daemon that can call the service; the first one is this daemon. */
struct av_target {
	char vm[WP_NAME_BYTES];
	struct peer_link *link;
	struct aq_load *load;
	int64_t avoid_until_us;
};

/* Requests of this daemon's pools since the last line of the log. */
struct av_stats {
	uint32_t answered;
	uint32_t failed;
	int64_t answered_cost_us;
	int64_t failed_cost_us;
};

struct av_dispatcher {
	struct cell *c;
	struct av_request *queue;
	struct av_request *local_queue;
	struct av_request *forwarded;
	uint32_t local_in_flight;
	struct av_target target[AV_MAX_TARGETS];
	struct aq_load load[AV_MAX_TARGETS];
	uint32_t target_count;
	uint64_t next_id;
	int64_t refresh_at_us;
	int64_t largest_cost_us;
	int64_t log_at_us;
	struct av_stats stats;
};

static void av_start_local(struct av_dispatcher *d);
static void av_dispatch(struct av_dispatcher *d);

struct av_dispatcher *
av_create(struct cell *c)
{
	struct av_dispatcher *d = talloc_zero(c, struct av_dispatcher);

	if (d == NULL)
		abort();
	d->c = c;
	snprintf(
	    d->target[0].vm, sizeof(d->target[0].vm), "%s", c->settings->vm);
	d->target[0].load = &d->load[0];
	d->target_count = 1;
	return d;
}

static int64_t
av_cost_us(const struct wp_advice_request *request)
{
	return request->base_cost_us +
	    (int64_t)request->worker_cost_us * request->worker_count;
}

static struct av_request *
av_request_create(
    struct av_dispatcher *d, const struct wp_advice_request *request)
{
	struct av_request *req = talloc_zero(d, struct av_request);
	uint32_t i;

	if (req == NULL)
		abort();
	req->d = d;
	req->request = *request;
	for (i = 0; i < request->worker_count; i++) {
		req->worker[i] = talloc_strdup(req, request->worker[i]);
		req->request.worker[i] = req->worker[i];
	}
	req->cost_us = av_cost_us(request);
	req->made_us = clk_now_us();
	req->queued_us = req->made_us;
	if (req->cost_us > d->largest_cost_us)
		d->largest_cost_us = req->cost_us;
	return req;
}

static void
av_respond_to_peer(struct av_request *req, bool ok,
    const struct wp_approval *approved, uint32_t count)
{
	Currant__AdviceAnswer answer = CURRANT__ADVICE_ANSWER__INIT;
	Currant__AdviceTicket row[WP_MAX_ADVICE_WORKERS];
	Currant__AdviceTicket *rows[WP_MAX_ADVICE_WORKERS];
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = peer_find(req->d->c->peers, req->origin_link);
	uint32_t i;

	if (link == NULL)
		return;
	for (i = 0; i < count; i++) {
		currant__advice_ticket__init(&row[i]);
		row[i].worker = (char *)(uintptr_t)approved[i].worker;
		row[i].ticket = (char *)(uintptr_t)approved[i].ticket;
		rows[i] = &row[i];
	}
	answer.id = req->id;
	answer.ok = ok;
	answer.good = rows;
	answer.n_good = count;
	frame.advice_answer = &answer;
	peer_send(link, &frame);
}

static void
av_count_result(struct av_stats *stats, const struct av_request *req, bool ok)
{
	if (ok) {
		stats->answered++;
		stats->answered_cost_us += req->cost_us;
	} else {
		stats->failed++;
		stats->failed_cost_us += req->cost_us;
	}
}

static void
av_finish(struct av_request *req, bool ok, const struct wp_approval *approved,
    uint32_t count)
{
	if (req->target != NULL) {
		req->target->load->in_flight--;
		req->target->load->in_flight_cost_us -= req->cost_us;
	}
	if (req->origin_link != 0) {
		av_respond_to_peer(req, ok, approved, count);
	} else {
		av_count_result(&req->d->stats, req, ok);
		req->done(ok, approved, count, req->arg);
	}
	talloc_free(req);
}

static void
av_on_service_response(
    bool ok, const struct wp_approval *approved, uint32_t count, void *arg)
{
	struct av_request *req = arg;
	struct av_dispatcher *d = req->d;

	d->local_in_flight--;
	av_finish(req, ok, approved, count);
	av_start_local(d);
	av_dispatch(d);
}

static bool
av_goes_before(
    const struct av_request *a, const struct av_request *b, int64_t overdue_us)
{
	struct aq_entry x = {a->request.priority, a->cost_us, a->queued_us};
	struct aq_entry y = {b->request.priority, b->cost_us, b->queued_us};

	return aq_goes_before(&x, &y, overdue_us);
}

/* The request that goes first; the oldest among equals. */
static struct av_request *
av_first_request(struct av_request *list, int64_t overdue_us)
{
	struct av_request *best = list;
	struct av_request *req;

	DL_FOREACH(list, req) {
		if (av_goes_before(req, best, overdue_us))
			best = req;
	}
	return best;
}

static void
av_start_local(struct av_dispatcher *d)
{
	const struct fl_fleet *f = d->c->fleet;
	int64_t now_us = clk_now_us();

	while (d->local_in_flight < AV_MAX_LOCAL_IN_FLIGHT &&
	    d->local_queue != NULL) {
		struct av_request *req = av_first_request(
		    d->local_queue, now_us - AV_MAX_LOCAL_WAIT_US);

		DL_DELETE(d->local_queue, req);
		d->local_in_flight++;
		f->advice->request(f->handle, &req->request,
		    now_us + 2 * req->cost_us + AV_LOCAL_SLACK_US,
		    av_on_service_response, req);
	}
}

static struct av_target *
av_get_target(struct av_dispatcher *d, const char *vm)
{
	struct av_target *target;
	uint32_t i;

	for (i = 0; i < d->target_count; i++) {
		if (strcmp(d->target[i].vm, vm) == 0)
			return &d->target[i];
	}
	if (d->target_count == AV_MAX_TARGETS)
		return NULL;
	target = &d->target[d->target_count];
	memset(target, 0, sizeof(*target));
	target->load = &d->load[d->target_count++];
	memset(target->load, 0, sizeof(*target->load));
	snprintf(target->vm, sizeof(target->vm), "%s", vm);
	return target;
}

static void
av_refresh_target(struct av_dispatcher *d, const struct rp_member *m,
    uint32_t members_before, uint32_t members, int64_t now_us)
{
	struct av_target *target = av_get_target(d, m->vm);

	if (target == NULL)
		return;
	target->load->for_short = members >= AV_SHORT_TARGET_EVERY &&
	    members_before % AV_SHORT_TARGET_EVERY == 0;
	target->load->lends = target->load->for_short &&
	    members_before % (AV_SHORT_TARGET_EVERY * AV_KEPT_TARGET_EVERY) > 0;
	if (target == &d->target[0])
		return;
	target->link = pn_link(d->c->links, target->vm);
	target->load->usable =
	    target->link != NULL && now_us >= target->avoid_until_us;
}

/* Updates which daemons can be used, and which are kept for short requests. */
static void
av_refresh_targets(struct av_dispatcher *d, int64_t now_us)
{
	struct rp_member *m;
	struct rp_member *other;
	struct rp_member *tmp;
	struct rp_member *tmp2;
	uint32_t members = 0;
	uint32_t i;

	if (now_us < d->refresh_at_us)
		return;
	d->refresh_at_us = now_us + AV_REFRESH_US;
	for (i = 1; i < d->target_count; i++)
		d->load[i].usable = false;
	d->load[0].usable = true;
	d->load[0].for_short = false;
	d->load[0].lends = false;
	HASH_ITER(hh, d->c->replica->members, m, tmp)
		members += m->present;
	HASH_ITER(hh, d->c->replica->members, m, tmp) {
		uint32_t before = 0;

		if (!m->present)
			continue;
		HASH_ITER(hh, d->c->replica->members, other, tmp2)
			before +=
			    other->present && strcmp(other->vm, m->vm) < 0;
		av_refresh_target(d, m, before, members, now_us);
	}
}

static struct av_target *
av_choose_target(struct av_dispatcher *d, bool is_short, int64_t waited_us)
{
	uint32_t i =
	    aq_choose_target(d->load, d->target_count, is_short, waited_us);

	return i != AQ_NONE ? &d->target[i] : NULL;
}

static void
av_forward(struct av_dispatcher *d, struct av_request *req, int64_t now_us)
{
	Currant__AdviceAsk row = CURRANT__ADVICE_ASK__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;

	req->id = ++d->next_id;
	req->deadline_us =
	    aq_answer_deadline_us(now_us, req->target->load->in_flight_cost_us,
		req->target->load->for_short && !req->target->load->lends
		    ? 0
		    : d->largest_cost_us);
	row.id = req->id;
	row.job = req->request.job;
	row.occurrence = req->request.occurrence;
	row.step = req->request.step;
	row.workers = req->worker;
	row.n_workers = req->request.worker_count;
	row.cost_us = (uint64_t)req->cost_us;
	row.priority = req->request.priority;
	frame.advice_ask = &row;
	DL_APPEND(d->forwarded, req);
	if (!peer_send(req->target->link, &frame))
		req->deadline_us = now_us;
}

static struct av_request *
av_first_request_of(struct av_request *list, bool is_short, int64_t overdue_us)
{
	struct av_request *best = NULL;
	struct av_request *req;

	DL_FOREACH(list, req) {
		if ((req->cost_us < AV_SHORT_US) != is_short)
			continue;
		if (best == NULL || av_goes_before(req, best, overdue_us))
			best = req;
	}
	return best;
}

/* How long the oldest request of a kind has waited in the queue. */
static int64_t
av_longest_wait_us(struct av_dispatcher *d, bool is_short, int64_t now_us)
{
	int64_t oldest_us = now_us;
	struct av_request *req;

	DL_FOREACH(d->queue, req) {
		if ((req->cost_us < AV_SHORT_US) == is_short &&
		    req->made_us < oldest_us)
			oldest_us = req->made_us;
	}
	return now_us - oldest_us;
}

static void
av_dispatch_kind(struct av_dispatcher *d, bool is_short)
{
	int64_t now_us = clk_now_us();
	struct av_request *req;
	struct av_target *target;

	while ((req = av_first_request_of(
		    d->queue, is_short, now_us - AV_MAX_WAIT_US)) != NULL) {
		target = av_choose_target(
		    d, is_short, av_longest_wait_us(d, is_short, now_us));
		if (target == NULL)
			return;
		DL_DELETE(d->queue, req);
		req->target = target;
		target->load->in_flight++;
		target->load->in_flight_cost_us += req->cost_us;
		if (target == &d->target[0]) {
			req->queued_us = now_us;
			DL_APPEND(d->local_queue, req);
			av_start_local(d);
		} else {
			av_forward(d, req, now_us);
		}
	}
}

static void
av_dispatch(struct av_dispatcher *d)
{
	av_dispatch_kind(d, true);
	av_dispatch_kind(d, false);
}

void
av_submit(struct av_dispatcher *d, const struct wp_advice_request *request,
    fl_advice_fn done, void *arg)
{
	struct av_request *req = av_request_create(d, request);

	req->done = done;
	req->arg = arg;
	DL_APPEND(d->queue, req);
	av_dispatch(d);
}

void
av_on_peer_request(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAsk *row)
{
	struct wp_advice_request request = {0};
	struct av_request *req;
	size_t i;

	snprintf(request.job, sizeof(request.job), "%s", row->job);
	request.occurrence = row->occurrence;
	request.step = row->step;
	request.base_cost_us = (uint32_t)row->cost_us;
	request.priority = row->priority;
	for (i = 0; i < row->n_workers && i < WP_MAX_ADVICE_WORKERS; i++)
		request.worker[request.worker_count++] = row->workers[i];
	req = av_request_create(d, &request);
	req->origin_link = peer_serial(link);
	req->id = row->id;
	DL_APPEND(d->local_queue, req);
	av_start_local(d);
}

void
av_on_peer_answer(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer)
{
	struct wp_approval approved[WP_MAX_ADVICE_WORKERS];
	struct av_request *req;
	uint32_t n;

	DL_FOREACH(d->forwarded, req) {
		if (req->id == answer->id && req->target->link == link)
			break;
	}
	if (req == NULL)
		return;
	for (n = 0; n < answer->n_good && n < WP_MAX_ADVICE_WORKERS; n++) {
		approved[n].worker = answer->good[n]->worker;
		approved[n].ticket = answer->good[n]->ticket;
	}
	DL_DELETE(d->forwarded, req);
	av_finish(req, answer->ok, approved, n);
	av_dispatch(d);
}

void
av_on_closed(struct av_dispatcher *d, struct peer_link *link)
{
	struct av_request *req;
	struct av_request *tmp;
	uint32_t i;

	for (i = 1; i < d->target_count; i++) {
		struct av_target *target = &d->target[i];

		if (target->link != link)
			continue;
		target->link = NULL;
		target->load->usable = false;
		DL_FOREACH_SAFE(d->forwarded, req, tmp) {
			if (req->target != target)
				continue;
			DL_DELETE(d->forwarded, req);
			av_finish(req, false, NULL, 0);
		}
	}
}

/* A peer may not respond because its connection has silently failed. */
static void
av_check_timeouts(struct av_dispatcher *d, int64_t now_us)
{
	struct av_request *req;

	DL_FOREACH(d->forwarded, req) {
		if (now_us < req->deadline_us)
			continue;
		lg_event(LG_WARN, "advice", "peer_silent", "peer",
		    req->target->vm, "job", req->request.job, NULL);
		req->target->avoid_until_us = now_us + AV_AVOID_US;
		/* Closing the link fails all of its requests and changes the list. */
		pn_reset_link(d->c->links, req->target->vm);
		return;
	}
}

/* Requests in a list, and how long the oldest has been waiting. */
static uint32_t
av_count_list(const struct av_request *list, int64_t now_us, int64_t *oldest_us)
{
	const struct av_request *req;
	uint32_t n = 0;

	*oldest_us = 0;
	DL_FOREACH(list, req) {
		n++;
		if (now_us - req->made_us > *oldest_us)
			*oldest_us = now_us - req->made_us;
	}
	return n;
}

/* The daemon that has had a request for longest. */
static const char *
av_slowest_peer(const struct av_dispatcher *d)
{
	const struct av_request *slowest = d->forwarded;
	const struct av_request *req;

	DL_FOREACH(d->forwarded, req) {
		if (req->made_us < slowest->made_us)
			slowest = req;
	}
	return slowest != NULL ? slowest->target->vm : "";
}

static void
av_log_state(struct av_dispatcher *d, int64_t now_us)
{
	const struct av_stats *stats = &d->stats;
	uint32_t usable[2] = {0};
	uint32_t busy[2] = {0};
	int64_t queued_us;
	int64_t forwarded_us;
	int64_t local_us;
	uint32_t queued;
	uint32_t forwarded;
	uint32_t local;
	uint32_t i;

	if (now_us < d->log_at_us)
		return;
	d->log_at_us = now_us + AV_LOG_EVERY_US;
	for (i = 0; i < d->target_count; i++) {
		const struct av_target *target = &d->target[i];

		usable[target->load->for_short] += target->load->usable;
		busy[target->load->for_short] +=
		    target->load->usable && target->load->in_flight > 0;
	}
	queued = av_count_list(d->queue, now_us, &queued_us);
	forwarded = av_count_list(d->forwarded, now_us, &forwarded_us);
	local = av_count_list(d->local_queue, now_us, &local_us);
	lg_event(LG_INFO, "advice", "state", "queued", lg_i64(queued),
	    "queued_ms", lg_i64(queued_us / CLK_US_PER_MS), "forwarded",
	    lg_i64(forwarded), "forwarded_ms",
	    lg_i64(forwarded_us / CLK_US_PER_MS), "slowest", av_slowest_peer(d),
	    "local", lg_i64(local), "local_ms",
	    lg_i64(local_us / CLK_US_PER_MS), "long_targets",
	    lg_i64(usable[false]), "long_busy", lg_i64(busy[false]),
	    "short_targets", lg_i64(usable[true]), "short_busy",
	    lg_i64(busy[true]), "answered", lg_i64(stats->answered), "failed",
	    lg_i64(stats->failed), "answered_cost_ms",
	    lg_i64(stats->answered_cost_us / CLK_US_PER_MS), "failed_cost_ms",
	    lg_i64(stats->failed_cost_us / CLK_US_PER_MS), NULL);
	memset(&d->stats, 0, sizeof(d->stats));
}

void
av_tick(struct av_dispatcher *d, int64_t now_us)
{
	if (cp_owned_count(d->c) == 0)
		return;
	av_check_timeouts(d, now_us);
	av_refresh_targets(d, now_us);
	av_dispatch(d);
	av_log_state(d, now_us);
}
