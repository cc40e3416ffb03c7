#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"

/* Calls that this VM has out at a time; the service takes them in turn. */
#define AV_LINE_OUT 2
/* Questions that an owner has out at one daemon. */
#define AV_SEAT_OUT 2
#define AV_SLACK_US (700 * CLK_US_PER_MS)
#define AV_PEER_SLACK_US (1500 * CLK_US_PER_MS)
#define AV_MAX_SEATS 256
/* Questions that are answered faster are kept apart from slower ones. */
#define AV_SHORT_US (60 * CLK_US_PER_MS)
/* One daemon of so many answers only short questions. */
#define AV_RESERVE_EACH 3
#define AV_BAD_US (CLK_US_PER_S)
#define AV_REFRESH_US (100 * CLK_US_PER_MS)

struct av_seat;

/*
 * A question: waiting for a seat, in this VM's line, or with a peer. One that
 * came from a peer names the link and the peer's number for it.
 */
struct av_question {
	struct av_dispatcher *d;
	struct wp_advice_request ask;
	char *worker[WP_MAX_ASK];
	int64_t cost_us;
	struct av_seat *seat;
	int64_t deadline_us;
	fl_advice_fn done;
	void *arg;
	uint64_t link;
	uint64_t id;
	struct av_question *prev;
	struct av_question *next;
};

/* A daemon that can be asked; the first is this one. */
struct av_seat {
	char vm[WP_NAME_BYTES];
	struct peer_link *link;
	uint32_t out;
	int64_t out_cost_us;
	int64_t bad_until_us;
	bool usable;
	bool reserved;
};

struct av_dispatcher {
	struct cell *c;
	struct av_question *queue;
	struct av_question *line;
	struct av_question *remote;
	uint32_t line_out;
	struct av_seat seat[AV_MAX_SEATS];
	uint32_t seat_count;
	uint64_t next_id;
	int64_t refresh_at_us;
};

static void av_start_line(struct av_dispatcher *d);
static void av_dispatch(struct av_dispatcher *d);

struct av_dispatcher *
av_create(struct cell *c)
{
	struct av_dispatcher *d = talloc_zero(c, struct av_dispatcher);

	if (d == NULL)
		abort();
	d->c = c;
	snprintf(d->seat[0].vm, sizeof(d->seat[0].vm), "%s", c->settings->vm);
	d->seat_count = 1;
	return d;
}

static int64_t
av_cost_us(const struct wp_advice_request *ask)
{
	return ask->base_cost_us +
	    (int64_t)ask->worker_cost_us * ask->worker_count;
}

static struct av_question *
av_question_create(struct av_dispatcher *d, const struct wp_advice_request *ask)
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
av_answer_peer(struct av_question *q, bool ok, const struct wp_approval *good,
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
av_finish(struct av_question *q, bool ok, const struct wp_approval *good,
    uint32_t count)
{
	if (q->seat != NULL) {
		q->seat->out--;
		q->seat->out_cost_us -= q->cost_us;
	}
	if (q->link != 0)
		av_answer_peer(q, ok, good, count);
	else
		q->done(ok, good, count, q->arg);
	talloc_free(q);
}

static void
av_on_service(
    bool ok, const struct wp_approval *good, uint32_t count, void *arg)
{
	struct av_question *q = arg;
	struct av_dispatcher *d = q->d;

	d->line_out--;
	av_finish(q, ok, good, count);
	av_start_line(d);
	av_dispatch(d);
}

/* By priority, then in turn. */
static struct av_question *
av_first(struct av_question *list)
{
	struct av_question *best = list;
	struct av_question *q;

	DL_FOREACH(list, q) {
		if (q->ask.priority < best->ask.priority)
			best = q;
	}
	return best;
}

static void
av_start_line(struct av_dispatcher *d)
{
	const struct fl_fleet *f = d->c->fleet;
	int64_t now_us = clk_now_us();

	while (d->line_out < AV_LINE_OUT && d->line != NULL) {
		struct av_question *q = av_first(d->line);

		DL_DELETE(d->line, q);
		d->line_out++;
		f->advice->request(f->handle, &q->ask,
		    now_us + 2 * q->cost_us + AV_SLACK_US, av_on_service, q);
	}
}

static struct av_seat *
av_seat_of(struct av_dispatcher *d, const char *vm)
{
	struct av_seat *seat;
	uint32_t i;

	for (i = 0; i < d->seat_count; i++) {
		if (strcmp(d->seat[i].vm, vm) == 0)
			return &d->seat[i];
	}
	if (d->seat_count == AV_MAX_SEATS)
		return NULL;
	seat = &d->seat[d->seat_count++];
	memset(seat, 0, sizeof(*seat));
	snprintf(seat->vm, sizeof(seat->vm), "%s", vm);
	return seat;
}

static void
av_refresh_seat(struct av_dispatcher *d, const struct rp_member *m,
    uint32_t members_before, uint32_t members, int64_t now_us)
{
	struct av_seat *seat = av_seat_of(d, m->vm);

	if (seat == NULL)
		return;
	seat->reserved =
	    members >= AV_RESERVE_EACH && members_before % AV_RESERVE_EACH == 0;
	if (seat == &d->seat[0])
		return;
	seat->link = pn_link(d->c->links, seat->vm);
	seat->usable = seat->link != NULL && now_us >= seat->bad_until_us;
}

/* Which daemons can be asked now, and which of them only briefly. */
static void
av_refresh(struct av_dispatcher *d, int64_t now_us)
{
	struct rp_member *m;
	struct rp_member *other;
	struct rp_member *tmp;
	struct rp_member *tmp2;
	uint32_t members = 0;
	uint32_t i;

	if (now_us < d->refresh_at_us)
		return;
	d->refresh_at_us = now_us + AV_REFRESH_US;
	for (i = 1; i < d->seat_count; i++)
		d->seat[i].usable = false;
	d->seat[0].usable = true;
	d->seat[0].reserved = false;
	HASH_ITER(hh, d->c->replica->members, m, tmp)
		members += m->present;
	HASH_ITER(hh, d->c->replica->members, m, tmp) {
		uint32_t before = 0;

		if (!m->present)
			continue;
		HASH_ITER(hh, d->c->replica->members, other, tmp2)
			before +=
			    other->present && strcmp(other->vm, m->vm) < 0;
		av_refresh_seat(d, m, before, members, now_us);
	}
}

/* The daemon that would answer first, of those kept for such questions. */
static struct av_seat *
av_choose_among(struct av_dispatcher *d, bool is_short, bool any)
{
	struct av_seat *best = NULL;
	uint32_t i;

	for (i = 0; i < d->seat_count; i++) {
		struct av_seat *seat = &d->seat[i];

		if (!seat->usable || (!any && seat->reserved != is_short))
			continue;
		if (best == NULL || seat->out_cost_us < best->out_cost_us)
			best = seat;
	}
	return best;
}

static struct av_seat *
av_choose(struct av_dispatcher *d, bool is_short)
{
	struct av_seat *seat = av_choose_among(d, is_short, false);

	if (seat == NULL)
		seat = av_choose_among(d, is_short, true);
	return seat != NULL && seat->out < AV_SEAT_OUT ? seat : NULL;
}

static void
av_send(struct av_dispatcher *d, struct av_question *q, int64_t now_us)
{
	Currant__AdviceAsk row = CURRANT__ADVICE_ASK__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;

	q->id = ++d->next_id;
	q->deadline_us = now_us + 2 * q->seat->out_cost_us + AV_PEER_SLACK_US;
	row.id = q->id;
	row.job = q->ask.job;
	row.occurrence = q->ask.occurrence;
	row.step = q->ask.step;
	row.workers = q->worker;
	row.n_workers = q->ask.worker_count;
	row.cost_us = (uint64_t)q->cost_us;
	row.priority = q->ask.priority;
	frame.advice_ask = &row;
	DL_APPEND(d->remote, q);
	if (!peer_send(q->seat->link, &frame))
		q->deadline_us = now_us;
}

static struct av_question *
av_first_of(struct av_question *list, bool is_short)
{
	struct av_question *best = NULL;
	struct av_question *q;

	DL_FOREACH(list, q) {
		if ((q->cost_us < AV_SHORT_US) != is_short)
			continue;
		if (best == NULL || q->ask.priority < best->ask.priority)
			best = q;
	}
	return best;
}

static void
av_dispatch_some(struct av_dispatcher *d, bool is_short)
{
	int64_t now_us = clk_now_us();
	struct av_question *q;
	struct av_seat *seat;

	while ((q = av_first_of(d->queue, is_short)) != NULL) {
		seat = av_choose(d, is_short);
		if (seat == NULL)
			return;
		DL_DELETE(d->queue, q);
		q->seat = seat;
		seat->out++;
		seat->out_cost_us += q->cost_us;
		if (seat == &d->seat[0]) {
			DL_APPEND(d->line, q);
			av_start_line(d);
		} else {
			av_send(d, q, now_us);
		}
	}
}

static void
av_dispatch(struct av_dispatcher *d)
{
	av_dispatch_some(d, true);
	av_dispatch_some(d, false);
}

void
av_submit(struct av_dispatcher *d, const struct wp_advice_request *ask,
    fl_advice_fn done, void *arg)
{
	struct av_question *q = av_question_create(d, ask);

	q->done = done;
	q->arg = arg;
	DL_APPEND(d->queue, q);
	av_dispatch(d);
}

void
av_on_peer_request(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAsk *row)
{
	struct wp_advice_request ask = {0};
	struct av_question *q;
	size_t i;

	snprintf(ask.job, sizeof(ask.job), "%s", row->job);
	ask.occurrence = row->occurrence;
	ask.step = row->step;
	ask.base_cost_us = (uint32_t)row->cost_us;
	ask.priority = row->priority;
	for (i = 0; i < row->n_workers && i < WP_MAX_ASK; i++)
		ask.worker[ask.worker_count++] = row->workers[i];
	q = av_question_create(d, &ask);
	q->link = peer_serial(link);
	q->id = row->id;
	DL_APPEND(d->line, q);
	av_start_line(d);
}

void
av_on_peer_answer(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer)
{
	struct wp_approval good[WP_MAX_ASK];
	struct av_question *q;
	uint32_t n;

	DL_FOREACH(d->remote, q) {
		if (q->id == answer->id && q->seat->link == link)
			break;
	}
	if (q == NULL)
		return;
	for (n = 0; n < answer->n_good && n < WP_MAX_ASK; n++) {
		good[n].worker = answer->good[n]->worker;
		good[n].ticket = answer->good[n]->ticket;
	}
	DL_DELETE(d->remote, q);
	av_finish(q, answer->ok, good, n);
	av_dispatch(d);
}

void
av_on_closed(struct av_dispatcher *d, struct peer_link *link)
{
	struct av_question *q;
	struct av_question *tmp;
	uint32_t i;

	for (i = 1; i < d->seat_count; i++) {
		struct av_seat *seat = &d->seat[i];

		if (seat->link != link)
			continue;
		seat->link = NULL;
		seat->usable = false;
		DL_FOREACH_SAFE(d->remote, q, tmp) {
			if (q->seat != seat)
				continue;
			DL_DELETE(d->remote, q);
			av_finish(q, false, NULL, 0);
		}
	}
}

/* A peer that does not answer in time may hang on a silent connection. */
static void
av_check_remote(struct av_dispatcher *d, int64_t now_us)
{
	struct av_question *q;

	DL_FOREACH(d->remote, q) {
		if (now_us < q->deadline_us)
			continue;
		lg_event(LG_WARN, "advice", "peer_silent", "peer", q->seat->vm,
		    "job", q->ask.job, NULL);
		q->seat->bad_until_us = now_us + AV_BAD_US;
		/* Closing fails all of its questions and changes the list. */
		pn_reset_link(d->c->links, q->seat->vm);
		return;
	}
}

void
av_tick(struct av_dispatcher *d, int64_t now_us)
{
	if (cp_owned_count(d->c) == 0)
		return;
	av_check_remote(d, now_us);
	av_refresh(d, now_us);
	av_dispatch(d);
}
