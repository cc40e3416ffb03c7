#ifndef STATE_ROUTING_H
#define STATE_ROUTING_H

#include <talloc.h>

#include "common/counters.h"
#include "common/rng.h"
#include "state/policy.h"
#include "state/types.h"

/**
 * DOC: Load balancing of requests to one service, by one daemon.
 *
 * Does no I/O and reads no clock: rt_request_arrived(), rt_attempt_ended() and
 * rt_tick() take events, and rt_next_action() returns what the caller has to
 * do. The daemon may use a share of the slots of each endpoint in its failure
 * domain. A request that finds no free slot is forwarded to a peer with free
 * slots, or waits in a bounded queue of its class.
 */

#define RT_NONE UINT32_MAX

/**
 * struct rt_endpoint - one instance of the service in this failure domain
 * @id: VM id
 * @address: "IP:PORT"
 * @slots: requests that it serves at a time
 * @share: slots that this daemon may use
 * @outstanding: attempts in flight from this daemon
 * @leaving: receives no new requests
 * @configured: named by the latest update of endpoints
 * @failures: consecutive failures
 * @ejections: ejections since the last success; each doubles the next
 * @ejected_until_us: receives no requests until then
 * @probing: after an ejection, one request at a time until one succeeds
 * @service_us: smoothed service time
 */
struct rt_endpoint {
	char *id;
	char *address;
	uint32_t slots;
	uint32_t share;
	uint32_t outstanding;
	bool leaving;
	bool configured;
	uint32_t failures;
	uint32_t ejections;
	int64_t ejected_until_us;
	bool probing;
	int64_t service_us;
};

/**
 * struct rt_request - one request; the caller of this module embeds it
 * @request_class: class
 * @idempotent: may be sent again after a lost attempt
 * @may_forward: may be forwarded to a peer; at most once
 * @may_have_run: an attempt was lost, so it can't be reported as not run
 * @deadline_us: a response after this time is of no use
 * @arrived_us: when it arrived
 * @sent_us: when its current attempt was sent
 * @endpoint: endpoint of its current attempt, or RT_NONE
 * @avoid_endpoint: endpoint of the last attempt, avoided in a retry; or RT_NONE
 * @attempts: attempts so far
 * @arg: for the caller of this module
 */
struct rt_request {
	enum st_class request_class;
	bool idempotent;
	bool may_forward;
	bool may_have_run;
	int64_t deadline_us;
	int64_t arrived_us;
	int64_t sent_us;
	uint32_t endpoint;
	uint32_t avoid_endpoint;
	uint32_t attempts;
	void *arg;
	struct rt_request *prev;
	struct rt_request *next;
};

/** enum rt_action_kind - what the caller has to do with a request */
enum rt_action_kind {
	RT_SEND,	   /* send it to request->endpoint */
	RT_FORWARD,	   /* forward it to a peer with free slots */
	RT_REFUSE,	   /* report that it did not run */
	RT_REPORT_UNKNOWN, /* report that it may have run */
};

/** enum rt_reason - why a request ends without a response */
enum rt_reason {
	RT_QUEUE_FULL,
	RT_TOO_LATE,	/* it would miss its deadline */
	RT_NO_ENDPOINT, /* no endpoint accepts requests */
	RT_NO_RETRY,	/* an attempt failed and it may not be retried */
	RT_EVICTED,	/* removed from the queue for a more urgent one */
};

/**
 * struct rt_action - something that the caller has to do
 * @kind: what to do
 * @reason: for RT_REFUSE and RT_REPORT_UNKNOWN
 * @retry_after_ms: for the same: when the client should try again
 * @request: request
 */
struct rt_action {
	enum rt_action_kind kind;
	enum rt_reason reason;
	uint32_t retry_after_ms;
	struct rt_request *request;
	struct rt_action *next;
};

/** enum rt_attempt_result - how an attempt ended */
enum rt_attempt_result {
	RT_ANSWERED, /* the whole response arrived */
	RT_REFUSED,  /* the endpoint says that it did not run */
	RT_UNSENT,   /* no connection, so it did not run */
	RT_LOST,     /* connection lost or timeout: it may have run */
};

/**
 * struct rt_service - requests of one service on this daemon
 * @name: service
 * @policy: policy in effect
 * @endpoint: endpoints in this failure domain; entries are never removed
 * @rank: index of this daemon among those that share the endpoints
 * @daemons: number of daemons that share the endpoints
 * @queue: waiting requests by class, oldest first
 * @queued: their number by class
 * @peer_free_slots: free slots that peers have reported, less forwards
 * @retry_tokens: retry budget, in thousandths of a retry
 * @service_us: smoothed service time over all endpoints
 * @outstanding: attempts in flight
 * @actions: actions for rt_next_action(), oldest first
 * @choose: load balancing algorithm; returns an endpoint's index or RT_NONE
 * @sends: attempts sent so far
 * @retries: retries so far
 * @latency: time from arrival to response, by class
 */
struct rt_service {
	char *name;
	const struct po_policy *policy;
	struct rt_endpoint *endpoint;
	uint32_t endpoint_count;
	uint32_t rank;
	uint32_t daemons;
	struct rt_request *queue[ST_CLASS_COUNT];
	uint32_t queued[ST_CLASS_COUNT];
	uint32_t peer_free_slots;
	uint32_t retry_tokens;
	int64_t service_us;
	uint32_t outstanding;
	struct rng rng;
	struct rt_action *actions;
	struct rt_action *last_action;
	uint32_t (*choose)(
	    struct rt_service *s, const struct rt_request *req, int64_t now_us);
	uint64_t sends;
	uint64_t retries;
	struct ct_histogram latency[ST_CLASS_COUNT];
};

/** rt_create() - create a service without endpoints; NULL without memory */
struct rt_service *rt_create(TALLOC_CTX *ctx, const char *name,
    const struct po_policy *policy, uint64_t seed);

/** rt_set_policy() - switch the policy in effect */
void rt_set_policy(struct rt_service *s, const struct po_policy *policy);

/**
 * rt_begin_update() - begin an update of the list of endpoints
 *
 * Endpoints that are not named before rt_end_update() receive no new requests.
 */
void rt_begin_update(struct rt_service *s);
/**
 * rt_update_endpoint() - add or update one endpoint
 * @s: service
 * @id: VM id
 * @address: "IP:PORT"
 * @slots: requests that it serves at a time
 * @leaving: receives no new requests
 */
void rt_update_endpoint(struct rt_service *s, const char *id,
    const char *address, uint32_t slots, bool leaving);
/** rt_end_update() - end the update, and send waiting requests */
void rt_end_update(struct rt_service *s, int64_t now_us);

/**
 * rt_set_share() - divide the endpoints' slots among the domain's daemons
 * @s: service
 * @rank: index of this daemon, 0 to @daemons - 1
 * @daemons: daemons of the failure domain that accept work
 * @now_us: time
 */
void rt_set_share(
    struct rt_service *s, uint32_t rank, uint32_t daemons, int64_t now_us);

/** rt_set_peer_free_slots() - set the number of free slots that peers report */
void rt_set_peer_free_slots(struct rt_service *s, uint32_t slots);

/** rt_free_slots() - count the free slots in this daemon's share */
int32_t rt_free_slots(const struct rt_service *s, int64_t now_us);

/** rt_request_arrived() - send, forward, queue or refuse a new request */
void rt_request_arrived(
    struct rt_service *s, struct rt_request *req, int64_t now_us);

/**
 * rt_attempt_ended() - process the end of an attempt that RT_SEND started
 * @s: service
 * @req: request; not used any more after RT_ANSWERED
 * @how: how it ended
 * @now_us: time
 */
void rt_attempt_ended(struct rt_service *s, struct rt_request *req,
    enum rt_attempt_result how, int64_t now_us);

/**
 * rt_forward_failed() - process a request that a peer did not run
 * @s: service
 * @req: request; it is sent, queued or refused here
 * @now_us: time
 */
void rt_forward_failed(
    struct rt_service *s, struct rt_request *req, int64_t now_us);

/** rt_tick() - refuse requests past their deadline and send waiting ones */
void rt_tick(struct rt_service *s, int64_t now_us);

/**
 * rt_next_action() - remove and return the oldest action
 * @s: service
 * @out: action
 *
 * Return: false when there is none.
 */
bool rt_next_action(struct rt_service *s, struct rt_action *out);

/** rt_reason_text() - text of a reason, for callers */
const char *rt_reason_text(enum rt_reason r);

/** rt_choose_least_outstanding() - endpoint with the fewest open attempts */
uint32_t rt_choose_least_outstanding(
    struct rt_service *s, const struct rt_request *req, int64_t now_us);
/** rt_choose_two_random() - baseline: better of two random ones that are free */
uint32_t rt_choose_two_random(
    struct rt_service *s, const struct rt_request *req, int64_t now_us);

#endif
