#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_lookup.h"

/* A store that is well answers sooner. */
#define CC_MIN_LOOKUP_US (100 * CLK_US_PER_MS)

/* A final state can't change; any other may have changed unnoticed. */
static bool
cc_may_be_stale(const struct cell *c, const struct rp_job *job)
{
	const struct rp_owner *o = rp_get_owner(c->replica, job->pool);

	return cc_store_is_unreachable(c) && !jb_has_ended(job->state) &&
	    strcmp(o->vm, c->settings->vm) != 0;
}

/* A caller's query for the state of a job; @req is NULL once answered. */
struct cc_state_query {
	struct cc_frontend *f;
	struct hs_request *req;
};

static void
cc_on_state(enum jb_state state, void *arg)
{
	struct cc_state_query *q = arg;
	char *body;

	if (q->req != NULL) {
		body = q->f->c->fleet->callers->state_body(q, state);
		cc_respond(q->f, q->req, 200, body);
	}
	talloc_free(q);
}

static void
cc_state_overdue(void *arg)
{
	struct cc_state_query *q = arg;

	cc_respond_error(q->f, q->req, 503, "this daemon is about to end");
	q->req = NULL;
}

static void
cc_respond_state(
    struct cc_frontend *f, struct hs_request *req, const struct rp_job *job)
{
	struct cc_state_query *q;

	if (cc_may_be_stale(f->c, job)) {
		cc_respond_error(f, req, 503, "the platform's store is away");
		return;
	}
	q = talloc_zero(f, struct cc_state_query);
	if (q == NULL)
		abort();
	q->f = f;
	q->req = req;
	req->overdue = cc_state_overdue;
	req->overdue_arg = q;
	lk_resolve(f->c->lookup, job, cc_on_state, q);
}

/* A request for a job that the replica lacks; @req is NULL once answered. */
struct cc_job_lookup {
	struct cc_job_lookup *prev;
	struct cc_job_lookup *next;
	struct cc_frontend *f;
	struct hs_request *req;
	char id[JB_ID_BYTES];
	char key[RP_KEY_BYTES];
	int64_t deadline_us;
	int64_t answer_by_us;
	bool cancel;
};

/* The request, which the caller of this function has to answer. */
static struct hs_request *
cc_lookup_take_request(struct cc_job_lookup *l)
{
	struct hs_request *req = l->req;

	DL_DELETE(l->f->lookups, l);
	l->req = NULL;
	return req;
}

/* Nothing has been written. */
static void
cc_lookup_refuse(struct cc_job_lookup *l, const char *reason)
{
	struct hs_request *req = cc_lookup_take_request(l);

	if (l->cancel)
		cc_log_unwritten("cancel", l->id, 503, reason);
	cc_respond_error(l->f, req, 503, reason);
}

static void
cc_lookup_overdue(void *arg)
{
	cc_lookup_refuse(arg, "this daemon is about to end");
}

void
cc_tick(struct cc_frontend *f, int64_t now_us)
{
	struct cc_job_lookup *l;
	struct cc_job_lookup *tmp;

	DL_FOREACH_SAFE(f->lookups, l, tmp) {
		if (now_us >= l->answer_by_us)
			cc_lookup_refuse(
			    l, "the platform's store does not answer");
	}
}

/* The store had no such job at a revision read after the request arrived. */
static void
cc_respond_gone(struct cc_frontend *f, struct hs_request *req, const char *id,
    uint64_t revision)
{
	const struct replica *r = f->c->replica;

	lg_event(LG_INFO, "callers", "gone", "job", id, "status", "410",
	    "revision", lg_i64((int64_t)revision), "copy_revision",
	    lg_i64((int64_t)r->applied_revision), "loading",
	    r->loading ? "1" : "0", NULL);
	cc_respond_error(f, req, 410, "no such job");
}

static void
cc_lookup_finish(struct cc_job_lookup *l, const struct ks_response *a)
{
	struct cc_frontend *f = l->f;
	struct hs_request *req;
	const struct rp_job *job;
	size_t i;

	if (a->result != KS_OK) {
		cc_lookup_refuse(l, "the platform's store is away");
		return;
	}
	req = cc_lookup_take_request(l);
	f->c->store_answered_us = clk_now_us();
	for (i = 0; i < a->item_count; i++)
		rp_apply_out_of_order(f->c->replica, &a->item[i]);
	job = rp_find_job(f->c->replica, l->id);
	if (l->cancel)
		cc_cancel_job(f, req, l->id, l->deadline_us);
	else if (job == NULL)
		cc_respond_gone(f, req, l->id, a->revision);
	else
		cc_respond_state(f, req, job);
}

/* A job that is missing in the replica may have been accepted just now. */
static void
cc_on_lookup(const struct ks_response *a, void *arg)
{
	struct cc_job_lookup *l = arg;

	if (l->req != NULL)
		cc_lookup_finish(l, a);
	talloc_free(l);
}

static void
cc_lookup(
    struct cc_frontend *f, struct hs_request *req, const char *id, bool cancel)
{
	const struct fl_fleet *fleet = f->c->fleet;
	struct cc_job_lookup *l = talloc_zero(f, struct cc_job_lookup);

	if (l == NULL)
		abort();
	l->f = f;
	l->req = req;
	l->deadline_us = cc_deadline_us(f, req);
	l->answer_by_us =
	    clk_later_us(l->deadline_us, clk_now_us() + CC_MIN_LOOKUP_US);
	DL_APPEND(f->lookups, l);
	req->overdue = cc_lookup_overdue;
	req->overdue_arg = l;
	memcpy(l->id, id, sizeof(l->id));
	snprintf(l->key, sizeof(l->key), "%s%s", RP_JOB_PREFIX, id);
	l->cancel = cancel;
	fleet->keys->range(fleet->handle, l->key, NULL, cc_on_lookup, l);
}

void
cc_get(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id)
{
	const struct rp_job *job = rp_find_job(f->c->replica, id);

	(void)queue;
	if (job != NULL)
		cc_respond_state(f, req, job);
	else
		cc_lookup(f, req, id, false);
}

void
cc_delete(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id)
{
	(void)queue;
	if (rp_find_job(f->c->replica, id) != NULL)
		cc_cancel_job(f, req, id, cc_deadline_us(f, req));
	else
		cc_lookup(f, req, id, true);
}

void
cc_respond_waiting(
    struct cc_frontend *f, struct hs_request *req, const struct qs_queue *queue)
{
	struct rp_job *job;
	struct rp_job *tmp;
	uint32_t n = 0;
	char *body;

	HASH_ITER(hh, f->c->replica->jobs, job, tmp) {
		if (job->spec != NULL && !job->started && !job->cancelled &&
		    !jb_has_ended(job->state) &&
		    strcmp(job->queue, queue->name) == 0)
			n++;
	}
	body = f->c->fleet->callers->waiting_body(f, n);
	cc_respond(f, req, 200, body);
	talloc_free(body);
}
