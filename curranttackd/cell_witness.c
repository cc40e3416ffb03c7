#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"
#include "curranttackd/cell_witness.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/pack.h"

/* How often an owner looks whether its witnesses are there. */
#define CP_WITNESS_CHECK_US (500 * CLK_US_PER_MS)
/* An owner asks once its lease has not been confirmed for this long. */
#define CP_ASK_AFTER_US (800 * CLK_US_PER_MS)
#define CP_ASK_EVERY_US (400 * CLK_US_PER_MS)
/* A grant after such a pause is logged. */
#define CP_GRANT_PAUSE_US (3 * CLK_US_PER_S)

/* --- owner --- */

/*
 * The last owner may have ended, or be cut off, until it is known to have
 * stopped. Daemons of earlier builds don't answer.
 */
static bool
cp_is_candidate(const struct cp_host *h, const struct rp_member *m)
{
	if (!m->present || !m->witness ||
	    strcmp(m->vm, h->cell->settings->vm) == 0)
		return false;
	return clk_now_us() >= h->earlier_owner_until_us ||
	    m->incarnation != h->earlier_owner_incarnation ||
	    strcmp(m->vm, h->earlier_owner_vm) != 0;
}

static uint32_t
cp_list_candidates(
    const struct cp_host *h, struct wt_candidate *candidate, uint32_t max)
{
	const struct cell *c = h->cell;
	uint32_t largest_mcpu = rp_max_cpu_mcpu(c->replica);
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, c->replica->members, m, tmp) {
		bool linked = pn_link(c->links, m->vm) != NULL;

		/* One that has ended keeps its entry for a while. */
		if (n == max || !cp_is_candidate(h, m) ||
		    (h->pool != NULL && !linked))
			continue;
		candidate[n++] = (struct wt_candidate){
		    .vm = m->vm,
		    .domain = m->domain,
		    .incarnation = m->incarnation,
		    .linked = linked,
		    .large = m->cpu_mcpu == largest_mcpu,
		};
	}
	return n;
}

void
cp_choose_witnesses(const struct cp_host *h, struct wt_list *list)
{
	const struct cell *c = h->cell;
	uint32_t max = HASH_COUNT(c->replica->members);
	struct wt_candidate *candidate =
	    talloc_zero_array(NULL, struct wt_candidate, max + 1);

	if (candidate == NULL)
		abort();
	wt_choose(&h->permit.stored.list, c->settings->domain, candidate,
	    cp_list_candidates(h, candidate, max), list);
	talloc_free(candidate);
}

void
cp_begin_permit(struct cp_host *h, const struct rp_owner *o)
{
	wt_permit_begin(&h->permit, &o->witnesses);
	h->term = o->term;
	h->ask_at_us = 0;
	h->witness_check_at_us = 0;
	h->beyond_logged = false;
}

static bool
cp_may_act(const struct cp_host *h, int64_t now_us)
{
	return now_us <= wt_may_act_until_us(&h->permit, h->lease_confirmed_us);
}

bool
cp_check_permit(struct cp_host *h, int64_t now_us)
{
	if (cp_may_act(h, now_us))
		return true;
	/* Until then the witnesses may grant again, or the store answer. */
	if (h->state == CP_RELEASING ||
	    now_us - h->lease_confirmed_us > WT_UNCONFIRMED_LIMIT_US)
		cp_step_down(h, "lease not confirmed");
	return false;
}

/* A list that names one that has ended is replaced by the next commit. */
static void
cp_check_witnesses(struct cp_host *h, int64_t now_us)
{
	struct wt_list list;

	if (now_us < h->witness_check_at_us || h->permit.has_pending)
		return;
	h->witness_check_at_us = now_us + CP_WITNESS_CHECK_US;
	cp_choose_witnesses(h, &list);
	if (!wt_equals(&list, &h->permit.stored.list))
		h->term_dirty = true;
}

void
cp_send_witness_ask(struct cp_host *h, const char *vm, uint32_t term,
    uint64_t fence, bool revoke)
{
	Currant__WitnessAsk ask = CURRANT__WITNESS_ASK__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = pn_link(h->cell->links, vm);

	if (link == NULL)
		return;
	ask.pool = pk_text(h->name);
	ask.term = term;
	ask.fence = fence;
	ask.asked_us = clk_now_us();
	ask.has_revoke = true;
	ask.revoke = revoke;
	frame.witness_ask = &ask;
	peer_send(link, &frame);
}

/* Those that both lists name are asked twice, which does no harm. */
static void
cp_ask_list(struct cp_host *h, const struct wt_list *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++)
		cp_send_witness_ask(
		    h, list->witness[i].vm, h->term, h->fence, false);
}

static void
cp_log_beyond(struct cp_host *h, int64_t now_us)
{
	int64_t unconfirmed_us = now_us - h->lease_confirmed_us;
	int64_t until_us =
	    wt_may_act_until_us(&h->permit, h->lease_confirmed_us);

	if (unconfirmed_us <= WT_ALONE_LIMIT_US) {
		h->beyond_logged = false;
		return;
	}
	if (h->beyond_logged)
		return;
	h->beyond_logged = true;
	lg_event(LG_WARN, "pool", "unconfirmed", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "unconfirmed_ms",
	    lg_i64(unconfirmed_us / CLK_US_PER_MS), "left_ms",
	    lg_i64((until_us - now_us) / CLK_US_PER_MS), NULL);
}

void
cp_witness_tick(struct cp_host *h, int64_t now_us)
{
	cp_check_witnesses(h, now_us);
	cp_log_beyond(h, now_us);
	if (now_us - h->lease_confirmed_us < CP_ASK_AFTER_US ||
	    now_us < h->ask_at_us)
		return;
	h->ask_at_us = now_us + CP_ASK_EVERY_US;
	cp_ask_list(h, &h->permit.stored.list);
	if (h->permit.has_pending)
		cp_ask_list(h, &h->permit.pending.list);
}

/* --- witness --- */

/* A message names the pool, and must not create one. */
static struct cp_host *
cp_find_host(struct cell *c, const char *pool)
{
	struct cp_host *h;

	HASH_FIND_STR(c->pools, pool, h);
	return h;
}

/* As far as this daemon knows, no other owner has followed. */
static bool
cp_owner_stands(
    const struct cp_host *h, const char *vm, const Currant__WitnessAsk *ask)
{
	const struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);

	return o->present && o->fence == ask->fence &&
	    o->term_fence == ask->fence && o->term == ask->term &&
	    strcmp(o->vm, vm) == 0;
}

static void
cp_log_witness(const struct cp_host *h, const char *event, const char *vm,
    uint32_t term, int64_t left_us)
{
	lg_event(LG_INFO, "pool", event, "pool", h->name, "to", vm, "term",
	    lg_i64(term), "left_ms", lg_i64(left_us / CLK_US_PER_MS), NULL);
}

static bool
cp_grant(struct cp_host *h, const char *vm, const Currant__WitnessAsk *ask)
{
	int64_t now_us = clk_now_us();
	int64_t last_us = h->memory.granted_until_us;

	if (!cp_owner_stands(h, vm, ask) ||
	    !wt_grant(&h->memory, ask->term, now_us))
		return false;
	if (now_us - last_us > CP_GRANT_PAUSE_US)
		cp_log_witness(h, "witness_granted", vm, ask->term,
		    h->memory.granted_until_us - now_us);
	return true;
}

/* Rounded up; what has ended by now has no time left. */
static int64_t
cp_revoke(struct cp_host *h, const char *vm, uint32_t term)
{
	int64_t left_us = wt_revoke(&h->memory, term) - clk_now_us();

	if (left_us < 0)
		left_us = 0;
	cp_log_witness(h, "witness_revoked", vm, term, left_us);
	return (left_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS;
}

void
cp_on_witness_ask(
    struct cell *c, struct peer_link *link, const Currant__WitnessAsk *ask)
{
	Currant__WitnessAnswer answer = CURRANT__WITNESS_ANSWER__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct cp_host *h = cp_find_host(c, ask->pool);

	if (h == NULL)
		return;
	answer.pool = ask->pool;
	answer.term = ask->term;
	answer.asked_us = ask->asked_us;
	answer.incarnation = c->incarnation;
	if (ask->revoke) {
		answer.has_left_ms = true;
		answer.left_ms = cp_revoke(h, peer_vm(link), ask->term);
	} else {
		answer.has_granted = true;
		answer.granted = cp_grant(h, peer_vm(link), ask);
	}
	frame.witness_answer = &answer;
	peer_send(link, &frame);
}

/* --- answers --- */

void
cp_on_witness_answer(struct cell *c, struct peer_link *link,
    const Currant__WitnessAnswer *answer)
{
	struct cp_host *h = cp_find_host(c, answer->pool);
	struct wt_witness from = {.incarnation = answer->incarnation};

	if (h == NULL)
		return;
	snprintf(from.vm, sizeof(from.vm), "%s", peer_vm(link));
	if (answer->has_left_ms)
		cp_on_revoked(h, &from, answer->term, answer->left_ms);
	if (answer->granted && h->pool != NULL && answer->term == h->term &&
	    answer->asked_us <= clk_now_us())
		wt_permit_granted(&h->permit, &from, answer->asked_us);
}
