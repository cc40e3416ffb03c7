#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/cell_member.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/pack.h"

#define CELL_MEMBER_LEASE_MS 4000
#define CELL_MEMBER_RENEW_US (1000 * CLK_US_PER_MS)
#define CELL_MEMBER_RETRY_US (300 * CLK_US_PER_MS)

static void
cell_retry_member(struct cell *c)
{
	c->member_lease = 0;
	c->member_next_us = clk_now_us() + CELL_MEMBER_RETRY_US;
}

static void
cell_on_member_written(const struct ks_response *a, void *arg)
{
	struct cell *c = arg;

	c->member_call_in_flight = false;
	if (a->result != KS_OK)
		cell_retry_member(c);
}

static void
cell_write_member(struct cell *c)
{
	Currant__Member row = CURRANT__MEMBER__INIT;
	char key[RP_KEY_BYTES];
	struct ks_put put = {.key = key, .lease = c->member_lease};
	struct ks_txn txn = {.put = &put, .put_count = 1};
	uint8_t *value;

	c->member_dirty = false;
	snprintf(key, sizeof(key), "%s%s", RP_MEMBER_PREFIX, c->settings->vm);
	row.vm = c->settings->vm;
	row.domain = c->settings->domain;
	row.address = c->peers_address;
	row.incarnation = c->incarnation;
	row.has_cpu_mcpu = true;
	row.cpu_mcpu = c->settings->cpu_mcpu;
	row.has_witness = true;
	row.witness = true;
	value = pk_pack(c, &row.base, &put.value_bytes);
	put.value = value;
	c->fleet->keys->txn(c->fleet->handle, &txn, cell_on_member_written, c);
	talloc_free(value);
}

static void
cell_on_member_lease_granted(const struct ks_response *a, void *arg)
{
	struct cell *c = arg;

	if (a->result != KS_OK || a->lease == 0) {
		c->member_call_in_flight = false;
		cell_retry_member(c);
		return;
	}
	c->member_lease = a->lease;
	c->member_next_us = clk_now_us() + CELL_MEMBER_RENEW_US;
	cell_write_member(c);
}

static void
cell_on_member_renewed(const struct ks_response *a, void *arg)
{
	struct cell *c = arg;

	c->member_call_in_flight = false;
	if (a->result == KS_NO_LEASE)
		cell_retry_member(c);
	else if (a->result == KS_OK)
		c->store_answered_us = clk_now_us();
}

/* The highest incarnation on this VM that the term of a pool names. */
static uint64_t
cell_named_incarnation(const struct cell *c, const struct rp_owner *o)
{
	const char *vm = c->settings->vm;
	int32_t i = wt_find(&o->witnesses, vm);
	uint64_t latest = 0;

	if (strcmp(o->term_vm, vm) == 0)
		latest = o->term_incarnation;
	if (i != -1 && o->witnesses.witness[i].incarnation > latest)
		latest = o->witnesses.witness[i].incarnation;
	return latest;
}

/*
 * The time of day may have been set back since an earlier process on this VM was
 * the owner of a pool, or a witness. Others tell by a higher incarnation that it
 * has ended.
 */
static void
cell_follow_earlier_incarnations(struct cell *c)
{
	uint64_t latest = 0;
	struct rp_owner *o;
	struct rp_owner *tmp;

	if (c->follows_earlier || !c->replica->synced)
		return;
	c->follows_earlier = true;
	HASH_ITER(hh, c->replica->owners, o, tmp) {
		uint64_t named = cell_named_incarnation(c, o);

		if (named > latest)
			latest = named;
	}
	if (latest < c->incarnation)
		return;
	c->incarnation = latest;
	cell_begin_incarnation(c);
}

void
cell_member_tick(struct cell *c, int64_t now_us)
{
	const struct fl_fleet *f = c->fleet;

	cell_follow_earlier_incarnations(c);
	if (c->member_call_in_flight || now_us < c->member_next_us ||
	    c->draining)
		return;
	c->member_call_in_flight = true;
	c->member_next_us = now_us + CELL_MEMBER_RENEW_US;
	if (c->member_lease == 0)
		f->keys->lease_grant(f->handle, CELL_MEMBER_LEASE_MS,
		    cell_on_member_lease_granted, c);
	else if (c->member_dirty)
		cell_write_member(c);
	else
		f->keys->lease_renew(
		    f->handle, c->member_lease, cell_on_member_renewed, c);
}

void
cell_member_on_changed(struct cell *c, const struct rp_member *m)
{
	if (strcmp(m->vm, c->settings->vm) == 0 && !m->present) {
		c->member_lease = 0;
		c->member_next_us = clk_now_us();
	}
}

void
cell_member_leave(struct cell *c)
{
	if (c->member_lease != 0)
		c->fleet->keys->lease_end(c->fleet->handle, c->member_lease,
		    cell_ignore_answer, NULL);
}
