#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_peers.h"

/* Requests of an owner in flight at one daemon. */
#define AV_MAX_TARGET_IN_FLIGHT 2
/* One daemon in this many is kept for short requests. */
#define AV_SHORT_TARGET_EVERY 3
#define AV_REFRESH_US (100 * CLK_US_PER_MS)

static struct av_target *
av_get_target(struct av_dispatcher *d, const char *vm)
{
	struct av_target *target;
	uint32_t i;

	for (i = 0; i < d->target_count; i++) {
		if (strcmp(d->target[i].vm, vm) == 0)
			return &d->target[i];
	}
	if (d->target_count == AV_MAX_TARGETS)
		return NULL;
	target = &d->target[d->target_count++];
	memset(target, 0, sizeof(*target));
	snprintf(target->vm, sizeof(target->vm), "%s", vm);
	return target;
}

static void
av_refresh_target(struct av_dispatcher *d, const struct rp_member *m,
    uint32_t members_before, uint32_t members, int64_t now_us)
{
	struct av_target *target = av_get_target(d, m->vm);

	if (target == NULL)
		return;
	target->for_short = members >= AV_SHORT_TARGET_EVERY &&
	    members_before % AV_SHORT_TARGET_EVERY == 0;
	if (target == &d->target[0])
		return;
	target->link = pn_link(d->c->links, target->vm);
	target->usable =
	    target->link != NULL && now_us >= target->avoid_until_us;
}

void
av_refresh_targets(struct av_dispatcher *d, int64_t now_us)
{
	struct rp_member *m;
	struct rp_member *other;
	struct rp_member *tmp;
	struct rp_member *tmp2;
	uint32_t members = 0;
	uint32_t i;

	if (now_us < d->refresh_at_us)
		return;
	d->refresh_at_us = now_us + AV_REFRESH_US;
	for (i = 1; i < d->target_count; i++)
		d->target[i].usable = false;
	d->target[0].usable = true;
	d->target[0].for_short = false;
	HASH_ITER(hh, d->c->replica->members, m, tmp)
		members += m->present;
	HASH_ITER(hh, d->c->replica->members, m, tmp) {
		uint32_t before = 0;

		if (!m->present)
			continue;
		HASH_ITER(hh, d->c->replica->members, other, tmp2)
			before +=
			    other->present && strcmp(other->vm, m->vm) < 0;
		av_refresh_target(d, m, before, members, now_us);
	}
}

/* The least loaded target of those for such requests, or of all if @any. */
static struct av_target *
av_least_loaded(struct av_dispatcher *d, bool is_short, bool any)
{
	struct av_target *best = NULL;
	uint32_t i;

	for (i = 0; i < d->target_count; i++) {
		struct av_target *target = &d->target[i];

		if (!target->usable || (!any && target->for_short != is_short))
			continue;
		if (best == NULL ||
		    target->in_flight_cost_us < best->in_flight_cost_us)
			best = target;
	}
	return best;
}

struct av_target *
av_choose_target(struct av_dispatcher *d, bool is_short)
{
	struct av_target *target = av_least_loaded(d, is_short, false);

	if (target == NULL)
		target = av_least_loaded(d, is_short, true);
	return target != NULL && target->in_flight < AV_MAX_TARGET_IN_FLIGHT
	    ? target
	    : NULL;
}
