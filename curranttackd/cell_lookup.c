#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_lookup.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"

/* An owner that takes longer is not waited for. */
#define LK_WAIT_US (250 * CLK_US_PER_MS)

struct lk_question {
	uint64_t id;
	struct lk_resolver *d;
	uint64_t link;
	char job[JB_ID_BYTES];
	lk_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

struct lk_resolver {
	struct cell *c;
	struct lk_question *questions;
	uint64_t next_id;
};

struct lk_resolver *
lk_create(struct cell *c)
{
	struct lk_resolver *d = talloc_zero(c, struct lk_resolver);

	if (d == NULL)
		abort();
	d->c = c;
	return d;
}

/* With the newer of what the owner says and what this daemon knows. */
static void
lk_finish(struct lk_question *q, enum jb_state told)
{
	const struct rp_job *job = rp_find_job(q->d->c->replica, q->job);

	if (job != NULL && job->state > told)
		told = job->state;
	HASH_DEL(q->d->questions, q);
	q->done(told, q->arg);
	talloc_free(q);
}

static struct lk_question *
lk_find(struct lk_resolver *d, uint64_t id)
{
	struct lk_question *q;

	HASH_FIND(hh, d->questions, &id, sizeof(id), q);
	return q;
}

struct lk_timeout {
	struct lk_resolver *d;
	uint64_t id;
};

static void
lk_on_timeout(void *arg)
{
	struct lk_timeout *t = arg;
	struct lk_question *q = lk_find(t->d, t->id);

	if (q != NULL)
		lk_finish(q, JB_PENDING);
	talloc_free(t);
}

static void
lk_set_timeout(struct lk_question *q)
{
	struct lk_timeout *t = talloc_zero(q->d, struct lk_timeout);

	if (t == NULL)
		abort();
	t->d = q->d;
	t->id = q->id;
	loop_after(q->d->c->loop, LK_WAIT_US, lk_on_timeout, t);
}

/* The owner to ask, or NULL when this daemon knows as much as can be known. */
static struct peer_link *
lk_owner_link(struct lk_resolver *d, const struct rp_job *job)
{
	const struct rp_owner *o = rp_get_owner(d->c->replica, job->pool);

	if (jb_has_ended(job->state) || pn_is_small_cell(d->c->links) ||
	    !o->present || strcmp(o->vm, d->c->settings->vm) == 0)
		return NULL;
	return pn_link(d->c->links, o->vm);
}

void
lk_resolve(
    struct lk_resolver *d, const struct rp_job *job, lk_done_fn done, void *arg)
{
	struct peer_link *link = lk_owner_link(d, job);
	Currant__JobStateQuery query = CURRANT__JOB_STATE_QUERY__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct lk_question *q;

	if (link == NULL) {
		done(job->state, arg);
		return;
	}
	q = talloc_zero(d, struct lk_question);
	if (q == NULL)
		abort();
	q->id = ++d->next_id;
	q->d = d;
	q->link = peer_serial(link);
	memcpy(q->job, job->id, sizeof(q->job));
	q->done = done;
	q->arg = arg;
	HASH_ADD(hh, d->questions, id, sizeof(q->id), q);
	lk_set_timeout(q);
	query.id = q->id;
	query.job = q->job;
	frame.state_query = &query;
	peer_send(link, &frame);
}

/* What has ended is said once that is stored or told to all. */
static enum jb_state
lk_state_of(struct lk_resolver *d, const char *id)
{
	const struct rp_job *row = rp_find_job(d->c->replica, id);
	const struct cp_host *h;
	const struct wp_job *job;

	if (row == NULL)
		return JB_PENDING;
	h = cp_get_host(d->c, row->pool);
	job = h->pool != NULL ? wp_find_job(h->pool, id) : NULL;
	if (!jb_has_ended(row->state) && job != NULL && job->started)
		return JB_RUNNING;
	return row->state;
}

void
lk_on_query(struct lk_resolver *d, struct peer_link *link,
    const Currant__JobStateQuery *query)
{
	Currant__JobStateAnswer answer = CURRANT__JOB_STATE_ANSWER__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;

	answer.id = query->id;
	answer.state = (uint32_t)lk_state_of(d, query->job);
	frame.state_answer = &answer;
	peer_send(link, &frame);
}

void
lk_on_answer(struct lk_resolver *d, const Currant__JobStateAnswer *answer)
{
	struct lk_question *q = lk_find(d, answer->id);
	enum jb_state state = JB_PENDING;
	struct rp_job *job;

	if (q == NULL)
		return;
	if (answer->state <= JB_CANCELLED)
		state = (enum jb_state)answer->state;
	job = rp_find_job(d->c->replica, q->job);
	if (job != NULL)
		rp_on_end_reported(job, state);
	lk_finish(q, state);
}

void
lk_on_closed(struct lk_resolver *d, struct peer_link *link)
{
	struct lk_question *q;
	struct lk_question *tmp;

	HASH_ITER(hh, d->questions, q, tmp) {
		if (q->link == peer_serial(link))
			lk_finish(q, JB_PENDING);
	}
}
