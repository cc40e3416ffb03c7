#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/pack.h"

#define CP_RENEW_US (350 * CLK_US_PER_MS)
#define CP_RANK_DELAY_US (40 * CLK_US_PER_MS)
#define CP_MAX_RANK 6
/* Workers' clocks may be slow by 2%, and they report a little late. */
#define CP_CAPACITY_MARGIN_US (300 * CLK_US_PER_MS)
#define CP_RANKS_PER_POOL 3
/* An owner that can't be reached may have lost its key unnoticed. */
#define CP_OWNER_CHECK_US (3 * CLK_US_PER_S)
/* Longer than an owner may start tasks while the store is unavailable. */
#define CP_NEAR_WORK_MS 7000
/* How often an owner looks for a larger VM. */
#define CP_YIELD_CHECK_US (3 * CLK_US_PER_S)

/* Orders daemons of equal size, differently for each pool. */
static uint32_t
cp_claim_hash(const char *pool, const char *vm)
{
	XXH32_hash_t seed = XXH32(pool, strlen(pool), 0);

	return XXH32(vm, strlen(vm), seed);
}

/* Larger VMs claim first; a hash spreads pools over VMs of equal size. */
static bool
cp_ranks_before(const struct cp_host *h, const struct rp_member *m)
{
	const struct cell_settings *own = h->cell->settings;

	if (m->cpu_mcpu != own->cpu_mcpu)
		return m->cpu_mcpu > own->cpu_mcpu;
	return cp_claim_hash(h->name, m->vm) < cp_claim_hash(h->name, own->vm);
}

uint32_t
cp_active_count(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, c->pools, h, tmp)
		n += h->state != CP_IDLE;
	return n;
}

/* Larger VMs and daemons with fewer pools claim first. */
static int64_t
cp_claim_delay_us(struct cp_host *h)
{
	const struct cell *c = h->cell;
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t rank = 0;

	HASH_ITER(hh, c->replica->members, m, tmp)
		rank += m->present && cp_ranks_before(h, m);
	if (rank > CP_MAX_RANK)
		rank = CP_MAX_RANK;
	h->claim_active_count = cp_active_count(c);
	return (rank + CP_RANKS_PER_POOL * h->claim_active_count) *
	    CP_RANK_DELAY_US;
}

/* After claiming another pool, this daemon has to let others go first. */
static bool
cp_claim_is_outdated(struct cp_host *h, int64_t now_us)
{
	if (cp_active_count(h->cell) <= h->claim_active_count)
		return false;
	h->claim_at_us = now_us + cp_claim_delay_us(h);
	return true;
}

/* Whether a daemon without pools could give a pool twice the CPU time. */
static bool
cp_larger_vm_is_free(const struct cp_host *h)
{
	const struct cell *c = h->cell;
	uint32_t share_mcpu = c->settings->cpu_mcpu / cp_owned_count(c);
	struct rp_member *m;
	struct rp_member *tmp;

	HASH_ITER(hh, c->replica->members, m, tmp) {
		if (m->present && m->cpu_mcpu >= 2 * share_mcpu &&
		    pn_link(c->links, m->vm) != NULL &&
		    !rp_owns_any(c->replica, m->vm))
			return true;
	}
	return false;
}

static bool
cp_any_is_releasing(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->state == CP_RELEASING)
			return true;
	}
	return false;
}

/* On a small VM a pool has to wait for CPU time, so a larger VM takes over. */
void
cp_yield_to_larger_vm(struct cp_host *h, int64_t now_us)
{
	if (h->state != CP_OWNER || now_us < h->yield_check_at_us)
		return;
	h->yield_check_at_us = now_us + CP_YIELD_CHECK_US;
	if (cp_any_is_releasing(h->cell) || !cp_larger_vm_is_free(h))
		return;
	lg_event(LG_INFO, "pool", "yielding", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), NULL);
	cp_release(h);
}

static void
cp_fill_witnesses(
    TALLOC_CTX *ctx, Currant__PoolTerm *row, const struct wt_list *list)
{
	Currant__PoolWitness *w =
	    talloc_zero_array(ctx, Currant__PoolWitness, list->count + 1);
	uint32_t i;

	row->witnesses =
	    talloc_zero_array(ctx, Currant__PoolWitness *, list->count + 1);
	if (w == NULL || row->witnesses == NULL)
		abort();
	for (i = 0; i < list->count; i++) {
		currant__pool_witness__init(&w[i]);
		w[i].vm = pk_text(list->witness[i].vm);
		w[i].incarnation = list->witness[i].incarnation;
		row->witnesses[row->n_witnesses++] = &w[i];
	}
}

/* Rounded up, as it is waited for. */
static int64_t
cp_earlier_left_ms(const struct cp_host *h)
{
	int64_t left_us = h->earlier_owner_until_us - clk_now_us();

	if (left_us <= 0)
		return 0;
	return (left_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS;
}

uint8_t *
cp_term_value(TALLOC_CTX *ctx, const struct cp_host *h, uint32_t term,
    uint64_t fence, bool released, const struct wt_list *witnesses,
    size_t *bytes)
{
	Currant__PoolTerm row = CURRANT__POOL_TERM__INIT;

	cp_fill_witnesses(ctx, &row, witnesses);
	row.term = term;
	row.released = released;
	row.has_fence = fence != 0;
	row.fence = fence;
	row.vm = h->cell->settings->vm;
	row.has_incarnation = true;
	row.incarnation = h->cell->incarnation;
	row.has_earlier_wall_ms = true;
	row.earlier_wall_ms =
	    (h->earlier_owner_until_us - cell_wall_to_steady_us()) /
	    CLK_US_PER_MS;
	row.has_earlier_left_ms = true;
	row.earlier_left_ms = cp_earlier_left_ms(h);
	return pk_pack(ctx, &row.base, bytes);
}

void
cp_abort_claim(struct cp_host *h)
{
	cp_end_lease(h);
	h->state = CP_IDLE;
	h->claim_at_us = clk_now_us() + CP_CLAIM_RETRY_US;
}

/* A claim takes effect once the watch shows it. */
static void
cp_on_claim_written(const struct ks_response *a, void *arg)
{
	struct cp_host *h = arg;

	if (h->state != CP_CLAIMING)
		return;
	if (a->result != KS_OK && a->result != KS_UNKNOWN)
		cp_abort_claim(h);
	if (a->result == KS_OK)
		rp_watch_anew(h->cell->replica);
	else
		rp_watch_now(h->cell->replica);
}

static void
cp_send_claim(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct wt_list witnesses;
	struct ks_expect expect[2] = {
	    {rp_make_pool_key(ctx, RP_OWNER_PREFIX, h->name), 0},
	    {rp_make_pool_key(ctx, RP_TERM_PREFIX, h->name), o->term_revision},
	};
	struct ks_put put[2] = {
	    {.key = expect[0].key, .lease = h->lease},
	    {.key = expect[1].key},
	};
	struct ks_txn txn = {
	    .expect = expect,
	    .expect_count = 2,
	    .put = put,
	    .put_count = 2,
	};

	/* Of the term that the claim depends on. */
	cp_note_earlier_owners(h, o);
	cp_choose_witnesses(h, &witnesses);
	put[0].value = cp_owner_value(ctx, h, 0, &put[0].value_bytes);
	put[1].value = cp_term_value(
	    ctx, h, o->term + 1, 0, false, &witnesses, &put[1].value_bytes);
	f->keys->txn(f->handle, &txn, cp_on_claim_written, h);
	talloc_free(ctx);
}

static void
cp_on_lease_granted(const struct ks_response *a, void *arg)
{
	struct cp_host *h = arg;

	if (h->state != CP_CLAIMING)
		return;
	if (a->result != KS_OK || a->lease == 0) {
		cp_abort_claim(h);
		return;
	}
	h->lease = a->lease;
	cp_send_claim(h);
}

static void
cp_claim(struct cp_host *h, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;

	h->state = CP_CLAIMING;
	h->claim_at_us = now_us + 3 * CP_CLAIM_RETRY_US;
	h->lease_confirmed_us = now_us;
	f->keys->lease_grant(f->handle, CP_LEASE_MS, cp_on_lease_granted, h);
}

/*
 * A shrunk capacity counts this long after a report that did not show it yet:
 * one interval in which it is reported, and the time to act on that.
 */
static int64_t
cp_capacity_valid_ms(const struct cell_settings *s)
{
	return (s->report_interval_us + s->report_delay_us -
		   CP_CAPACITY_MARGIN_US) /
	    CLK_US_PER_MS;
}

static void
cp_begin_ownership(struct cp_host *h, const struct rp_owner *o)
{
	int64_t now_us = clk_now_us();
	struct wp_settings settings = {
	    .term = o->term - 1,
	    .capacity_valid_ms = cp_capacity_valid_ms(h->cell->settings),
	    .max_lease_ms = h->cell->settings->max_lease_ms,
	    .near_work_ms = CP_NEAR_WORK_MS,
	};

	/* Its daemon may have shown that while the claim was being written. */
	cp_apply_earlier_owner(h);
	settings.earlier_owner_until_us = h->earlier_owner_until_us;
	ct_add(CT_TAKEOVERS, 1);
	h->generation++;
	h->state = CP_OWNER;
	h->fence = o->fence;
	cp_begin_permit(h, o);
	h->owner_since_us = now_us;
	h->reconciled_logged = false;
	h->revision = o->revision;
	h->commit_seq = 0;
	h->commit_at_us = now_us;
	h->renew_at_us = h->lease_confirmed_us + CP_RENEW_US;
	h->yield_check_at_us = now_us + CP_YIELD_CHECK_US;
	h->pool = wp_create(h, h->name, &settings);
	cp_load_pool(h, now_us);
	lg_event(LG_INFO, "pool", "owner", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "term", lg_i64(o->term), "jobs",
	    lg_i64(HASH_COUNT(h->pool->jobs)), "workers",
	    lg_i64(HASH_COUNT(h->pool->workers)), "earlier_ms",
	    lg_i64((settings.earlier_owner_until_us - now_us) / CLK_US_PER_MS),
	    NULL);
	pn_send_owner_changed(h->cell->links);
	rp_follow_workers(h->cell->replica, true);
	cp_inquire_tick(h, now_us);
	cp_schedule_pass(h);
}

/* Key and term are written in one transaction, but arrive one by one. */
void
cp_try_begin_ownership(void *arg)
{
	struct cp_host *h = arg;
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);

	/* Commits of earlier owners must be in the replica, too. */
	if (!h->claim_visible || o->term_revision < o->fence ||
	    !rp_has_applied(h->cell->replica, o->fence))
		return;
	h->claim_visible = false;
	if (h->state == CP_CLAIMING)
		cp_begin_ownership(h, o);
}

/* NULL for a pool whose name is not known yet. */
static struct cp_host *
cp_host_of_row(struct cell *c, const char *row)
{
	char other[RP_POOL_ROW_BYTES];
	struct cp_host *h;
	struct cp_host *tmp;

	if (!rp_is_hashed_row(row))
		return cp_get_host(c, row);
	HASH_ITER(hh, c->pools, h, tmp) {
		rp_pool_row(h->name, other);
		if (strcmp(row, other) == 0)
			return h;
	}
	return NULL;
}

void
cp_on_owner(struct cell *c, const struct rp_owner *o)
{
	struct cp_host *h = cp_host_of_row(c, o->row);
	bool ours = o->present && o->incarnation == c->incarnation &&
	    strcmp(o->vm, c->settings->vm) == 0;
	int64_t now_us = clk_now_us();

	if (h == NULL)
		return;
	h->owner_check_at_us = now_us + CP_OWNER_CHECK_US;
	if (!o->present) {
		if (h->state == CP_OWNER)
			cp_step_down(h, "key is gone");
		if (h->state == CP_IDLE)
			h->claim_at_us = now_us + cp_claim_delay_us(h);
		return;
	}
	if (!ours) {
		if (h->state == CP_OWNER || h->state == CP_RELEASING)
			cp_step_down(h, "another owner");
		if (h->state == CP_CLAIMING)
			cp_abort_claim(h);
		h->claim_at_us = 0;
		/* The owner is an earlier process on this VM, which has ended. */
		if (strcmp(o->vm, c->settings->vm) == 0)
			c->fleet->keys->lease_end(c->fleet->handle, o->lease,
			    cell_ignore_answer, NULL);
		return;
	}
	if (h->state == CP_CLAIMING && o->lease == h->lease) {
		h->claim_visible = true;
		loop_after(c->loop, 0, cp_try_begin_ownership, h);
	}
}

static void
cp_renew_soon(struct cp_host *h, int64_t now_us)
{
	if (h->renew_at_us > now_us + CP_RENEW_US / 2)
		h->renew_at_us = now_us + CP_RENEW_US / 2;
}

static void
cp_on_lease_renewed(const struct ks_response *a, void *arg)
{
	struct cp_request *req = arg;
	struct cp_host *h = req->h;

	if (cp_request_is_current(req)) {
		if (a->result != KS_OK)
			cp_renew_soon(h, clk_now_us());
		else if (req->sent_us > h->lease_confirmed_us)
			h->lease_confirmed_us = req->sent_us;
		if (a->result == KS_NO_LEASE)
			cp_step_down(h, "lease has ended");
	}
	talloc_free(req);
}

/*
 * Also while an earlier renewal is unanswered: the lease ends before its
 * deadline, and it may be on a connection that is silent.
 */
void
cp_renew_lease(struct cp_host *h, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;

	if (now_us < h->renew_at_us)
		return;
	h->renew_at_us = now_us + CP_RENEW_US;
	f->keys->lease_renew(
	    f->handle, h->lease, cp_on_lease_renewed, cp_request_create(h));
}

/* No item at a revision proves that the key of an earlier one is gone. */
static void
cp_on_owner_read(const struct ks_response *a, void *arg)
{
	struct cp_host *h = arg;
	struct replica *r = h->cell->replica;
	const struct rp_owner *o = rp_get_owner(r, h->name);
	struct ks_item removed = {
	    .deleted = true,
	    .revision = a->revision,
	};
	char *key;
	size_t i;

	if (a->result != KS_OK)
		return;
	key = rp_make_pool_key(NULL, RP_OWNER_PREFIX, h->name);
	removed.key = key;
	for (i = 0; i < a->item_count; i++) {
		if (strcmp(a->item[i].key, key) != 0)
			continue;
		rp_apply_out_of_order(r, &a->item[i]);
		goto out;
	}
	if (o->present && a->revision > o->revision)
		lg_event(LG_WARN, "pool", "owner_vanished", "pool", h->name,
		    "owner", o->vm, "revision", lg_i64((int64_t)a->revision),
		    NULL);
	rp_apply_out_of_order(r, &removed);
out:
	talloc_free(key);
}

/* Reads the key of an owner that no link shows to be at work. */
static void
cp_check_owner(struct cp_host *h, const struct rp_owner *o, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;
	char *key;

	if (now_us < h->owner_check_at_us)
		return;
	h->owner_check_at_us = now_us + CP_OWNER_CHECK_US;
	if (pn_link(h->cell->links, o->vm) != NULL)
		return;
	key = rp_make_pool_key(NULL, RP_OWNER_PREFIX, h->name);
	f->keys->range(f->handle, key, NULL, cp_on_owner_read, h);
	talloc_free(key);
}

/* Claims a pool without an owner once the delay for this daemon is over. */
void
cp_claim_tick(struct cp_host *h, int64_t now_us)
{
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);

	if (h->cell->draining || h->cell->replica->loading)
		return;
	if (o->present) {
		cp_check_owner(h, o, now_us);
		return;
	}
	if (h->claim_at_us == 0)
		h->claim_at_us = now_us + cp_claim_delay_us(h);
	if (now_us < h->claim_at_us || cp_claim_is_outdated(h, now_us))
		return;
	cp_claim(h, now_us);
}

static void
cp_on_lease_ended(const struct ks_response *a, void *arg)
{
	struct cp_host *h = arg;
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);

	if (a->result != KS_OK || !o->present || o->lease != h->ended_lease)
		return;
	o->present = false;
	cp_on_owner(h->cell, o);
	rp_watch_now(h->cell->replica);
	pn_send_owner_changed(h->cell->links);
}

void
cp_on_connection_refused(struct cell *c, const char *vm)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		struct rp_owner *o = rp_get_owner(c->replica, h->name);

		if (!o->present || strcmp(o->vm, vm) != 0 ||
		    o->lease == h->ended_lease)
			continue;
		lg_event(LG_WARN, "pool", "owner_refused", "pool", h->name,
		    "owner", vm, NULL);
		h->ended_lease = o->lease;
		c->fleet->keys->lease_end(
		    c->fleet->handle, o->lease, cp_on_lease_ended, h);
	}
}
