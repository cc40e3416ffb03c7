#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_advice_internal.h"
#include "protocol/frame.h"
#include "protocol/pack.h"
#include "state/advice_queue.h"

void
av_forward(struct av_dispatcher *d, struct av_request *req, int64_t now_us)
{
	Currant__AdviceAsk row = CURRANT__ADVICE_ASK__INIT;
	Currant__Frame frame = CURRANT__FRAME__INIT;

	req->id = ++d->last_id;
	req->deadline_us =
	    aq_answer_deadline_us(now_us, req->target->load->in_flight_cost_us,
		req->target->load->for_short && !req->target->load->lends
		    ? 0
		    : d->largest_cost_us);
	row.id = req->id;
	row.job = req->request.job;
	row.occurrence = req->request.occurrence;
	row.step = req->request.step;
	row.workers = req->worker;
	row.n_workers = req->request.worker_count;
	row.cost_us = (uint64_t)req->cost_us;
	row.priority = req->request.priority;
	frame.advice_ask = &row;
	DL_APPEND(d->forwarded, req);
	if (!peer_send(req->target->link, &frame))
		req->deadline_us = now_us;
}

/* Approvals that a frame has no room for are left out: others will do. */
static void
av_shorten_to_fit(const Currant__Frame *frame, Currant__AdviceAnswer *answer)
{
	size_t approved = answer->n_good;

	while (answer->n_good > 0 && !fr_fits(frame))
		answer->n_good /= 2;
	if (answer->n_good == approved)
		return;
	answer->ok = answer->n_good > 0;
	lg_event(LG_WARN, "advice", "answer_too_large", "approved",
	    lg_i64((int64_t)approved), "passed_on",
	    lg_i64((int64_t)answer->n_good), NULL);
}

void
av_respond_to_peer(struct av_request *req, bool ok,
    const struct wp_approval *approved, uint32_t count)
{
	Currant__AdviceAnswer answer = CURRANT__ADVICE_ANSWER__INIT;
	Currant__AdviceTicket row[WP_MAX_ADVICE_WORKERS];
	Currant__AdviceTicket *rows[WP_MAX_ADVICE_WORKERS];
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = peer_find(req->d->c->peers, req->origin_link);
	uint32_t i;

	if (link == NULL)
		return;
	for (i = 0; i < count; i++) {
		currant__advice_ticket__init(&row[i]);
		row[i].worker = pk_text(approved[i].worker);
		row[i].ticket = pk_text(approved[i].ticket);
		rows[i] = &row[i];
	}
	answer.id = req->id;
	answer.ok = ok;
	answer.good = rows;
	answer.n_good = count;
	frame.advice_answer = &answer;
	av_shorten_to_fit(&frame, &answer);
	peer_send(link, &frame);
}
