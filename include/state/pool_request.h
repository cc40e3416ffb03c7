#ifndef STATE_POOL_REQUEST_H
#define STATE_POOL_REQUEST_H

#include "state/pool_internal.h"

/**
 * DOC: Which workers an advice request names.
 *
 * A request that is filled in counts as in flight until wp_on_advice().
 */

/** wp_slots_wanted() - slots that a step's requests should ask for in all */
uint32_t wp_slots_wanted(struct wp_pool *p, const struct wp_step *s);

/**
 * wp_slots_on() - tasks of a step that fit on a worker
 * @s: step; its limit per worker counts
 * @w: worker
 * @need: resources of one task
 * @now_us: time
 */
uint32_t wp_slots_on(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_resources *need, int64_t now_us);

/** wp_slots_if_empty() - tasks of a step that would fit on a worker, if empty */
uint32_t wp_slots_if_empty(const struct wp_step *s, const struct wp_worker *w);

/**
 * wp_fill_request() - request advice on workers for a step
 * @p: pool
 * @s: step
 * @now_us: time
 * @request: filled in
 *
 * Return: false when there is no worker that it should name.
 */
bool wp_fill_request(struct wp_pool *p, struct wp_step *s, int64_t now_us,
    struct wp_advice_request *request);

/**
 * wp_fill_renewal() - request new tickets for the workers reserved for a gang
 * @p: pool
 * @s: the gang
 * @now_us: time
 * @request: filled in
 *
 * Return: false when all tickets last until the gang starts.
 */
bool wp_fill_renewal(struct wp_pool *p, struct wp_step *s, int64_t now_us,
    struct wp_advice_request *request);

#endif
