#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "protocol/job_codec.h"

#define CC_ERROR_BYTES 160

/* A job that is being stored, on condition of the pool's term. */
struct cc_submission {
	struct cc_write w;
	uint8_t *value;
	size_t value_bytes;
	const char *pool;
	const char *term_key;
	uint64_t term_revision;
	uint64_t term_fence;
};

/* A job is refused only if no attempt to store it can succeed any more. */
static int
cc_end_submission(struct cc_write *w, int status)
{
	struct at_table *attempts = w->f->attempts;
	int64_t now_us = clk_now_us();

	at_end(attempts, w->id, w->uncertain, now_us);
	if (status == 200)
		at_stored(attempts, w->id);
	w->uncertain |= at_is_open(attempts, w->id, now_us);
	if (status == 503 && w->uncertain)
		return 504;
	if (status == 503)
		ct_add(CT_JOBS_REFUSED, 1);
	return status;
}

/* Applies the item, and sends a job to its owner ahead of the owner's watch. */
static void
cc_on_accepted(struct cc_write *w, uint64_t revision)
{
	struct cc_submission *s = (struct cc_submission *)w;
	struct cell *c = w->f->c;
	struct ks_item item = {
	    .key = w->job_key,
	    .value = s->value,
	    .value_bytes = s->value_bytes,
	    .revision = revision,
	};
	const struct rp_owner *o;
	struct rp_job *job;

	rp_apply_out_of_order(c->replica, &item);
	ct_add(CT_JOBS_ACCEPTED, 1);
	job = rp_find_job(c->replica, w->id);
	o = rp_get_owner(c->replica, s->pool);
	/* Only an owner whose term was still current when the job was written. */
	if (job == NULL || !o->present || o->fence != s->term_fence)
		return;
	if (strcmp(o->vm, c->settings->vm) != 0)
		pn_send_job(c->links, o->vm, w->id, s->value, s->value_bytes,
		    revision, o->fence);
	else if (cp_owns(c, s->pool, o->fence))
		rp_announce_job(c->replica, job);
}

static void
cc_on_job_stored(struct cc_write *w, uint64_t revision)
{
	cc_on_accepted(w, revision);
	cc_write_finish(w, 200, "{}");
}

static void
cc_on_submission_conflict(struct cc_write *w, const struct ks_response *a)
{
	if (cc_find_revision(a, w->job_key) != 0)
		cc_write_finish(w, 200, "{}");
	else if (cc_find_revision(a, w->cancel_key) != 0)
		cc_write_finish(
		    w, 503, "{\"error\":\"the job was cancelled before\"}");
	else
		cc_write_retry(w);
}

/* Creates the job unless it exists, so it is safe to repeat. */
static void
cc_send_submission(struct cc_write *w)
{
	struct cc_submission *s = (struct cc_submission *)w;
	const struct fl_fleet *f = w->f->c->fleet;
	const struct rp_owner *o = rp_get_owner(w->f->c->replica, s->pool);
	struct ks_expect expect[] = {
	    {w->job_key, 0},
	    {w->cancel_key, 0},
	    {s->term_key, 0},
	};
	struct ks_put put = {
	    .key = w->job_key,
	    .value = s->value,
	    .value_bytes = s->value_bytes,
	};
	struct ks_txn txn = {
	    .expect = expect,
	    .expect_count = sizeof(expect) / sizeof(expect[0]),
	    .put = &put,
	    .put_count = 1,
	};

	s->term_revision = o->term_revision;
	s->term_fence = o->term_fence;
	expect[2].revision = s->term_revision;
	w->in_flight = true;
	f->keys->txn(f->handle, &txn, cc_on_written, w);
}

static const struct cc_write_ops cc_submission_ops = {
    .event = "submit",
    .send = cc_send_submission,
    .stored = cc_on_job_stored,
    .conflict = cc_on_submission_conflict,
    .end = cc_end_submission,
};

static void
cc_respond_unstored(struct cc_frontend *f, struct hs_request *req,
    const char *id, const char *reason)
{
	bool open = at_is_open(f->attempts, id, clk_now_us());

	if (!open)
		ct_add(CT_JOBS_REFUSED, 1);
	cc_log_unwritten("submit", id, open ? 504 : 503, reason);
	cc_respond_error(f, req, open ? 504 : 503, reason);
}

static struct cc_submission *
cc_submission_create(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id, struct jb_spec *spec)
{
	struct cc_submission *s = talloc_zero(f, struct cc_submission);

	if (s == NULL)
		abort();
	cc_write_init(
	    &s->w, &cc_submission_ops, f, req, id, cc_deadline_us(f, req));
	memcpy(spec->id, id, sizeof(spec->id));
	spec->queue = talloc_strdup(spec, queue->name);
	spec->pool = talloc_strdup(spec, queue->pool);
	spec->policy = queue->policy;
	spec->accepted_wall_ms = clk_wall_us() / CLK_US_PER_MS;
	s->pool = tx_dup(s, spec->pool);
	s->term_key = rp_make_pool_key(s, RP_TERM_PREFIX, spec->pool);
	s->value = jc_pack_job(s, spec, &s->value_bytes);
	return s;
}

void
cc_submit(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id)
{
	char error[CC_ERROR_BYTES] = "";
	struct cc_submission *s;
	struct jb_spec *spec;

	if (rp_find_job(f->c->replica, id) != NULL) {
		cc_log_unwritten("submit", id, 200, "known");
		cc_respond(f, req, 200, "{}");
		return;
	}
	spec = f->c->fleet->callers->job(
	    f, req->body, req->body_bytes, error, sizeof(error));
	if (spec == NULL) {
		lg_event(LG_WARN, "callers", "bad_job", "job", id, "reason",
		    error, NULL);
		cc_respond_error(f, req, 400, error);
		return;
	}
	if (cc_store_is_unreachable(f->c) || cc_is_ending(f->c)) {
		talloc_free(spec);
		cc_respond_unstored(f, req, id,
		    cc_is_ending(f->c) ? "this daemon is about to end"
				       : "the platform's store is away");
		return;
	}
	/* It may have been told elsewhere since that the job is refused. */
	if (hs_caller_has_left(req)) {
		talloc_free(spec);
		cc_log_unwritten("submit", id, 503, "caller has left");
		cc_respond_error(f, req, 503, "the caller has left");
		return;
	}
	s = cc_submission_create(f, req, queue, id, spec);
	talloc_free(spec);
	if (s->value_bytes > f->c->settings->max_value_bytes) {
		cc_log_unwritten("submit", id, 400, "larger than a value");
		cc_respond_error(f, req, 400,
		    "body: the job is larger than a value of the store");
		talloc_free(s);
		return;
	}
	at_begin(f->attempts, id);
	cc_send_submission(&s->w);
}
