#include <stdlib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "coordination/relays.h"
#include "curranttackd/cell_relay.h"
#include "protocol/frame.h"
#include "protocol/relay_codec.h"

/* The sender of a call that was under way for so long has given it up. */
#define RL_MAX_DELAY_US (CLK_US_PER_S)

/* A daemon that this one relays for. */
struct rl_sender {
	uint64_t link;
	struct re_delay delay;
	UT_hash_handle hh;
};

/* A call that this daemon relays for an owner. */
struct rl_served_call {
	struct cell *c;
	uint64_t link;
	uint64_t id;
	uint64_t fence;
	/* Of an order. */
	struct jb_ref ref;
	uint32_t run;
	enum wp_order_kind kind;
	const char *worker;
	const char *owner;
};

static struct rl_sender *
rl_get_sender(struct cell *c, uint64_t link)
{
	struct rl_sender *s;

	HASH_FIND(hh, c->relay_senders, &link, sizeof(link), s);
	if (s != NULL)
		return s;
	s = talloc_zero(c, struct rl_sender);
	if (s == NULL)
		abort();
	s->link = link;
	HASH_ADD(hh, c->relay_senders, link, sizeof(s->link), s);
	return s;
}

void
rl_forget_sender(struct cell *c, struct peer_link *link)
{
	uint64_t serial = peer_serial(link);
	struct rl_sender *s;

	HASH_FIND(hh, c->relay_senders, &serial, sizeof(serial), s);
	if (s == NULL)
		return;
	HASH_DEL(c->relay_senders, s);
	talloc_free(s);
}

static struct rl_served_call *
rl_served_call_create(
    struct cell *c, struct peer_link *link, uint64_t id, uint64_t fence)
{
	struct rl_served_call *call = talloc_zero(c, struct rl_served_call);

	if (call == NULL)
		abort();
	call->c = c;
	call->link = peer_serial(link);
	call->id = id;
	call->fence = fence;
	call->owner = tx_dup(call, peer_vm(link));
	return call;
}

static void
rl_respond(struct rl_served_call *call, const Currant__Frame *frame)
{
	struct peer_link *link = peer_find(call->c->peers, call->link);

	if (link != NULL)
		peer_send(link, frame);
}

static void
rl_log_order_refused(
    const struct rl_served_call *call, enum wp_order_result result)
{
	lg_event(LG_INFO, "relay", "order_refused", "job", call->ref.job,
	    "step", lg_i64(call->ref.step), "index", lg_i64(call->ref.index),
	    "run", lg_i64(call->run), "kind", lg_i64(call->kind), "worker",
	    call->worker, "result", lg_i64(result), "owner", call->owner,
	    "fence", lg_i64((int64_t)call->fence), NULL);
}

static void
rl_on_order_done(enum wp_order_result result, int64_t clock_ms, void *arg)
{
	Currant__RelayedOrderResult row = CURRANT__RELAYED_ORDER_RESULT__INIT;
	Currant__RelayedOrderResult *rows = &row;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct rl_served_call *call = arg;

	if (result != WP_ACCEPTED)
		rl_log_order_refused(call, result);
	row.id = call->id;
	row.result = (uint32_t)result;
	row.has_clock_ms = true;
	row.clock_ms = clock_ms;
	frame.order_results = &rows;
	frame.n_order_results = 1;
	rl_respond(call, &frame);
	talloc_free(call);
}

static void
rl_on_renewal_done(enum wp_order_result result,
    const struct wp_renewal_reply *reply, void *arg)
{
	Currant__RelayedHoldResult row = CURRANT__RELAYED_HOLD_RESULT__INIT;
	Currant__RelayedHoldResult *rows = &row;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct rl_served_call *call = arg;

	row.id = call->id;
	row.result = (uint32_t)result;
	if (reply != NULL)
		rc_pack_renewal_reply(call, &row, reply);
	frame.hold_results = &rows;
	frame.n_hold_results = 1;
	if (reply != NULL && !fr_fits(&frame)) {
		lg_event(LG_WARN, "relay", "reply_too_large", "owner",
		    call->owner, "running", lg_i64(reply->running_count),
		    "ends", lg_i64(reply->end_count), NULL);
		currant__relayed_hold_result__init(&row);
		row.id = call->id;
		row.result = RC_REPLY_TOO_LARGE;
	}
	rl_respond(call, &frame);
	if (result != WP_OVERDUE)
		talloc_free(call);
}

/*
 * After a pause of this daemon or of the link, an order may be older than the
 * life of its worker, on whose clock the deadline is far ahead.
 */
static bool
rl_is_overdue_start(const struct wp_order *o, int64_t delay_us)
{
	return o->kind == WP_ORDER_START && delay_us > RL_MAX_DELAY_US;
}

static void
rl_serve_order(struct cell *c, struct peer_link *link,
    const Currant__RelayedOrder *row, int64_t delay_us)
{
	const struct fl_fleet *f = c->fleet;
	struct rl_served_call *call =
	    rl_served_call_create(c, link, row->id, row->fence);
	struct wp_order o;

	if (!rc_unpack_order(row, &o)) {
		lg_event(
		    LG_WARN, "relay", "bad_order", "peer", peer_vm(link), NULL);
		rl_on_order_done(WP_NOT_SENT, 0, call);
		return;
	}
	call->ref = o.ref;
	call->run = o.run;
	call->kind = o.kind;
	call->worker = tx_dup(call, o.worker);
	if (rl_is_overdue_start(&o, delay_us)) {
		lg_event(LG_WARN, "relay", "overdue_start", "peer",
		    peer_vm(link), "worker", o.worker, "delay_ms",
		    lg_i64(delay_us / CLK_US_PER_MS), NULL);
		rl_on_order_done(WP_NOT_SENT, 0, call);
		return;
	}
	ct_add(CT_RELAYED, 1);
	f->workers->order(f->handle, &o, row->fence, rl_on_order_done, call);
}

static void
rl_serve_renewal(struct cell *c, struct peer_link *link,
    const Currant__RelayedHold *row, int64_t delay_us)
{
	const struct fl_fleet *f = c->fleet;
	struct rl_served_call *call =
	    rl_served_call_create(c, link, row->id, row->fence);
	struct wp_worker w;
	struct wp_renewal renewal;

	if (!rc_unpack_renewal(row, &w, &renewal)) {
		lg_event(
		    LG_WARN, "relay", "bad_hold", "peer", peer_vm(link), NULL);
		rl_on_renewal_done(WP_NOT_SENT, NULL, call);
		return;
	}
	/* The worker may have been restarted since it was sent. */
	if (delay_us > RL_MAX_DELAY_US)
		rc_limit_late_renewal(&renewal);
	ct_add(CT_RELAYED, 1);
	f->workers->renew(
	    f->handle, &w, &renewal, row->fence, rl_on_renewal_done, call);
}

void
rl_serve(struct cell *c, struct peer_link *link, const Currant__Frame *frame)
{
	struct rl_sender *s;
	int64_t delay_us = 0;
	size_t i;

	if (frame->has_sent_us) {
		s = rl_get_sender(c, peer_serial(link));
		delay_us = re_delay_us(&s->delay, frame->sent_us, clk_now_us());
	}
	for (i = 0; i < frame->n_relayed_orders; i++)
		rl_serve_order(c, link, frame->relayed_orders[i], delay_us);
	for (i = 0; i < frame->n_relayed_holds; i++)
		rl_serve_renewal(c, link, frame->relayed_holds[i], delay_us);
}
