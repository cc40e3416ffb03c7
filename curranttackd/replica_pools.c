#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"
#include "protocol/curranttack.pb-c.h"

#define RP_HASHED_ROW_PREFIX "hash:"

void
rp_pool_row(const char *pool, char row[RP_POOL_ROW_BYTES])
{
	size_t bytes = strlen(pool);
	XXH128_hash_t hash;

	if (bytes < RP_POOL_ROW_BYTES) {
		memcpy(row, pool, bytes + 1);
		return;
	}
	hash = XXH3_128bits(pool, bytes);
	snprintf(row, RP_POOL_ROW_BYTES,
	    RP_HASHED_ROW_PREFIX "%016" PRIx64 "%016" PRIx64, hash.high64,
	    hash.low64);
}

char *
rp_make_pool_key(TALLOC_CTX *ctx, const char *prefix, const char *pool)
{
	char row[RP_POOL_ROW_BYTES];
	char *key;

	rp_pool_row(pool, row);
	key = talloc_asprintf(ctx, "%s%s", prefix, row);
	if (key == NULL)
		abort();
	return key;
}

bool
rp_is_hashed_row(const char *row)
{
	return strncmp(row, RP_HASHED_ROW_PREFIX,
		   strlen(RP_HASHED_ROW_PREFIX)) == 0;
}

static struct rp_owner *
rp_get_row(struct replica *r, const char *row)
{
	struct rp_owner *o;

	HASH_FIND_STR(r->owners, row, o);
	if (o != NULL)
		return o;
	o = talloc_zero(r, struct rp_owner);
	if (o == NULL)
		abort();
	o->row = tx_dup(o, row);
	tx_set(o, &o->vm, "");
	tx_set(o, &o->term_vm, "");
	HASH_ADD_STR(r->owners, row, o);
	return o;
}

struct rp_owner *
rp_get_owner(struct replica *r, const char *pool)
{
	char row[RP_POOL_ROW_BYTES];

	rp_pool_row(pool, row);
	return rp_get_row(r, row);
}

bool
rp_owns_any(const struct replica *r, const char *vm)
{
	struct rp_owner *o;
	struct rp_owner *tmp;

	HASH_ITER(hh, r->owners, o, tmp) {
		if (o->present && strcmp(o->vm, vm) == 0)
			return true;
	}
	return false;
}

uint32_t
rp_max_cpu_mcpu(const struct replica *r)
{
	uint32_t largest_mcpu = 0;
	struct rp_member *m;
	struct rp_member *tmp;

	HASH_ITER(hh, r->members, m, tmp) {
		if (m->present && m->cpu_mcpu > largest_mcpu)
			largest_mcpu = m->cpu_mcpu;
	}
	return largest_mcpu;
}

static void
rp_read_owner(struct rp_owner *o, const struct ks_item *item)
{
	Currant__PoolOwner *p;

	p = currant__pool_owner__unpack(NULL, item->value_bytes, item->value);
	if (p == NULL) {
		lg_event(LG_ERROR, "replica", "unreadable_owner", "pool",
		    o->row, NULL);
		return;
	}
	o->present = true;
	o->fence = item->created;
	tx_set(o, &o->vm, p->vm);
	o->incarnation = p->incarnation;
	o->lease = p->lease;
	o->commit_seq = p->commit;
	currant__pool_owner__free_unpacked(p, NULL);
}

void
rp_apply_owner(struct replica *r, const char *row, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_row(r, row);

	if (item->revision <= o->revision)
		return;
	o->revision = item->revision;
	o->present = false;
	if (!item->deleted)
		rp_read_owner(o, item);
	r->hooks.owner(o, r->arg);
}

void
rp_apply_workers(struct replica *r, const char *row, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_row(r, row);

	if (item->deleted || item->revision <= o->workers_revision)
		return;
	talloc_free(o->workers);
	o->workers_revision = item->revision;
	o->workers_read_us = clk_now_us();
	o->workers = talloc_memdup(o, item->value, item->value_bytes);
	o->workers_bytes = item->value_bytes;
}

static void
rp_read_witnesses(struct wt_list *list, const Currant__PoolTerm *t)
{
	size_t i;

	memset(list, 0, sizeof(*list));
	/* More than that: their quorum is not that of a shorter list. */
	if (t->n_witnesses > WT_MAX_WITNESSES)
		return;
	for (i = 0; i < t->n_witnesses; i++) {
		struct wt_witness *w = &list->witness[list->count++];

		snprintf(w->vm, sizeof(w->vm), "%s", t->witnesses[i]->vm);
		w->incarnation = t->witnesses[i]->incarnation;
	}
}

void
rp_apply_term(struct replica *r, const char *row, const struct ks_item *item)
{
	struct rp_owner *o = rp_get_row(r, row);
	Currant__PoolTerm *t;

	if (item->deleted || item->revision <= o->term_revision)
		return;
	t = currant__pool_term__unpack(NULL, item->value_bytes, item->value);
	if (t == NULL) {
		lg_event(
		    LG_ERROR, "replica", "unreadable_term", "pool", row, NULL);
		return;
	}
	o->term_revision = item->revision;
	o->term = t->term;
	o->term_fence = t->has_fence ? t->fence : item->revision;
	o->released = t->released;
	tx_set(o, &o->term_vm, t->vm);
	o->term_incarnation = t->incarnation;
	o->earlier_owner_until_wall_ms = t->earlier_wall_ms;
	o->earlier_left_ms = t->has_earlier_left_ms ? t->earlier_left_ms : -1;
	o->term_read_us = clk_now_us();
	rp_read_witnesses(&o->witnesses, t);
	currant__pool_term__free_unpacked(t, NULL);
}

void
rp_apply_member(struct replica *r, const char *vm, const struct ks_item *item)
{
	Currant__Member *row = NULL;
	struct rp_member *m;

	if (strlen(vm) >= sizeof(m->vm)) {
		rp_leave_out(
		    r, item, "replica", "unusable_row", "its name is too long");
		return;
	}
	HASH_FIND_STR(r->members, vm, m);
	if (m == NULL) {
		m = talloc_zero(r, struct rp_member);
		if (m == NULL)
			abort();
		snprintf(m->vm, sizeof(m->vm), "%s", vm);
		tx_set(m, &m->domain, "");
		tx_set(m, &m->address, "");
		HASH_ADD_STR(r->members, vm, m);
	}
	if (item->revision <= m->revision)
		return;
	m->revision = item->revision;
	m->present = false;
	if (!item->deleted)
		row = currant__member__unpack(
		    NULL, item->value_bytes, item->value);
	if (row != NULL) {
		m->present = true;
		tx_set(m, &m->domain, row->domain);
		tx_set(m, &m->address, row->address);
		m->incarnation = row->incarnation;
		m->cpu_mcpu = row->cpu_mcpu;
		m->witness = row->witness;
		currant__member__free_unpacked(row, NULL);
	}
	r->hooks.member(m, r->arg);
}

/* What the load did not find has been deleted while it was not watched. */
void
rp_remove_unfound_cell_keys(struct replica *r)
{
	struct ks_item removed = {
	    .deleted = true,
	    .revision = r->load_revision,
	};
	struct rp_owner *o;
	struct rp_owner *onext;
	struct rp_member *m;
	struct rp_member *mnext;

	HASH_ITER(hh, r->owners, o, onext) {
		if (o->present && o->found_in_load != r->load_number &&
		    o->revision < removed.revision)
			rp_apply_owner(r, o->row, &removed);
	}
	HASH_ITER(hh, r->members, m, mnext) {
		if (m->present && m->found_in_load != r->load_number &&
		    m->revision < removed.revision)
			rp_apply_member(r, m->vm, &removed);
	}
}
