#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "coordination/relays.h"

/* Short enough for clocks that differ by a few percent. */
#define RE_DELAY_INTERVAL_US (10 * CLK_US_PER_S)
/* After a tick this late the process was paused. */
#define RE_LATE_TICK_US (150 * CLK_US_PER_MS)
/* Sockets are read between ticks, so all is read after a few. */
#define RE_GRACE_TICKS 3

struct re_table {
	struct re_candidate *relay;
	uint32_t count;
};

/* Returns a positive number when @a is the better relay. */
static int
re_compare(const struct re_candidate *a, const struct re_candidate *b)
{
	if (a->owns_pool != b->owns_pool)
		return a->owns_pool ? -1 : 1;
	if (a->cpu_mcpu != b->cpu_mcpu)
		return a->cpu_mcpu > b->cpu_mcpu ? 1 : -1;
	return 0;
}

static bool
re_is_best_of_domain(const struct re_candidate *c,
    const struct re_candidate *candidates, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (candidates[i].reachable &&
		    strcmp(candidates[i].domain, c->domain) == 0 &&
		    re_compare(&candidates[i], c) > 0)
			return false;
	}
	return true;
}

struct re_table *
re_create(
    TALLOC_CTX *ctx, const struct re_candidate *candidates, uint32_t count)
{
	struct re_table *t = talloc_zero(ctx, struct re_table);
	uint32_t i;

	if (t == NULL)
		abort();
	t->relay = talloc_array(t, struct re_candidate, count + 1);
	if (t->relay == NULL)
		abort();
	for (i = 0; i < count; i++) {
		if (candidates[i].reachable &&
		    re_is_best_of_domain(&candidates[i], candidates, count))
			t->relay[t->count++] = candidates[i];
	}
	return t;
}

/* Rendezvous hashing, so that a changed relay moves only its own workers. */
const char *
re_pick(const struct re_table *t, const char *domain, const char *worker)
{
	XXH32_hash_t seed = XXH32(worker, strlen(worker), 0);
	XXH32_hash_t best_hash = 0;
	const char *best = NULL;
	uint32_t i;

	for (i = 0; i < t->count; i++) {
		const struct re_candidate *c = &t->relay[i];
		XXH32_hash_t hash;

		if (strcmp(c->domain, domain) != 0)
			continue;
		hash = XXH32(c->vm, strlen(c->vm), seed);
		if (best != NULL && hash <= best_hash)
			continue;
		best = c->vm;
		best_hash = hash;
	}
	return best;
}

int64_t
re_delay_us(struct re_delay *d, int64_t sent_us, int64_t now_us)
{
	int64_t difference_us = now_us - sent_us;

	if (!d->known) {
		d->known = true;
		d->least_us = difference_us;
		d->earlier_us = difference_us;
		d->interval_end_us = now_us + RE_DELAY_INTERVAL_US;
	} else if (now_us >= d->interval_end_us) {
		d->earlier_us = d->least_us;
		d->least_us = difference_us;
		d->interval_end_us = now_us + RE_DELAY_INTERVAL_US;
	}
	if (difference_us < d->least_us)
		d->least_us = difference_us;
	return difference_us -
	    (d->least_us < d->earlier_us ? d->least_us : d->earlier_us);
}

bool
re_may_be_unread(struct re_pause *p, int64_t now_us)
{
	bool late =
	    p->last_tick_us != 0 && now_us - p->last_tick_us > RE_LATE_TICK_US;

	p->last_tick_us = now_us;
	/* A pause within this time doesn't prolong it: all ticks may be late. */
	if (p->ticks_left == 0 && late)
		p->ticks_left = RE_GRACE_TICKS + 1;
	if (p->ticks_left == 0)
		return false;
	p->ticks_left--;
	return p->ticks_left > 0;
}
