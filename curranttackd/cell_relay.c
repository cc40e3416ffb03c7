#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "coordination/relays.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_relay.h"
#include "protocol/frame.h"
#include "protocol/relay_codec.h"

/* Calls of each kind in one frame. */
#define RL_MAX_BATCH 64
/*
 * Orders in one frame, and the largest that is relayed at all: the rest of a frame
 * is room for renewals.
 */
#define RL_MAX_ORDERS_BYTES (FR_MAX_PAYLOAD_BYTES / 2)
/* Timeouts of relayed calls; a relay itself gives the worker less time. */
#define RL_ORDER_TIMEOUT_US (450 * CLK_US_PER_MS)
#define RL_RENEWAL_SLACK_US (600 * CLK_US_PER_MS)
/* A relay itself awaits the worker's overdue reply for less time. */
#define RL_OVERDUE_TIMEOUT_US (4 * CLK_US_PER_S)
/* How long a relay is not used after it failed. */
#define RL_AVOID_US (CLK_US_PER_S)
#define RL_TABLE_REFRESH_US (200 * CLK_US_PER_MS)

/* A relay, with the batch of calls that is sent to it next. */
struct rl_relay {
	const char *vm;
	uint64_t link;
	int64_t avoid_until_us;
	bool failed; /* only while calls are checked */
	Currant__RelayedOrder order[RL_MAX_BATCH];
	Currant__RelayedOrder *orders[RL_MAX_BATCH];
	uint32_t order_count;
	size_t orders_bytes;
	Currant__RelayedHold renewal[RL_MAX_BATCH];
	Currant__RelayedHold *renewals[RL_MAX_BATCH];
	uint32_t renewal_count;
	UT_hash_handle hh;
};

/* A relayed call without a response. */
struct rl_call {
	uint64_t id;
	struct rl_relay *relay;
	int64_t deadline_us;
	fl_order_fn order_done;
	fl_renewal_fn renewal_done;
	void *arg;
	const char *worker;
	const char *address;
	struct wp_renewal renewal;
	uint64_t fence;
	bool overdue;
	UT_hash_handle hh;
};

struct rl_dispatcher {
	struct cell *c;
	struct rl_relay *relays;
	struct rl_call *calls;
	uint64_t next_id;
	struct re_table *table;
	int64_t table_refresh_at_us;
	struct re_pause pause;
};

struct rl_dispatcher *
rl_create(struct cell *c)
{
	struct rl_dispatcher *d = talloc_zero(c, struct rl_dispatcher);

	if (d == NULL)
		abort();
	d->c = c;
	return d;
}

static struct rl_relay *
rl_get_relay(struct rl_dispatcher *d, const char *vm)
{
	struct rl_relay *r;

	HASH_FIND_STR(d->relays, vm, r);
	if (r != NULL)
		return r;
	r = talloc_zero(d, struct rl_relay);
	if (r == NULL)
		abort();
	r->vm = tx_dup(r, vm);
	HASH_ADD_STR(d->relays, vm, r);
	return r;
}

static bool
rl_is_usable(struct rl_dispatcher *d, const char *vm, int64_t now_us)
{
	const struct rl_relay *r;

	HASH_FIND_STR(d->relays, vm, r);
	return pn_link(d->c->links, vm) != NULL &&
	    (r == NULL || now_us >= r->avoid_until_us);
}

static void
rl_refresh_table(struct rl_dispatcher *d, int64_t now_us)
{
	const struct replica *replica = d->c->replica;
	uint32_t count = 0;
	struct re_candidate *list;
	struct rp_member *m;
	struct rp_member *tmp;

	if (now_us < d->table_refresh_at_us)
		return;
	d->table_refresh_at_us = now_us + RL_TABLE_REFRESH_US;
	list = talloc_zero_array(
	    d, struct re_candidate, HASH_COUNT(replica->members) + 1);
	if (list == NULL)
		abort();
	HASH_ITER(hh, replica->members, m, tmp) {
		if (!m->present || strcmp(m->vm, d->c->settings->vm) == 0)
			continue;
		list[count++] = (struct re_candidate){
		    .vm = m->vm,
		    .domain = m->domain,
		    .cpu_mcpu = m->cpu_mcpu,
		    .owns_pool = rp_owns_any(replica, m->vm),
		    .reachable = rl_is_usable(d, m->vm, now_us),
		};
	}
	talloc_free(d->table);
	d->table = re_create(d, list, count);
	talloc_free(list);
}

/* The relay for a worker, or NULL if the worker is called directly. */
static struct rl_relay *
rl_choose_relay(struct rl_dispatcher *d, const struct wp_worker *w)
{
	struct peer_link *link;
	struct rl_relay *r;
	const char *vm;

	if (w == NULL || w->domain[0] == '\0')
		return NULL;
	rl_refresh_table(d, clk_now_us());
	vm = re_pick(d->table, w->domain, w->id);
	link = vm != NULL ? pn_link(d->c->links, vm) : NULL;
	if (link == NULL)
		return NULL;
	r = rl_get_relay(d, vm);
	r->link = peer_serial(link);
	return r;
}

static void
rl_send_batch(struct rl_dispatcher *d, struct rl_relay *r)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link;

	if (r->order_count + r->renewal_count == 0)
		return;
	frame.relayed_orders = r->orders;
	frame.n_relayed_orders = r->order_count;
	frame.relayed_holds = r->renewals;
	frame.n_relayed_holds = r->renewal_count;
	frame.has_sent_us = true;
	frame.sent_us = clk_now_us();
	link = pn_link(d->c->links, r->vm);
	/* Calls that can't be sent fail at their deadlines. */
	if (link != NULL)
		peer_send(link, &frame);
	r->order_count = 0;
	r->orders_bytes = 0;
	r->renewal_count = 0;
}

void
rl_flush(struct rl_dispatcher *d)
{
	struct rl_relay *r;
	struct rl_relay *tmp;

	HASH_ITER(hh, d->relays, r, tmp)
		rl_send_batch(d, r);
}

static struct rl_call *
rl_call_create(struct rl_dispatcher *d, struct rl_relay *r, int64_t wait_us)
{
	struct rl_call *call = talloc_zero(d, struct rl_call);

	if (call == NULL)
		abort();
	call->id = ++d->next_id;
	call->relay = r;
	call->deadline_us = clk_now_us() + wait_us;
	HASH_ADD(hh, d->calls, id, sizeof(call->id), call);
	return call;
}

void
rl_order(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_order *o, uint64_t fence, bool relayed, fl_order_fn done,
    void *arg)
{
	const struct fl_fleet *f = d->c->fleet;
	struct rl_relay *r = relayed ? rl_choose_relay(d, w) : NULL;
	Currant__RelayedOrder row;
	struct rl_call *call;
	size_t bytes = 0;

	if (r != NULL) {
		rc_pack_order(&row, d->next_id + 1, o, fence);
		bytes = currant__relayed_order__get_packed_size(&row);
	}
	if (r == NULL || bytes > RL_MAX_ORDERS_BYTES) {
		f->workers->order(f->handle, o, fence, done, arg);
		return;
	}
	if (r->order_count == RL_MAX_BATCH ||
	    r->orders_bytes + bytes > RL_MAX_ORDERS_BYTES)
		rl_send_batch(d, r);
	call = rl_call_create(d, r, RL_ORDER_TIMEOUT_US);
	call->order_done = done;
	call->arg = arg;
	r->order[r->order_count] = row;
	r->orders[r->order_count] = &r->order[r->order_count];
	r->orders_bytes += bytes;
	r->order_count++;
}

/* What a renewal needs of the worker, which the call outlives. */
static struct wp_worker
rl_called_worker(const struct rl_call *call)
{
	return (struct wp_worker){
	    .id = call->worker,
	    .address = call->address,
	};
}

void
rl_renew(struct rl_dispatcher *d, const struct wp_worker *w,
    const struct wp_renewal *renewal, uint64_t fence, bool relayed,
    fl_renewal_fn done, void *arg)
{
	const struct fl_fleet *f = d->c->fleet;
	struct rl_relay *r = relayed ? rl_choose_relay(d, w) : NULL;
	struct wp_worker called;
	struct rl_call *call;

	if (r == NULL) {
		f->workers->renew(f->handle, w, renewal, fence, done, arg);
		return;
	}
	if (r->renewal_count == RL_MAX_BATCH)
		rl_send_batch(d, r);
	call = rl_call_create(
	    d, r, renewal->wait_ms * CLK_US_PER_MS + RL_RENEWAL_SLACK_US);
	call->renewal_done = done;
	call->arg = arg;
	call->renewal = *renewal;
	call->fence = fence;
	call->worker = tx_dup(call, w->id);
	call->address = tx_dup(call, w->address);
	called = rl_called_worker(call);
	rc_pack_renewal(
	    &r->renewal[r->renewal_count], call->id, &called, renewal, fence);
	r->renewals[r->renewal_count] = &r->renewal[r->renewal_count];
	r->renewal_count++;
}

/* A renewal may be repeated, so the worker is called directly. */
static void
rl_renew_directly(struct rl_dispatcher *d, const struct rl_call *call)
{
	const struct fl_fleet *f = d->c->fleet;
	struct wp_renewal renewal = call->renewal;
	const struct wp_worker w = rl_called_worker(call);

	renewal.wait_ms = 0;
	/* The worker may have been restarted since the first attempt. */
	renewal.acked_end = 0;
	f->workers->renew(f->handle, &w, &renewal, call->fence,
	    call->renewal_done, call->arg);
}

static void
rl_call_failed(struct rl_dispatcher *d, struct rl_call *call)
{
	HASH_DEL(d->calls, call);
	if (call->order_done != NULL)
		call->order_done(WP_NO_ANSWER, 0, call->arg);
	else if (call->overdue)
		call->renewal_done(WP_NO_ANSWER, NULL, call->arg);
	else
		rl_renew_directly(d, call);
	talloc_free(call);
}

static void
rl_relay_failed(struct rl_dispatcher *d, struct rl_relay *r, const char *reason)
{
	struct rl_call *call;
	struct rl_call *tmp;
	uint32_t calls = 0;

	r->avoid_until_us = clk_now_us() + RL_AVOID_US;
	r->order_count = 0;
	r->orders_bytes = 0;
	r->renewal_count = 0;
	d->table_refresh_at_us = 0;
	HASH_ITER(hh, d->calls, call, tmp) {
		if (call->relay != r)
			continue;
		calls++;
		rl_call_failed(d, call);
	}
	lg_event(LG_WARN, "relay", "failed", "relay", r->vm, "reason", reason,
	    "calls", lg_i64(calls), NULL);
}

static void
rl_on_order_result(
    struct rl_dispatcher *d, const Currant__RelayedOrderResult *row)
{
	struct rl_call *call;

	HASH_FIND(hh, d->calls, &row->id, sizeof(row->id), call);
	if (call == NULL || call->order_done == NULL)
		return;
	HASH_DEL(d->calls, call);
	call->order_done(
	    rc_unpack_order_result(row->result), row->clock_ms, call->arg);
	talloc_free(call);
}

static void
rl_on_renewal_result(
    struct rl_dispatcher *d, const Currant__RelayedHoldResult *row)
{
	enum wp_order_result result = rc_unpack_renewal_result(row->result);
	struct wp_renewal_reply reply;
	struct rl_call *call;

	HASH_FIND(hh, d->calls, &row->id, sizeof(row->id), call);
	if (call == NULL || call->renewal_done == NULL)
		return;
	if (result == WP_OVERDUE) {
		call->overdue = true;
		call->deadline_us = clk_now_us() + RL_OVERDUE_TIMEOUT_US;
		call->renewal_done(result, NULL, call->arg);
		return;
	}
	if (row->result == RC_REPLY_TOO_LARGE) {
		rl_call_failed(d, call);
		return;
	}
	HASH_DEL(d->calls, call);
	if (result == WP_ACCEPTED &&
	    !rc_unpack_renewal_reply(call, row, &reply)) {
		lg_event(LG_WARN, "relay", "unreadable_lists", "relay",
		    call->relay->vm, "worker", call->worker, NULL);
		result = WP_NO_ANSWER;
	}
	call->renewal_done(
	    result, result == WP_ACCEPTED ? &reply : NULL, call->arg);
	talloc_free(call);
}

void
rl_on_results(struct rl_dispatcher *d, const Currant__Frame *frame)
{
	size_t i;

	for (i = 0; i < frame->n_order_results; i++)
		rl_on_order_result(d, frame->order_results[i]);
	for (i = 0; i < frame->n_hold_results; i++)
		rl_on_renewal_result(d, frame->hold_results[i]);
}

void
rl_on_closed(struct rl_dispatcher *d, struct peer_link *link)
{
	struct rl_relay *r;
	struct rl_relay *tmp;

	HASH_ITER(hh, d->relays, r, tmp) {
		if (r->link != peer_serial(link))
			continue;
		r->link = 0;
		rl_relay_failed(d, r, "link closed");
	}
}

void
rl_tick(struct rl_dispatcher *d, int64_t now_us)
{
	struct rl_call *call;
	struct rl_call *tmp;
	struct rl_relay *r;
	struct rl_relay *tmp_relay;

	/* After this process was paused, sockets are read before calls time out. */
	if (re_may_be_unread(&d->pause, now_us))
		return;
	HASH_ITER(hh, d->calls, call, tmp) {
		if (now_us < call->deadline_us)
			continue;
		if (call->overdue)
			rl_call_failed(d, call);
		else
			call->relay->failed = true;
	}
	HASH_ITER(hh, d->relays, r, tmp_relay) {
		if (!r->failed)
			continue;
		r->failed = false;
		rl_relay_failed(d, r, "no answer");
	}
}
