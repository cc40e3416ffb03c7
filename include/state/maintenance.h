#ifndef STATE_MAINTENANCE_H
#define STATE_MAINTENANCE_H

#include "state/pool.h"

/**
 * DOC: Maintenance waves: VMs that are taken down a few at a time.
 *
 * The owner of a pool moves tasks off workers on VMs of the wave, marks a VM as
 * taken, and orders the platform to take it down. The VM is done, and the next
 * one may be taken, once a new worker runs on it. Which VMs are taken or done
 * is stored for the next owner; the other fields are known to this owner only.
 */

/* A VM may lack a worker for a moment, while its worker restarts. */
#define MW_NO_WORKER_US (4 * CLK_US_PER_S)

/** enum mw_state - progress of a VM in a wave; the numbers are stored */
enum mw_state {
	MW_WAITING,
	MW_TAKEN, /* is or may be down */
	MW_DONE,  /* back in service, or no longer there */
};

/** enum mw_order_result - result of an order to take a VM down */
enum mw_order_result {
	MW_ACCEPTED,	/* it goes down, or has already done so */
	MW_FENCED,	/* refused: a later owner has given an order */
	MW_BUSY,	/* refused: it can't go down now */
	MW_NOT_IN_WAVE, /* refused: the wave does not include the VM */
	MW_NO_SUCH_VM,	/* the VM does not exist */
	MW_UNCONFIRMED, /* refused for now, or no response */
};

/* VMs of one wave; each pass looks at all of them. */
#define MW_MAX_VMS 2048

/**
 * struct mw_vm - a VM of a wave
 * @name: its name; all texts live as long as the wave or, after mw_take(), the
 *	owner's pool
 * @pool: pool whose owner took it; empty before
 * @fence: that owner's fencing token
 * @worker: worker that ran on it when it was taken; may be empty
 * @incarnation_ms: incarnation of that worker
 * @evacuating: this owner is moving tasks off it
 * @force_after_us: from then on it is taken even while tasks run on it
 * @order_in_flight: an order has no response yet
 * @next_order_us: no order before this time
 * @accepted_us: when an order was accepted; 0 before
 * @refused_fence: fencing token with which an order was refused; 0 for none
 * @nothing_to_do: the response to an order says that the VM does not exist or
 *	is not in the wave
 */
struct mw_vm {
	const char *name;
	enum mw_state state;
	const char *pool;
	uint64_t fence;
	const char *worker;
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
 * struct mw_wave - a maintenance wave
 * @number: identifies the wave
 * @max_down: most VMs that may be down at a time
 * @duration_ms: time for the whole wave, from its announcement
 * @deadline_us: when the wave should be done; 0 until known
 * @vm: VMs, @vm_count of them
 * @texts: talloc parent of the texts of stored progress
 */
struct mw_wave {
	uint64_t number;
	uint32_t max_down;
	uint32_t duration_ms;
	int64_t deadline_us;
	struct mw_vm *vm;
	uint32_t vm_count;
	TALLOC_CTX *texts;
};

/**
 * struct mw_owner - a pool's owner that works on a wave
 * @pool: its pool
 * @fence: its fencing token
 * @since_us: start of its ownership
 * @takeover_pause_us: least time between orders of different owners to one VM
 * @downtime_us: expected time that a VM stays down
 * @takes_workerless_vms: it also takes VMs on which no worker is known; set for
 *	one pool only
 * @is_in_use: whether a worker of any pool is or was lately on a VM, or an owner
 *	has taken it
 * @arg: argument of @is_in_use
 */
struct mw_owner {
	struct wp_pool *pool;
	uint64_t fence;
	int64_t since_us;
	int64_t takeover_pause_us;
	int64_t downtime_us;
	bool takes_workerless_vms;
	bool (*is_in_use)(const char *vm, void *arg);
	void *arg;
};

/** mw_find() - find a VM of a wave by name; NULL when there is none */
struct mw_vm *mw_find(struct mw_wave *m, const char *name);

/** mw_is_done() - whether all VMs of a wave are done */
bool mw_is_done(const struct mw_wave *m);

/**
 * mw_evacuate() - choose VMs to evacuate and mark their workers in the pool
 * @m: wave
 * @o: owner
 * @now_us: time
 */
void mw_evacuate(struct mw_wave *m, const struct mw_owner *o, int64_t now_us);

/** mw_may_take() - whether a VM may be taken now */
bool mw_may_take(const struct mw_wave *m, const struct mw_vm *vm,
    const struct mw_owner *o, int64_t now_us);

/** mw_take() - mark a VM as taken by an owner, with texts of the owner's pool */
void mw_take(struct mw_vm *vm, const struct mw_owner *o);

/** mw_order_due() - whether to order now that a taken VM goes down */
bool mw_order_due(
    const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us);

/** mw_on_order_result() - process the result of that order */
void mw_on_order_result(struct mw_vm *vm, const struct mw_owner *o,
    enum mw_order_result result, int64_t now_us);

/** mw_has_new_worker() - whether a taken VM is up again, with a new worker */
bool mw_has_new_worker(
    const struct mw_vm *vm, const struct mw_owner *o, int64_t now_us);

#endif
