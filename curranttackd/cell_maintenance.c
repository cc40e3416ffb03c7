#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_maintenance.h"
#include "curranttackd/cell_pool.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/pack.h"

#define CM_WRITE_RETRY_US (300 * CLK_US_PER_MS)
/* An owner whose lease was not confirmed for this long does no maintenance. */
#define CM_UNCONFIRMED_LIMIT_US (CLK_US_PER_S)

/* A write of a wave's progress, or a request for a VM, that is in flight. */
struct cm_call {
	struct cell *c;
	const char *wave;
	const char *vm;
	const char *pool;
	uint64_t fence;
};

/**
 * struct cm_driver - writes for all maintenance waves
 * @write_in_flight: a write of some wave's progress is unanswered
 * @write_at_us: earliest time of the next write
 */
struct cm_driver {
	bool write_in_flight;
	int64_t write_at_us;
};

static struct cm_driver *
cm_get_driver(struct cell *c)
{
	if (c->maintenance == NULL)
		c->maintenance = talloc_zero(c, struct cm_driver);
	if (c->maintenance == NULL)
		abort();
	return c->maintenance;
}

static bool
cm_has_worker(const struct replica *r, const char *vm, int64_t now_us)
{
	struct rp_worker *w;
	struct rp_worker *next;

	HASH_ITER(hh, r->workers, w, next) {
		if (w->info.vm == NULL || strcmp(w->info.vm, vm) != 0)
			continue;
		if (w->unlisted_us == 0 ||
		    now_us - w->unlisted_us < MW_NO_WORKER_US)
			return true;
	}
	return false;
}

/* Its worker is away, but another owner orders it, perhaps for another wave. */
static bool
cm_is_taken(const struct replica *r, const char *vm)
{
	const struct mw_vm *found;
	struct rp_wave *w;
	struct rp_wave *next;

	HASH_ITER(hh, r->waves, w, next) {
		if (w->wave == NULL)
			continue;
		found = mw_find(w->wave, vm);
		if (found != NULL && found->state == MW_TAKEN)
			return true;
	}
	return false;
}

/* Without current entries, any VM may be in use. */
static bool
cm_is_in_use(const char *vm, void *arg)
{
	const struct replica *r = ((const struct cell *)arg)->replica;

	return !r->has_workers || cm_is_taken(r, vm) ||
	    cm_has_worker(r, vm, clk_now_us());
}

static struct mw_owner
cm_make_owner(const struct cp_host *h)
{
	struct cell *c = h->cell;
	struct mw_owner o = {
	    .pool = h->pool,
	    .fence = h->fence,
	    .since_us = h->owner_since_us,
	    .takeover_pause_us = c->settings->duty_turn_us,
	    .downtime_us = c->settings->maintenance_down_us,
	    .is_in_use = cm_is_in_use,
	    .arg = c,
	};

	o.takes_workerless_vms = c->replica->config->pool_count > 0 &&
	    strcmp(c->replica->config->pool[0].name, h->name) == 0;
	return o;
}

static bool
cm_may_act(const struct cp_host *h, int64_t now_us)
{
	return h->state == CP_OWNER && h->pool != NULL &&
	    now_us - h->lease_confirmed_us < CM_UNCONFIRMED_LIMIT_US;
}

static struct rp_wave *
cm_find_wave(struct cell *c, const char *id)
{
	struct rp_wave *w;

	HASH_FIND_STR(c->replica->waves, id, w);
	return w != NULL && w->wave != NULL ? w : NULL;
}

static void
cm_on_written(const struct ks_response *a, void *arg)
{
	struct cm_call *call = arg;
	struct cm_driver *d = cm_get_driver(call->c);

	d->write_in_flight = false;
	/* The watch shows the outcome. */
	d->write_at_us = clk_now_us() + CM_WRITE_RETRY_US;
	if (a->result == KS_OK)
		rp_watch_now(call->c->replica);
	talloc_free(call);
}

static void
cm_fill_row(Currant__MaintenanceVm *row, struct mw_vm *vm)
{
	currant__maintenance_vm__init(row);
	row->vm = pk_text(vm->name);
	row->state = (uint32_t)vm->state;
	row->pool = pk_text(vm->pool);
	row->has_fence = true;
	row->fence = vm->fence;
	row->worker = pk_text(vm->worker);
	row->has_born_ms = true;
	row->born_ms = vm->incarnation_ms;
}

static uint8_t *
cm_pack_wave(
    TALLOC_CTX *ctx, const struct rp_wave *w, struct mw_vm *next, size_t *bytes)
{
	Currant__MaintenanceWave item = CURRANT__MAINTENANCE_WAVE__INIT;
	uint32_t count = w->wave->vm_count;
	Currant__MaintenanceVm *row;
	uint32_t i;

	row = talloc_zero_array(ctx, Currant__MaintenanceVm, count + 1);
	item.vms = talloc_zero_array(ctx, Currant__MaintenanceVm *, count + 1);
	if (row == NULL || item.vms == NULL)
		abort();
	for (i = 0; i < count; i++) {
		if (next[i].state == MW_WAITING)
			continue;
		cm_fill_row(&row[item.n_vms], &next[i]);
		item.vms[item.n_vms] = &row[item.n_vms];
		item.n_vms++;
	}
	item.ends_wall_ms = w->deadline_wall_ms;
	if (w->progress == NULL)
		item.ends_wall_ms =
		    clk_wall_us() / CLK_US_PER_MS + w->wave->duration_ms;
	return pk_pack(ctx, &item.base, bytes);
}

/* Logs each VM whose state the write changes. */
static void
cm_log_changes(const struct rp_wave *w, const struct mw_vm *next)
{
	static const char *const events[] = {
	    [MW_WAITING] = "vm_waiting",
	    [MW_TAKEN] = "vm_taken",
	    [MW_DONE] = "vm_done",
	};
	uint32_t i;

	for (i = 0; i < w->wave->vm_count; i++) {
		const struct mw_vm *vm = &w->wave->vm[i];

		if (next[i].state == vm->state)
			continue;
		lg_event(LG_INFO, "maintenance", events[next[i].state], "wave",
		    w->id, "target", vm->name, "pool", next[i].pool, "worker",
		    next[i].worker, "gone", vm->nothing_to_do ? "1" : "0",
		    NULL);
	}
}

/* Writes a wave's progress and its status for operators, in a transaction. */
static void
cm_write_wave(struct cell *c, const struct rp_wave *w, struct mw_vm *next)
{
	TALLOC_CTX *ctx = talloc_new(NULL);
	struct cm_call *call = talloc_zero(c, struct cm_call);
	struct mw_wave updated = *w->wave;
	struct ks_expect expect = {
	    .key = talloc_asprintf(ctx, "%s%s", RP_WAVE_PREFIX, w->id),
	    .revision = w->progress_revision,
	};
	struct ks_put put[2] = {{.key = expect.key}};
	struct ks_txn txn = {
	    .expect = &expect,
	    .expect_count = 1,
	    .put = put,
	    .put_count = 2,
	};
	const char *text;

	if (call == NULL)
		abort();
	cm_log_changes(w, next);
	call->c = c;
	updated.vm = next;
	put[0].value = cm_pack_wave(ctx, w, next, &put[0].value_bytes);
	c->fleet->entries->wave_status(
	    ctx, updated.number, mw_is_done(&updated), &put[1].key, &text);
	put[1].value = (const uint8_t *)text;
	put[1].value_bytes = strlen(text);
	cm_get_driver(c)->write_in_flight = true;
	c->fleet->keys->txn(c->fleet->handle, &txn, cm_on_written, call);
	talloc_free(ctx);
}

static void
cm_on_response(enum mw_order_result result, void *arg)
{
	struct cm_call *call = arg;
	struct rp_wave *w = cm_find_wave(call->c, call->wave);
	struct cp_host *h = cp_get_host(call->c, call->pool);
	struct mw_vm *vm = NULL;
	struct mw_owner o;

	lg_event(LG_INFO, "maintenance", "order", "wave", call->wave, "target",
	    call->vm, "fence", lg_i64((int64_t)call->fence), "result",
	    lg_i64(result), NULL);
	if (w != NULL)
		vm = mw_find(w->wave, call->vm);
	if (vm != NULL)
		vm->order_in_flight = false;
	if (vm != NULL && h->pool != NULL && h->fence == call->fence) {
		o = cm_make_owner(h);
		mw_on_order_result(vm, &o, result, clk_now_us());
	}
	talloc_free(call);
}

static void
cm_send_request(struct cp_host *h, const struct rp_wave *w, struct mw_vm *vm)
{
	struct cell *c = h->cell;
	struct cm_call *call = talloc_zero(c, struct cm_call);

	if (call == NULL)
		abort();
	call->c = c;
	call->fence = h->fence;
	call->wave = tx_dup(call, w->id);
	call->vm = tx_dup(call, vm->name);
	call->pool = tx_dup(call, h->name);
	vm->order_in_flight = true;
	c->fleet->maintenance->take_down(c->fleet->handle, vm->name,
	    w->wave->number, c->settings->vm, h->fence, cm_on_response, call);
}

/* Advances the VMs of a pool; true if the progress has to be written. */
static bool
cm_advance_pool(
    struct cp_host *h, struct rp_wave *w, struct mw_vm *next, int64_t now_us)
{
	struct mw_owner o = cm_make_owner(h);
	struct mw_wave plan = *w->wave;
	bool changed = false;
	uint32_t i;

	mw_evacuate(w->wave, &o, now_us);
	plan.vm = next;
	for (i = 0; i < w->wave->vm_count; i++) {
		struct mw_vm *vm = &w->wave->vm[i];

		next[i].evacuating = vm->evacuating;
		next[i].force_after_us = vm->force_after_us;
		if (mw_may_take(&plan, &next[i], &o, now_us)) {
			mw_take(&next[i], &o);
			changed = true;
		} else if (vm->nothing_to_do ||
		    mw_has_new_worker(vm, &o, now_us)) {
			next[i].state = MW_DONE;
			changed = true;
		} else if (mw_order_due(vm, &o, now_us)) {
			cm_send_request(h, w, vm);
		}
	}
	return changed;
}

static void
cm_advance_wave(struct cell *c, struct rp_wave *w, int64_t now_us)
{
	struct cm_driver *d = cm_get_driver(c);
	struct mw_vm *next;
	struct cp_host *h;
	struct cp_host *tmp;
	bool changed = w->progress == NULL;
	bool may_act = false;

	w->wave->deadline_us =
	    w->deadline_wall_ms * CLK_US_PER_MS + cell_wall_to_steady_us();
	next = talloc_memdup(
	    c, w->wave->vm, sizeof(*next) * (w->wave->vm_count + 1));
	if (next == NULL)
		abort();
	HASH_ITER(hh, c->pools, h, tmp) {
		if (!cm_may_act(h, now_us))
			continue;
		may_act = true;
		/* The first write only sets the deadline. */
		if (w->progress != NULL)
			changed |= cm_advance_pool(h, w, next, now_us);
	}
	if (may_act && changed && !d->write_in_flight &&
	    now_us >= d->write_at_us)
		cm_write_wave(c, w, next);
	talloc_free(next);
}

void
cm_tick(struct cell *c, int64_t now_us)
{
	struct rp_wave *w;
	struct rp_wave *next;
	struct cp_host *h;
	struct cp_host *tmp;

	if (c->replica->waves == NULL || c->replica->config == NULL ||
	    cp_owned_count(c) == 0)
		return;
	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->pool != NULL)
			wp_cancel_evacuations(h->pool);
	}
	HASH_ITER(hh, c->replica->waves, w, next) {
		if (w->wave != NULL &&
		    (w->progress == NULL || !mw_is_done(w->wave)))
			cm_advance_wave(c, w, now_us);
	}
}
