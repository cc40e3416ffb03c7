#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/links.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"
#include "protocol/pack.h"

#define PN_MAX_PEERS 256
/* Ended jobs in one message. */
#define PN_MAX_ENDED 32
#define PN_RECONNECT_US (500 * CLK_US_PER_MS)
#define PN_TICK_US (100 * CLK_US_PER_MS)

struct pn_peer {
	char vm[WT_VM_BYTES];
	char *address;
	struct peer_link *link;
	int64_t connect_at_us;
};

struct pn_links {
	struct cell *c;
	pn_refused_fn on_refused;
	struct pn_peer peer[PN_MAX_PEERS];
	uint32_t count;
	int64_t tick_at_us;
	Currant__EndedJob ended[PN_MAX_ENDED];
	char ended_id[PN_MAX_ENDED][JB_ID_BYTES];
	uint32_t ended_count;
};

struct pn_links *
pn_create(struct cell *c, pn_refused_fn on_refused)
{
	struct pn_links *n = talloc_zero(c, struct pn_links);

	if (n == NULL)
		abort();
	n->c = c;
	n->on_refused = on_refused;
	return n;
}

static struct pn_peer *
pn_find_peer(struct pn_links *n, const char *vm)
{
	uint32_t i;

	for (i = 0; i < n->count; i++) {
		if (strcmp(n->peer[i].vm, vm) == 0)
			return &n->peer[i];
	}
	return NULL;
}

static struct pn_peer *
pn_get_peer(struct pn_links *n, const char *vm)
{
	struct pn_peer *p = pn_find_peer(n, vm);

	if (p != NULL || n->count == PN_MAX_PEERS)
		return p;
	p = &n->peer[n->count++];
	memset(p, 0, sizeof(*p));
	snprintf(p->vm, sizeof(p->vm), "%s", vm);
	return p;
}

static void
pn_keep_link(struct pn_links *n, const struct rp_member *m, int64_t now_us)
{
	struct pn_peer *p = pn_get_peer(n, m->vm);

	if (p == NULL)
		return;
	if (p->link != NULL && strcmp(p->address, m->address) != 0)
		peer_close(p->link);
	tx_set(n, &p->address, m->address);
	if (p->link != NULL || now_us < p->connect_at_us)
		return;
	p->connect_at_us = now_us + PN_RECONNECT_US;
	p->link = peer_connect(n->c->peers, p->address);
}

static bool
pn_is_established(const struct pn_peer *p)
{
	return p->link != NULL && peer_established(p->link);
}

static bool
pn_needs_link(
    const struct pn_links *n, const struct rp_member *m, uint32_t largest_mcpu)
{
	const struct replica *r = n->c->replica;
	struct li_daemon own = {
	    .cpu_mcpu = n->c->settings->cpu_mcpu,
	    .owns_pool = cp_owned_count(n->c) > 0,
	};
	struct li_daemon peer = {
	    .cpu_mcpu = m->cpu_mcpu,
	    .owns_pool = rp_owns_any(r, m->vm),
	};

	return m->present && strcmp(m->vm, n->c->settings->vm) != 0 &&
	    li_needs_link(&own, &peer, largest_mcpu);
}

void
pn_tick(struct pn_links *n, int64_t now_us)
{
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t largest_mcpu;

	if (now_us < n->tick_at_us)
		return;
	n->tick_at_us = now_us + PN_TICK_US;
	largest_mcpu = rp_max_cpu_mcpu(n->c->replica);
	HASH_ITER(hh, n->c->replica->members, m, tmp) {
		if (pn_needs_link(n, m, largest_mcpu))
			pn_keep_link(n, m, now_us);
	}
}

struct peer_link *
pn_link(struct pn_links *n, const char *vm)
{
	const struct pn_peer *p = pn_find_peer(n, vm);

	return p != NULL && pn_is_established(p) ? p->link : NULL;
}

void
pn_reset_link(struct pn_links *n, const char *vm)
{
	struct pn_peer *p = pn_find_peer(n, vm);

	if (p == NULL || p->link == NULL)
		return;
	p->connect_at_us = clk_now_us() + PN_RECONNECT_US;
	peer_close(p->link);
}

void
pn_on_closed(struct pn_links *n, struct peer_link *link)
{
	uint32_t i;

	for (i = 0; i < n->count; i++) {
		struct pn_peer *p = &n->peer[i];

		if (p->link != link)
			continue;
		p->link = NULL;
		if (peer_refused(link))
			n->on_refused(n->c, p->vm);
		else
			p->connect_at_us = 0;
	}
}

void
pn_send_job(struct pn_links *n, const char *owner_vm, const char *id,
    const uint8_t *spec, size_t spec_bytes, uint64_t revision, uint64_t fence)
{
	Currant__NewJob row = CURRANT__NEW_JOB__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = pn_link(n, owner_vm);

	if (link == NULL)
		return;
	row.id = pk_text(id);
	row.spec.data = (uint8_t *)(uintptr_t)spec;
	row.spec.len = spec_bytes;
	row.revision = revision;
	row.fence = fence;
	frame.new_job = &row;
	peer_send(link, &frame);
}

void
pn_send_cancelled(
    struct pn_links *n, const char *owner_vm, const char *id, uint64_t revision)
{
	Currant__CancelledJob row = CURRANT__CANCELLED_JOB__INIT;
	Currant__CancelledJob *rows[1] = {&row};
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = pn_link(n, owner_vm);

	if (link == NULL)
		return;
	row.id = pk_text(id);
	row.revision = revision;
	frame.cancelled_jobs = rows;
	frame.n_cancelled_jobs = 1;
	peer_send(link, &frame);
}

static void
pn_broadcast(struct pn_links *n, const Currant__Frame *frame)
{
	uint32_t i;

	for (i = 0; i < n->count; i++) {
		struct peer_link *link = n->peer[i].link;

		if (link != NULL && peer_established(link))
			peer_send(link, frame);
	}
}

void
pn_queue_ended(struct pn_links *n, const char *id, enum jb_state state)
{
	Currant__EndedJob *row;

	if (n->ended_count == PN_MAX_ENDED)
		pn_flush_ended(n);
	row = &n->ended[n->ended_count];
	currant__ended_job__init(row);
	memcpy(n->ended_id[n->ended_count], id, JB_ID_BYTES);
	row->id = n->ended_id[n->ended_count];
	row->state = (uint32_t)state;
	n->ended_count++;
}

void
pn_flush_ended(struct pn_links *n)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__EndedJob *rows[PN_MAX_ENDED];
	uint32_t i;

	if (n->ended_count == 0)
		return;
	for (i = 0; i < n->ended_count; i++)
		rows[i] = &n->ended[i];
	frame.ended_jobs = rows;
	frame.n_ended_jobs = n->ended_count;
	pn_broadcast(n, &frame);
	n->ended_count = 0;
}

bool
pn_is_small_cell(const struct pn_links *n)
{
	struct rp_member *m;
	struct rp_member *tmp;
	uint32_t members = 0;

	HASH_ITER(hh, n->c->replica->members, m, tmp)
		members += m->present;
	return members <= n->c->settings->small_cell_daemons;
}

void
pn_send_owner_changed(struct pn_links *n)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;

	frame.has_owner_changed = true;
	frame.owner_changed = true;
	pn_broadcast(n, &frame);
}
