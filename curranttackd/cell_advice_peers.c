#include <stdio.h>
#include <utlist.h>

#include "common/clock.h"
#include "curranttackd/cell_advice_internal.h"

void
av_on_peer_request(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAsk *row)
{
	struct wp_advice_request request = {0};
	struct av_request *req;
	size_t i;

	snprintf(request.job, sizeof(request.job), "%s", row->job);
	request.occurrence = row->occurrence;
	request.step = row->step;
	request.base_cost_us = (uint32_t)row->cost_us;
	request.priority = row->priority;
	for (i = 0; i < row->n_workers && i < WP_MAX_ADVICE_WORKERS; i++)
		request.worker[request.worker_count++] = row->workers[i];
	req = av_request_create(d, &request);
	req->origin_link = peer_serial(link);
	req->id = row->id;
	DL_APPEND(d->local_queue, req);
	av_start_local(d);
}

void
av_on_peer_answer(struct av_dispatcher *d, struct peer_link *link,
    const Currant__AdviceAnswer *answer)
{
	struct wp_approval approved[WP_MAX_ADVICE_WORKERS];
	struct av_request *req;
	uint32_t n;

	DL_FOREACH(d->forwarded, req) {
		if (req->id == answer->id && req->target->link == link)
			break;
	}
	if (req == NULL)
		return;
	for (n = 0; n < answer->n_good && n < WP_MAX_ADVICE_WORKERS; n++) {
		approved[n].worker = answer->good[n]->worker;
		approved[n].ticket = answer->good[n]->ticket;
	}
	DL_DELETE(d->forwarded, req);
	aq_on_answer(req->target->load, answer->ok, clk_now_us());
	av_finish(req, answer->ok, approved, n);
	av_dispatch(d);
}

/* The sender asks another daemon, or this one over its next link. */
static void
av_drop_requests_of(struct av_dispatcher *d, uint64_t link)
{
	struct av_request *req;
	struct av_request *tmp;

	DL_FOREACH_SAFE(d->local_queue, req, tmp) {
		if (req->origin_link != link)
			continue;
		DL_DELETE(d->local_queue, req);
		talloc_free(req);
	}
}

void
av_on_closed(struct av_dispatcher *d, struct peer_link *link)
{
	struct av_request *req;
	struct av_request *tmp;
	uint32_t i;

	av_drop_requests_of(d, peer_serial(link));
	for (i = 1; i < d->target_count; i++) {
		struct av_target *target = &d->target[i];

		if (target->link != link)
			continue;
		target->link = NULL;
		target->load->usable = false;
		DL_FOREACH_SAFE(d->forwarded, req, tmp) {
			if (req->target != target)
				continue;
			DL_DELETE(d->forwarded, req);
			av_finish(req, false, NULL, 0);
		}
	}
}
