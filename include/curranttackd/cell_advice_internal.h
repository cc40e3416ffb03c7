#ifndef CURRANTTACKD_CELL_ADVICE_INTERNAL_H
#define CURRANTTACKD_CELL_ADVICE_INTERNAL_H

#include "coordination/relays.h"
#include "curranttackd/cell_advice.h"
#include "state/advice_queue.h"

/**
 * DOC: Shared by the files that spread advice requests over daemons. Lowest
 * first: cell_advice_forward (requests and answers on the way to peers),
 * cell_advice_targets (the daemon that a request goes to), cell_advice (queues
 * of requests, and calls of the service), cell_advice_peers (what peers send),
 * cell_advice_tick (timeouts and the log).
 */

#define AV_MAX_TARGETS 256

/**
 * struct av_target - a daemon that can call the service
 * @vm: its VM
 * @link: connection to it, or NULL; unused for this daemon
 * @load: what it can take, and what it has
 * @avoid_until_us: gets none before, as it has been silent
 * @overdue: only while links are checked: a request there has no answer in time
 */
struct av_target {
	char vm[WT_VM_BYTES];
	struct peer_link *link;
	struct aq_load *load;
	int64_t avoid_until_us;
	bool overdue;
};

/**
 * struct av_request - queued for a target, in the local queue, or forwarded
 * @d: dispatcher
 * @request: the request; names the workers in @worker
 * @worker: copies of the workers' names
 * @cost_us: time that the service needs for it
 * @made_us: when it was created
 * @queued_us: when it was put into its present queue
 * @target: daemon that has it; NULL while it is queued, or when a peer sent it
 * @deadline_us: a peer that has not answered by then is silent
 * @done: called with the answer, unless a peer sent the request
 * @arg: argument of @done
 * @origin_link: serial of the link to the peer that sent it, or 0
 * @id: of a forwarded request, or the id that the peer gave it
 */
struct av_request {
	struct av_dispatcher *d;
	struct wp_advice_request request;
	char *worker[WP_MAX_ADVICE_WORKERS];
	int64_t cost_us;
	int64_t made_us;
	int64_t queued_us;
	struct av_target *target;
	int64_t deadline_us;
	fl_advice_fn done;
	void *arg;
	uint64_t origin_link;
	uint64_t id;
	struct av_request *prev;
	struct av_request *next;
};

/* Requests of this daemon's pools since the last line of the log. */
struct av_stats {
	uint32_t answered;
	uint32_t failed;
	int64_t answered_cost_us;
	int64_t failed_cost_us;
};

/**
 * struct av_dispatcher - advice requests of one daemon
 * @c: cell
 * @queue: requests of this daemon's pools without a target
 * @local_queue: requests that this daemon asks the service itself
 * @forwarded: requests that peers have
 * @local_in_flight: calls of the service in flight
 * @target: daemons that can call the service; the first one is this daemon
 * @load: of the target of the same index
 * @target_count: number of them
 * @last_id: id of the last forwarded request
 * @refresh_at_us: when the targets are next brought up to date
 * @largest_cost_us: the largest cost of a request so far
 * @log_at_us: when the state is next logged
 * @pause: no peer is taken for silent while answers may be unread
 * @stats: counts since the last line of the log
 */
struct av_dispatcher {
	struct cell *c;
	struct av_request *queue;
	struct av_request *local_queue;
	struct av_request *forwarded;
	uint32_t local_in_flight;
	struct av_target target[AV_MAX_TARGETS];
	struct aq_load load[AV_MAX_TARGETS];
	uint32_t target_count;
	uint64_t last_id;
	int64_t refresh_at_us;
	int64_t largest_cost_us;
	int64_t log_at_us;
	struct re_pause pause;
	struct av_stats stats;
};

/* cell_advice_forward.c */

/** av_forward() - send a request to its target, a peer */
void av_forward(
    struct av_dispatcher *d, struct av_request *req, int64_t now_us);
/** av_respond_to_peer() - send the answer to a request that a peer has sent */
void av_respond_to_peer(struct av_request *req, bool ok,
    const struct wp_approval *approved, uint32_t count);

/* cell_advice_targets.c */

/**
 * av_refresh_targets() - update at intervals which daemons can be used
 *
 * And which of them are kept for short requests.
 */
void av_refresh_targets(struct av_dispatcher *d, int64_t now_us);
/**
 * av_choose_target() - the daemon for a request
 * @d: dispatcher
 * @is_short: whether it is a short request
 * @waited_us: how long the oldest request of its kind has waited
 *
 * Return: the daemon, or NULL while all are busy.
 */
struct av_target *av_choose_target(
    struct av_dispatcher *d, bool is_short, int64_t waited_us);

/* cell_advice.c */

/** av_request_create() - a copy of a request, in no queue */
struct av_request *av_request_create(
    struct av_dispatcher *d, const struct wp_advice_request *request);
/** av_start_local() - call the service as long as requests and calls are left */
void av_start_local(struct av_dispatcher *d);
/** av_dispatch() - pass queued requests to daemons that are free */
void av_dispatch(struct av_dispatcher *d);
/** av_finish() - pass on the answer to a request that is in no list; frees it */
void av_finish(struct av_request *req, bool ok,
    const struct wp_approval *approved, uint32_t count);

#endif
