#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/replica.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"

#define RP_RETRY_US (200 * CLK_US_PER_MS)
#define RP_WATCH_MS 2000
/* A response with this many changes means that more are waiting. */
#define RP_FULL_BATCH 400
#define RP_ERROR_BYTES 160

static void rp_load(void *arg);
static void rp_watch_operator_keys(void *arg);
static void rp_watch(void *arg);

/* Reports a row that is not used, once for each of its revisions. */
static void
rp_leave_out(struct replica *r, const struct ks_item *item, const char *module,
    const char *event, const char *reason)
{
	size_t bytes = strlen(item->key) + 1;
	struct rp_left_out *row;

	if (item->deleted)
		return;
	HASH_FIND_STR(r->left_out, item->key, row);
	if (row == NULL) {
		row = talloc_zero_size(r, sizeof(*row) + bytes);
		if (row == NULL)
			abort();
		memcpy(row->key, item->key, bytes);
		HASH_ADD_KEYPTR(hh, r->left_out, row->key, bytes - 1, row);
	}
	if (item->revision <= row->revision)
		return;
	row->revision = item->revision;
	ct_add(CT_LEFT_OUT, 1);
	lg_event(LG_WARN, module, event, "key", item->key, "revision",
	    lg_i64((int64_t)item->revision), "reason", reason, NULL);
}

static void
rp_forget_left_out(struct replica *r, const struct ks_item *item)
{
	struct rp_left_out *row;

	HASH_FIND_STR(r->left_out, item->key, row);
	if (row == NULL || item->revision <= row->revision)
		return;
	HASH_DEL(r->left_out, row);
	talloc_free(row);
}

static struct rp_job *
rp_get_job(struct replica *r, const char *id)
{
	struct rp_job *job;

	HASH_FIND_STR(r->jobs, id, job);
	if (job != NULL || strlen(id) != JB_ID_LENGTH)
		return job;
	job = talloc_zero(r, struct rp_job);
	if (job == NULL)
		abort();
	memcpy(job->id, id, sizeof(job->id));
	HASH_ADD_STR(r->jobs, id, job);
	return job;
}

struct rp_job *
rp_find_job(struct replica *r, const char *id)
{
	struct rp_job *job;

	HASH_FIND_STR(r->jobs, id, job);
	return job != NULL && job->spec != NULL ? job : NULL;
}

void
rp_forget_job(struct replica *r, struct rp_job *job)
{
	HASH_DEL(r->jobs, job);
	talloc_free(job);
}

static bool
rp_read_job(struct rp_job *job, const struct ks_item *item)
{
	struct jb_spec *spec;

	spec = jc_unpack_job(NULL, item->value, item->value_bytes);
	if (spec != NULL && strlen(spec->pool) >= WP_NAME_BYTES)
		TALLOC_FREE(spec);
	if (spec == NULL) {
		lg_event(LG_ERROR, "replica", "unreadable_job", "job", job->id,
		    NULL);
		return false;
	}
	job->spec = talloc_memdup(job, item->value, item->value_bytes);
	job->spec_bytes = item->value_bytes;
	job->spec_revision = item->revision;
	job->queue = talloc_strdup(job, spec->queue);
	job->pool = talloc_strdup(job, spec->pool);
	job->recurring = spec->repeat_count > 0;
	job->accepted_us = clk_now_us();
	talloc_free(spec);
	return true;
}

void
rp_announce_job(struct replica *r, struct rp_job *job)
{
	if (job->announced)
		return;
	job->announced = true;
	r->hooks.job(job, r->arg);
}

static void
rp_apply_job(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_job *job = rp_get_job(r, id);

	if (job == NULL)
		return;
	if (item->deleted) {
		if (item->revision > job->spec_revision)
			rp_forget_job(r, job);
		return;
	}
	if (job->spec == NULL && !rp_read_job(job, item))
		return;
	if (r->applying_in_order)
		rp_announce_job(r, job);
}

static void
rp_apply_progress(struct replica *r, const char *id, const struct ks_item *item)
{
	enum jb_state state;
	struct rp_job *job;
	bool started;

	if (item->deleted)
		return;
	job = rp_get_job(r, id);
	if (job == NULL || item->revision <= job->progress_revision)
		return;
	if (!jc_unpack_state(
		item->value, item->value_bytes, &state, &started)) {
		lg_event(LG_ERROR, "replica", "unreadable_progress", "job", id,
		    NULL);
		return;
	}
	talloc_free(job->progress);
	job->progress = talloc_memdup(job, item->value, item->value_bytes);
	job->progress_bytes = item->value_bytes;
	job->progress_revision = item->revision;
	job->started = started;
	if (jb_has_ended(state))
		job->end_reported = false;
	if (!job->end_reported)
		job->state = state;
	if (jb_has_ended(job->state) && job->ended_us == 0)
		job->ended_us = clk_now_us();
}

bool
rp_on_end_reported(struct replica *r, const char *id, enum jb_state state)
{
	struct rp_job *job;

	if (!jb_has_ended(state))
		return false;
	job = rp_get_job(r, id);
	if (job == NULL || jb_has_ended(job->state))
		return false;
	job->end_reported = true;
	job->state = state;
	job->ended_us = clk_now_us();
	return true;
}

static void
rp_apply_cancel(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_job *job;

	if (item->deleted)
		return;
	job = rp_get_job(r, id);
	if (job == NULL || job->cancelled)
		return;
	job->cancelled = true;
	job->cancel_revision = item->revision;
	r->hooks.cancel(job, r->arg);
}

struct rp_owner *
rp_get_owner(struct replica *r, const char *pool)
{
	struct rp_owner *o;

	HASH_FIND_STR(r->owners, pool, o);
	if (o != NULL)
		return o;
	o = talloc_zero(r, struct rp_owner);
	if (o == NULL)
		abort();
	snprintf(o->pool, sizeof(o->pool), "%s", pool);
	HASH_ADD_STR(r->owners, pool, o);
	return o;
}

bool
rp_owns_any(const struct replica *r, const char *vm)
{
	struct rp_owner *o;
	struct rp_owner *tmp;

	HASH_ITER(hh, r->owners, o, tmp) {
		if (o->present && strcmp(o->vm, vm) == 0)
			return true;
	}
	return false;
}

uint32_t
rp_max_cpu_mcpu(const struct replica *r)
{
	uint32_t largest_mcpu = 0;
	struct rp_member *m;
	struct rp_member *tmp;

	HASH_ITER(hh, r->members, m, tmp) {
		if (m->present && m->cpu_mcpu > largest_mcpu)
			largest_mcpu = m->cpu_mcpu;
	}
	return largest_mcpu;
}

static void
rp_read_owner(struct rp_owner *o, const struct ks_item *item)
{
	Currant__PoolOwner *p;

	p = currant__pool_owner__unpack(NULL, item->value_bytes, item->value);
	if (p == NULL) {
		lg_event(LG_ERROR, "replica", "unreadable_owner", "pool",
		    o->pool, NULL);
		return;
	}
	o->present = true;
	o->fence = item->created;
	snprintf(o->vm, sizeof(o->vm), "%s", p->vm);
	o->incarnation = p->incarnation;
	o->lease = p->lease;
	o->commit_seq = p->commit;
	currant__pool_owner__free_unpacked(p, NULL);
}

static void
rp_apply_owner(struct replica *r, const char *pool, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_owner(r, pool);

	if (item->revision <= o->revision)
		return;
	o->revision = item->revision;
	o->present = false;
	if (!item->deleted)
		rp_read_owner(o, item);
	r->hooks.owner(o, r->arg);
}

static void
rp_apply_workers(
    struct replica *r, const char *pool, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_owner(r, pool);

	if (item->deleted || item->revision <= o->workers_revision)
		return;
	talloc_free(o->workers);
	o->workers_revision = item->revision;
	o->workers = talloc_memdup(o, item->value, item->value_bytes);
	o->workers_bytes = item->value_bytes;
}

static void
rp_apply_term(struct replica *r, const char *pool, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_owner(r, pool);
	Currant__PoolTerm *t;

	if (item->deleted || item->revision <= o->term_revision)
		return;
	t = currant__pool_term__unpack(NULL, item->value_bytes, item->value);
	if (t == NULL) {
		lg_event(
		    LG_ERROR, "replica", "unreadable_term", "pool", pool, NULL);
		return;
	}
	o->term_revision = item->revision;
	o->term = t->term;
	o->released = t->released;
	snprintf(
	    o->term_vm, sizeof(o->term_vm), "%s", t->vm != NULL ? t->vm : "");
	o->term_incarnation = t->incarnation;
	o->earlier_owner_until_wall_ms = t->earlier_wall_ms;
	currant__pool_term__free_unpacked(t, NULL);
}

static void
rp_apply_member(struct replica *r, const char *vm, const struct ks_item *item)
{
	Currant__Member *row = NULL;
	struct rp_member *m;

	HASH_FIND_STR(r->members, vm, m);
	if (m == NULL) {
		m = talloc_zero(r, struct rp_member);
		if (m == NULL)
			abort();
		snprintf(m->vm, sizeof(m->vm), "%s", vm);
		HASH_ADD_STR(r->members, vm, m);
	}
	if (item->revision <= m->revision)
		return;
	m->revision = item->revision;
	m->present = false;
	if (!item->deleted)
		row = currant__member__unpack(
		    NULL, item->value_bytes, item->value);
	if (row != NULL) {
		m->present = true;
		snprintf(m->domain, sizeof(m->domain), "%s", row->domain);
		snprintf(m->address, sizeof(m->address), "%s", row->address);
		m->incarnation = row->incarnation;
		m->cpu_mcpu = row->cpu_mcpu;
		currant__member__free_unpacked(row, NULL);
	}
	r->hooks.member(m, r->arg);
}

static struct rp_worker *
rp_get_worker(struct replica *r, const char *id)
{
	struct rp_worker *w;

	HASH_FIND_STR(r->workers, id, w);
	if (w != NULL)
		return w;
	w = talloc_zero(r, struct rp_worker);
	if (w == NULL)
		abort();
	snprintf(w->id, sizeof(w->id), "%s", id);
	HASH_ADD_STR(r->workers, id, w);
	return w;
}

static bool
rp_read_worker(
    struct replica *r, struct rp_worker *w, const struct ks_item *item)
{
	char error[RP_ERROR_BYTES] = "";
	struct wp_worker_info info;
	const char *pool = NULL;
	TALLOC_CTX *ctx = talloc_new(w);

	if (!r->fleet->entries->worker(ctx, w->id, item->value,
		item->value_bytes, &info, &pool, error, sizeof(error))) {
		rp_leave_out(r, item, "replica", "unusable_worker", error);
		talloc_free(ctx);
		return false;
	}
	talloc_free(w->info_ctx);
	w->info_ctx = ctx;
	w->info = info;
	w->pool = pool;
	return true;
}

static void
rp_apply_worker(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_worker *w;

	HASH_FIND_STR(r->workers, id, w);
	if (w == NULL && item->deleted)
		return;
	if (strlen(id) >= WP_NAME_BYTES) {
		rp_leave_out(
		    r, item, "replica", "unusable_worker", "id: is too long");
		return;
	}
	w = rp_get_worker(r, id);
	if (item->revision <= w->revision)
		return;
	w->revision = item->revision;
	w->unlisted_us = 0;
	if (item->deleted || !rp_read_worker(r, w, item))
		w->unlisted_us = clk_now_us();
	if (w->pool != NULL)
		r->hooks.worker(w, r->arg);
}

static void
rp_apply_config(struct replica *r, const struct ks_item *item)
{
	char error[RP_ERROR_BYTES] = "";
	struct qs_config *config;

	if (item->deleted || item->revision <= r->config_revision)
		return;
	config = r->fleet->entries->config(
	    r, item->value, item->value_bytes, error, sizeof(error));
	if (config == NULL) {
		rp_leave_out(r, item, "config", "refused", error);
		return;
	}
	r->config_revision = item->revision;
	if (r->config != NULL && config->version <= r->config->version) {
		talloc_free(config);
		return;
	}
	talloc_free(r->config);
	r->config = config;
	lg_event(LG_INFO, "config", "in_force", "version",
	    lg_i64((int64_t)config->version), "revision",
	    lg_i64((int64_t)item->revision), "queues",
	    lg_i64(config->queue_count), NULL);
}

static struct rp_wave *
rp_get_wave(struct replica *r, const char *id)
{
	struct rp_wave *w;

	HASH_FIND_STR(r->waves, id, w);
	if (w != NULL || strlen(id) >= WP_NAME_BYTES)
		return w;
	w = talloc_zero(r, struct rp_wave);
	if (w == NULL)
		abort();
	snprintf(w->id, sizeof(w->id), "%s", id);
	HASH_ADD_STR(r->waves, id, w);
	return w;
}

static void
rp_merge_vm_progress(struct mw_wave *m, const Currant__MaintenanceVm *row)
{
	struct mw_vm *vm = mw_find(m, row->vm);

	if (vm == NULL || row->state > MW_DONE)
		return;
	vm->state = (enum mw_state)row->state;
	vm->fence = row->fence;
	vm->incarnation_ms = row->born_ms;
	snprintf(vm->pool, sizeof(vm->pool), "%s",
	    row->pool != NULL ? row->pool : "");
	snprintf(vm->worker, sizeof(vm->worker), "%s",
	    row->worker != NULL ? row->worker : "");
}

/* The request for a wave and its progress may arrive in either order. */
static void
rp_merge_wave_progress(struct rp_wave *w)
{
	Currant__MaintenanceWave *row;
	size_t i;

	if (w->wave == NULL || w->progress == NULL)
		return;
	row = currant__maintenance_wave__unpack(
	    NULL, w->progress_bytes, w->progress);
	if (row == NULL) {
		lg_event(LG_ERROR, "replica", "unreadable_wave", "wave", w->id,
		    NULL);
		return;
	}
	w->deadline_wall_ms = row->ends_wall_ms;
	for (i = 0; i < row->n_vms; i++)
		rp_merge_vm_progress(w->wave, row->vms[i]);
	currant__maintenance_wave__free_unpacked(row, NULL);
}

static void
rp_apply_wave_progress(
    struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_wave *w = rp_get_wave(r, id);

	if (w == NULL || item->deleted ||
	    item->revision <= w->progress_revision)
		return;
	talloc_free(w->progress);
	w->progress = talloc_memdup(w, item->value, item->value_bytes);
	w->progress_bytes = item->value_bytes;
	w->progress_revision = item->revision;
	rp_merge_wave_progress(w);
}

static void
rp_apply_wave(struct replica *r, const char *id, const struct ks_item *item)
{
	char error[RP_ERROR_BYTES] = "";
	struct rp_wave *w = rp_get_wave(r, id);
	struct mw_wave *m = NULL;

	if (w == NULL) {
		rp_leave_out(
		    r, item, "maintenance", "wave_refused", "id: is too long");
		return;
	}
	if (item->revision <= w->revision)
		return;
	w->revision = item->revision;
	if (!item->deleted) {
		m = r->fleet->entries->wave(
		    w, item->value, item->value_bytes, error, sizeof(error));
		if (m == NULL) {
			rp_leave_out(
			    r, item, "maintenance", "wave_refused", error);
			return;
		}
	}
	talloc_free(w->wave);
	w->wave = m;
	rp_merge_wave_progress(w);
}

static const struct {
	const char *prefix;
	void (*apply)(
	    struct replica *r, const char *name, const struct ks_item *item);
} rp_prefixes[] = {
    {RP_JOB_PREFIX, rp_apply_job},
    {RP_PROGRESS_PREFIX, rp_apply_progress},
    {RP_CANCEL_PREFIX, rp_apply_cancel},
    {RP_OWNER_PREFIX, rp_apply_owner},
    {RP_TERM_PREFIX, rp_apply_term},
    {RP_WORKERS_PREFIX, rp_apply_workers},
    {RP_MEMBER_PREFIX, rp_apply_member},
    {RP_WAVE_PREFIX, rp_apply_wave_progress},
};

static void
rp_apply_item(struct replica *r, const struct ks_item *item)
{
	const char *id = NULL;
	size_t i;

	if (item->deleted)
		rp_forget_left_out(r, item);
	for (i = 0; i < sizeof(rp_prefixes) / sizeof(rp_prefixes[0]); i++) {
		size_t n = strlen(rp_prefixes[i].prefix);

		if (strncmp(item->key, rp_prefixes[i].prefix, n) != 0)
			continue;
		if (strlen(item->key + n) < WP_NAME_BYTES)
			rp_prefixes[i].apply(r, item->key + n, item);
		else
			rp_leave_out(r, item, "replica", "unusable_row",
			    "its name is too long");
		return;
	}
	switch (r->fleet->entries->kind(item->key, &id)) {
	case FL_KEY_WORKER:
		rp_apply_worker(r, id, item);
		break;
	case FL_KEY_CONFIG:
		rp_apply_config(r, item);
		break;
	case FL_KEY_WAVE:
		rp_apply_wave(r, id, item);
		break;
	case FL_KEY_OTHER:
		break;
	}
}

void
rp_apply_out_of_order(struct replica *r, const struct ks_item *item)
{
	rp_apply_item(r, item);
}

static void
rp_apply_in_order(struct replica *r, const struct ks_item *item)
{
	r->applying_in_order = true;
	rp_apply_item(r, item);
	r->applying_in_order = false;
}

/* What the load did not find has been deleted while it was not watched. */
static void
rp_remove_unfound_cell_keys(struct replica *r)
{
	struct ks_item removed = {
	    .deleted = true,
	    .revision = r->load_revision,
	};
	struct rp_owner *o;
	struct rp_owner *onext;
	struct rp_member *m;
	struct rp_member *mnext;

	HASH_ITER(hh, r->owners, o, onext) {
		if (o->present && !o->found_by_load &&
		    o->revision < removed.revision)
			rp_apply_owner(r, o->pool, &removed);
		o->found_by_load = false;
	}
	HASH_ITER(hh, r->members, m, mnext) {
		if (m->present && !m->found_by_load &&
		    m->revision < removed.revision)
			rp_apply_member(r, m->vm, &removed);
		m->found_by_load = false;
	}
}

static void
rp_remove_unfound_jobs(struct replica *r)
{
	struct rp_job *job;
	struct rp_job *next;

	HASH_ITER(hh, r->jobs, job, next) {
		if (job->spec != NULL &&
		    job->load_revision != r->load_revision &&
		    job->spec_revision < r->load_revision)
			rp_forget_job(r, job);
	}
}

static void
rp_remove_unfound_workers(struct replica *r)
{
	struct ks_item removed = {
	    .deleted = true,
	    .revision = r->load_revision,
	};
	struct rp_worker *w;
	struct rp_worker *wnext;

	HASH_ITER(hh, r->workers, w, wnext) {
		if (w->unlisted_us == 0 && !w->found_by_load &&
		    w->revision < removed.revision)
			rp_apply_worker(r, w->id, &removed);
		w->found_by_load = false;
	}
}

/* Marks an item as found by the load, if its kind can be deleted. */
static void
rp_mark_found(struct replica *r, const struct ks_item *item)
{
	const char *id = NULL;
	struct rp_owner *o = NULL;
	struct rp_member *m = NULL;
	struct rp_worker *w = NULL;
	struct rp_job *job = NULL;
	size_t owner_length = strlen(RP_OWNER_PREFIX);
	size_t member_length = strlen(RP_MEMBER_PREFIX);
	size_t job_length = strlen(RP_JOB_PREFIX);

	if (strncmp(item->key, RP_JOB_PREFIX, job_length) == 0)
		HASH_FIND_STR(r->jobs, item->key + job_length, job);
	else if (strncmp(item->key, RP_OWNER_PREFIX, owner_length) == 0)
		HASH_FIND_STR(r->owners, item->key + owner_length, o);
	else if (strncmp(item->key, RP_MEMBER_PREFIX, member_length) == 0)
		HASH_FIND_STR(r->members, item->key + member_length, m);
	else if (r->fleet->entries->kind(item->key, &id) == FL_KEY_WORKER)
		HASH_FIND_STR(r->workers, id, w);
	if (job != NULL)
		job->load_revision = r->load_revision;
	if (o != NULL)
		o->found_by_load = true;
	if (m != NULL)
		m->found_by_load = true;
	if (w != NULL)
		w->found_by_load = true;
}

/* Entries that have not changed count again, too. */
static void
rp_report_workers(struct replica *r)
{
	struct rp_worker *w;
	struct rp_worker *next;

	if (r->has_workers)
		return;
	r->has_workers = true;
	HASH_ITER(hh, r->workers, w, next) {
		if (w->unlisted_us == 0 && w->pool != NULL)
			r->hooks.worker(w, r->arg);
	}
}

static bool
rp_covers(const char *prefix, const char *keys)
{
	return strncmp(prefix, keys, strlen(prefix)) == 0;
}

static void
rp_finish_load(struct replica *r)
{
	TALLOC_FREE(r->load_cursor);
	r->loading = false;
	if (rp_covers(r->load_prefix, r->fleet->entries->workers_prefix)) {
		rp_remove_unfound_workers(r);
		rp_report_workers(r);
	}
	if (rp_covers(r->load_prefix, RP_CELL_PREFIX)) {
		rp_remove_unfound_cell_keys(r);
		rp_remove_unfound_jobs(r);
		r->applied_revision = r->load_revision;
	}
	if (r->synced)
		return;
	lg_event(LG_INFO, "replica", "loaded", "revision",
	    lg_i64((int64_t)r->applied_revision), "jobs",
	    lg_i64(HASH_COUNT(r->jobs)), NULL);
	r->synced = true;
	r->operator_revision = r->applied_revision;
	rp_watch_operator_keys(r);
}

static void
rp_on_load_page(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;
	size_t i;

	if (a->result != KS_OK) {
		lg_event(LG_WARN, "replica", "load_failed", NULL);
		loop_after(r->loop, RP_RETRY_US, rp_load, r);
		return;
	}
	r->hooks.store_answered(r->arg);
	if (r->load_cursor == NULL)
		r->load_revision = a->revision;
	for (i = 0; i < a->item_count; i++) {
		rp_apply_in_order(r, &a->item[i]);
		rp_mark_found(r, &a->item[i]);
	}
	if (a->more && a->item_count > 0) {
		talloc_free(r->load_cursor);
		r->load_cursor =
		    talloc_strdup(r, a->item[a->item_count - 1].key);
		r->fleet->keys->range(r->fleet->handle, r->load_prefix,
		    r->load_cursor, rp_on_load_page, r);
		return;
	}
	rp_finish_load(r);
	rp_watch(r);
}

/* Reads the keys under load_prefix. */
static void
rp_load(void *arg)
{
	struct replica *r = arg;

	TALLOC_FREE(r->load_cursor);
	r->loading = rp_covers(r->load_prefix, RP_CELL_PREFIX);
	r->fleet->keys->range(
	    r->fleet->handle, r->load_prefix, NULL, rp_on_load_page, r);
}

static bool
rp_lacks_workers(const struct replica *r)
{
	return r->follow_workers && !r->has_workers;
}

/* Operators' keys have their own watch, which other changes can't delay. */
static const char *
rp_watched_prefix(const struct replica *r)
{
	return r->follow_workers ? "" : RP_CELL_PREFIX;
}

static void
rp_on_watch(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;
	size_t i;

	switch (a->result) {
	case KS_OK:
		break;
	case KS_COMPACTED:
		lg_event(LG_WARN, "replica", "history_lost", "revision",
		    lg_i64((int64_t)r->applied_revision), NULL);
		r->has_workers = false;
		r->load_prefix = rp_watched_prefix(r);
		rp_load(r);
		return;
	default:
		loop_after(r->loop, RP_RETRY_US, rp_watch, r);
		return;
	}
	r->hooks.store_answered(r->arg);
	for (i = 0; i < a->item_count; i++)
		rp_apply_in_order(r, &a->item[i]);
	if (a->revision > r->applied_revision)
		r->applied_revision = a->revision;
	r->watch_paused = true;
	r->watch_resume_us = clk_now_us() + r->watch_pause_us;
	/* More changes are waiting, or workers' entries are: it lags behind. */
	if (a->item_count >= RP_FULL_BATCH || rp_lacks_workers(r))
		rp_watch_now(r);
}

/*
 * No watch is open while the workers' entries are loaded, so the watch over all
 * keys that follows shows each of their changes since.
 */
static void
rp_watch(void *arg)
{
	struct replica *r = arg;

	if (rp_lacks_workers(r)) {
		r->load_prefix = r->fleet->entries->workers_prefix;
		rp_load(r);
		return;
	}
	r->has_workers = r->follow_workers;
	r->fleet->keys->watch(r->fleet->handle, rp_watched_prefix(r),
	    r->applied_revision, RP_WATCH_MS, rp_on_watch, r);
}

void
rp_follow_workers(struct replica *r, bool follow)
{
	r->follow_workers = follow;
	if (rp_lacks_workers(r))
		rp_watch_now(r);
}

static void
rp_on_operator_keys(const struct ks_response *a, void *arg)
{
	struct replica *r = arg;
	size_t i;

	if (a->result != KS_OK) {
		r->load_operator_keys |= a->result == KS_COMPACTED;
		loop_after(r->loop, RP_RETRY_US, rp_watch_operator_keys, r);
		return;
	}
	for (i = 0; i < a->item_count; i++)
		rp_apply_item(r, &a->item[i]);
	if (a->revision > r->operator_revision)
		r->operator_revision = a->revision;
	r->load_operator_keys = false;
	rp_watch_operator_keys(r);
}

/* Operators' few keys fit into one page of a load. */
static void
rp_watch_operator_keys(void *arg)
{
	struct replica *r = arg;
	const struct fl_fleet *f = r->fleet;

	if (r->load_operator_keys)
		f->keys->range(f->handle, f->entries->orders_prefix, NULL,
		    rp_on_operator_keys, r);
	else
		f->keys->watch(f->handle, f->entries->orders_prefix,
		    r->operator_revision, RP_WATCH_MS, rp_on_operator_keys, r);
}

bool
rp_has_applied(const struct replica *r, uint64_t revision)
{
	return r->synced && !r->loading && r->applied_revision >= revision;
}

void
rp_tick(struct replica *r, int64_t now_us)
{
	if (!r->watch_paused || now_us < r->watch_resume_us)
		return;
	r->watch_paused = false;
	rp_watch(r);
}

void
rp_watch_now(struct replica *r)
{
	rp_tick(r, INT64_MAX);
}

struct replica *
rp_start(TALLOC_CTX *ctx, struct loop *l, const struct fl_fleet *fleet,
    const struct rp_hooks *hooks, void *arg)
{
	struct replica *r = talloc_zero(ctx, struct replica);

	if (r == NULL)
		abort();
	r->loop = l;
	r->fleet = fleet;
	r->hooks = *hooks;
	r->arg = arg;
	r->watch_pause_us = 10 * CLK_US_PER_MS;
	r->follow_workers = true;
	r->load_prefix = "";
	rp_load(r);
	return r;
}
