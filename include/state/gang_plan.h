#ifndef STATE_GANG_PLAN_H
#define STATE_GANG_PLAN_H

#include "state/pool.h"

/**
 * DOC: When and where a gang can start.
 *
 * Pure functions, which know no pool. A slot is room for one member of a gang
 * on one worker. A worker offers slots as the runs on it end; a gang can start
 * once it has a slot for each member.
 */

/**
 * struct gp_release - resources that become free on a worker
 * @at_us: when
 * @freed: the resources
 */
struct gp_release {
	int64_t at_us;
	struct wp_resources freed;
};

/**
 * struct gp_slot - room for one member on a worker
 * @worker: index of the worker
 * @at_us: from when on
 * @free_us: when its resources are expected to be free, at most @at_us
 */
struct gp_slot {
	uint32_t worker;
	int64_t at_us;
	int64_t free_us;
};

/**
 * struct gp_offer - what is known about one worker
 * @worker: index of the worker
 * @available: resources that are free now; may be negative
 * @release: resources that become free, @release_count entries; sorted by
 *	gp_add_slots()
 * @max_slots: members that it may take
 * @now_us: time, and the earliest time of a slot
 */
struct gp_offer {
	uint32_t worker;
	struct wp_resources available;
	struct gp_release *release;
	uint32_t release_count;
	uint32_t max_slots;
	int64_t now_us;
};

/**
 * gp_fit_count() - how many times a need fits into resources
 * @available: the resources
 * @need: what is needed each time
 * @max: upper bound of the result
 */
uint32_t gp_fit_count(const struct wp_resources *available,
    const struct wp_resources *need, uint32_t max);

/**
 * gp_add_slots() - the slots that a worker offers
 * @offer: the worker
 * @need: resources of one member
 * @slot: filled in; has room for @offer->max_slots entries
 *
 * Return: number of slots.
 */
uint32_t gp_add_slots(const struct gp_offer *offer,
    const struct wp_resources *need, struct gp_slot *slot);

/**
 * gp_choose() - choose the slots with which a gang can start first
 * @slot: slots of all workers, @count of them; the chosen ones come first
 * @count: number of slots
 * @members: members of the gang
 *
 * Return: when the last of the chosen slots is free, or INT64_MAX when there
 * are not enough.
 */
int64_t gp_choose(struct gp_slot *slot, uint32_t count, uint32_t members);

#endif
