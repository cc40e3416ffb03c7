#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_peers.h"

/* One daemon in this many is kept for short requests. */
#define AV_SHORT_TARGET_EVERY 3
/* Of these, one in this many is never lent to long requests. */
#define AV_KEPT_TARGET_EVERY 3
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
	target = &d->target[d->target_count];
	memset(target, 0, sizeof(*target));
	target->load = &d->load[d->target_count++];
	memset(target->load, 0, sizeof(*target->load));
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
	target->load->for_short = members >= AV_SHORT_TARGET_EVERY &&
	    members_before % AV_SHORT_TARGET_EVERY == 0;
	target->load->lends = target->load->for_short &&
	    members_before % (AV_SHORT_TARGET_EVERY * AV_KEPT_TARGET_EVERY) > 0;
	if (target == &d->target[0])
		return;
	target->link = pn_link(d->c->links, target->vm);
	target->load->usable =
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
		d->load[i].usable = false;
	d->load[0].usable = true;
	d->load[0].for_short = false;
	d->load[0].lends = false;
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

struct av_target *
av_choose_target(struct av_dispatcher *d, bool is_short, int64_t waited_us)
{
	uint32_t i = aq_choose_target(
	    d->load, d->target_count, is_short, waited_us, clk_now_us());

	return i != AQ_NONE ? &d->target[i] : NULL;
}
