#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell_advice_internal.h"
#include "curranttackd/cell_peers.h"
#include "curranttackd/cell_pool.h"

#define AV_AVOID_US (CLK_US_PER_S)
#define AV_LOG_EVERY_US (CLK_US_PER_S)
/* Longer than between heartbeats, shorter than the wait for any answer. */
#define AV_LINK_HEARD_US (1500 * CLK_US_PER_MS)

static void
av_log_silent(const struct av_request *req, int64_t now_us)
{
	const struct av_target *target = req->target;
	int64_t unheard_us =
	    target->link != NULL ? now_us - peer_heard_us(target->link) : 0;

	lg_event(LG_WARN, "advice", "peer_silent", "peer", target->vm, "job",
	    req->request.job, "waited_ms",
	    lg_i64((now_us - req->made_us) / CLK_US_PER_MS), "in_flight",
	    lg_i64(target->load->in_flight), "unheard_ms",
	    lg_i64(unheard_us / CLK_US_PER_MS), NULL);
}

static bool
av_is_heard(const struct av_target *target, int64_t now_us)
{
	return target->link != NULL &&
	    now_us - peer_heard_us(target->link) < AV_LINK_HEARD_US;
}

/* It gets nothing that the failing of other requests makes room for. */
static void
av_set_overdue(const struct av_request *req, int64_t now_us)
{
	struct av_target *target = req->target;

	if (target->overdue)
		return;
	av_log_silent(req, now_us);
	/* That a link is silent is not held against its daemon. */
	if (av_is_heard(target, now_us))
		aq_on_answer(target->load, false, now_us);
	target->overdue = true;
	target->avoid_until_us = now_us + AV_AVOID_US;
	target->load->usable = false;
}

/* A peer may not respond because its connection has silently failed. */
static void
av_check_timeouts(struct av_dispatcher *d, int64_t now_us)
{
	struct av_request *req;
	uint32_t i;

	if (re_may_be_unread(&d->pause, now_us))
		return;
	DL_FOREACH(d->forwarded, req) {
		if (now_us >= req->deadline_us)
			av_set_overdue(req, now_us);
	}
	for (i = 1; i < d->target_count; i++) {
		struct av_target *target = &d->target[i];

		if (!target->overdue)
			continue;
		target->overdue = false;
		/* Closing the link fails all of its requests. */
		pn_reset_link(d->c->links, target->vm);
	}
}

/* Requests in a list, and how long the oldest has been waiting. */
static uint32_t
av_count_list(const struct av_request *list, int64_t now_us, int64_t *oldest_us)
{
	const struct av_request *req;
	uint32_t n = 0;

	*oldest_us = 0;
	DL_FOREACH(list, req) {
		n++;
		if (now_us - req->made_us > *oldest_us)
			*oldest_us = now_us - req->made_us;
	}
	return n;
}

/* The daemon that has had a request for longest. */
static const char *
av_slowest_peer(const struct av_dispatcher *d)
{
	const struct av_request *slowest = d->forwarded;
	const struct av_request *req;

	DL_FOREACH(d->forwarded, req) {
		if (req->made_us < slowest->made_us)
			slowest = req;
	}
	return slowest != NULL ? slowest->target->vm : "";
}

static void
av_log_state(struct av_dispatcher *d, int64_t now_us)
{
	const struct av_stats *stats = &d->stats;
	uint32_t usable[2] = {0};
	uint32_t busy[2] = {0};
	uint32_t failing[2] = {0};
	int64_t queued_us;
	int64_t forwarded_us;
	int64_t local_us;
	uint32_t queued;
	uint32_t forwarded;
	uint32_t local;
	uint32_t i;

	if (now_us < d->log_at_us)
		return;
	d->log_at_us = now_us + AV_LOG_EVERY_US;
	for (i = 0; i < d->target_count; i++) {
		const struct av_target *target = &d->target[i];

		usable[target->load->for_short] += target->load->usable;
		busy[target->load->for_short] +=
		    target->load->usable && target->load->in_flight > 0;
		failing[target->load->for_short] +=
		    target->load->usable && aq_is_failing(target->load, now_us);
	}
	queued = av_count_list(d->queue, now_us, &queued_us);
	forwarded = av_count_list(d->forwarded, now_us, &forwarded_us);
	local = av_count_list(d->local_queue, now_us, &local_us);
	lg_event(LG_INFO, "advice", "state", "queued", lg_i64(queued),
	    "queued_ms", lg_i64(queued_us / CLK_US_PER_MS), "forwarded",
	    lg_i64(forwarded), "forwarded_ms",
	    lg_i64(forwarded_us / CLK_US_PER_MS), "slowest", av_slowest_peer(d),
	    "local", lg_i64(local), "local_ms",
	    lg_i64(local_us / CLK_US_PER_MS), "long_targets",
	    lg_i64(usable[false]), "long_busy", lg_i64(busy[false]),
	    "long_failing", lg_i64(failing[false]), "short_targets",
	    lg_i64(usable[true]), "short_busy", lg_i64(busy[true]),
	    "short_failing", lg_i64(failing[true]), "answered",
	    lg_i64(stats->answered), "failed", lg_i64(stats->failed),
	    "answered_cost_ms", lg_i64(stats->answered_cost_us / CLK_US_PER_MS),
	    "failed_cost_ms", lg_i64(stats->failed_cost_us / CLK_US_PER_MS),
	    NULL);
	memset(&d->stats, 0, sizeof(d->stats));
}

void
av_tick(struct av_dispatcher *d, int64_t now_us)
{
	if (cp_owned_count(d->c) == 0)
		return;
	av_check_timeouts(d, now_us);
	av_refresh_targets(d, now_us);
	av_dispatch(d);
	av_log_state(d, now_us);
}
