#ifndef STATE_POOL_APPROVAL_H
#define STATE_POOL_APPROVAL_H

#include "state/pool_internal.h"

/**
 * DOC: What a pool has learned from the answers of the advice service.
 *
 * For each queue: how many of the workers in its requests were approved, and
 * how long the requests waited. Calls no other file of the pool.
 */

/**
 * wp_update_approval_rate() - learn from an answer of the advice service
 * @p: pool
 * @s: step that advice was requested for
 * @request: the request
 * @approved: workers that were approved
 * @now_us: time
 */
void wp_update_approval_rate(struct wp_pool *p, const struct wp_step *s,
    const struct wp_advice_request *request, uint32_t approved, int64_t now_us);

/**
 * wp_slots_to_request() - slots to request for so many approved ones
 * @p: pool
 * @s: step
 * @tasks: slots that have to be approved
 */
uint64_t wp_slots_to_request(
    struct wp_pool *p, const struct wp_step *s, uint32_t tasks);

/**
 * wp_max_request_workers() - workers that a queue's requests may name
 * @policy: of the queue
 *
 * The cost of naming workers is limited to about the base cost.
 */
uint32_t wp_max_request_workers(const struct jb_policy *policy);

/** wp_advice_latency_us() - time that a request about @workers usually takes */
int64_t wp_advice_latency_us(
    struct wp_pool *p, const struct wp_step *s, uint32_t workers);

/** wp_is_advice_busy() - whether requests like a step's wait before they run */
bool wp_is_advice_busy(struct wp_pool *p, const struct wp_step *s);

#endif
