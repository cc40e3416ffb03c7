#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_pool.h"

/* Calls that this VM has out at a time; the service takes them in turn. */
#define AV_MAX_OUT 2
#define AV_SLACK_US (700 * CLK_US_PER_MS)
#define AV_MAX_PEERS 64
/* Questions that are answered faster are kept apart from slower ones. */
#define AV_SHORT_US (60 * CLK_US_PER_MS)
#define AV_RECONNECT_US (500 * CLK_US_PER_MS)

/* A question that this VM puts to the service. */
struct av_question {
	struct av_desk *d;
	struct wp_ask ask;
	char *worker[WP_MAX_ASK];
	int64_t cost_us;
	int64_t deadline_us;
	fl_advice_fn done;
	void *arg;
	/* Set for a peer's question. */
	uint64_t link;
	uint64_t id;
	struct av_question *prev;
	struct av_question *next;
};

/* A daemon that can be asked. */
struct av_peer {
	char vm[WP_NAME_BYTES];
	char address[WP_NAME_BYTES];
	struct peer_link *link;
	int64_t busy_until_us;
	int64_t connect_at_us;
};

/* A question that a peer answers. */
struct av_remote {
	uint64_t id;
	uint64_t link;
	int64_t deadline_us;
	fl_advice_fn done;
	void *arg;
	struct av_remote *prev;
	struct av_remote *next;
};

struct av_desk {
	struct cell *c;
	struct av_question *waiting;
	uint32_t out;
	int64_t busy_until_us;
	struct av_peer peer[AV_MAX_PEERS];
	uint32_t peer_count;
	struct av_remote *remote;
	uint64_t next_id;
};

struct av_desk *
av_create(struct cell *c)
{
	struct av_desk *d = talloc_zero(c, struct av_desk);

	if (d == NULL)
		abort();
	d->c = c;
	return d;
}

static int64_t
av_cost_us(const struct wp_ask *ask)
{
	return ask->decide_us + (int64_t)ask->period_us * ask->worker_count;
}

static void av_start_next(struct av_desk *d);

static void
av_answer_peer(struct av_question *q, bool ok, const struct wp_advice *good,
    uint32_t count)
{
	Currant__AdviceAnswer answer = CURRANT__ADVICE_ANSWER__INIT;
	Currant__AdviceTicket row[WP_MAX_ASK];
	Currant__AdviceTicket *rows[WP_MAX_ASK];
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = peer_find(q->d->c->peers, q->link);
	uint32_t i;

	if (link == NULL)
		return;
	for (i = 0; i < count; i++) {
		currant__advice_ticket__init(&row[i]);
		row[i].worker = (char *)(uintptr_t)good[i].worker;
		row[i].ticket = (char *)(uintptr_t)good[i].ticket;
		rows[i] = &row[i];
	}
	answer.id = q->id;
	answer.ok = ok;
	answer.good = rows;
	answer.n_good = count;
	frame.advice_answer = &answer;
	peer_send(link, &frame);
}

static void
av_finish(struct av_question *q, bool ok, const struct wp_advice *good,
    uint32_t count)
{
	if (q->link != 0)
		av_answer_peer(q, ok, good, count);
	else
		q->done(ok, good, count, q->arg);
	talloc_free(q);
}

static void
av_on_service(bool ok, const struct wp_advice *good, uint32_t count, void *arg)
{
	struct av_question *q = arg;
	struct av_desk *d = q->d;

	d->out--;
	av_finish(q, ok, good, count);
	av_start_next(d);
}

/* By priority, then in turn. */
static struct av_question *
av_take_first(struct av_desk *d)
{
	struct av_question *best = d->waiting;
	struct av_question *q;

	DL_FOREACH(d->waiting, q) {
		if (q->ask.priority < best->ask.priority)
			best = q;
	}
	if (best != NULL)
		DL_DELETE(d->waiting, best);
	return best;
}

static void
av_start_next(struct av_desk *d)
{
	const struct fl_fleet *f = d->c->fleet;
	int64_t now_us = clk_now_us();

	while (d->out < AV_MAX_OUT && d->waiting != NULL) {
		struct av_question *q = av_take_first(d);

		if (now_us >= q->deadline_us) {
			av_finish(q, false, NULL, 0);
			continue;
		}
		d->out++;
		f->advice->ask(f->handle, &q->ask,
		    now_us + 2 * q->cost_us + AV_SLACK_US, av_on_service, q);
	}
}

static struct av_question *
av_question_create(struct av_desk *d, const struct wp_ask *ask)
{
	struct av_question *q = talloc_zero(d, struct av_question);
	uint32_t i;

	if (q == NULL)
		abort();
	q->d = d;
	q->ask = *ask;
	for (i = 0; i < ask->worker_count; i++) {
		q->worker[i] = talloc_strdup(q, ask->worker[i]);
		q->ask.worker[i] = q->worker[i];
	}
	q->cost_us = av_cost_us(ask);
	return q;
}

static void
av_ask_here(struct av_desk *d, struct av_question *q)
{
	int64_t now_us = clk_now_us();

	if (d->busy_until_us < now_us)
		d->busy_until_us = now_us;
	d->busy_until_us += q->cost_us;
	q->deadline_us = d->busy_until_us + AV_SLACK_US;
	DL_APPEND(d->waiting, q);
	av_start_next(d);
}

/* Keeps one row for each member; connects when that is due. */
static void
av_refresh_peers(struct av_desk *d, int64_t now_us)
{
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t i;

	HASH_ITER(hh, d->c->replica->members, m, tmp) {
		struct av_peer *p = NULL;

		if (!m->present || strcmp(m->vm, d->c->settings->vm) == 0)
			continue;
		for (i = 0; i < d->peer_count; i++) {
			if (strcmp(d->peer[i].vm, m->vm) == 0)
				p = &d->peer[i];
		}
		if (p == NULL) {
			if (d->peer_count == AV_MAX_PEERS)
				continue;
			p = &d->peer[d->peer_count++];
			memset(p, 0, sizeof(*p));
			snprintf(p->vm, sizeof(p->vm), "%s", m->vm);
		}
		snprintf(p->address, sizeof(p->address), "%s", m->address);
		if (p->link == NULL && now_us >= p->connect_at_us) {
			p->connect_at_us = now_us + AV_RECONNECT_US;
			p->link = peer_connect(d->c->peers, p->address);
		}
	}
}

static bool
av_peer_usable(const struct av_desk *d, const struct av_peer *p)
{
	struct rp_member *m;

	if (p->link == NULL || !peer_established(p->link))
		return false;
	HASH_FIND_STR(d->c->replica->members, p->vm, m);
	return m != NULL && m->present;
}

/* A third of the daemons, by name, answers only short questions. */
static bool
av_is_reserved(const struct av_desk *d, const char *vm)
{
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t before = 0;
	uint32_t all = 0;

	HASH_ITER(hh, d->c->replica->members, m, tmp) {
		if (!m->present)
			continue;
		all++;
		before += strcmp(m->vm, vm) < 0;
	}
	return all > 2 && before % 3 == 0;
}

/* The daemon that would answer first: NULL for this one. */
static struct av_peer *
av_choose(struct av_desk *d, const struct wp_ask *ask, int64_t now_us)
{
	bool is_short = av_cost_us(ask) < AV_SHORT_US;
	struct av_peer *best = NULL;
	int64_t best_us = INT64_MAX;
	int64_t at_us;
	uint32_t i;

	if (av_is_reserved(d, d->c->settings->vm) == is_short)
		best_us = d->busy_until_us > now_us ? d->busy_until_us : now_us;
	for (i = 0; i < d->peer_count; i++) {
		struct av_peer *p = &d->peer[i];

		if (!av_peer_usable(d, p) ||
		    av_is_reserved(d, p->vm) != is_short)
			continue;
		at_us = p->busy_until_us > now_us ? p->busy_until_us : now_us;
		if (at_us < best_us) {
			best_us = at_us;
			best = p;
		}
	}
	return best;
}

static void
av_ask_peer(struct av_desk *d, struct av_peer *p, const struct wp_ask *ask,
    fl_advice_fn done, void *arg, int64_t now_us)
{
	Currant__AdviceAsk row = CURRANT__ADVICE_ASK__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct av_remote *r = talloc_zero(d, struct av_remote);

	if (r == NULL)
		abort();
	if (p->busy_until_us < now_us)
		p->busy_until_us = now_us;
	p->busy_until_us += av_cost_us(ask);
	r->id = ++d->next_id;
	r->link = peer_serial(p->link);
	r->deadline_us = p->busy_until_us + 2 * AV_SLACK_US;
	r->done = done;
	r->arg = arg;
	row.id = r->id;
	row.job = (char *)(uintptr_t)ask->job;
	row.occurrence = ask->occurrence;
	row.step = ask->step;
	row.workers = (char **)(uintptr_t)ask->worker;
	row.n_workers = ask->worker_count;
	row.cost_us = (uint64_t)av_cost_us(ask);
	row.priority = ask->priority;
	frame.advice_ask = &row;
	DL_APPEND(d->remote, r);
	if (!peer_send(p->link, &frame))
		r->deadline_us = now_us;
}

void
av_ask(
    struct av_desk *d, const struct wp_ask *ask, fl_advice_fn done, void *arg)
{
	int64_t now_us = clk_now_us();
	struct av_question *q;
	struct av_peer *p;

	p = av_choose(d, ask, now_us);
	if (p != NULL) {
		av_ask_peer(d, p, ask, done, arg, now_us);
		return;
	}
	q = av_question_create(d, ask);
	q->done = done;
	q->arg = arg;
	av_ask_here(d, q);
}

void
av_on_ask(
    struct av_desk *d, struct peer_link *link, const Currant__AdviceAsk *row)
{
	struct wp_ask ask = {0};
	struct av_question *q;
	size_t i;

	snprintf(ask.job, sizeof(ask.job), "%s", row->job);
	ask.occurrence = row->occurrence;
	ask.step = row->step;
	ask.decide_us = (uint32_t)row->cost_us;
	ask.priority = row->priority;
	for (i = 0; i < row->n_workers && i < WP_MAX_ASK; i++)
		ask.worker[ask.worker_count++] = row->workers[i];
	q = av_question_create(d, &ask);
	q->link = peer_serial(link);
	q->id = row->id;
	av_ask_here(d, q);
}

void
av_on_answer(struct av_desk *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer)
{
	struct wp_advice good[WP_MAX_ASK];
	struct av_remote *r;
	uint32_t n = 0;

	DL_FOREACH(d->remote, r) {
		if (r->id == answer->id && r->link == peer_serial(link))
			break;
	}
	if (r == NULL)
		return;
	for (n = 0; n < answer->n_good && n < WP_MAX_ASK; n++) {
		good[n].worker = answer->good[n]->worker;
		good[n].ticket = answer->good[n]->ticket;
	}
	DL_DELETE(d->remote, r);
	r->done(answer->ok, good, n, r->arg);
	talloc_free(r);
}

static void
av_fail_remote(struct av_desk *d, uint64_t link, int64_t now_us)
{
	struct av_remote *r;
	struct av_remote *tmp;

	DL_FOREACH_SAFE(d->remote, r, tmp) {
		if (r->link != link && now_us < r->deadline_us)
			continue;
		DL_DELETE(d->remote, r);
		r->done(false, NULL, 0, r->arg);
		talloc_free(r);
	}
}

void
av_on_closed(struct av_desk *d, struct peer_link *link)
{
	uint32_t i;

	for (i = 0; i < d->peer_count; i++) {
		if (d->peer[i].link == link)
			d->peer[i].link = NULL;
	}
	av_fail_remote(d, peer_serial(link), clk_now_us());
}

void
av_tick(struct av_desk *d, int64_t now_us)
{
	av_fail_remote(d, 0, now_us);
	if (cp_owned(d->c) > 0)
		av_refresh_peers(d, now_us);
}
