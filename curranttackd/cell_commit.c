#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"
#include "protocol/pack.h"

#define CP_COMMIT_PAUSE_US (60 * CLK_US_PER_MS)
#define CP_COMMIT_RETRY_US (150 * CLK_US_PER_MS)
/* More jobs are left to the next commit once this one is so large. */
#define CP_COMMIT_BYTES ((size_t)1 << 20)

/* A commit in flight; repeated unchanged until its outcome is known. */
struct cp_commit {
	struct ks_expect expect;
	struct ks_put put[KS_MAX_PUTS];
	size_t put_count;
	size_t put_bytes;
	int64_t created_us;
	char ended[KS_MAX_PUTS][JB_ID_BYTES];
	size_t ended_count;
	bool registry;
	bool witnesses;
};

static void cp_send_commit(void *arg);

uint8_t *
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

/* Milliseconds since the job arrived; -1 if it has not happened here. */
static int64_t
cp_after_arrival_ms(const struct wp_job *job, int64_t at_us)
{
	return at_us == 0 ? -1 : (at_us - job->arrived_us) / CLK_US_PER_MS;
}

static const char *
cp_waited_ms(const struct wp_job *job, enum wp_wait wait)
{
	return lg_i64(job->waited_us[wait] / CLK_US_PER_MS);
}

static void
cp_announce_end(struct cp_host *h, const struct wp_job *job)
{
	const char *id = job->spec->id;
	struct cell *c = h->cell;
	struct rp_job *row = rp_find_job(c->replica, id);

	if (row != NULL) {
		lg_event(LG_INFO, "pool", "job_ended", "job", id, "queue",
		    row->queue, "state", jb_state_name(job->state),
		    "first_start_ms",
		    lg_i64(cp_after_arrival_ms(job, job->first_start_us)),
		    "last_start_ms",
		    lg_i64(cp_after_arrival_ms(job, job->last_start_us)),
		    "known_ms", lg_i64(cp_after_arrival_ms(job, clk_now_us())),
		    "objective_ms",
		    lg_i64(cp_after_arrival_ms(job, job->objective_us)),
		    "wait_turn_ms", cp_waited_ms(job, WP_WAIT_TURN),
		    "wait_advice_ms", cp_waited_ms(job, WP_WAIT_ADVICE),
		    "wait_resources_ms", cp_waited_ms(job, WP_WAIT_RESOURCES),
		    "wait_retry_ms", cp_waited_ms(job, WP_WAIT_RETRY), NULL);
		rp_on_end_reported(c->replica, id, job->state);
	}
	/* In large cells, daemons query the owner when a caller queries a job. */
	if (pn_is_small_cell(c->links))
		pn_queue_ended(c->links, id, job->state);
}

/* Only what is stored is told: all daemons and workers may lose power. */
static void
cp_announce_commit_ends(struct cp_host *h, const struct cp_commit *cm)
{
	const struct wp_job *job;
	size_t i;

	for (i = 0; i < cm->ended_count; i++) {
		job = wp_find_job(h->pool, cm->ended[i]);
		if (job != NULL)
			cp_announce_end(h, job);
	}
	pn_flush_ended(h->cell->links);
}

static void
cp_commit_done(struct cp_host *h, uint64_t revision)
{
	struct cp_commit *cm = h->commit;

	h->revision = revision;
	h->commit = NULL;
	if (cm->witnesses)
		wt_permit_changed(&h->permit);
	cp_announce_commit_ends(h, cm);
	h->commit_at_us = clk_now_us() + CP_COMMIT_PAUSE_US;
	wp_commit_end(h->pool, clk_now_us());
	if (cm->registry) {
		wp_registry_end(h->pool, revision);
		cp_schedule_pass(h);
	}
	talloc_free(cm);
	if (wp_is_store_due(h->pool, clk_now_us()) || h->state == CP_RELEASING)
		cp_schedule_pass(h);
}

/* A condition failed: an earlier attempt was applied, or the pool is lost. */
static void
cp_commit_conflict(struct cp_host *h, const struct ks_response *a)
{
	const struct ks_item *item = a->item_count > 0 ? &a->item[0] : NULL;
	Currant__PoolOwner *row = NULL;

	if (item != NULL && !item->deleted)
		row = currant__pool_owner__unpack(
		    NULL, item->value_bytes, item->value);
	if (row != NULL && row->incarnation == h->cell->incarnation &&
	    strcmp(row->vm, h->cell->settings->vm) == 0 &&
	    row->commit == h->commit_seq)
		cp_commit_done(h, item->revision);
	else
		cp_step_down(h, "commit refused");
	if (row != NULL)
		currant__pool_owner__free_unpacked(row, NULL);
}

static void
cp_on_commit(const struct ks_response *a, void *arg)
{
	struct cp_request *req = arg;
	struct cp_host *h = req->h;

	if (!cp_request_is_current(req) || h->commit == NULL) {
		talloc_free(req);
		return;
	}
	switch (a->result) {
	case KS_OK:
		h->cell->store_answered_us = clk_now_us();
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
		    cp_request_create(h));
		break;
	}
	talloc_free(req);
}

static void
cp_send_commit(void *arg)
{
	struct cp_request *req = arg;
	struct cp_host *h = req->h;
	struct ks_txn txn;

	if (!cp_request_is_current(req) || h->commit == NULL) {
		talloc_free(req);
		return;
	}
	txn = (struct ks_txn){
	    .expect = &h->commit->expect,
	    .expect_count = 1,
	    .put = h->commit->put,
	    .put_count = h->commit->put_count,
	};
	req->sent_us = clk_now_us();
	h->cell->fleet->keys->txn(
	    h->cell->fleet->handle, &txn, cp_on_commit, req);
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
	cm->put_bytes += bytes;
}

static void
cp_fill_closed_worker(
    TALLOC_CTX *ctx, Currant__KnownWorker *row, const struct wp_worker *w)
{
	Currant__PoolTask *task;
	uint32_t i;

	row->has_closed = true;
	row->closed = true;
	task =
	    talloc_zero_array(ctx, Currant__PoolTask, w->closed_task_count + 1);
	row->tasks = talloc_zero_array(
	    ctx, Currant__PoolTask *, w->closed_task_count + 1);
	if (task == NULL || row->tasks == NULL)
		abort();
	for (i = 0; i < w->closed_task_count; i++) {
		struct jb_ref *ref = &w->closed_task[i];

		currant__pool_task__init(&task[i]);
		task[i].job = ref->job;
		task[i].occurrence = ref->occurrence;
		task[i].step = ref->step;
		task[i].index = ref->index;
		row->tasks[row->n_tasks++] = &task[i];
	}
}

static void
cp_fill_worker(TALLOC_CTX *ctx, Currant__KnownWorker *row, struct wp_worker *w)
{
	currant__known_worker__init(row);
	row->id = pk_text(w->id);
	row->address = pk_text(w->address);
	row->vm = pk_text(w->vm);
	row->has_born_ms = true;
	row->born_ms = wp_newest_incarnation_ms(w);
	row->has_late_lease_ms = true;
	row->late_lease_ms = wp_late_lease_ms(w, clk_now_us());
	row->has_lease_left_ms = w->marked;
	row->lease_left_ms = wp_inherited_lease_ms(w, clk_now_us());
	if (!w->opening)
		cp_fill_closed_worker(ctx, row, w);
}

static void
cp_fill_not_started(
    const struct cp_host *h, struct cp_commit *cm, Currant__PoolWorkers *list)
{
	struct wp_job *job;
	struct wp_job *next;

	list->has_term = true;
	list->term = rp_get_owner(h->cell->replica, h->name)->term;
	list->not_started =
	    talloc_zero_array(cm, char *, HASH_COUNT(h->pool->jobs) + 1);
	if (list->not_started == NULL)
		abort();
	HASH_ITER(hh, h->pool->jobs, job, next) {
		if (wp_is_named(job))
			list->not_started[list->n_not_started++] =
			    job->spec->id;
	}
}

/* Stores which workers may run something, as a later owner has to ask them. */
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
	wp_registry_begin(h->pool, clk_now_us());
	cm->registry = true;
	row = talloc_zero_array(cm, Currant__KnownWorker, count + 1);
	list.workers = talloc_zero_array(cm, Currant__KnownWorker *, count + 1);
	HASH_ITER(hh, h->pool->workers, w, tmp) {
		if (!w->registering)
			continue;
		cp_fill_worker(cm, &row[list.n_workers], w);
		list.workers[list.n_workers] = &row[list.n_workers];
		list.n_workers++;
	}
	cp_fill_not_started(h, cm, &list);
	value = pk_pack(cm, &list.base, &bytes);
	cp_commit_add(cm, rp_make_pool_key(cm, RP_WORKERS_PREFIX, h->name),
	    value, bytes, 0);
}

/*
 * Earlier owners stop sooner than was known when the pool was claimed, or other
 * daemons are this one's witnesses.
 */
static void
cp_commit_term(struct cp_host *h, struct cp_commit *cm)
{
	const struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);
	struct wt_list list;
	uint8_t *value;
	size_t bytes;

	if (!h->term_dirty)
		return;
	h->term_dirty = false;
	cp_choose_witnesses(h, &list);
	wt_permit_change(&h->permit, &list);
	cm->witnesses = true;
	value = cp_term_value(cm, h, o->term, h->fence, false, &list, &bytes);
	cp_commit_add(
	    cm, rp_make_pool_key(cm, RP_TERM_PREFIX, h->name), value, bytes, 0);
}

/* The store refuses a larger value, and with it the whole commit. */
static void
cp_fit_checkpoints(const struct cp_host *h, const struct wp_job *job,
    struct jb_progress *progress)
{
	uint32_t left_out =
	    jb_fit_checkpoints(progress, h->cell->settings->max_value_bytes);

	if (left_out > 0)
		lg_event(LG_INFO, "pool", "checkpoints_left_out", "pool",
		    h->name, "job", job->spec->id, "left_out", lg_i64(left_out),
		    "tasks", lg_i64(progress->task_count), NULL);
}

static void
cp_commit_fill(struct cp_host *h, struct cp_commit *cm)
{
	struct jb_progress progress;
	struct wp_job *job;
	uint8_t *value;
	size_t bytes;

	cp_commit_term(h, cm);
	cp_commit_registry(h, cm);
	while (cm->put_count < KS_MAX_PUTS && cm->put_bytes < CP_COMMIT_BYTES) {
		job = wp_next_dirty(h->pool, cm, cm->created_us, &progress);
		if (job == NULL)
			break;
		if (jb_has_ended(progress.state))
			memcpy(cm->ended[cm->ended_count++], job->spec->id,
			    JB_ID_BYTES);
		cp_fit_checkpoints(h, job, &progress);
		value = jc_pack_progress(cm, &progress, &bytes);
		cp_commit_add(cm,
		    cp_make_key(cm, RP_PROGRESS_PREFIX, job->spec->id), value,
		    bytes, 0);
	}
	wp_commit_begin(h->pool);
}

static void
cp_on_released(const struct ks_response *a, void *arg)
{
	struct cp_host *h = arg;

	if (a->result == KS_OK)
		pn_send_owner_changed(h->cell->links);
}

static void
cp_finish_release(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;
	struct rp_owner *o = rp_get_owner(h->cell->replica, h->name);
	TALLOC_CTX *ctx = talloc_new(NULL);
	const char *key = rp_make_pool_key(ctx, RP_OWNER_PREFIX, h->name);
	struct ks_expect expect = {key, h->revision};
	struct ks_put put = {
	    .key = rp_make_pool_key(ctx, RP_TERM_PREFIX, h->name)};
	struct ks_txn txn = {
	    .expect = &expect,
	    .expect_count = 1,
	    .put = &put,
	    .put_count = 1,
	    .remove = &key,
	    .remove_count = 1,
	};

	put.value = cp_term_value(ctx, h, o->term, h->fence, true,
	    &h->permit.stored.list, &put.value_bytes);
	f->keys->txn(f->handle, &txn, cp_on_released, h);
	talloc_free(ctx);
	lg_event(LG_INFO, "pool", "released", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), NULL);
	h->generation++;
	TALLOC_FREE(h->pool);
	h->state = CP_IDLE;
	h->claim_at_us = 0;
}

static void
cp_on_commit_timer(void *arg)
{
	struct cp_host *h = arg;

	h->commit_timer_set = false;
	if (h->pool != NULL)
		cp_start_commit(h);
}

static void
cp_set_commit_timer(struct cp_host *h)
{
	if (h->commit_timer_set)
		return;
	h->commit_timer_set = true;
	loop_after(h->cell->loop, h->commit_at_us - clk_now_us(),
	    cp_on_commit_timer, h);
}

void
cp_start_commit(struct cp_host *h)
{
	struct cp_commit *cm;
	size_t bytes;
	uint8_t *value;

	if (h->commit != NULL)
		return;
	/* The next owner learns what is not stored by then from the workers. */
	if (h->state == CP_RELEASING &&
	    clk_now_us() >= h->release_deadline_us) {
		cp_finish_release(h);
		return;
	}
	if (!wp_is_store_due(h->pool, clk_now_us()) &&
	    !h->pool->registry_dirty && !h->term_dirty) {
		wp_commit_begin(h->pool);
		wp_commit_end(h->pool, clk_now_us());
		if (h->state == CP_RELEASING)
			cp_finish_release(h);
		return;
	}
	if (clk_now_us() < h->commit_at_us) {
		cp_set_commit_timer(h);
		return;
	}
	cm = talloc_zero(h, struct cp_commit);
	if (cm == NULL)
		abort();
	h->commit = cm;
	cm->created_us = clk_now_us();
	h->commit_seq++;
	cm->expect.key = rp_make_pool_key(cm, RP_OWNER_PREFIX, h->name);
	cm->expect.revision = h->revision;
	value = cp_owner_value(cm, h, h->commit_seq, &bytes);
	cp_commit_add(cm, cm->expect.key, value, bytes, h->lease);
	cp_commit_fill(h, cm);
	cp_send_commit(cp_request_create(h));
}
