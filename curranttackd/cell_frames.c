#include <stdio.h>

#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_frames.h"
#include "curranttackd/cell_lookup.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "curranttackd/cell_relay.h"
#include "curranttackd/cell_witness.h"
#include "protocol/curranttack.pb-c.h"

static bool
cell_accept_hello(const Currant__Hello *hello, void *arg)
{
	(void)hello;
	(void)arg;
	return true;
}

/* A peer has sent a job that it accepted. */
static void
cell_on_new_job(struct cell *c, const Currant__NewJob *row)
{
	char key[RP_KEY_BYTES];
	struct rp_job *job;
	struct ks_item item = {
	    .key = key,
	    .value = row->spec.data,
	    .value_bytes = row->spec.len,
	    .revision = row->revision,
	};

	snprintf(key, sizeof(key), "%s%s", RP_JOB_PREFIX, row->id);
	rp_apply_out_of_order(c->replica, &item);
	job = rp_find_job(c->replica, row->id);
	if (job != NULL && cp_owns(c, job->pool, row->fence))
		rp_announce_job(c->replica, job);
}

/* A peer has stored a cancellation, or found it stored. */
static void
cell_on_cancelled_job(struct cell *c, const Currant__CancelledJob *row)
{
	rp_on_cancel_reported(c->replica, row->id, row->revision);
}

/* A daemon reports the final state of a job. */
static void
cell_on_ended_job(struct cell *c, const Currant__EndedJob *row)
{
	if (row->state <= JB_CANCELLED)
		cp_on_end_reported(c, row->id, (enum jb_state)row->state);
}

static void
cell_on_frame(struct peer_link *link, const Currant__Frame *frame, void *arg)
{
	struct cell *c = arg;
	size_t i;

	if (frame->advice_ask != NULL)
		av_on_peer_request(c->advice, link, frame->advice_ask);
	if (frame->new_job != NULL)
		cell_on_new_job(c, frame->new_job);
	for (i = 0; i < frame->n_ended_jobs; i++)
		cell_on_ended_job(c, frame->ended_jobs[i]);
	for (i = 0; i < frame->n_cancelled_jobs; i++)
		cell_on_cancelled_job(c, frame->cancelled_jobs[i]);
	if (frame->owner_changed)
		rp_watch_now(c->replica);
	if (frame->advice_answer != NULL)
		av_on_peer_answer(c->advice, link, frame->advice_answer);
	rl_serve(c, link, frame);
	rl_on_results(c->relay, frame);
	if (frame->state_query != NULL)
		lk_on_query(c->lookup, link, frame->state_query);
	if (frame->state_answer != NULL)
		lk_on_answer(c->lookup, frame->state_answer);
	if (frame->witness_ask != NULL)
		cp_on_witness_ask(c, link, frame->witness_ask);
	if (frame->witness_answer != NULL)
		cp_on_witness_answer(c, link, frame->witness_answer);
}

static void
cell_on_link_closed(struct peer_link *link, void *arg)
{
	struct cell *c = arg;

	pn_on_closed(c->links, link);
	av_on_closed(c->advice, link);
	rl_on_closed(c->relay, link);
	rl_forget_sender(c, link);
	lk_on_closed(c->lookup, link);
}

const struct peer_hooks cell_peer_hooks = {
    .accept_hello = cell_accept_hello,
    .on_frame = cell_on_frame,
    .on_closed = cell_on_link_closed,
};
