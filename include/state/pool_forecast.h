#ifndef STATE_POOL_FORECAST_H
#define STATE_POOL_FORECAST_H

#include "state/pool_internal.h"

/**
 * DOC: Resources that are left for a step by the steps before it.
 */

/* Steps with requests in flight that are told apart by when these are answered. */
#define WP_MAX_DEMANDS 64

/**
 * struct wp_demand - what a step will take once its advice is answered
 * @from_us: expected time of the answer
 * @need: resources
 */
struct wp_demand {
	int64_t from_us;
	struct wp_resources need;
};

/**
 * struct wp_forecast - resources left for the steps that come next
 * @free: what is free or expected to become free, less what the steps before
 *	can take with tickets that they have
 * @demand: what steps before will take once advice on them is answered,
 *	@demand_count of them
 */
struct wp_forecast {
	struct wp_resources free;
	struct wp_demand demand[WP_MAX_DEMANDS];
	uint32_t demand_count;
};

/** wp_expected_resources() - free resources, and those expected to become free */
struct wp_resources wp_expected_resources(
    const struct wp_pool *p, int64_t now_us);

/** wp_is_exhausted() - whether none is left of a resource that a step needs */
bool wp_is_exhausted(
    const struct wp_resources *expected, const struct wp_resources *need);

/** wp_deduct_step() - subtract what the waiting tasks of a step take */
void wp_deduct_step(struct wp_resources *expected, const struct wp_step *s);

/** wp_forecast_deduct() - count what a step is about to take as not left */
void wp_forecast_deduct(struct wp_forecast *forecast, const struct wp_step *s);

/**
 * wp_forecast_for() - resources left for a step
 * @p: pool
 * @forecast: resources, and what the steps before it will take
 * @s: step
 * @now_us: time
 *
 * Those that steps before it will take only after its tasks have ended are its
 * to use.
 */
struct wp_resources wp_forecast_for(struct wp_pool *p,
    const struct wp_forecast *forecast, const struct wp_step *s,
    int64_t now_us);

#endif
