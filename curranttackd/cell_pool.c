#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_advice.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"
#include "protocol/pack.h"

#define CP_LEASE_MS 1200
#define CP_RENEW_US (350 * CLK_US_PER_MS)
/* Without a confirmed lease the owner goes on this long. */
#define CP_START_WINDOW_US (6 * CLK_US_PER_S)
#define CP_HOLD_WINDOW_US (10 * CLK_US_PER_S)
/* Leases of workers, on a clock that may be slow, and some margin. */
#define CP_WORKER_LEASE_US (3400 * CLK_US_PER_MS)
/* Pauses between watches: owners want new jobs at once. */
#define CP_OWNER_WATCH_US (150 * CLK_US_PER_MS)
#define CP_WATCH_US (250 * CLK_US_PER_MS)
#define CP_RANK_US (40 * CLK_US_PER_MS)
#define CP_MAX_RANK 6
#define CP_OWNED_RANK 3
/* How often an owner looks for a larger VM. */
#define CP_YIELD_US (3 * CLK_US_PER_S)
#define CP_CLAIM_RETRY_US (400 * CLK_US_PER_MS)
#define CP_COMMIT_PAUSE_US (60 * CLK_US_PER_MS)
/* A commit that takes longer means that the store is away. */
#define CP_STORE_AWAY_US (250 * CLK_US_PER_MS)
#define CP_COMMIT_RETRY_US (150 * CLK_US_PER_MS)
/* Everything that time alone brings about is looked at so often. */
#define CP_TICK_US (20 * CLK_US_PER_MS)
#define CP_KICK_US (2 * CLK_US_PER_MS)
/* Jobs that one write removes, with three keys each. */
#define CP_REMOVE_JOBS 10
#define CP_LOG_EVERY_US (CLK_US_PER_S)
#define CP_FORGET_EVERY_US (2 * CLK_US_PER_S)
/* Workers that vanished lately may still run tasks. */
#define CP_VANISHED_US (15 * CLK_US_PER_S)

/* A commit on its way: the same transaction until its outcome is known. */
struct cp_commit {
	struct ks_expect expect;
	struct ks_put put[KS_MAX_PUTS];
	size_t put_count;
	int64_t made_us;
	char ended[KS_MAX_PUTS][JB_ID_BYTES];
	size_t ended_count;
	bool last;
	bool registry;
};

/* A callback of an ownership that may have ended meanwhile. */
struct cp_ref {
	struct cp_host *h;
	uint32_t epoch;
	int64_t sent_us;
	struct wp_order *order;
	struct wp_ask ask;
	char worker[WP_NAME_BYTES];
};

static void cp_commit_next(struct cp_host *h);

static const char *
cp_key(TALLOC_CTX *ctx, const char *prefix, const char *name)
{
	return talloc_asprintf(ctx, "%s%s", prefix, name);
}

struct cp_host *
cp_find(struct cell *c, const char *pool)
{
	struct cp_host *h;

	HASH_FIND_STR(c->pools, pool, h);
	if (h != NULL)
		return h;
	h = talloc_zero(c, struct cp_host);
	if (h == NULL)
		abort();
	h->cell = c;
	snprintf(h->name, sizeof(h->name), "%s", pool);
	HASH_ADD_STR(c->pools, name, h);
	return h;
}

bool
cp_owns(struct cell *c, const char *pool, uint64_t fence)
{
	const struct cp_host *h = cp_find(c, pool);

	return h->state == CP_OWNER && h->fence == fence;
}

uint32_t
cp_owned(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, c->pools, h, tmp)
		n += h->pool != NULL;
	return n;
}

/* Whether a daemon owns some pool, as far as is known here. */
static bool
cp_owns_any(const struct cell *c, const char *vm)
{
	struct rp_owner *o;
	struct rp_owner *tmp;

	HASH_ITER(hh, c->replica->owners, o, tmp) {
		if (o->present && strcmp(o->vm, vm) == 0)
			return true;
	}
	return false;
}

static struct cp_ref *
cp_ref_create(struct cp_host *h)
{
	struct cp_ref *ref = talloc_zero(h, struct cp_ref);

	if (ref == NULL)
		abort();
	ref->h = h;
	ref->epoch = h->epoch;
	ref->sent_us = clk_now_us();
	return ref;
}

static bool
cp_ref_valid(const struct cp_ref *ref)
{
	return ref->h->pool != NULL && ref->epoch == ref->h->epoch;
}

static void
cp_end_lease(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;

	if (h->lease != 0)
		f->keys->lease_end(f->handle, h->lease, cell_ignore, NULL);
	h->lease = 0;
}

static void
cp_step_down(struct cp_host *h, const char *reason)
{
	lg_event(LG_WARN, "pool", "owner_lost", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "reason", reason, NULL);
	ct_add(CT_FENCED, 1);
	h->epoch++;
	TALLOC_FREE(h->pool);
	TALLOC_FREE(h->commit);
	cp_end_lease(h);
	h->state = CP_IDLE;
	h->claim_at_us = clk_now_us() + CP_CLAIM_RETRY_US;
}

/* A daemon's place among those that would claim a pool. */
static uint32_t
cp_claim_hash(const char *pool, const char *vm)
{
	XXH32_hash_t seed = XXH32(pool, strlen(pool), 0);

	return XXH32(vm, strlen(vm), seed);
}

/* Larger VMs come first; a hash spreads pools over equals. */
static bool
cp_claims_before(const struct cp_host *h, const struct rp_member *m)
{
	const struct cell_settings *own = h->cell->settings;

	if (m->cpu_mcpu != own->cpu_mcpu)
		return m->cpu_mcpu > own->cpu_mcpu;
	return cp_claim_hash(h->name, m->vm) < cp_claim_hash(h->name, own->vm);
}

/* Pools that this daemon owns or is about to own. */
static uint32_t
cp_engaged(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, c->pools, h, tmp)
		n += h->state != CP_IDLE;
	return n;
}

/* Daemons that own less come first, too. */
static int64_t
cp_claim_delay_us(struct cp_host *h)
{
	const struct cell *c = h->cell;
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t rank = 0;

	HASH_ITER(hh, c->replica->members, m, tmp)
		rank += m->present && cp_claims_before(h, m);
	if (rank > CP_MAX_RANK)
		rank = CP_MAX_RANK;
	h->claim_engaged = cp_engaged(c);
	return (rank + CP_OWNED_RANK * h->claim_engaged) * CP_RANK_US;
}

/* Another pool was claimed meanwhile: others may be better placed now. */
static bool
cp_claim_is_outdated(struct cp_host *h, int64_t now_us)
{
	if (cp_engaged(h->cell) <= h->claim_engaged)
		return false;
	h->claim_at_us = now_us + cp_claim_delay_us(h);
	return true;
}

/* Whether a daemon that owns nothing has twice the processor time for a pool. */
static bool
cp_is_outsized(const struct cp_host *h)
{
	const struct cell *c = h->cell;
	uint32_t share_mcpu = c->settings->cpu_mcpu / cp_owned(c);
	struct rp_member *m;
	struct rp_member *tmp;

	HASH_ITER(hh, c->replica->members, m, tmp) {
		if (m->present && m->cpu_mcpu >= 2 * share_mcpu &&
		    pn_link(c->links, m->vm) != NULL && !cp_owns_any(c, m->vm))
			return true;
	}
	return false;
}

static bool
cp_is_releasing(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->state == CP_RELEASING)
			return true;
	}
	return false;
}

/* A pool on a small VM waits for its processor; a larger one takes over. */
static void
cp_yield_to_larger(struct cp_host *h, int64_t now_us)
{
	if (h->state != CP_OWNER || now_us < h->yield_at_us)
		return;
	h->yield_at_us = now_us + CP_YIELD_US;
	if (cp_is_releasing(h->cell) || !cp_is_outsized(h))
		return;
	lg_event(LG_INFO, "pool", "yielding", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), NULL);
	h->state = CP_RELEASING;
	cp_kick(h);
}

static uint8_t *
cp_owner_value(
    TALLOC_CTX *ctx, const struct cp_host *h, uint64_t commit, size_t *bytes)
{
	Currant__PoolOwner row = CURRANT__POOL_OWNER__INIT;

	row.vm = h->cell->settings->vm;
	row.incarnation = h->cell->incarnation;
	row.lease = h->lease;
	row.commit = commit;
	return pk_pack(ctx, &row.base, bytes);
}

static uint8_t *
cp_term_value(TALLOC_CTX *ctx, const struct cp_host *h, uint32_t term,
    bool released, size_t *bytes)
{
	Currant__PoolTerm row = CURRANT__POOL_TERM__INIT;

	row.term = term;
	row.released = released;
	row.vm = h->cell->settings->vm;
	row.has_incarnation = true;
	row.incarnation = h->cell->incarnation;
	row.has_earlier_wall_ms = true;
	row.earlier_wall_ms =
	    (h->earlier_until_us - cell_wall_to_us()) / CLK_US_PER_MS;
	return pk_pack(ctx, &row.base, bytes);
}

/* How long the last owner, or one before it, may still act on workers. */
static int64_t
cp_earlier_until_us(
    const struct cp_host *h, const struct rp_owner *o, int64_t now_us)
{
	int64_t before_us =
	    o->earlier_wall_ms * CLK_US_PER_MS + cell_wall_to_us();
	int64_t last_us = now_us + CP_WORKER_LEASE_US;
	const struct rp_member *m;

	if (o->term == 0)
		return 0;
	HASH_FIND_STR(h->cell->replica->members, o->term_vm, m);
	if (!o->released &&
	    (m == NULL || m->incarnation <= o->term_incarnation))
		last_us += CP_HOLD_WINDOW_US;
	return before_us > last_us ? before_us : last_us;
}

static void
cp_claim_failed(struct cp_host *h)
{
	cp_end_lease(h);
	h->state = CP_IDLE;
	h->claim_at_us = clk_now_us() + CP_CLAIM_RETRY_US;
}

/* The claim counts once the watch shows it. */
static void
cp_on_claim(const struct ks_answer *a, void *arg)
{
	struct cp_host *h = arg;

	if (h->state != CP_CLAIMING)
		return;
	if (a->result != KS_OK && a->result != KS_UNKNOWN)
		cp_claim_failed(h);
	rp_hurry(h->cell->replica);
}

static void
cp_send_claim(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct ks_expect expect[2] = {
	    {cp_key(ctx, RP_OWNER_PREFIX, h->name), 0},
	    {cp_key(ctx, RP_TERM_PREFIX, h->name), o->term_revision},
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

	put[0].value = cp_owner_value(ctx, h, 0, &put[0].value_bytes);
	put[1].value =
	    cp_term_value(ctx, h, o->term + 1, false, &put[1].value_bytes);
	f->keys->txn(f->handle, &txn, cp_on_claim, h);
	talloc_free(ctx);
}

static void
cp_on_grant(const struct ks_answer *a, void *arg)
{
	struct cp_host *h = arg;

	if (h->state != CP_CLAIMING)
		return;
	if (a->result != KS_OK || a->lease == 0) {
		cp_claim_failed(h);
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
	h->confirmed_us = now_us;
	f->keys->lease_grant(f->handle, CP_LEASE_MS, cp_on_grant, h);
}

static struct wp_job *
cp_load_job(struct cp_host *h, struct rp_job *row)
{
	struct jb_progress *progress = NULL;
	struct jb_spec *spec;
	struct wp_job *job;
	int64_t now_us = clk_now_us();

	spec = jc_unpack_job(NULL, row->spec, row->spec_bytes);
	if (spec == NULL)
		return NULL;
	if (row->progress != NULL)
		progress = jc_unpack_progress(
		    NULL, row->progress, row->progress_bytes);
	job = wp_add_job(h->pool, spec, progress, row->spec_revision > h->fence,
	    cell_wall_to_us(), now_us);
	talloc_free(progress);
	if (row->told)
		wp_end_job(h->pool, job, row->state);
	if (row->cancelled)
		wp_cancel_job(h->pool, job, now_us);
	return job;
}

/* Workers that an earlier owner used and that are not listed at present. */
static void
cp_load_registry(struct cp_host *h, int64_t now_us)
{
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);
	Currant__PoolWorkers *list;
	size_t i;

	if (o->workers == NULL)
		return;
	list =
	    currant__pool_workers__unpack(NULL, o->workers_bytes, o->workers);
	if (list == NULL) {
		lg_event(LG_ERROR, "pool", "unreadable_registry", "pool",
		    h->name, NULL);
		return;
	}
	for (i = 0; i < list->n_workers; i++)
		wp_add_known_worker(h->pool, list->workers[i]->id,
		    list->workers[i]->address, now_us);
	currant__pool_workers__free_unpacked(list, NULL);
}

static void
cp_load_pool(struct cp_host *h, int64_t now_us)
{
	struct replica *r = h->cell->replica;
	struct rp_worker *w;
	struct rp_worker *wnext;
	struct rp_job *job;
	struct rp_job *next;

	HASH_ITER(hh, r->workers, w, wnext) {
		if (w->pool == NULL || strcmp(w->pool, h->name) != 0)
			continue;
		if (w->gone_us != 0 && now_us - w->gone_us > CP_VANISHED_US)
			continue;
		wp_set_worker(h->pool, &w->info, now_us);
		if (w->gone_us != 0)
			wp_unlist_worker(h->pool, w->id);
	}
	cp_load_registry(h, now_us);
	HASH_ITER(hh, r->jobs, job, next) {
		if (job->spec != NULL &&
		    (!jb_has_ended(job->state) || job->told) &&
		    strcmp(job->pool, h->name) == 0)
			cp_load_job(h, job);
	}
}

static void
cp_begin(struct cp_host *h, const struct rp_owner *o)
{
	int64_t now_us = clk_now_us();
	struct wp_settings settings = {
	    .term = o->term - 1,
	    .earlier_until_us = h->earlier_until_us,
	};

	ct_add(CT_TAKEOVERS, 1);
	h->epoch++;
	h->state = CP_OWNER;
	h->fence = o->created;
	h->since_us = now_us;
	h->revision = o->revision;
	h->commits = 0;
	h->renew_out = false;
	h->commit_at_us = now_us;
	h->renew_at_us = now_us + CP_RENEW_US;
	h->yield_at_us = now_us + CP_YIELD_US;
	h->pool = wp_create(h, h->name, &settings);
	cp_load_pool(h, now_us);
	lg_event(LG_INFO, "pool", "owner", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "term", lg_i64(o->term), "jobs",
	    lg_i64(HASH_COUNT(h->pool->jobs)), "workers",
	    lg_i64(HASH_COUNT(h->pool->workers)), "earlier_ms",
	    lg_i64((settings.earlier_until_us - now_us) / CLK_US_PER_MS), NULL);
	cp_kick(h);
}

/* The owner's key and the term are written together: wait for both. */
static void
cp_begin_when_shown(void *arg)
{
	struct cp_host *h = arg;
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);

	if (!h->begin || o->term_revision < o->created)
		return;
	h->begin = false;
	if (h->state == CP_CLAIMING)
		cp_begin(h, o);
}

void
cp_on_owner(struct cell *c, const struct rp_owner *o)
{
	struct cp_host *h = cp_find(c, o->pool);
	bool ours = o->present && o->incarnation == c->incarnation &&
	    strcmp(o->vm, c->settings->vm) == 0;
	int64_t now_us = clk_now_us();

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
			cp_claim_failed(h);
		h->claim_at_us = 0;
		/* An earlier process of this VM can't act any more. */
		if (strcmp(o->vm, c->settings->vm) == 0)
			c->fleet->keys->lease_end(
			    c->fleet->handle, o->lease, cell_ignore, NULL);
		return;
	}
	if (h->state == CP_CLAIMING && o->lease == h->lease) {
		h->begin = true;
		loop_after(c->loop, 0, cp_begin_when_shown, h);
	}
}

static void
cp_on_renewed(const struct ks_answer *a, void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;

	if (cp_ref_valid(ref)) {
		h->renew_out = false;
		if (a->result == KS_OK)
			h->confirmed_us = ref->sent_us;
		else
			h->renew_at_us = clk_now_us() + CP_RENEW_US / 2;
		if (a->result == KS_NO_LEASE)
			cp_step_down(h, "lease has ended");
	}
	talloc_free(ref);
}

static void
cp_renew(struct cp_host *h, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;

	if (h->renew_out || now_us < h->renew_at_us)
		return;
	h->renew_out = true;
	h->renew_at_us = now_us + CP_RENEW_US;
	f->keys->lease_renew(
	    f->handle, h->lease, cp_on_renewed, cp_ref_create(h));
}

static void
cp_on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;

	if (cp_ref_valid(ref)) {
		if (result != WP_DONE_OK)
			lg_event(LG_INFO, "pool", "order_refused", "job",
			    ref->order->ref.job, "step",
			    lg_i64(ref->order->ref.step), "index",
			    lg_i64(ref->order->ref.index), "run",
			    lg_i64(ref->order->run), "kind",
			    lg_i64(ref->order->kind), "worker",
			    ref->order->worker, "result", lg_i64(result), NULL);
		wp_on_order(
		    h->pool, ref->order, result, clock_ms, clk_now_us());
		if (result != WP_DONE_OK)
			cp_kick(h);
	}
	talloc_free(ref);
}

static void
cp_send_orders(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct wp_order *o;

	while ((o = wp_next_order(h->pool)) != NULL) {
		struct cp_ref *ref = cp_ref_create(h);

		ref->order = talloc_steal(ref, o);
		ct_add(CT_TASKS_STARTED, o->kind == WP_ORDER_START);
		f->workers->order(f->handle, o, h->fence, cp_on_order, ref);
	}
}

static void
cp_on_hold(
    enum wp_order_result result, const struct wp_hold_reply *reply, void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;
	struct wp_worker *w = NULL;

	if (cp_ref_valid(ref))
		w = wp_find_worker(h->pool, ref->worker);
	if (w != NULL) {
		if (reply != NULL)
			wp_on_hold(h->pool, w, reply, clk_now_us());
		else
			wp_on_hold_lost(h->pool, w, result, clk_now_us());
		cp_kick(h);
	}
	talloc_free(ref);
}

static void
cp_send_holds(struct cp_host *h, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_hold hold;

	HASH_ITER(hh, h->pool->workers, w, tmp) {
		struct cp_ref *ref;

		if (!wp_hold_due(h->pool, w, now_us, &hold))
			continue;
		ref = cp_ref_create(h);
		memcpy(ref->worker, w->id, sizeof(ref->worker));
		f->workers->hold(
		    f->handle, w, &hold, h->fence, cp_on_hold, ref);
	}
}

static void
cp_on_advice(bool ok, const struct wp_advice *good, uint32_t count, void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;
	int64_t now_us = clk_now_us();

	if (cp_ref_valid(ref)) {
		wp_on_advice(
		    h->pool, &ref->ask, ok, good, count, now_us, now_us);
		cp_kick(h);
	}
	talloc_free(ref);
}

static void
cp_send_asks(struct cp_host *h, int64_t now_us)
{
	struct wp_ask ask;

	while (wp_next_ask(h->pool, now_us, &ask)) {
		struct cp_ref *ref = cp_ref_create(h);

		ref->ask = ask;
		av_ask(h->cell->advice, &ask, cp_on_advice, ref);
	}
}

/* What has changed since the last time goes out. */
static void
cp_act(struct cp_host *h, int64_t now_us)
{
	h->pool->draining = h->state != CP_OWNER ||
	    now_us - h->confirmed_us > CP_START_WINDOW_US;
	h->pool->unconfirmed =
	    now_us - h->confirmed_us >= CP_LEASE_MS * CLK_US_PER_MS;
	if (now_us >= h->tick_at_us) {
		h->tick_at_us = now_us + CP_TICK_US;
		wp_tick(h->pool, now_us);
	} else {
		wp_schedule(h->pool, now_us);
	}
	if (h->pool->deposed) {
		cp_step_down(h, "fenced by a worker");
		return;
	}
	cp_send_orders(h);
	cp_send_asks(h, now_us);
	cp_send_holds(h, now_us);
	cp_commit_next(h);
}

static void
cp_run_kicked(void *arg)
{
	struct cp_host *h = arg;
	int64_t begin_us = clk_now_us();

	h->kicked = false;
	if (h->pool == NULL)
		return;
	cp_act(h, begin_us);
	h->act_us = clk_now_us() - begin_us;
}

/* The loop prefers timers to sockets: answers get twice the time of an act. */
void
cp_kick(struct cp_host *h)
{
	int64_t delay_us = 2 * h->act_us;

	if (h->kicked)
		return;
	if (delay_us < CP_KICK_US)
		delay_us = CP_KICK_US;
	if (delay_us > CP_TICK_US)
		delay_us = CP_TICK_US;
	h->kicked = true;
	loop_after(h->cell->loop, delay_us, cp_run_kicked, h);
}

static void cp_send_commit(void *arg);

static void
cp_announce(struct cp_host *h, const char *id, enum jb_state state, bool stored)
{
	struct cell *c = h->cell;
	struct rp_job *row = rp_find_job(c->replica, id);

	if (row != NULL) {
		lg_event(LG_INFO, "pool", "job_ended", "job", id, "state",
		    jb_state_name(state), "stored", stored ? "1" : "0",
		    "known_ms",
		    lg_i64((clk_now_us() - row->accepted_us) / CLK_US_PER_MS),
		    NULL);
		rp_tell_ended(row, state);
	}
	pn_note_ended(c->links, id, state);
}

static void
cp_announce_commit(struct cp_host *h, const struct cp_commit *cm, bool stored)
{
	const struct wp_job *job;
	size_t i;

	for (i = 0; i < cm->ended_count; i++) {
		job = wp_find_job(h->pool, cm->ended[i]);
		if (job != NULL)
			cp_announce(h, cm->ended[i], job->state, stored);
	}
	pn_send_ended(h->cell->links);
}

/*
 * While the store is away, ends can't be stored but are true all the same:
 * the workers keep them until they are acknowledged.
 */
static void
cp_announce_unstored(struct cp_host *h, int64_t now_us)
{
	struct wp_job *job;

	if (h->commit == NULL || now_us - h->commit->made_us < CP_STORE_AWAY_US)
		return;
	cp_announce_commit(h, h->commit, false);
	h->commit->ended_count = 0;
	for (job = h->pool->dirty; job != NULL; job = job->dirty_next) {
		const struct rp_job *row =
		    rp_find_job(h->cell->replica, job->spec->id);

		if (jb_has_ended(job->state) && row != NULL &&
		    !jb_has_ended(row->state))
			cp_announce(h, job->spec->id, job->state, false);
	}
	pn_send_ended(h->cell->links);
}

static void
cp_registry_stored(struct cp_host *h)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, h->pool->workers, w, tmp)
		w->registered = w->registering;
	cp_kick(h);
}

static void
cp_commit_done(struct cp_host *h, uint64_t revision)
{
	struct cp_commit *cm = h->commit;

	h->revision = revision;
	h->commit = NULL;
	cp_announce_commit(h, cm, true);
	h->commit_at_us = clk_now_us() + CP_COMMIT_PAUSE_US;
	if (cm->last)
		wp_commit_end(h->pool, clk_now_us());
	if (cm->registry)
		cp_registry_stored(h);
	talloc_free(cm);
	if (h->pool->dirty != NULL || h->state == CP_RELEASING)
		cp_kick(h);
}

/* A condition failed: either an unanswered try was done, or it is over. */
static void
cp_commit_conflict(struct cp_host *h, const struct ks_answer *a)
{
	const struct ks_item *item = a->item_count > 0 ? &a->item[0] : NULL;
	Currant__PoolOwner *row = NULL;

	if (item != NULL && !item->deleted)
		row = currant__pool_owner__unpack(
		    NULL, item->value_bytes, item->value);
	if (row != NULL && row->incarnation == h->cell->incarnation &&
	    strcmp(row->vm, h->cell->settings->vm) == 0 &&
	    row->commit == h->commits)
		cp_commit_done(h, item->revision);
	else
		cp_step_down(h, "commit refused");
	if (row != NULL)
		currant__pool_owner__free_unpacked(row, NULL);
}

static void
cp_on_commit(const struct ks_answer *a, void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;

	if (!cp_ref_valid(ref) || h->commit == NULL) {
		talloc_free(ref);
		return;
	}
	switch (a->result) {
	case KS_OK:
		h->cell->store_ok_us = clk_now_us();
		cp_commit_done(h, a->revision);
		break;
	case KS_CONFLICT:
		cp_commit_conflict(h, a);
		break;
	case KS_NO_LEASE:
		cp_step_down(h, "lease has ended");
		break;
	case KS_COMPACTED:
	case KS_REFUSED:
	case KS_UNKNOWN:
		loop_after(h->cell->loop, CP_COMMIT_RETRY_US, cp_send_commit,
		    cp_ref_create(h));
		break;
	}
	talloc_free(ref);
}

static void
cp_send_commit(void *arg)
{
	struct cp_ref *ref = arg;
	struct cp_host *h = ref->h;
	struct ks_txn txn;

	if (!cp_ref_valid(ref) || h->commit == NULL) {
		talloc_free(ref);
		return;
	}
	txn = (struct ks_txn){
	    .expect = &h->commit->expect,
	    .expect_count = 1,
	    .put = h->commit->put,
	    .put_count = h->commit->put_count,
	};
	ref->sent_us = clk_now_us();
	h->cell->fleet->keys->txn(
	    h->cell->fleet->handle, &txn, cp_on_commit, ref);
}

static void
cp_commit_add(struct cp_commit *cm, const char *key, uint8_t *value,
    size_t bytes, uint64_t lease)
{
	cm->put[cm->put_count++] = (struct ks_put){
	    .key = key,
	    .value = value,
	    .value_bytes = bytes,
	    .lease = lease,
	};
}

/* A later owner has to ask each worker that may run something. */
static void
cp_commit_registry(struct cp_host *h, struct cp_commit *cm)
{
	Currant__PoolWorkers list = CURRANT__POOL_WORKERS__INIT;
	uint32_t count = HASH_COUNT(h->pool->workers);
	Currant__KnownWorker *row;
	struct wp_worker *w;
	struct wp_worker *tmp;
	uint8_t *value;
	size_t bytes;

	if (!h->pool->registry_dirty)
		return;
	h->pool->registry_dirty = false;
	cm->registry = true;
	row = talloc_zero_array(cm, Currant__KnownWorker, count + 1);
	list.workers = talloc_zero_array(cm, Currant__KnownWorker *, count + 1);
	HASH_ITER(hh, h->pool->workers, w, tmp) {
		w->registering = wp_is_known_worker(w, clk_now_us());
		if (!w->registering)
			continue;
		currant__known_worker__init(&row[list.n_workers]);
		row[list.n_workers].id = w->id;
		row[list.n_workers].address = w->address;
		list.workers[list.n_workers] = &row[list.n_workers];
		list.n_workers++;
	}
	value = pk_pack(cm, &list.base, &bytes);
	cp_commit_add(
	    cm, cp_key(cm, RP_WORKERS_PREFIX, h->name), value, bytes, 0);
}

static void
cp_commit_fill(struct cp_host *h, struct cp_commit *cm)
{
	struct jb_progress progress;
	struct wp_job *job;
	uint8_t *value;
	size_t bytes;

	cp_commit_registry(h, cm);
	while (cm->put_count < KS_MAX_PUTS) {
		job = wp_next_dirty(h->pool, cm, &progress);
		if (job == NULL)
			break;
		if (jb_has_ended(progress.state))
			memcpy(cm->ended[cm->ended_count++], job->spec->id,
			    JB_ID_BYTES);
		value = jc_pack_progress(cm, &progress, &bytes);
		cp_commit_add(cm, cp_key(cm, RP_PROGRESS_PREFIX, job->spec->id),
		    value, bytes, 0);
	}
	cm->last = h->pool->dirty == NULL;
	if (cm->last)
		wp_commit_begin(h->pool);
}

static void
cp_finish_release(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);
	TALLOC_CTX *ctx = talloc_new(NULL);
	const char *key = cp_key(ctx, RP_OWNER_PREFIX, h->name);
	struct ks_expect expect = {key, h->revision};
	struct ks_put put = {.key = cp_key(ctx, RP_TERM_PREFIX, h->name)};
	struct ks_txn txn = {
	    .expect = &expect,
	    .expect_count = 1,
	    .put = &put,
	    .put_count = 1,
	    .remove = &key,
	    .remove_count = 1,
	};

	put.value = cp_term_value(ctx, h, o->term, true, &put.value_bytes);
	f->keys->txn(f->handle, &txn, cell_ignore, NULL);
	talloc_free(ctx);
	lg_event(LG_INFO, "pool", "released", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), NULL);
	h->epoch++;
	TALLOC_FREE(h->pool);
	h->state = CP_IDLE;
	h->claim_at_us = 0;
}

static void
cp_commit_due(void *arg)
{
	struct cp_host *h = arg;

	h->commit_timed = false;
	if (h->pool != NULL)
		cp_commit_next(h);
}

static void
cp_commit_later(struct cp_host *h)
{
	if (h->commit_timed)
		return;
	h->commit_timed = true;
	loop_after(
	    h->cell->loop, h->commit_at_us - clk_now_us(), cp_commit_due, h);
}

static void
cp_commit_next(struct cp_host *h)
{
	struct cp_commit *cm;
	size_t bytes;
	uint8_t *value;

	if (h->commit != NULL)
		return;
	if (h->pool->dirty == NULL && !h->pool->registry_dirty) {
		wp_commit_begin(h->pool);
		wp_commit_end(h->pool, clk_now_us());
		if (h->state == CP_RELEASING)
			cp_finish_release(h);
		return;
	}
	if (clk_now_us() < h->commit_at_us) {
		cp_commit_later(h);
		return;
	}
	cm = talloc_zero(h, struct cp_commit);
	if (cm == NULL)
		abort();
	h->commit = cm;
	cm->made_us = clk_now_us();
	h->commits++;
	cm->expect.key = cp_key(cm, RP_OWNER_PREFIX, h->name);
	cm->expect.revision = h->revision;
	value = cp_owner_value(cm, h, h->commits, &bytes);
	cp_commit_add(cm, cm->expect.key, value, bytes, h->lease);
	cp_commit_fill(h, cm);
	cp_send_commit(cp_ref_create(h));
}

/* Callers have had their time to ask for a job that has ended. */
static void
cp_remove_expired(struct cp_host *h, int64_t now_us)
{
	const struct fl_fleet *f = h->cell->fleet;
	int64_t keep_us = h->cell->settings->keep_ended_us;
	TALLOC_CTX *ctx = talloc_new(NULL);
	const char *remove[CP_REMOVE_JOBS * 3];
	struct ks_txn txn = {.remove = remove};
	struct rp_job *job;
	struct rp_job *next;

	HASH_ITER(hh, h->cell->replica->jobs, job, next) {
		if (txn.remove_count == CP_REMOVE_JOBS * 3)
			break;
		if (job->spec == NULL || !jb_has_ended(job->state) ||
		    job->told || strcmp(job->pool, h->name) != 0 ||
		    now_us - job->ended_us < keep_us)
			continue;
		remove[txn.remove_count++] =
		    cp_key(ctx, RP_CANCEL_PREFIX, job->id);
		remove[txn.remove_count++] =
		    cp_key(ctx, RP_PROGRESS_PREFIX, job->id);
		remove[txn.remove_count++] =
		    cp_key(ctx, RP_JOB_PREFIX, job->id);
	}
	if (txn.remove_count > 0)
		f->keys->txn(f->handle, &txn, cell_ignore, NULL);
	talloc_free(ctx);
}

/* Jobs that have ended, are stored and are off all workers. */
static void
cp_forget_ended(struct cp_host *h, int64_t now_us)
{
	struct wp_job *job;
	struct wp_job *next;
	struct rp_job *row;

	if (now_us < h->forget_at_us)
		return;
	h->forget_at_us = now_us + CP_FORGET_EVERY_US;
	cp_remove_expired(h, now_us);
	HASH_ITER(hh, h->pool->jobs, job, next) {
		if (!jb_has_ended(job->state) || job->dirty)
			continue;
		row = rp_find_job(h->cell->replica, job->spec->id);
		if (row == NULL || !jb_has_ended(row->state) ||
		    now_us - row->ended_us < CP_FORGET_EVERY_US)
			continue;
		wp_forget_job(h->pool, job);
	}
}

/* What binds the pool, for whoever reads the log. */
static void
cp_log_state(struct cp_host *h, int64_t now_us)
{
	struct wp_counts n;

	if (now_us < h->log_at_us)
		return;
	h->log_at_us = now_us + CP_LOG_EVERY_US;
	wp_count(h->pool, now_us, &n);
	lg_event(LG_INFO, "pool", "state", "pool", h->name, "jobs",
	    lg_i64(n.jobs), "waiting", lg_i64(n.waiting), "running",
	    lg_i64(n.running), "held", lg_i64(n.held), "usable",
	    lg_i64(n.usable), "unfenced", lg_i64(n.unfenced), "commit",
	    h->commit != NULL ? "1" : "0", "confirmed_ms",
	    lg_i64((now_us - h->confirmed_us) / CLK_US_PER_MS), NULL);
}

static void
cp_owner_tick(struct cp_host *h, int64_t now_us)
{
	if (now_us - h->confirmed_us > CP_HOLD_WINDOW_US) {
		cp_step_down(h, "lease not confirmed");
		return;
	}
	cp_renew(h, now_us);
	cp_yield_to_larger(h, now_us);
	cp_forget_ended(h, now_us);
	cp_log_state(h, now_us);
	cp_announce_unstored(h, now_us);
	cp_act(h, now_us);
}

static void
cp_host_tick(struct cp_host *h, int64_t now_us)
{
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);

	cp_begin_when_shown(h);
	switch (h->state) {
	case CP_IDLE:
		if (h->cell->draining || o->present)
			break;
		if (h->claim_at_us == 0)
			h->claim_at_us = now_us + cp_claim_delay_us(h);
		if (now_us < h->claim_at_us || cp_claim_is_outdated(h, now_us))
			break;
		h->earlier_until_us = cp_earlier_until_us(h, o, now_us);
		h->before_until_us =
		    o->earlier_wall_ms * CLK_US_PER_MS + cell_wall_to_us();
		snprintf(
		    h->earlier_vm, sizeof(h->earlier_vm), "%s", o->term_vm);
		h->earlier_incarnation = o->term_incarnation;
		cp_claim(h, now_us);
		break;
	case CP_CLAIMING:
		if (now_us > h->claim_at_us)
			cp_claim_failed(h);
		break;
	case CP_OWNER:
	case CP_RELEASING:
		cp_owner_tick(h, now_us);
		break;
	}
}

void
cp_tick(struct cell *c)
{
	const struct qs_config *config = c->replica->config;
	struct cp_host *h;
	struct cp_host *tmp;
	uint32_t i;

	if (!c->replica->synced || config == NULL)
		return;
	for (i = 0; i < config->pool_count; i++) {
		if (!config->pool[i].standby)
			cp_find(c, config->pool[i].name);
	}
	HASH_ITER(hh, c->pools, h, tmp)
		cp_host_tick(h, clk_now_us());
	c->replica->pace_us = cp_owned(c) > 0 ? CP_OWNER_WATCH_US : CP_WATCH_US;
}

void
cp_release_all(struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->state == CP_OWNER) {
			h->state = CP_RELEASING;
			cp_kick(h);
		}
	}
}

void
cp_on_job(struct cell *c, struct rp_job *job)
{
	struct cp_host *h = cp_find(c, job->pool);

	if (h->pool == NULL || jb_has_ended(job->state) ||
	    wp_find_job(h->pool, job->id) != NULL)
		return;
	cp_load_job(h, job);
	lg_event(LG_INFO, "pool", "job_taken", "job", job->id, "pool", h->name,
	    "queue", job->queue, NULL);
	cp_kick(h);
}

void
cp_on_cancel(struct cell *c, struct rp_job *row)
{
	struct cp_host *h;
	struct wp_job *job;

	if (row->pool == NULL)
		return;
	h = cp_find(c, row->pool);
	if (h->pool == NULL)
		return;
	job = wp_find_job(h->pool, row->id);
	if (job == NULL)
		return;
	lg_event(LG_INFO, "pool", "job_cancelled", "job", row->id, NULL);
	wp_cancel_job(h->pool, job, clk_now_us());
	cp_kick(h);
}

void
cp_on_worker(struct cell *c, const struct rp_worker *w)
{
	struct cp_host *h;
	struct cp_host *tmp;
	int64_t now_us = clk_now_us();

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->pool == NULL)
			continue;
		if (w->gone_us == 0 && strcmp(w->pool, h->name) == 0)
			wp_set_worker(h->pool, &w->info, now_us);
		else if (wp_find_worker(h->pool, w->id) != NULL)
			wp_unlist_worker(h->pool, w->id);
		else
			continue;
		cp_kick(h);
	}
}

void
cp_on_member(struct cell *c, const struct rp_member *m)
{
	int64_t until_us;
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->pool == NULL || strcmp(h->earlier_vm, m->vm) != 0 ||
		    m->incarnation <= h->earlier_incarnation)
			continue;
		until_us = clk_now_us() + CP_WORKER_LEASE_US;
		if (until_us < h->before_until_us)
			until_us = h->before_until_us;
		wp_earlier_gone(h->pool, until_us);
	}
}

static void
cp_on_lease_ended(const struct ks_answer *a, void *arg)
{
	struct cp_host *h = arg;
	struct rp_owner *o = rp_owner_of(h->cell->replica, h->name);

	if (a->result != KS_OK || !o->present || o->lease != h->ended_lease)
		return;
	o->present = false;
	cp_on_owner(h->cell, o);
	rp_hurry(h->cell->replica);
}

void
cp_on_refused(struct cell *c, const char *vm)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		struct rp_owner *o = rp_owner_of(c->replica, h->name);

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
