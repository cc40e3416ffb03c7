#include "coordination/witness.h"

#include <string.h>

#include "common/clock.h"

/* A majority of an odd number; half of an even one. */
static uint32_t
wt_quorum(uint32_t count)
{
	return (count + 1) / 2;
}

static bool
wt_is_same(const struct wt_witness *a, const struct wt_witness *b)
{
	return a->incarnation == b->incarnation && strcmp(a->vm, b->vm) == 0;
}

int32_t
wt_find(const struct wt_list *list, const char *vm)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (strcmp(list->witness[i].vm, vm) == 0)
			return (int32_t)i;
	}
	return -1;
}

static bool
wt_names(const struct wt_list *list, const char *vm, uint64_t incarnation)
{
	int32_t i = wt_find(list, vm);

	return i != -1 && list->witness[i].incarnation == incarnation;
}

bool
wt_equals(const struct wt_list *a, const struct wt_list *b)
{
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		if (!wt_names(b, a->witness[i].vm, a->witness[i].incarnation))
			return false;
	}
	return a->count == b->count;
}

/* --- choice --- */

struct wt_choice {
	const struct wt_list *current;
	const char *domain;
	const struct wt_candidate *candidate;
	uint32_t count;
	uint32_t taken[WT_MAX_WITNESSES];
	uint32_t taken_count;
};

static bool
wt_is_taken(const struct wt_choice *c, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < c->taken_count; i++) {
		if (c->taken[i] == index)
			return true;
	}
	return false;
}

static bool
wt_is_new_domain(const struct wt_choice *c, const char *domain)
{
	uint32_t i;

	if (strcmp(domain, c->domain) == 0)
		return false;
	for (i = 0; i < c->taken_count; i++) {
		if (strcmp(domain, c->candidate[c->taken[i]].domain) == 0)
			return false;
	}
	return true;
}

/* A named witness without a link stays, as links come and go. */
static bool
wt_is_at_hand(const struct wt_choice *c, const struct wt_candidate *v)
{
	return v->linked || wt_names(c->current, v->vm, v->incarnation);
}

static uint32_t
wt_score(const struct wt_choice *c, const struct wt_candidate *v)
{
	bool named = wt_names(c->current, v->vm, v->incarnation);
	uint32_t score = 0;

	score |= (uint32_t)wt_is_at_hand(c, v) << 4;
	score |= (uint32_t)wt_is_new_domain(c, v->domain) << 3;
	score |= (uint32_t)(strcmp(v->domain, c->domain) != 0) << 2;
	score |= (uint32_t)v->large << 1;
	score |= (uint32_t)named;
	return score;
}

/* One without a link may have ended, and would keep the next owner waiting. */
static bool
wt_is_eligible(const struct wt_choice *c, uint32_t index)
{
	if (wt_is_taken(c, index))
		return false;
	return c->taken_count == 0 || wt_is_at_hand(c, &c->candidate[index]) ||
	    !wt_is_at_hand(c, &c->candidate[c->taken[0]]);
}

/* Index of the next one; @count without any. */
static uint32_t
wt_next_choice(const struct wt_choice *c)
{
	uint32_t best = c->count;
	uint32_t best_score = 0;
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		uint32_t score = wt_score(c, &c->candidate[i]);

		if (!wt_is_eligible(c, i) ||
		    (best < c->count && score <= best_score))
			continue;
		best = i;
		best_score = score;
	}
	return best;
}

void
wt_choose(const struct wt_list *current, const char *domain,
    const struct wt_candidate *candidate, uint32_t count,
    struct wt_list *chosen)
{
	struct wt_choice c = {
	    .current = current,
	    .domain = domain,
	    .candidate = candidate,
	    .count = count,
	};
	struct wt_list list = {0};

	while (c.taken_count < WT_MAX_WITNESSES) {
		uint32_t next = wt_next_choice(&c);
		struct wt_witness *w = &list.witness[list.count];

		if (next == count)
			break;
		c.taken[c.taken_count++] = next;
		strncpy(w->vm, candidate[next].vm, sizeof(w->vm) - 1);
		w->incarnation = candidate[next].incarnation;
		list.count++;
	}
	*chosen = list;
}

/* --- votes --- */

static void
wt_reset_votes(struct wt_votes *v, const struct wt_list *list, int64_t until_us)
{
	uint32_t i;

	v->list = *list;
	for (i = 0; i < WT_MAX_WITNESSES; i++)
		v->until_us[i] = until_us;
}

/* The time that a quorum reaches; no smaller one reaches a later time. */
static uint32_t
wt_decisive_vote(const struct wt_votes *v)
{
	uint32_t quorum = wt_quorum(v->list.count);
	uint32_t i;
	uint32_t k;

	for (i = 0; i < v->list.count; i++) {
		uint32_t later = 0;
		uint32_t not_earlier = 0;

		for (k = 0; k < v->list.count; k++) {
			later += v->until_us[k] > v->until_us[i];
			not_earlier += v->until_us[k] >= v->until_us[i];
		}
		if (later < quorum && not_earlier >= quorum)
			break;
	}
	return i;
}

/* --- owner --- */

void
wt_permit_begin(struct wt_permit *p, const struct wt_list *stored)
{
	memset(p, 0, sizeof(*p));
	wt_reset_votes(&p->stored, stored, 0);
}

void
wt_permit_change(struct wt_permit *p, const struct wt_list *list)
{
	uint32_t i;

	wt_reset_votes(&p->pending, list, 0);
	p->has_pending = true;
	for (i = 0; i < list->count; i++) {
		int32_t k = wt_find(&p->stored.list, list->witness[i].vm);

		if (k != -1 &&
		    wt_is_same(&p->stored.list.witness[k], &list->witness[i]))
			p->pending.until_us[i] = p->stored.until_us[k];
	}
}

void
wt_permit_changed(struct wt_permit *p)
{
	if (!p->has_pending)
		return;
	p->stored = p->pending;
	p->has_pending = false;
}

static void
wt_count_grant(
    struct wt_votes *v, const struct wt_witness *witness, int64_t until_us)
{
	int32_t i = wt_find(&v->list, witness->vm);

	if (i == -1 || !wt_is_same(&v->list.witness[i], witness))
		return;
	if (until_us > v->until_us[i])
		v->until_us[i] = until_us;
}

void
wt_permit_granted(
    struct wt_permit *p, const struct wt_witness *witness, int64_t asked_us)
{
	wt_count_grant(&p->stored, witness, asked_us + WT_GRANT_US);
	wt_count_grant(&p->pending, witness, asked_us + WT_GRANT_US);
}

static int64_t
wt_list_allows_until_us(const struct wt_votes *v, int64_t confirmed_us)
{
	int64_t latest_us = confirmed_us + WT_UNCONFIRMED_LIMIT_US;
	int64_t alone_us = confirmed_us + WT_ALONE_LIMIT_US;
	int64_t granted_us;

	if (v->list.count == 0)
		return latest_us;
	granted_us = v->until_us[wt_decisive_vote(v)];
	if (granted_us < alone_us)
		return alone_us;
	return granted_us < latest_us ? granted_us : latest_us;
}

int64_t
wt_may_act_until_us(const struct wt_permit *p, int64_t confirmed_us)
{
	int64_t stored_us = wt_list_allows_until_us(&p->stored, confirmed_us);
	int64_t pending_us;

	if (!p->has_pending)
		return stored_us;
	pending_us = wt_list_allows_until_us(&p->pending, confirmed_us);
	return stored_us < pending_us ? stored_us : pending_us;
}

/* --- witness --- */

bool
wt_grant(struct wt_memory *m, uint32_t term, int64_t now_us)
{
	if (term <= m->revoked_term)
		return false;
	m->granted_until_us = now_us + WT_GRANT_US + WT_GRANT_MARGIN_US;
	return true;
}

int64_t
wt_revoke(struct wt_memory *m, uint32_t term)
{
	if (term > m->revoked_term)
		m->revoked_term = term;
	return m->granted_until_us;
}

/* --- next owner --- */

void
wt_inquire(struct wt_inquiry *q, const struct wt_list *list, int64_t claimed_us)
{
	wt_reset_votes(&q->votes, list, WT_UNKNOWN);
	q->claimed_us = claimed_us;
}

void
wt_on_revoked(struct wt_inquiry *q, const char *vm, int64_t until_us)
{
	int32_t i = wt_find(&q->votes.list, vm);

	if (i != -1 && until_us < q->votes.until_us[i])
		q->votes.until_us[i] = until_us;
}

void
wt_on_ended(struct wt_inquiry *q, const char *vm, int64_t now_us)
{
	wt_on_revoked(q, vm, now_us + WT_GRANT_US + WT_GRANT_MARGIN_US);
}

bool
wt_is_settled(const struct wt_inquiry *q)
{
	const struct wt_votes *v = &q->votes;
	bool unknown = false;
	uint32_t i;

	if (v->list.count == 0)
		return true;
	for (i = 0; i < v->list.count; i++)
		unknown |= v->until_us[i] == WT_UNKNOWN;
	return !unknown ||
	    v->until_us[wt_decisive_vote(v)] <=
	    q->claimed_us + WT_ALONE_LIMIT_US;
}

int64_t
wt_last_owner_until_us(const struct wt_inquiry *q, const char **slowest)
{
	int64_t latest_us = q->claimed_us + WT_UNCONFIRMED_LIMIT_US;
	int64_t alone_us = q->claimed_us + WT_ALONE_LIMIT_US;
	uint32_t vote;

	*slowest = "";
	if (q->votes.list.count == 0)
		return latest_us;
	vote = wt_decisive_vote(&q->votes);
	if (q->votes.until_us[vote] <= alone_us)
		return alone_us;
	*slowest = q->votes.list.witness[vote].vm;
	return q->votes.until_us[vote] < latest_us ? q->votes.until_us[vote]
						   : latest_us;
}
