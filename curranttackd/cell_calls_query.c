#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_lookup.h"

/* A final state can't change; any other may have changed unnoticed. */
static bool
cc_may_be_stale(const struct cell *c, const struct rp_job *job)
{
	const struct rp_owner *o = rp_get_owner(c->replica, job->pool);

	return cc_store_is_unreachable(c) && !jb_has_ended(job->state) &&
	    strcmp(o->vm, c->settings->vm) != 0;
}

/* A caller's query for the state of a job. */
struct cc_state_query {
	struct cc_frontend *f;
	struct hs_request *req;
};

static void
cc_on_state(enum jb_state state, void *arg)
{
	struct cc_state_query *q = arg;
	char *body;

	body = q->f->c->fleet->callers->state_body(q, state);
	cc_respond(q->f, q->req, 200, body);
	talloc_free(q);
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
	lk_resolve(f->c->lookup, job, cc_on_state, q);
}

/* A request for a job that the replica doesn't have. */
struct cc_job_lookup {
	struct cc_frontend *f;
	struct hs_request *req;
	char id[JB_ID_BYTES];
	char key[RP_KEY_BYTES];
	bool cancel;
};

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

/* A job that is missing in the replica may have been accepted just now. */
static void
cc_on_lookup(const struct ks_response *a, void *arg)
{
	struct cc_job_lookup *l = arg;
	struct cc_frontend *f = l->f;
	struct hs_request *req = l->req;
	const struct rp_job *job;
	char id[JB_ID_BYTES];
	bool cancel = l->cancel;
	size_t i;

	memcpy(id, l->id, sizeof(id));
	talloc_free(l);
	if (a->result != KS_OK) {
		if (cancel)
			cc_log_unwritten("cancel", id, 503, "store is away");
		cc_respond_error(f, req, 503, "the platform's store is away");
		return;
	}
	f->c->store_answered_us = clk_now_us();
	for (i = 0; i < a->item_count; i++)
		rp_apply_out_of_order(f->c->replica, &a->item[i]);
	job = rp_find_job(f->c->replica, id);
	if (cancel)
		cc_cancel_job(f, req, id);
	else if (job == NULL)
		cc_respond_gone(f, req, id, a->revision);
	else
		cc_respond_state(f, req, job);
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
		cc_cancel_job(f, req, id);
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
