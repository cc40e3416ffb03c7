#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/members_internal.h"

#define ME_RECONNECT_DELAY_US (300 * CLK_US_PER_MS)

static struct me_link_slot *
me_get_slot(struct members *me, const char *vm)
{
	uint32_t i;

	for (i = 0; i < me->slot_count; i++) {
		if (strcmp(me->slot[i].vm, vm) == 0)
			return &me->slot[i];
	}
	if (me->slot_count == ME_MAX_LINKS)
		return NULL;
	snprintf(me->slot[me->slot_count].vm, MB_NAME_BYTES, "%s", vm);
	return &me->slot[me->slot_count++];
}

/*
 * The listed and the reported address may differ; each failure to connect
 * switches between them.
 */
static const char *
me_choose_address(const struct me_link_slot *slot, const struct mb_member *m)
{
	if (m->listed_address[0] == '\0')
		return m->report.address;
	if (m->report.address[0] == '\0')
		return m->listed_address;
	return slot->use_reported_address ? m->report.address
					  : m->listed_address;
}

struct peer_link *
me_get_link(struct members *me, const char *vm)
{
	struct me_link_slot *slot = me_get_slot(me, vm);
	char address[MB_NAME_BYTES] = "";
	struct mb_member *m;

	if (slot == NULL)
		return NULL;
	pthread_mutex_lock(&me->d->members_lock);
	m = mb_find(me->d->view, vm);
	if (m != NULL)
		memcpy(address, me_choose_address(slot, m), sizeof(address));
	pthread_mutex_unlock(&me->d->members_lock);
	if (slot->link != NULL)
		return slot->link;
	if (address[0] == '\0' || clk_now_us() < slot->retry_at_us)
		return NULL;
	slot->retry_at_us = clk_now_us() + ME_RECONNECT_DELAY_US;
	slot->link = peer_connect(me->d->peers, address);
	return slot->link;
}

void
me_on_link_closed(struct members *me, struct peer_link *link)
{
	uint32_t i;

	for (i = 0; i < me->slot_count; i++) {
		if (me->slot[i].link != link)
			continue;
		me->slot[i].link = NULL;
		if (!peer_established(link))
			me->slot[i].use_reported_address =
			    !me->slot[i].use_reported_address;
		if (!peer_refused(link))
			continue;
		pthread_mutex_lock(&me->d->members_lock);
		mb_on_connection_refused(
		    me->d->view, me->slot[i].vm, clk_now_us());
		pthread_mutex_unlock(&me->d->members_lock);
	}
}
