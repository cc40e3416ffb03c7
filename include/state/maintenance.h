#ifndef STATE_MAINTENANCE_H
#define STATE_MAINTENANCE_H

#include "state/pool.h"

/**
 * DOC: Waves of maintenance: VMs that go down for a while, a few at a time.
 *
 * The owner of a pool empties workers on VMs of the wave, takes a VM, has it
 * taken down, and gives its place in the wave back once a new worker lives on
 * it. What is taken and done is stored; the rest is this owner's own.
 */

/** enum mw_state - where a VM of a wave stands */
enum mw_state {
	MW_WAITING,
	MW_TAKEN, /* is or may be down */
	MW_DONE,  /* back, or gone for good */
};

/** enum mw_order_result - answer to an order to take a VM down */
enum mw_order_result {
	MW_ACCEPTED,	/* it goes down, or has done so before */
	MW_FENCED,	/* a later owner was there */
	MW_BUSY,	/* it can't go down now */
	MW_NOT_IN_WAVE, /* the wave does not name it */
	MW_NO_SUCH_VM,	/* no such VM */
	MW_UNCONFIRMED, /* refused for now, or no answer */
};

/**
 * struct mw_vm - a VM of a wave
 * @pool: pool whose owner took it
 * @fence: that owner's fencing token
 * @worker: worker that lived on it when it was taken; may be empty
 * @incarnation_ms: start of that worker
 * @evacuating: being emptied by this owner
 * @force_after_us: from then on it is taken although tasks run on it
 * @order_in_flight: an order is unanswered
 * @next_order_us: no earlier order
 * @accepted_us: when an order was accepted; 0 before
 * @refused_fence: fencing token that was refused; 0 for none
 * @nothing_to_do: the answer to an order says that nothing is left to do
 */
struct mw_vm {
	char name[WP_NAME_BYTES];
	enum mw_state state;
	char pool[WP_NAME_BYTES];
	uint64_t fence;
	char worker[WP_NAME_BYTES];
	int64_t incarnation_ms;
	bool evacuating;
	int64_t force_after_us;
	bool order_in_flight;
	int64_t next_order_us;
	int64_t accepted_us;
	uint64_t refused_fence;
	bool nothing_to_do;
};

/**
 * struct mw_wave - a wave
 * @number: names it
 * @max_down: VMs that may be down at a time
 * @duration_ms: time for all of it, from its announcement
 * @deadline_us: deadline; 0 until it is known
 * @vm: VMs, @vm_count of them
 */
struct mw_wave {
	uint64_t number;
	uint32_t max_down;
	uint32_t duration_ms;
	int64_t deadline_us;
	struct mw_vm *vm;
	uint32_t vm_count;
};

/**
 * struct mw_owner - a pool's owner that works on a wave
 * @pool: its pool
 * @fence: its fencing token
 * @since_us: start of its ownership
 * @takeover_pause_us: pause between orders of different owners to one VM
 * @downtime_us: how long a VM stays down
 * @takes_workerless_vms: it also deals with VMs on which no worker is known
 */
struct mw_owner {
	struct wp_pool *pool;
	uint64_t fence;
	int64_t since_us;
	int64_t takeover_pause_us;
	int64_t downtime_us;
	bool takes_workerless_vms;
};

/** mw_find() - a VM of a wave by name, or NULL */
struct mw_vm *mw_find(struct mw_wave *m, const char *name);

/** mw_is_done() - whether all VMs of a wave are done */
bool mw_is_done(const struct mw_wave *m);

/**
 * mw_evacuate() - choose workers to empty and mark them in the pool
 * @m: wave
 * @o: owner
 * @now_us: time
 */
void mw_evacuate(struct mw_wave *m, const struct mw_owner *o, int64_t now_us);

/** mw_may_take() - whether a VM may be taken now */
bool mw_may_take(const struct mw_wave *m, const struct mw_vm *vm,
    const struct mw_owner *o, int64_t now_us);

/** mw_take() - what a VM becomes when its owner takes it */
void mw_take(struct mw_vm *vm, const struct mw_owner *o);

/** mw_order_due() - whether an order for a taken VM should go out now */
bool mw_order_due(
    const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us);

/** mw_on_order_result() - answer to that order */
void mw_on_order_result(struct mw_vm *vm, const struct mw_owner *o,
    enum mw_order_result result, int64_t now_us);

/** mw_has_new_worker() - whether a new worker lives on a taken VM */
bool mw_has_new_worker(
    const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us);

#endif
