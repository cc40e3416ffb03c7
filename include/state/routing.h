#ifndef STATE_ROUTING_H
#define STATE_ROUTING_H

#include <talloc.h>

#include "common/counters.h"
#include "common/rng.h"
#include "state/policy.h"
#include "state/types.h"

/**
 * DOC: Requests to one service, as seen by one daemon.
 *
 * Pure: rt_request_arrived(), rt_attempt_ended() and rt_tick() take events, and
 * rt_next_action() hands out what is to be done. The daemon controls a share
 * of each endpoint's slots in its failure domain; what finds no slot goes to
 * a peer with room or waits in a bounded queue of its class.
 */

#define RT_NONE UINT32_MAX

/**
 * struct rt_endpoint - one instance in this failure domain
 * @id: VM id
 * @address: "IP:PORT"
 * @slots: its slots
 * @share: slots that this daemon may use
 * @outstanding: attempts under way
 * @leaving: gets nothing new
 * @configured: still configured
 * @failures: consecutive failures
 * @ejections: ejections since the last success
 * @ejected_until_us: gets nothing until then; then one probe
 * @probing: after an ejection, until one success
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
 * @idempotent: may be sent again
 * @may_forward: not yet forwarded by a peer
 * @may_have_run: an attempt was lost, so "not run" is no longer true
 * @deadline_us: an answer later than this is worthless
 * @arrived_us: when it came
 * @sent_us: when its attempt went out
 * @endpoint: endpoint of its attempt, or RT_NONE
 * @avoid_endpoint: endpoint that failed it
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

enum rt_action_kind {
	RT_SEND,	   /* to request->endpoint */
	RT_FORWARD,	   /* to a peer with room */
	RT_REFUSE,	   /* certainly not run */
	RT_REPORT_UNKNOWN, /* may have run */
};

enum rt_reason {
	RT_QUEUE_FULL,
	RT_TOO_LATE,
	RT_NO_ENDPOINT,
	RT_NO_RETRY,
	RT_EVICTED,
};

struct rt_action {
	enum rt_action_kind kind;
	enum rt_reason reason;
	uint32_t retry_after_ms;
	struct rt_request *request;
	struct rt_action *next;
};

/** enum rt_attempt_result - how an attempt ended */
enum rt_attempt_result {
	RT_ANSWERED, /* whole answer, to be relayed */
	RT_REFUSED,  /* the endpoint says that it did not run */
	RT_UNSENT,   /* not connected */
	RT_LOST,     /* cut off or timed out: may have run */
};

/**
 * struct rt_service - requests of one service on this daemon
 * @name: service
 * @policy: policy in force
 * @endpoint: endpoints of this failure domain
 * @queue: waiting requests by class, oldest first
 * @peer_free_slots: free slots that peers have reported
 * @retry_tokens: thousandths of a retry that may be spent
 * @choose: way to choose an endpoint
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

/** rt_create() - a service without endpoints */
struct rt_service *rt_create(TALLOC_CTX *ctx, const char *name,
    const struct po_policy *policy, uint64_t seed);

/** rt_set_policy() - switch the policy in force */
void rt_set_policy(struct rt_service *s, const struct po_policy *policy);

/**
 * rt_begin_update() - start to describe the endpoints anew
 *
 * Endpoints that are not named until rt_end_update() get nothing new.
 */
void rt_begin_update(struct rt_service *s);
/**
 * rt_update_endpoint() - describe one endpoint
 * @s: service
 * @id: VM id
 * @address: "IP:PORT"
 * @slots: its slots
 * @leaving: it is leaving
 */
void rt_update_endpoint(struct rt_service *s, const char *id,
    const char *address, uint32_t slots, bool leaving);
/** rt_end_update() - all endpoints have been described */
void rt_end_update(struct rt_service *s, int64_t now_us);

/**
 * rt_set_share() - this daemon's place among those that share the slots
 * @s: service
 * @rank: 0 to @daemons - 1
 * @daemons: daemons of the failure domain that take work
 * @now_us: time
 */
void rt_set_share(
    struct rt_service *s, uint32_t rank, uint32_t daemons, int64_t now_us);

/** rt_set_peer_free_slots() - free slots that peers report */
void rt_set_peer_free_slots(struct rt_service *s, uint32_t slots);

/** rt_free_slots() - slots of this daemon's share that are free */
int32_t rt_free_slots(const struct rt_service *s, int64_t now_us);

/** rt_request_arrived() - a request has come */
void rt_request_arrived(
    struct rt_service *s, struct rt_request *req, int64_t now_us);

/**
 * rt_attempt_ended() - an attempt that RT_SEND started has ended
 * @s: service
 * @req: request; with RT_ANSWERED it is done
 * @how: how it ended
 * @now_us: time
 */
void rt_attempt_ended(struct rt_service *s, struct rt_request *req,
    enum rt_attempt_result how, int64_t now_us);

/**
 * rt_forward_failed() - a peer did not run the request
 * @s: service
 * @req: request; tried here again
 * @now_us: time
 */
void rt_forward_failed(
    struct rt_service *s, struct rt_request *req, int64_t now_us);

/** rt_tick() - expire deadlines, probe, and send what waits */
void rt_tick(struct rt_service *s, int64_t now_us);

/**
 * rt_next_action() - take the next action
 * @s: service
 * @out: action
 *
 * Return: false when there is none.
 */
bool rt_next_action(struct rt_service *s, struct rt_action *out);

/** rt_reason_text() - a reason for callers */
const char *rt_reason_text(enum rt_reason r);

/** rt_choose_least_outstanding() - least outstanding within the share */
uint32_t rt_choose_least_outstanding(
    struct rt_service *s, const struct rt_request *req, int64_t now_us);
/** rt_choose_two_random() - baseline: better of two random endpoints */
uint32_t rt_choose_two_random(
    struct rt_service *s, const struct rt_request *req, int64_t now_us);

#endif
