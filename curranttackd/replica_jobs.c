#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"
#include "protocol/job_codec.h"

static struct rp_job *
rp_get_job(struct replica *r, const char *id)
{
	struct rp_job *job;

	HASH_FIND_STR(r->jobs, id, job);
	if (job != NULL || strlen(id) != JB_ID_LENGTH)
		return job;
	job = talloc_zero(r, struct rp_job);
	if (job == NULL)
		abort();
	memcpy(job->id, id, sizeof(job->id));
	HASH_ADD_STR(r->jobs, id, job);
	return job;
}

struct rp_job *
rp_find_job(struct replica *r, const char *id)
{
	struct rp_job *job;

	HASH_FIND_STR(r->jobs, id, job);
	return job != NULL && job->spec != NULL ? job : NULL;
}

struct rp_job *
rp_find_tombstone(struct replica *r, const char *id)
{
	struct rp_job *job;

	HASH_FIND_STR(r->jobs, id, job);
	return job != NULL && job->spec == NULL ? job : NULL;
}

void
rp_forget_job(struct replica *r, struct rp_job *job)
{
	HASH_DEL(r->jobs, job);
	talloc_free(job);
}

static bool
rp_read_job(struct rp_job *job, const struct ks_item *item)
{
	struct jb_spec *spec;

	spec = jc_unpack_job(NULL, item->value, item->value_bytes);
	if (spec == NULL) {
		lg_event(LG_ERROR, "replica", "unreadable_job", "job", job->id,
		    NULL);
		return false;
	}
	job->spec = talloc_memdup(job, item->value, item->value_bytes);
	job->spec_bytes = item->value_bytes;
	job->spec_revision = item->revision;
	/* It could be created, so an earlier tombstone is gone. */
	if (job->cancel_revision < item->revision)
		job->cancelled = false;
	job->queue = talloc_strdup(job, spec->queue);
	job->pool = talloc_strdup(job, spec->pool);
	job->recurring = spec->repeat_count > 0;
	job->accepted_us = clk_now_us();
	talloc_free(spec);
	return true;
}

void
rp_announce_job(struct replica *r, struct rp_job *job)
{
	if (job->announced)
		return;
	job->announced = true;
	r->hooks.job(job, r->arg);
}

void
rp_apply_job(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_job *job = rp_get_job(r, id);

	if (job == NULL)
		return;
	if (item->deleted) {
		if (item->revision > job->spec_revision)
			rp_forget_job(r, job);
		return;
	}
	if (job->spec == NULL && !rp_read_job(job, item))
		return;
	if (r->applying_in_order)
		rp_announce_job(r, job);
}

void
rp_apply_progress(struct replica *r, const char *id, const struct ks_item *item)
{
	enum jb_state state;
	struct rp_job *job;
	bool started;

	if (item->deleted)
		return;
	job = rp_get_job(r, id);
	if (job == NULL || item->revision <= job->progress_revision)
		return;
	if (!jc_unpack_state(
		item->value, item->value_bytes, &state, &started)) {
		lg_event(LG_ERROR, "replica", "unreadable_progress", "job", id,
		    NULL);
		return;
	}
	talloc_free(job->progress);
	job->progress = talloc_memdup(job, item->value, item->value_bytes);
	job->progress_bytes = item->value_bytes;
	job->progress_revision = item->revision;
	job->started = started;
	if (jb_has_ended(state))
		job->end_reported = false;
	if (!job->end_reported)
		job->state = state;
	if (jb_has_ended(job->state) && job->ended_us == 0)
		job->ended_us = clk_now_us();
}

bool
rp_on_end_reported(struct replica *r, const char *id, enum jb_state state)
{
	struct rp_job *job;

	if (!jb_has_ended(state))
		return false;
	job = rp_get_job(r, id);
	if (job == NULL || jb_has_ended(job->state))
		return false;
	job->end_reported = true;
	job->state = state;
	job->ended_us = clk_now_us();
	return true;
}

/* The cancellation of a stored job is removed together with the job. */
static void
rp_drop_tombstone(struct replica *r, struct rp_job *job)
{
	if (job->spec == NULL && job->progress == NULL && !job->end_reported)
		rp_forget_job(r, job);
}

void
rp_apply_cancel(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_job *job =
	    item->deleted ? rp_find_tombstone(r, id) : rp_get_job(r, id);
	bool is_new;

	if (job == NULL || item->revision <= job->cancel_revision)
		return;
	if (item->deleted) {
		rp_drop_tombstone(r, job);
		return;
	}
	/* A tombstone from before the job, which could be created since. */
	if (job->spec != NULL && item->revision < job->spec_revision)
		return;
	is_new = !job->cancelled;
	job->cancelled = true;
	job->cancel_revision = item->revision;
	if (is_new)
		job->cancelled_by = r->source;
	if (is_new)
		r->hooks.cancel(job, r->arg);
}

void
rp_note_cancel(
    struct replica *r, const char *id, uint64_t revision, const char *source)
{
	struct ks_item item = {
	    .revision = revision,
	};

	if (rp_has_applied(r, revision))
		return;
	r->source = source;
	rp_apply_cancel(r, id, &item);
}

void
rp_on_cancel_reported(struct replica *r, const char *id, uint64_t revision)
{
	rp_note_cancel(r, id, revision, "peer");
}

void
rp_remove_unfound_jobs(struct replica *r)
{
	struct rp_job *job;
	struct rp_job *next;

	HASH_ITER(hh, r->jobs, job, next) {
		if (job->spec != NULL && job->found_in_load != r->load_number &&
		    job->spec_revision < r->load_revision)
			rp_forget_job(r, job);
		else if (job->cancelled &&
		    job->found_in_load != r->load_number &&
		    job->cancel_revision < r->load_revision)
			rp_drop_tombstone(r, job);
	}
}
