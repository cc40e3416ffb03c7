#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_peers.h"

/*
 * A cancellation that is being stored. That of a job which the store lacks is a
 * tombstone: a write of the job that is still under way then fails.
 */
struct cc_cancellation {
	struct cc_write w;
	/* Revisions of both keys; 0 while a key is absent. */
	uint64_t job_revision;
	uint64_t cancel_revision;
	int64_t lease_asked_us;
};

/*
 * Its watch may stand still while it renews the runs of the job. Sent whenever a
 * caller is told, as it may not have had what was sent to it before.
 */
static void
cc_tell_owner(struct cc_frontend *f, const char *id, uint64_t revision)
{
	struct cell *c = f->c;
	const struct rp_job *job = rp_find_job(c->replica, id);
	const struct rp_owner *o;

	if (job == NULL)
		return;
	o = rp_get_owner(c->replica, job->pool);
	if (o->present && strcmp(o->vm, c->settings->vm) != 0)
		pn_send_cancelled(c->links, o->vm, id, revision);
}

static void
cc_on_cancel_stored(struct cc_write *w, uint64_t revision)
{
	struct cc_cancellation *c = (struct cc_cancellation *)w;
	struct ks_item item = {
	    .key = w->cancel_key,
	    .revision = revision,
	    .lease = w->lease,
	};

	rp_apply_out_of_order(w->f->c->replica, &item);
	cc_tell_owner(w->f, w->id, revision);
	if (c->job_revision == 0)
		cc_write_finish(w, 410, "{\"error\":\"no such job\"}");
	else
		cc_write_finish(w, 200, "{}");
}

/* The job has come, was removed, or has been cancelled before. */
static void
cc_on_cancel_conflict(struct cc_write *w, const struct ks_response *a)
{
	struct cc_cancellation *c = (struct cc_cancellation *)w;

	c->job_revision = cc_find_revision(a, w->job_key);
	c->cancel_revision = cc_find_revision(a, w->cancel_key);
	if (c->job_revision == 0 || c->cancel_revision == 0) {
		cc_write_retry(w);
		return;
	}
	cc_tell_owner(w->f, w->id, c->cancel_revision);
	cc_write_finish(w, 200, "{}");
}

static void
cc_write_cancellation(struct cc_cancellation *c)
{
	static const uint8_t value[1];
	struct cc_write *w = &c->w;
	const struct fl_fleet *f = w->f->c->fleet;
	struct ks_expect expect[] = {
	    {w->job_key, c->job_revision},
	    {w->cancel_key, c->cancel_revision},
	};
	struct ks_put put = {
	    .key = w->cancel_key,
	    .value = value,
	    .value_bytes = sizeof(value),
	    .lease = w->lease,
	};
	struct ks_txn txn = {
	    .expect = expect,
	    .expect_count = sizeof(expect) / sizeof(expect[0]),
	    .put = &put,
	    .put_count = 1,
	};

	w->in_flight = true;
	f->keys->txn(f->handle, &txn, cc_on_written, w);
}

static void cc_send_cancellation(struct cc_write *w);

static void
cc_on_tombstone_lease(const struct ks_response *a, void *arg)
{
	struct cc_cancellation *c = arg;
	struct cc_frontend *f = c->w.f;
	const struct fl_fleet *fleet = f->c->fleet;

	if (cc_write_is_over(&c->w))
		return;
	if (a->result != KS_OK || a->lease == 0) {
		cc_write_refused(&c->w);
		return;
	}
	if (!tb_on_granted(&f->tombstones, a->lease, c->lease_asked_us))
		fleet->keys->lease_end(
		    fleet->handle, a->lease, cell_ignore_answer, NULL);
	cc_send_cancellation(&c->w);
}

static void
cc_send_tombstone(struct cc_cancellation *c)
{
	struct cc_write *w = &c->w;
	const struct fl_fleet *f = w->f->c->fleet;
	int64_t now_us = clk_now_us();

	switch (tb_get_state(&w->f->tombstones, now_us)) {
	case TB_READY:
		w->lease = tb_use(&w->f->tombstones);
		cc_write_cancellation(c);
		return;
	case TB_NEEDS_LEASE:
		c->lease_asked_us = now_us;
		f->keys->lease_grant(
		    f->handle, TB_LEASE_MS, cc_on_tombstone_lease, c);
		return;
	case TB_FULL:
		cc_write_finish(w, w->uncertain ? 504 : 503,
		    "{\"error\":\"too many cancellations of unknown jobs\"}");
		return;
	}
}

static void
cc_send_cancellation(struct cc_write *w)
{
	struct cc_cancellation *c = (struct cc_cancellation *)w;

	w->lease = 0;
	if (c->job_revision == 0)
		cc_send_tombstone(c);
	else
		cc_write_cancellation(c);
}

static const struct cc_write_ops cc_cancellation_ops = {
    .event = "cancel",
    .send = cc_send_cancellation,
    .stored = cc_on_cancel_stored,
    .conflict = cc_on_cancel_conflict,
};

void
cc_cancel_job(struct cc_frontend *f, struct hs_request *req, const char *id,
    int64_t deadline_us)
{
	const struct rp_job *job = rp_find_job(f->c->replica, id);
	struct cc_cancellation *c;

	if (job != NULL && (job->cancelled || jb_has_ended(job->state))) {
		if (job->cancelled)
			cc_tell_owner(f, id, job->cancel_revision);
		cc_log_unwritten("cancel", id, 200, "cancelled or ended");
		cc_respond(f, req, 200, "{}");
		return;
	}
	if (cc_is_ending(f->c)) {
		cc_log_unwritten("cancel", id, 503, "daemon ends");
		cc_respond_error(f, req, 503, "this daemon is about to end");
		return;
	}
	c = talloc_zero(f, struct cc_cancellation);
	if (c == NULL)
		abort();
	cc_write_init(&c->w, &cc_cancellation_ops, f, req, id, deadline_us);
	if (job != NULL)
		c->job_revision = job->spec_revision;
	cc_send_cancellation(&c->w);
}
