#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool_internal.h"

/* Pauses between watches; short for owners, as new jobs concern them. */
#define CP_OWNER_WATCH_PAUSE_US (150 * CLK_US_PER_MS)
#define CP_WATCH_PAUSE_US (250 * CLK_US_PER_MS)
/* An outranked daemon is told by peers of what it has to know sooner. */
#define CP_OUTRANKED_WATCH_PAUSE_US (1000 * CLK_US_PER_MS)
/* Jobs that one transaction removes, with three keys each. */
#define CP_REMOVE_JOBS 10
#define CP_LOG_EVERY_US (CLK_US_PER_S)
/* Queues whose waiting steps are logged. */
#define CP_MAX_WAIT_ROWS 16
/* Waiting gangs that are logged: more than the first may wait for its turn. */
#define CP_MAX_GANG_ROWS 4
/* Workers that tasks wait for after a takeover: which are logged, and when. */
#define CP_MAX_HOLDING_ROWS 16
/* Steps of long-running tasks that are logged while these have no run. */
#define CP_MAX_WITHOUT_RUN_ROWS 8
#define CP_LOG_HOLDING_AFTER_US (500 * CLK_US_PER_MS)
/* Steps whose tasks wait for long beside room for them. */
#define CP_MAX_STUCK_ROWS 8
#define CP_FORGET_EVERY_US (2 * CLK_US_PER_S)
/* Time to store ended jobs before a pool is handed over. */
#define CP_RELEASE_TIMEOUT_US (150 * CLK_US_PER_MS)

const char *
cp_make_key(TALLOC_CTX *ctx, const char *prefix, const char *id)
{
	return talloc_asprintf(ctx, "%s%s", prefix, id);
}

struct cp_host *
cp_get_host(struct cell *c, const char *pool)
{
	struct cp_host *h;

	HASH_FIND_STR(c->pools, pool, h);
	if (h != NULL)
		return h;
	h = talloc_zero(c, struct cp_host);
	if (h == NULL)
		abort();
	h->cell = c;
	h->name = tx_dup(h, pool);
	tx_set(h, &h->earlier_owner_vm, "");
	HASH_ADD_STR(c->pools, name, h);
	return h;
}

bool
cp_owns(struct cell *c, const char *pool, uint64_t fence)
{
	const struct cp_host *h = cp_get_host(c, pool);

	return h->state == CP_OWNER && h->fence == fence;
}

uint32_t
cp_owned_count(const struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;
	uint32_t n = 0;

	HASH_ITER(hh, c->pools, h, tmp)
		n += h->pool != NULL;
	return n;
}

struct cp_request *
cp_request_create(struct cp_host *h)
{
	struct cp_request *req = talloc_zero(h, struct cp_request);

	if (req == NULL)
		abort();
	req->h = h;
	req->generation = h->generation;
	req->sent_us = clk_now_us();
	return req;
}

bool
cp_request_is_current(const struct cp_request *req)
{
	return req->h->pool != NULL && req->generation == req->h->generation;
}

void
cp_end_lease(struct cp_host *h)
{
	const struct fl_fleet *f = h->cell->fleet;

	if (h->lease != 0)
		f->keys->lease_end(
		    f->handle, h->lease, cell_ignore_answer, NULL);
	h->lease = 0;
}

void
cp_step_down(struct cp_host *h, const char *reason)
{
	lg_event(LG_WARN, "pool", "owner_lost", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "reason", reason, NULL);
	ct_add(CT_FENCED, 1);
	h->generation++;
	TALLOC_FREE(h->pool);
	TALLOC_FREE(h->commit);
	cp_end_lease(h);
	h->state = CP_IDLE;
	h->claim_at_us = clk_now_us() + CP_CLAIM_RETRY_US;
	if (cp_active_count(h->cell) == 0)
		cell_begin_incarnation(h->cell);
}

/* Removes ended jobs that no longer have to be kept for callers. */
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
		    job->end_reported || strcmp(job->pool, h->name) != 0 ||
		    now_us - job->ended_us < keep_us)
			continue;
		remove[txn.remove_count++] =
		    cp_make_key(ctx, RP_CANCEL_PREFIX, job->id);
		remove[txn.remove_count++] =
		    cp_make_key(ctx, RP_PROGRESS_PREFIX, job->id);
		remove[txn.remove_count++] =
		    cp_make_key(ctx, RP_JOB_PREFIX, job->id);
	}
	if (txn.remove_count > 0)
		f->keys->txn(f->handle, &txn, cell_ignore_answer, NULL);
	talloc_free(ctx);
}

/* Frees jobs that have ended, are stored and are off all workers. */
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
		wp_forget_job(h->pool, job, now_us);
	}
}

/* One line for each queue: its waiting steps, and the cores they need. */
static void
cp_log_waits(struct cp_host *h, int64_t now_us)
{
	struct wp_queue_waits row[CP_MAX_WAIT_ROWS];
	uint32_t count = wp_get_waits(h->pool, now_us, row, CP_MAX_WAIT_ROWS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const uint32_t *steps = row[i].steps;
		const int64_t *cpu = row[i].cpu_mcpu;

		lg_event(LG_INFO, "pool", "waits", "pool", h->name, "queue",
		    row[i].queue, "gangs", row[i].gangs ? "1" : "0", "turn",
		    lg_i64(steps[WP_WAIT_TURN]), "advice",
		    lg_i64(steps[WP_WAIT_ADVICE]), "resources",
		    lg_i64(steps[WP_WAIT_RESOURCES]), "retry",
		    lg_i64(steps[WP_WAIT_RETRY]), "turn_mcpu",
		    lg_i64(cpu[WP_WAIT_TURN]), "advice_mcpu",
		    lg_i64(cpu[WP_WAIT_ADVICE]), "resources_mcpu",
		    lg_i64(cpu[WP_WAIT_RESOURCES]), "retry_mcpu",
		    lg_i64(cpu[WP_WAIT_RETRY]), NULL);
	}
}

static int64_t
cp_left_ms(int64_t at_us, int64_t now_us)
{
	if (at_us == INT64_MAX)
		return -1;
	return at_us > now_us ? (at_us - now_us) / CLK_US_PER_MS : 0;
}

/* One line for each of the first gangs that have not started. */
static void
cp_log_gang_waits(struct cp_host *h, int64_t now_us)
{
	struct wp_gang_wait row[CP_MAX_GANG_ROWS];
	uint32_t count =
	    wp_get_gang_waits(h->pool, now_us, row, CP_MAX_GANG_ROWS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct wp_gang_wait *g = &row[i];

		lg_event(LG_INFO, "pool", "gang_waits", "pool", h->name, "job",
		    g->job, "step", lg_i64(g->step), "rank", lg_i64(g->rank),
		    "members", lg_i64(g->members), "waiting",
		    lg_i64(g->waiting), "approved", lg_i64(g->approved),
		    "valid", lg_i64(g->valid), "room", lg_i64(g->room),
		    "requested", lg_i64(g->requested), "asked_ms",
		    lg_i64(g->asked_us > 0
			    ? (now_us - g->asked_us) / CLK_US_PER_MS
			    : 0),
		    "planned_ms", lg_i64(cp_left_ms(g->planned_us, now_us)),
		    "reserved", g->reserved ? "1" : "0", "retry_ms",
		    lg_i64(cp_left_ms(g->not_before_us, now_us)), "suspects",
		    lg_i64(g->suspects), NULL);
	}
}

/* What is expected of the advice service, by queue. */
static void
cp_log_advice_rates(struct cp_host *h)
{
	const struct wp_approval_rate *rate;
	const struct wp_approval_rate *tmp;
	uint32_t rows = 0;

	HASH_ITER(hh, h->pool->approval_rates, rate, tmp) {
		if (rows++ == CP_MAX_WAIT_ROWS)
			return;
		lg_event(LG_INFO, "pool", "advice_rate", "pool", h->name,
		    "queue", rate->queue, "approved_percent",
		    lg_i64((int64_t)rate->approved * 100 / rate->asked),
		    "queued_ms", lg_i64(rate->queued_us / CLK_US_PER_MS), NULL);
	}
}

/* One line for each step of long-running tasks that have no run. */
static void
cp_log_without_run(struct cp_host *h, int64_t now_us)
{
	struct wp_without_run row[CP_MAX_WITHOUT_RUN_ROWS];
	uint32_t count = wp_find_without_run(
	    h->pool, h->owner_since_us, now_us, row, CP_MAX_WITHOUT_RUN_ROWS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct wp_without_run *t = &row[i];

		lg_event(LG_INFO, "pool", "without_run", "pool", h->name, "job",
		    t->ref.job, "step", lg_i64(t->ref.step), "index",
		    lg_i64(t->ref.index), "tasks", lg_i64(t->tasks), "run",
		    lg_i64(t->run), "state", lg_i64(t->state), "why",
		    wp_without_run_name(t->why), "for_ms",
		    lg_i64(t->for_us / CLK_US_PER_MS), "worker", t->worker,
		    "listed", t->listed ? "1" : "0", "left_ms",
		    lg_i64(t->left_us / CLK_US_PER_MS), NULL);
	}
}

/* One line for each worker that tasks of an earlier owner may wait for. */
static void
cp_log_holding(struct cp_host *h, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;
	uint32_t rows = 0;

	/* Most workers respond to a new owner within this time. */
	if (now_us - h->owner_since_us < CP_LOG_HOLDING_AFTER_US)
		return;
	HASH_ITER(hh, h->pool->workers, w, tmp) {
		if (!wp_is_holding(w, now_us) ||
		    (w->closed && w->closed_task_count == 0))
			continue;
		if (rows++ == CP_MAX_HOLDING_ROWS)
			return;
		lg_event(LG_INFO, "pool", "holding", "pool", h->name, "worker",
		    w->id, "listed", w->listed ? "1" : "0", "closed",
		    w->closed ? "1" : "0", "tasks",
		    lg_i64(w->closed_task_count), "left_ms",
		    lg_i64(wp_lease_left_us(w, now_us) / CLK_US_PER_MS), "why",
		    wp_lease_why_name(wp_lease_why(w, now_us)), "incarnation",
		    lg_i64(wp_newest_incarnation_ms(w)), NULL);
	}
}

/* One line for each step of which a task has had no run for long beside room. */
static void
cp_log_stuck(struct cp_host *h, int64_t now_us)
{
	struct wp_stuck row[CP_MAX_STUCK_ROWS];
	uint32_t count = wp_find_stuck(h->pool, now_us, row, CP_MAX_STUCK_ROWS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct wp_stuck *t = &row[i];

		lg_event(LG_WARN, "pool", "stuck", "pool", h->name, "job",
		    t->ref.job, "occurrence", lg_i64(t->ref.occurrence), "step",
		    lg_i64(t->ref.step), "index", lg_i64(t->ref.index), "run",
		    lg_i64(t->run), "state", lg_i64(t->state), "why",
		    wp_stuck_name(t->why), "waited_ms",
		    lg_i64(t->waited_us / CLK_US_PER_MS), "retry_ms",
		    lg_i64(cp_left_ms(t->not_before_us, now_us)), "worker",
		    t->worker, "waiting", lg_i64(t->waiting), "listed",
		    t->listed ? "1" : "0", "ahead", lg_i64(t->ahead),
		    "suspects", lg_i64(t->suspects), "room", lg_i64(t->room),
		    "answered", lg_i64(t->answered), "approved",
		    lg_i64(t->approved), "valid", lg_i64(t->valid), "requested",
		    lg_i64(t->requested), "in_flight", lg_i64(t->in_flight),
		    "requested_slots", lg_i64(t->requested_slots), NULL);
	}
}

static void
cp_log_reconciled(struct cp_host *h, int64_t now_us)
{
	if (h->reconciled_logged || !h->pool->reconciled)
		return;
	h->reconciled_logged = true;
	lg_event(LG_INFO, "pool", "reconciled", "pool", h->name, "fence",
	    lg_i64((int64_t)h->fence), "after_ms",
	    lg_i64((now_us - h->owner_since_us) / CLK_US_PER_MS), NULL);
}

/* Logs at intervals what limits the pool. */
static void
cp_log_state(struct cp_host *h, int64_t now_us)
{
	const struct wp_stats *stats = &h->pool->stats;
	struct wp_counts n;

	if (now_us < h->log_at_us)
		return;
	h->log_at_us = now_us + CP_LOG_EVERY_US;
	wp_get_counts(h->pool, now_us, &n);
	lg_event(LG_INFO, "pool", "state", "pool", h->name, "jobs",
	    lg_i64(n.jobs), "waiting", lg_i64(n.waiting), "running",
	    lg_i64(n.running), "held", lg_i64(n.held), "usable",
	    lg_i64(n.usable), "unfenced", lg_i64(n.unfenced), "unreachable",
	    lg_i64(n.unreachable), "expired",
	    lg_i64((int64_t)stats->leases_expired), "over",
	    lg_i64((int64_t)stats->over), "unanswered",
	    lg_i64((int64_t)stats->refused[WP_NO_ANSWER]), "unsent",
	    lg_i64((int64_t)stats->refused[WP_NOT_SENT]), "window",
	    lg_i64(h->pool->starts.limit), "late", lg_i64(n.late), "asking",
	    lg_i64(n.asking), "overfull", lg_i64(n.overfull), "outdated",
	    lg_i64(n.outdated), "restored", lg_i64((int64_t)stats->restored),
	    "restore_ms",
	    lg_i64(wp_take_longest_restore_us(h->pool) / CLK_US_PER_MS),
	    "cpu_percent", lg_i64(n.cpu_percent), "gpu_percent",
	    lg_i64(n.gpu_percent), "commit", h->commit != NULL ? "1" : "0",
	    "confirmed_ms",
	    lg_i64((now_us - h->lease_confirmed_us) / CLK_US_PER_MS), "copy_ms",
	    lg_i64(rp_copy_age_us(h->cell->replica, now_us) / CLK_US_PER_MS),
	    "cancels_ms",
	    lg_i64(rp_cancels_age_us(h->cell->replica, now_us) / CLK_US_PER_MS),
	    "stops_unanswered", lg_i64(n.stops_unanswered), NULL);
	cp_log_waits(h, now_us);
	cp_log_gang_waits(h, now_us);
	cp_log_advice_rates(h);
	cp_log_without_run(h, now_us);
	cp_log_holding(h, now_us);
	cp_log_stuck(h, now_us);
}

static void
cp_owner_tick(struct cp_host *h, int64_t now_us)
{
	bool may_act = cp_check_permit(h, now_us);

	if (h->pool == NULL)
		return;
	cp_renew_lease(h, now_us);
	cp_witness_tick(h, now_us);
	cp_inquire_tick(h, now_us);
	if (!may_act)
		return;
	cp_yield_to_larger_vm(h, now_us);
	cp_forget_ended(h, now_us);
	cp_log_state(h, now_us);
	cp_log_reconciled(h, now_us);
	cp_run_pass(h, now_us);
}

static void
cp_host_tick(struct cp_host *h, int64_t now_us)
{
	cp_try_begin_ownership(h);
	switch (h->state) {
	case CP_IDLE:
		cp_claim_tick(h, now_us);
		break;
	case CP_CLAIMING:
		if (now_us > h->claim_at_us)
			cp_abort_claim(h);
		break;
	case CP_OWNER:
	case CP_RELEASING:
		cp_owner_tick(h, now_us);
		break;
	}
}

bool
cp_is_outranked(const struct cell *c)
{
	return rp_max_cpu_mcpu(c->replica) > c->settings->cpu_mcpu;
}

static int64_t
cp_watch_pause_us(const struct cell *c)
{
	if (cp_owned_count(c) > 0)
		return CP_OWNER_WATCH_PAUSE_US;
	return cp_is_outranked(c) ? CP_OUTRANKED_WATCH_PAUSE_US
				  : CP_WATCH_PAUSE_US;
}

/*
 * Only a pool's owner needs the workers' entries. A new owner of a small cell has
 * them at once; in a large one, each daemon would spend most of its processor
 * time on them.
 */
static void
cp_follow_workers(struct cell *c)
{
	if (cp_owned_count(c) > 0)
		rp_follow_workers(c->replica, true);
	else if (!pn_is_small_cell(c->links))
		rp_follow_workers(c->replica, false);
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
			cp_get_host(c, config->pool[i].name);
	}
	HASH_ITER(hh, c->pools, h, tmp)
		cp_host_tick(h, clk_now_us());
	c->replica->watch_pause_us = cp_watch_pause_us(c);
	rp_follow_cancels(c->replica, cp_owned_count(c) > 0);
	cp_follow_workers(c);
}

/* No task is started during a release, so it has a short deadline. */
void
cp_release(struct cp_host *h)
{
	h->state = CP_RELEASING;
	h->release_deadline_us = clk_now_us() + CP_RELEASE_TIMEOUT_US;
	cp_schedule_pass(h);
}

void
cp_release_all(struct cell *c)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->state == CP_OWNER)
			cp_release(h);
	}
}

void
cp_on_job(struct cell *c, struct rp_job *job)
{
	struct cp_host *h = cp_get_host(c, job->pool);

	if (h->pool == NULL || jb_has_ended(job->state) ||
	    wp_find_job(h->pool, job->id) != NULL)
		return;
	cp_load_job(h, job);
	lg_event(LG_INFO, "pool", "job_taken", "job", job->id, "pool", h->name,
	    "queue", job->queue, NULL);
	cp_schedule_pass(h);
}

void
cp_log_cancelled(
    const struct cp_host *h, const struct rp_job *row, const char *by)
{
	const struct replica *r = h->cell->replica;

	lg_event(LG_INFO, "pool", "job_cancelled", "job", row->id, "by", by,
	    "revision", lg_i64((int64_t)row->cancel_revision), "copy_revision",
	    lg_i64((int64_t)r->applied_revision), "copy_ms",
	    lg_i64(rp_copy_age_us(r, clk_now_us()) / CLK_US_PER_MS), NULL);
}

void
cp_on_cancel(struct cell *c, struct rp_job *row)
{
	struct cp_host *h;
	struct wp_job *job;

	if (row->pool == NULL)
		return;
	h = cp_get_host(c, row->pool);
	if (h->pool == NULL)
		return;
	job = wp_find_job(h->pool, row->id);
	if (job == NULL)
		return;
	cp_log_cancelled(h, row, row->cancelled_by);
	wp_cancel_job(h->pool, job, clk_now_us());
	cp_schedule_pass(h);
}

void
cp_on_end_reported(struct cell *c, const char *id, enum jb_state state)
{
	const struct rp_job *row;
	struct cp_host *h;
	struct wp_job *job;

	if (!rp_on_end_reported(c->replica, id, state))
		return;
	row = rp_find_job(c->replica, id);
	if (row == NULL)
		return;
	h = cp_get_host(c, row->pool);
	job = h->pool != NULL ? wp_find_job(h->pool, id) : NULL;
	if (job == NULL || jb_has_ended(job->state))
		return;
	lg_event(LG_WARN, "pool", "end_learned", "job", id, "state",
	    jb_state_name(state), NULL);
	wp_end_job(h->pool, job, state, clk_now_us());
	cp_schedule_pass(h);
}

/* Its capacity is about to change while it runs, or with a new life. */
static void
cp_log_capacity(struct cp_host *h, const struct wp_worker_info *info)
{
	const struct wp_worker *w = wp_find_worker(h->pool, info->id);
	const struct wp_resources *now = &info->capacity;

	if (w == NULL || !w->listed ||
	    memcmp(&w->capacity, now, sizeof(*now)) == 0)
		return;
	lg_event(LG_INFO, "pool", "worker_capacity", "pool", h->name, "worker",
	    w->id, "cpu_mcpu", lg_i64(now->cpu_mcpu), "mem_mb",
	    lg_i64(now->mem_mb), "gpu", lg_i64(now->gpu), "used_cpu_mcpu",
	    lg_i64(w->used.cpu_mcpu), "used_mem_mb", lg_i64(w->used.mem_mb),
	    "used_gpu", lg_i64(w->used.gpu), NULL);
}

static void
cp_set_worker(struct cp_host *h, const struct rp_worker *w, int64_t now_us)
{
	cp_log_capacity(h, &w->info);
	wp_set_worker(h->pool, &w->info, now_us);
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
		if (w->unlisted_us == 0 && strcmp(w->pool, h->name) == 0)
			cp_set_worker(h, w, now_us);
		else if (wp_find_worker(h->pool, w->id) != NULL)
			wp_unlist_worker(h->pool, w->id);
		else
			continue;
		cp_schedule_pass(h);
	}
}

void
cp_on_member(struct cell *c, const struct rp_member *m)
{
	struct cp_host *h;
	struct cp_host *tmp;

	HASH_ITER(hh, c->pools, h, tmp) {
		bool concerns = strcmp(h->earlier_owner_vm, m->vm) == 0 ||
		    wt_find(&h->inquiry.votes.list, m->vm) != -1;

		if (h->pool != NULL && concerns)
			cp_apply_earlier_owner(h);
	}
}
