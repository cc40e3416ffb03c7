#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "state/routing_internal.h"

#define RT_EJECT_AFTER 3
#define RT_EJECT_US (500 * CLK_US_PER_MS)
#define RT_MAX_EJECT_SHIFT 6
#define RT_SMOOTHING 8

void
rt_begin_update(struct rt_service *s)
{
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++)
		s->endpoint[i].configured = false;
}

void
rt_update_endpoint(struct rt_service *s, const char *id, const char *address,
    uint32_t slots, bool leaving)
{
	struct rt_endpoint *e = NULL;
	uint32_t i;

	/* Indices must not change: attempts in flight refer to them. */
	for (i = 0; i < s->endpoint_count && e == NULL; i++) {
		if (strcmp(s->endpoint[i].id, id) == 0 &&
		    strcmp(s->endpoint[i].address, address) == 0)
			e = &s->endpoint[i];
	}
	if (e == NULL) {
		s->endpoint = talloc_realloc(
		    s, s->endpoint, struct rt_endpoint, s->endpoint_count + 1);
		if (s->endpoint == NULL)
			abort();
		e = &s->endpoint[s->endpoint_count++];
		memset(e, 0, sizeof(*e));
		e->id = talloc_strdup(s, id);
		e->address = talloc_strdup(s, address);
	}
	e->slots = slots;
	e->leaving = leaving;
	e->configured = true;
}

void
rt_compute_shares(struct rt_service *s)
{
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		struct rt_endpoint *e = &s->endpoint[i];
		uint32_t extra = e->slots % s->daemons;

		/* Rotates by endpoint which daemons get a slot more. */
		e->share = e->slots / s->daemons;
		if ((s->rank + i) % s->daemons < extra)
			e->share++;
	}
}

static bool
rt_is_available(const struct rt_endpoint *e, int64_t now_us)
{
	if (!e->configured || e->leaving || now_us < e->ejected_until_us)
		return false;
	if (e->probing)
		return e->outstanding == 0;
	return e->outstanding < e->share;
}

uint32_t
rt_choose_least_outstanding(
    struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t best = RT_NONE;
	uint32_t ties = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		const struct rt_endpoint *e = &s->endpoint[i];

		if (i == req->avoid_endpoint || !rt_is_available(e, now_us))
			continue;
		if (best != RT_NONE) {
			uint32_t least = s->endpoint[best].outstanding;

			if (e->outstanding > least)
				continue;
			if (e->outstanding == least &&
			    rng_below(&s->rng, ++ties + 1) != 0)
				continue;
			if (e->outstanding < least)
				ties = 0;
		}
		best = i;
	}
	return best;
}

/* Of those that can take the request, each as likely as the others. */
static uint32_t
rt_random_available(
    struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t chosen = RT_NONE;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		if (i != req->avoid_endpoint &&
		    rt_is_available(&s->endpoint[i], now_us) &&
		    rng_below(&s->rng, ++n) == 0)
			chosen = i;
	}
	return chosen;
}

uint32_t
rt_choose_two_random(
    struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t a = rt_random_available(s, req, now_us);
	uint32_t b = rt_random_available(s, req, now_us);

	if (a == RT_NONE)
		return RT_NONE;
	return s->endpoint[b].outstanding < s->endpoint[a].outstanding ? b : a;
}

uint32_t
rt_total_share(const struct rt_service *s)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		if (s->endpoint[i].configured && !s->endpoint[i].leaving)
			total += s->endpoint[i].share;
	}
	return total;
}

void
rt_record_success(struct rt_service *s, struct rt_endpoint *e, int64_t us)
{
	e->failures = 0;
	e->ejections = 0;
	e->probing = false;
	e->service_us += (us - e->service_us) / RT_SMOOTHING;
	s->service_us += (us - s->service_us) / (RT_SMOOTHING * 4);
}

void
rt_record_failure(struct rt_endpoint *e, int64_t now_us)
{
	uint32_t shift;

	e->failures++;
	if (e->failures < RT_EJECT_AFTER && !e->probing)
		return;
	shift = e->ejections < RT_MAX_EJECT_SHIFT ? e->ejections
						  : RT_MAX_EJECT_SHIFT;
	e->ejected_until_us = now_us + (RT_EJECT_US << shift);
	e->ejections++;
	e->failures = 0;
	e->probing = true;
	ct_add(CT_REQ_EJECTIONS, 1);
}

int32_t
rt_free_slots(const struct rt_service *s, int64_t now_us)
{
	int32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		const struct rt_endpoint *e = &s->endpoint[i];

		if (rt_is_available(e, now_us) && !e->probing)
			n += (int32_t)(e->share - e->outstanding);
	}
	return n;
}
