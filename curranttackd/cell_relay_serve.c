#include <stdlib.h>

#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_relay.h"
#include "protocol/relay_codec.h"

/* A call that this daemon makes for an owner. */
struct rl_errand {
	struct cell *c;
	uint64_t link;
	uint64_t id;
};

static struct rl_errand *
rl_errand_create(struct cell *c, struct peer_link *link, uint64_t id)
{
	struct rl_errand *e = talloc_zero(c, struct rl_errand);

	if (e == NULL)
		abort();
	e->c = c;
	e->link = peer_serial(link);
	e->id = id;
	return e;
}

static void
rl_answer(struct rl_errand *e, const Currant__Frame *frame)
{
	struct peer_link *link = peer_find(e->c->peers, e->link);

	if (link != NULL)
		peer_send(link, frame);
	talloc_free(e);
}

static void
rl_on_order_done(enum wp_order_result result, int64_t clock_ms, void *arg)
{
	Currant__RelayedOrderResult row = CURRANT__RELAYED_ORDER_RESULT__INIT;
	Currant__RelayedOrderResult *rows = &row;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct rl_errand *e = arg;

	row.id = e->id;
	row.result = (uint32_t)result;
	row.has_clock_ms = true;
	row.clock_ms = clock_ms;
	frame.order_results = &rows;
	frame.n_order_results = 1;
	rl_answer(e, &frame);
}

static void
rl_on_hold_done(enum wp_order_result result,
    const struct wp_renewal_reply *reply, void *arg)
{
	Currant__RelayedHoldResult row = CURRANT__RELAYED_HOLD_RESULT__INIT;
	Currant__RelayedHoldResult *rows = &row;
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct rl_errand *e = arg;

	row.id = e->id;
	row.result = (uint32_t)result;
	if (reply != NULL)
		rc_pack_renewal_reply(e, &row, reply);
	frame.hold_results = &rows;
	frame.n_hold_results = 1;
	rl_answer(e, &frame);
}

static void
rl_serve_order(
    struct cell *c, struct peer_link *link, const Currant__RelayedOrder *row)
{
	const struct fl_fleet *f = c->fleet;
	struct rl_errand *e = rl_errand_create(c, link, row->id);
	struct wp_order o;

	if (!rc_unpack_order(row, &o)) {
		lg_event(
		    LG_WARN, "relay", "bad_order", "peer", peer_vm(link), NULL);
		rl_on_order_done(WP_NOT_SENT, 0, e);
		return;
	}
	ct_add(CT_RELAYED, 1);
	f->workers->order(f->handle, &o, row->fence, rl_on_order_done, e);
}

static void
rl_serve_hold(
    struct cell *c, struct peer_link *link, const Currant__RelayedHold *row)
{
	const struct fl_fleet *f = c->fleet;
	struct rl_errand *e = rl_errand_create(c, link, row->id);
	struct wp_worker w;
	struct wp_renewal hold;

	if (!rc_unpack_renewal(row, &w, &hold)) {
		lg_event(
		    LG_WARN, "relay", "bad_hold", "peer", peer_vm(link), NULL);
		rl_on_hold_done(WP_NOT_SENT, NULL, e);
		return;
	}
	ct_add(CT_RELAYED, 1);
	f->workers->renew(f->handle, &w, &hold, row->fence, rl_on_hold_done, e);
}

void
rl_serve(struct cell *c, struct peer_link *link, const Currant__Frame *frame)
{
	size_t i;

	for (i = 0; i < frame->n_relayed_orders; i++)
		rl_serve_order(c, link, frame->relayed_orders[i]);
	for (i = 0; i < frame->n_relayed_holds; i++)
		rl_serve_hold(c, link, frame->relayed_holds[i]);
}
