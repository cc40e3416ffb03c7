#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_lookup.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"

/* Without an answer by then, the state in the replica is used. */
#define LK_TIMEOUT_US (250 * CLK_US_PER_MS)

struct lk_query {
	uint64_t id;
	struct lk_resolver *r;
	uint64_t link;
	char job[JB_ID_BYTES];
	lk_done_fn done;
	void *arg;
	UT_hash_handle hh;
};

struct lk_resolver {
	struct cell *c;
	struct lk_query *queries;
	uint64_t next_id;
};

struct lk_resolver *
lk_create(struct cell *c)
{
	struct lk_resolver *r = talloc_zero(c, struct lk_resolver);

	if (r == NULL)
		abort();
	r->c = c;
	return r;
}

/* Passes on the later one of the owner's state and the replica's. */
static void
lk_finish(struct lk_query *q, enum jb_state owner_state)
{
	const struct rp_job *job = rp_find_job(q->r->c->replica, q->job);

	if (job != NULL && job->state > owner_state)
		owner_state = job->state;
	HASH_DEL(q->r->queries, q);
	q->done(owner_state, q->arg);
	talloc_free(q);
}

static struct lk_query *
lk_find(struct lk_resolver *r, uint64_t id)
{
	struct lk_query *q;

	HASH_FIND(hh, r->queries, &id, sizeof(id), q);
	return q;
}

struct lk_timeout {
	struct lk_resolver *r;
	uint64_t id;
};

static void
lk_on_timeout(void *arg)
{
	struct lk_timeout *t = arg;
	struct lk_query *q = lk_find(t->r, t->id);

	if (q != NULL)
		lk_finish(q, JB_PENDING);
	talloc_free(t);
}

static void
lk_set_timeout(struct lk_query *q)
{
	struct lk_timeout *t = talloc_zero(q->r, struct lk_timeout);

	if (t == NULL)
		abort();
	t->r = q->r;
	t->id = q->id;
	loop_after(q->r->c->loop, LK_TIMEOUT_US, lk_on_timeout, t);
}

/* Link to the owner; NULL if it can't or need not be asked. */
static struct peer_link *
lk_owner_link(struct lk_resolver *r, const struct rp_job *job)
{
	const struct rp_owner *o = rp_get_owner(r->c->replica, job->pool);

	if (jb_has_ended(job->state) || pn_is_small_cell(r->c->links) ||
	    !o->present || strcmp(o->vm, r->c->settings->vm) == 0)
		return NULL;
	return pn_link(r->c->links, o->vm);
}

void
lk_resolve(
    struct lk_resolver *r, const struct rp_job *job, lk_done_fn done, void *arg)
{
	struct peer_link *link = lk_owner_link(r, job);
	Currant__JobStateQuery query = CURRANT__JOB_STATE_QUERY__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct lk_query *q;

	if (link == NULL) {
		done(job->state, arg);
		return;
	}
	q = talloc_zero(r, struct lk_query);
	if (q == NULL)
		abort();
	q->id = ++r->next_id;
	q->r = r;
	q->link = peer_serial(link);
	memcpy(q->job, job->id, sizeof(q->job));
	q->done = done;
	q->arg = arg;
	HASH_ADD(hh, r->queries, id, sizeof(q->id), q);
	lk_set_timeout(q);
	query.id = q->id;
	query.job = q->job;
	frame.state_query = &query;
	peer_send(link, &frame);
}

/* A final state is given only once it is stored. */
static enum jb_state
lk_state_of(struct lk_resolver *r, const char *id)
{
	const struct rp_job *row = rp_find_job(r->c->replica, id);
	const struct cp_host *h;
	const struct wp_job *job;

	if (row == NULL)
		return JB_PENDING;
	h = cp_get_host(r->c, row->pool);
	job = h->pool != NULL ? wp_find_job(h->pool, id) : NULL;
	if (!jb_has_ended(row->state) && job != NULL && job->started)
		return JB_RUNNING;
	return row->state;
}

void
lk_on_query(struct lk_resolver *r, struct peer_link *link,
    const Currant__JobStateQuery *query)
{
	Currant__JobStateAnswer answer = CURRANT__JOB_STATE_ANSWER__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;

	answer.id = query->id;
	answer.state = (uint32_t)lk_state_of(r, query->job);
	frame.state_answer = &answer;
	peer_send(link, &frame);
}

void
lk_on_answer(struct lk_resolver *r, const Currant__JobStateAnswer *answer)
{
	struct lk_query *q = lk_find(r, answer->id);
	enum jb_state state = JB_PENDING;

	if (q == NULL)
		return;
	if (answer->state <= JB_CANCELLED)
		state = (enum jb_state)answer->state;
	cp_on_end_reported(r->c, q->job, state);
	lk_finish(q, state);
}

void
lk_on_closed(struct lk_resolver *r, struct peer_link *link)
{
	struct lk_query *q;
	struct lk_query *tmp;

	HASH_ITER(hh, r->queries, q, tmp) {
		if (q->link == peer_serial(link))
			lk_finish(q, JB_PENDING);
	}
}
