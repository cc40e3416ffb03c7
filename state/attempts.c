#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "common/clock.h"
#include "state/attempts.h"
#include "state/job.h"

/* A write without an answer may be carried out seconds later. */
#define AT_UNCERTAIN_US (60 * CLK_US_PER_S)

struct at_item {
	char id[JB_ID_BYTES];
	uint32_t in_flight;
	/* 0 unless an attempt ended without knowing. */
	int64_t uncertain_until_us;
	UT_hash_handle hh;
};

struct at_table {
	struct at_item *items;
};

struct at_table *
at_create(TALLOC_CTX *ctx)
{
	struct at_table *t = talloc_zero(ctx, struct at_table);

	if (t == NULL)
		abort();
	return t;
}

static struct at_item *
at_find(struct at_table *t, const char *id)
{
	struct at_item *item;

	HASH_FIND_STR(t->items, id, item);
	return item;
}

static void
at_remove(struct at_table *t, struct at_item *item)
{
	HASH_DEL(t->items, item);
	talloc_free(item);
}

void
at_begin(struct at_table *t, const char *id)
{
	struct at_item *item = at_find(t, id);

	if (item == NULL) {
		item = talloc_zero(t, struct at_item);
		if (item == NULL)
			abort();
		snprintf(item->id, sizeof(item->id), "%s", id);
		HASH_ADD_STR(t->items, id, item);
	}
	item->in_flight++;
}

/* Items are in the order of their first attempts; those in flight stay. */
static void
at_remove_expired(struct at_table *t, int64_t now_us)
{
	struct at_item *item;
	struct at_item *tmp;

	HASH_ITER(hh, t->items, item, tmp) {
		if (item->in_flight > 0)
			continue;
		if (item->uncertain_until_us > now_us)
			return;
		at_remove(t, item);
	}
}

void
at_end(struct at_table *t, const char *id, bool uncertain, int64_t now_us)
{
	struct at_item *item = at_find(t, id);

	if (item != NULL && item->in_flight > 0)
		item->in_flight--;
	if (item != NULL && uncertain)
		item->uncertain_until_us = now_us + AT_UNCERTAIN_US;
	at_remove_expired(t, now_us);
}

void
at_stored(struct at_table *t, const char *id)
{
	struct at_item *item = at_find(t, id);

	if (item != NULL)
		at_remove(t, item);
}

bool
at_is_open(struct at_table *t, const char *id, int64_t now_us)
{
	const struct at_item *item = at_find(t, id);

	return item != NULL &&
	    (item->in_flight > 0 || item->uncertain_until_us > now_us);
}
