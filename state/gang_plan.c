#include <stdlib.h>

#include "state/gang_plan.h"

static int
gp_compare_releases(const void *a, const void *b)
{
	const struct gp_release *x = a;
	const struct gp_release *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/*
 * Among equals the one that is free sooner, as runs may take longer than
 * expected; then the lower index, so that repeated plans name the same workers.
 */
static int
gp_compare_slots(const void *a, const void *b)
{
	const struct gp_slot *x = a;
	const struct gp_slot *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	if (x->free_us != y->free_us)
		return x->free_us < y->free_us ? -1 : 1;
	return (x->worker > y->worker) - (x->worker < y->worker);
}

static int64_t
gp_fit_one(int64_t available, int64_t need, int64_t max)
{
	int64_t n;

	if (available < 0)
		return 0;
	if (need <= 0)
		return max;
	n = available / need;
	return n < max ? n : max;
}

uint32_t
gp_fit_count(const struct wp_resources *available,
    const struct wp_resources *need, uint32_t max)
{
	int64_t n = max;

	n = gp_fit_one(available->cpu_mcpu, need->cpu_mcpu, n);
	n = gp_fit_one(available->mem_mb, need->mem_mb, n);
	n = gp_fit_one(available->gpu, need->gpu, n);
	return (uint32_t)n;
}

uint32_t
gp_add_slots(const struct gp_offer *offer, const struct wp_resources *need,
    struct gp_slot *slot)
{
	struct wp_resources available = offer->available;
	int64_t at_us = offer->now_us;
	uint32_t count = 0;
	uint32_t i = 0;

	if (offer->release_count > 0)
		qsort(offer->release, offer->release_count,
		    sizeof(*offer->release), gp_compare_releases);
	for (;;) {
		uint32_t fit = gp_fit_count(&available, need, offer->max_slots);

		while (count < fit)
			slot[count++] =
			    (struct gp_slot){offer->worker, at_us, at_us};
		if (count == offer->max_slots || i == offer->release_count)
			return count;
		if (offer->release[i].at_us > at_us)
			at_us = offer->release[i].at_us;
		available.cpu_mcpu += offer->release[i].freed.cpu_mcpu;
		available.mem_mb += offer->release[i].freed.mem_mb;
		available.gpu += offer->release[i].freed.gpu;
		i++;
	}
}

int64_t
gp_choose(struct gp_slot *slot, uint32_t count, uint32_t members)
{
	if (count < members || members == 0)
		return INT64_MAX;
	qsort(slot, count, sizeof(*slot), gp_compare_slots);
	return slot[members - 1].at_us;
}
