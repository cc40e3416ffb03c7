#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#include "common/clock.h"
#include "curranttackd/cell_advice_internal.h"
#include "state/advice_queue.h"

/* Calls of this VM in flight; the service handles them one at a time. */
#define AV_MAX_LOCAL_IN_FLIGHT 2
/* Added to twice the expected time of a call to get its deadline. */
#define AV_LOCAL_SLACK_US (700 * CLK_US_PER_MS)
/* Requests that have waited for so long go first: here, and on the way here. */
#define AV_MAX_LOCAL_WAIT_US (500 * CLK_US_PER_MS)
#define AV_MAX_WAIT_US (3 * CLK_US_PER_S)
/* Requests with a lower cost are short and go to daemons kept for them. */
#define AV_SHORT_US (60 * CLK_US_PER_MS)

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

struct av_request *
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

void
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
	aq_on_answer(&d->load[0], ok, clk_now_us());
	av_finish(req, ok, approved, count);
	av_start_local(d);
	av_dispatch(d);
}

static bool
av_goes_before(
    const struct av_request *a, const struct av_request *b, int64_t overdue_us)
{
	struct aq_entry x = {
	    a->request.priority, a->cost_us, a->queued_us, a->request.urgent};
	struct aq_entry y = {
	    b->request.priority, b->cost_us, b->queued_us, b->request.urgent};

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

void
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

void
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
