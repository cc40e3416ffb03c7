#ifndef STATE_ROUTING_INTERNAL_H
#define STATE_ROUTING_INTERNAL_H

#include "state/routing.h"

/**
 * DOC: Shared by the files that implement the routing: routing_endpoints
 * (endpoints, this daemon's share of their slots, the choice among them) and
 * routing (requests: queues, retries, refusals), which uses the former.
 */

/** rt_compute_shares() - recompute this daemon's share of each endpoint's slots */
void rt_compute_shares(struct rt_service *s);
/** rt_total_share() - this daemon's slots on all usable endpoints */
uint32_t rt_total_share(const struct rt_service *s);
/** rt_record_success() - an endpoint has answered after @us microseconds */
void rt_record_success(struct rt_service *s, struct rt_endpoint *e, int64_t us);
/** rt_record_failure() - an endpoint failed; may eject it for a while */
void rt_record_failure(struct rt_endpoint *e, int64_t now_us);

#endif
