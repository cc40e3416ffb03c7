#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"
#include "protocol/curranttack.pb-c.h"

#define RP_ERROR_BYTES 160

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
	w->id = tx_dup(w, id);
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

void
rp_apply_worker(struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_worker *w;

	HASH_FIND_STR(r->workers, id, w);
	if (w == NULL && item->deleted)
		return;
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

void
rp_remove_unfound_workers(struct replica *r)
{
	struct ks_item removed = {
	    .deleted = true,
	    .revision = r->load_revision,
	};
	struct rp_worker *w;
	struct rp_worker *wnext;

	HASH_ITER(hh, r->workers, w, wnext) {
		if (w->unlisted_us == 0 && w->found_in_load != r->load_number &&
		    w->revision < removed.revision)
			rp_apply_worker(r, w->id, &removed);
	}
}

void
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
	if (w != NULL)
		return w;
	w = talloc_zero(r, struct rp_wave);
	if (w == NULL)
		abort();
	w->id = tx_dup(w, id);
	HASH_ADD_STR(r->waves, id, w);
	return w;
}

/* Texts of progress that is about to be replaced go, but for those in use. */
static void
rp_renew_texts(struct mw_wave *m)
{
	TALLOC_CTX *earlier = m->texts;
	uint32_t i;

	m->texts = talloc_new(m);
	if (m->texts == NULL)
		abort();
	for (i = 0; i < m->vm_count; i++) {
		m->vm[i].pool = tx_dup(m->texts, m->vm[i].pool);
		m->vm[i].worker = tx_dup(m->texts, m->vm[i].worker);
	}
	talloc_free(earlier);
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
	vm->pool = tx_dup(m->texts, row->pool);
	vm->worker = tx_dup(m->texts, row->worker);
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
	rp_renew_texts(w->wave);
	for (i = 0; i < row->n_vms; i++)
		rp_merge_vm_progress(w->wave, row->vms[i]);
	currant__maintenance_wave__free_unpacked(row, NULL);
}

void
rp_apply_wave_progress(
    struct replica *r, const char *id, const struct ks_item *item)
{
	struct rp_wave *w = rp_get_wave(r, id);

	if (item->deleted || item->revision <= w->progress_revision)
		return;
	talloc_free(w->progress);
	w->progress = talloc_memdup(w, item->value, item->value_bytes);
	w->progress_bytes = item->value_bytes;
	w->progress_revision = item->revision;
	rp_merge_wave_progress(w);
}

void
rp_apply_wave(struct replica *r, const char *id, const struct ks_item *item)
{
	char error[RP_ERROR_BYTES] = "";
	struct rp_wave *w = rp_get_wave(r, id);
	struct mw_wave *m = NULL;

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
