#include <string.h>

#include "common/clock.h"
#include "state/maintenance.h"

#define MW_RETRY_US (500 * CLK_US_PER_MS)
/* An order is repeated when the VM isn't back: it may no longer exist. */
#define MW_REORDER_US (5 * CLK_US_PER_S)

struct mw_vm *
mw_find(struct mw_wave *m, const char *name)
{
	uint32_t i;

	for (i = 0; i < m->vm_count; i++) {
		if (strcmp(m->vm[i].name, name) == 0)
			return &m->vm[i];
	}
	return NULL;
}

static uint32_t
mw_count(const struct mw_wave *m, enum mw_state state)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < m->vm_count; i++)
		n += m->vm[i].state == state;
	return n;
}

bool
mw_is_done(const struct mw_wave *m)
{
	return mw_count(m, MW_DONE) == m->vm_count;
}

/* Counts VMs that are taken, or that this owner evacuates to take them. */
static uint32_t
mw_slots_used(const struct mw_wave *m)
{
	uint32_t n = mw_count(m, MW_TAKEN);
	uint32_t i;

	for (i = 0; i < m->vm_count; i++)
		n += m->vm[i].state == MW_WAITING && m->vm[i].evacuating;
	return n;
}

static uint32_t
mw_task_count(const struct wp_worker *w)
{
	const struct wp_task *t;
	uint32_t n = 0;

	for (t = w->tasks; t != NULL; t = t->next)
		n++;
	return n;
}

/* Returns the waiting VM whose worker runs the fewest tasks, or NULL. */
static struct mw_vm *
mw_choose_next(struct mw_wave *m, const struct mw_owner *o)
{
	struct mw_vm *best = NULL;
	uint32_t best_tasks = 0;
	uint32_t i;

	for (i = 0; i < m->vm_count; i++) {
		struct mw_vm *vm = &m->vm[i];
		const struct wp_worker *w;
		uint32_t tasks;

		if (vm->state != MW_WAITING || vm->evacuating)
			continue;
		w = wp_find_worker_on_vm(o->pool, vm->name);
		if (w == NULL || w->draining || !w->token_accepted)
			continue;
		tasks = mw_task_count(w);
		if (best != NULL && tasks >= best_tasks)
			continue;
		best = vm;
		best_tasks = tasks;
	}
	return best;
}

/*
 * At most max_down VMs go down in a round. Splits the remaining time equally
 * among the remaining rounds, less two downtimes per round.
 */
static int64_t
mw_force_after_us(
    const struct mw_wave *m, const struct mw_owner *o, int64_t now_us)
{
	uint32_t left = m->vm_count - mw_count(m, MW_DONE);
	uint32_t rounds = (left + m->max_down - 1) / m->max_down;
	int64_t round_us;

	if (rounds == 0 || m->deadline_us <= now_us)
		return now_us;
	round_us = (m->deadline_us - now_us) / rounds - 2 * o->downtime_us;
	return now_us + (round_us > 0 ? round_us : 0);
}

/* Gives up on a VM whose worker is gone or draining; else marks the worker. */
static void
mw_check_evacuating(struct mw_vm *vm, const struct mw_owner *o)
{
	struct wp_worker *w = wp_find_worker_on_vm(o->pool, vm->name);

	if (w == NULL || w->draining)
		vm->evacuating = false;
	else
		w->evacuating = true;
}

static void
mw_keep_empty(const struct mw_vm *vm, const struct mw_owner *o)
{
	struct wp_worker *w = wp_find_worker(o->pool, vm->worker);

	if (w != NULL && w->incarnation_ms == vm->incarnation_ms)
		w->evacuating = true;
}

void
mw_evacuate(struct mw_wave *m, const struct mw_owner *o, int64_t now_us)
{
	struct mw_vm *vm;
	uint32_t i;

	for (i = 0; i < m->vm_count; i++) {
		vm = &m->vm[i];
		if (vm->state == MW_WAITING && vm->evacuating)
			mw_check_evacuating(vm, o);
		if (vm->state == MW_TAKEN &&
		    strcmp(vm->pool, o->pool->name) == 0)
			mw_keep_empty(vm, o);
	}
	while (mw_slots_used(m) < m->max_down) {
		vm = mw_choose_next(m, o);
		if (vm == NULL)
			return;
		vm->evacuating = true;
		vm->force_after_us = mw_force_after_us(m, o, now_us);
		wp_find_worker_on_vm(o->pool, vm->name)->evacuating = true;
	}
}

/* The wave has been known for so long that each worker has been listed. */
static bool
mw_is_workerless(const struct mw_wave *m, const struct mw_vm *vm,
    const struct mw_owner *o, int64_t now_us)
{
	int64_t begun_us =
	    m->deadline_us - (int64_t)m->duration_ms * CLK_US_PER_MS;

	return now_us - o->since_us > MW_NO_WORKER_US &&
	    now_us > begun_us + MW_NO_WORKER_US &&
	    !o->is_in_use(vm->name, o->arg);
}

bool
mw_may_take(const struct mw_wave *m, const struct mw_vm *vm,
    const struct mw_owner *o, int64_t now_us)
{
	const struct wp_worker *w;

	if (vm->state != MW_WAITING || mw_count(m, MW_TAKEN) >= m->max_down)
		return false;
	w = wp_find_worker_on_vm(o->pool, vm->name);
	if (w == NULL)
		return o->takes_workerless_vms &&
		    mw_is_workerless(m, vm, o, now_us);
	if (!vm->evacuating)
		return false;
	if (wp_is_worker_empty(w))
		return true;
	return now_us >= vm->force_after_us && wp_may_take_down(w);
}

void
mw_take(struct mw_vm *vm, const struct mw_owner *o)
{
	const struct wp_worker *w = wp_find_worker_on_vm(o->pool, vm->name);

	vm->state = MW_TAKEN;
	vm->pool = o->pool->name;
	vm->fence = o->fence;
	vm->worker = w != NULL ? w->id : "";
	vm->incarnation_ms = w != NULL ? w->incarnation_ms : 0;
}

bool
mw_order_due(const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us)
{
	if (vm->state != MW_TAKEN || strcmp(vm->pool, o->pool->name) != 0)
		return false;
	if (vm->order_in_flight || now_us < vm->next_order_us ||
	    vm->refused_fence == o->fence)
		return false;
	/* An earlier owner may have sent an order just before the takeover. */
	return vm->fence == o->fence ||
	    now_us - o->since_us > o->takeover_pause_us;
}

void
mw_on_order_result(struct mw_vm *vm, const struct mw_owner *o,
    enum mw_order_result result, int64_t now_us)
{
	vm->order_in_flight = false;
	vm->next_order_us = now_us + MW_RETRY_US;
	switch (result) {
	case MW_ACCEPTED:
		if (vm->accepted_us == 0)
			vm->accepted_us = now_us;
		vm->next_order_us = now_us + MW_REORDER_US;
		return;
	case MW_FENCED:
		vm->refused_fence = o->fence;
		return;
	case MW_NOT_IN_WAVE:
	case MW_NO_SUCH_VM:
		vm->nothing_to_do = true;
		return;
	case MW_BUSY:
	case MW_UNCONFIRMED:
		break;
	}
}

bool
mw_has_new_worker(
    const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us)
{
	const struct wp_worker *w;

	if (vm->state != MW_TAKEN || vm->accepted_us == 0 ||
	    strcmp(vm->pool, o->pool->name) != 0)
		return false;
	w = wp_find_worker_on_vm(o->pool, vm->name);
	if (w == NULL || !w->reachable ||
	    w->answered_renewal_us < vm->accepted_us)
		return false;
	if (vm->worker[0] == '\0')
		return now_us - vm->accepted_us > 2 * o->downtime_us;
	return strcmp(w->id, vm->worker) != 0 ||
	    w->incarnation_ms != vm->incarnation_ms;
}
