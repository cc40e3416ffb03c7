#include "state/pool_approval.h"
#include "state/pool_forecast.h"

/* Fraction of a pool that is expected to become free during a request. */
#define WP_TURNOVER_DIVISOR 8

struct wp_resources
wp_expected_resources(const struct wp_pool *p, int64_t now_us)
{
	struct wp_resources expected = {0};
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp) {
		struct wp_resources left;
		struct wp_resources idle;

		if (!wp_is_usable(w, now_us))
			continue;
		left = wp_free_resources(w);
		wp_resources_clip(&left);
		idle = wp_idle_reserved(w);
		wp_resources_add(&expected, &left, 1);
		wp_resources_add(&expected, &idle, -1);
		expected.cpu_mcpu += w->capacity.cpu_mcpu / WP_TURNOVER_DIVISOR;
		expected.mem_mb += w->capacity.mem_mb / WP_TURNOVER_DIVISOR;
		expected.gpu += w->capacity.gpu / WP_TURNOVER_DIVISOR;
	}
	return expected;
}

bool
wp_is_exhausted(
    const struct wp_resources *expected, const struct wp_resources *need)
{
	return (need->cpu_mcpu > 0 && expected->cpu_mcpu <= 0) ||
	    (need->mem_mb > 0 && expected->mem_mb <= 0) ||
	    (need->gpu > 0 && expected->gpu <= 0);
}

static struct wp_resources
wp_waiting_resources(const struct wp_step *s)
{
	struct wp_resources need = wp_task_resources(s->spec);
	int64_t tasks = wp_startable_count(s);

	need.cpu_mcpu *= tasks;
	need.mem_mb *= tasks;
	need.gpu *= tasks;
	return need;
}

void
wp_deduct_step(struct wp_resources *expected, const struct wp_step *s)
{
	struct wp_resources need = wp_waiting_resources(s);

	wp_resources_add(expected, &need, -1);
}

void
wp_forecast_deduct(struct wp_forecast *forecast, const struct wp_step *s)
{
	struct wp_demand *demand;

	if (s->has_enough_tickets || forecast->demand_count == WP_MAX_DEMANDS) {
		wp_deduct_step(&forecast->free, s);
		return;
	}
	demand = &forecast->demand[forecast->demand_count++];
	demand->from_us = s->answer_due_us;
	demand->need = wp_waiting_resources(s);
}

/* When tasks that start with tickets requested now are expected to have ended. */
static int64_t
wp_expected_run_end_us(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	uint32_t workers = wp_max_request_workers(&s->occ->job->spec->policy);

	if ((s->spec->flags & JB_LONG_RUNNING) || s->spec->estimate_ms == 0)
		return INT64_MAX;
	return now_us + wp_advice_latency_us(p, s, workers) +
	    s->spec->estimate_ms * CLK_US_PER_MS;
}

struct wp_resources
wp_forecast_for(struct wp_pool *p, const struct wp_forecast *forecast,
    const struct wp_step *s, int64_t now_us)
{
	struct wp_resources left = forecast->free;
	int64_t end_us = wp_expected_run_end_us(p, s, now_us);
	uint32_t i;

	for (i = 0; i < forecast->demand_count; i++) {
		if (forecast->demand[i].from_us < end_us)
			wp_resources_add(&left, &forecast->demand[i].need, -1);
	}
	return left;
}
