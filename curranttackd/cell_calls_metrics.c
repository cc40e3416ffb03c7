#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_pool.h"

/* Queues whose waiting steps are in the metrics. */
#define CC_MAX_WAIT_ROWS 64

static char *
cc_pool_metrics(char *text, const struct cp_host *h)
{
	const struct wp_stats *s = &h->pool->stats;
	struct wp_counts n;

	wp_get_counts(h->pool, clk_now_us(), &n);
	return talloc_asprintf_append(text,
	    "currant_pool_fence{pool=\"%s\"} %llu\n"
	    "currant_pool_jobs{pool=\"%s\"} %u\n"
	    "currant_pool_tasks_waiting{pool=\"%s\"} %u\n"
	    "currant_pool_tasks_running{pool=\"%s\"} %u\n"
	    "currant_pool_tasks_held{pool=\"%s\"} %u\n"
	    "currant_pool_tasks_late{pool=\"%s\"} %u\n"
	    "currant_pool_stops_unanswered{pool=\"%s\"} %u\n"
	    "currant_pool_workers_usable{pool=\"%s\"} %u\n"
	    "currant_pool_workers_overfull{pool=\"%s\"} %u\n"
	    "currant_pool_workers_outdated{pool=\"%s\"} %u\n"
	    "currant_pool_cpu_percent{pool=\"%s\"} %u\n"
	    "currant_pool_gpu_percent{pool=\"%s\"} %u\n"
	    "currant_pool_starts_total{pool=\"%s\"} %llu\n"
	    "currant_pool_displaced_total{pool=\"%s\"} %llu\n"
	    "currant_pool_asks_total{pool=\"%s\"} %llu\n"
	    "currant_pool_task_crashes_total{pool=\"%s\"} %llu\n"
	    "currant_pool_given_up_total{pool=\"%s\"} %llu\n"
	    "currant_pool_over_limit_total{pool=\"%s\",limit=\"capacity\"} "
	    "%llu\n"
	    "currant_pool_over_limit_total{pool=\"%s\",limit=\"step_limit\"} "
	    "%llu\n",
	    h->name, (unsigned long long)h->fence, h->name, n.jobs, h->name,
	    n.waiting, h->name, n.running, h->name, n.held, h->name, n.late,
	    h->name, n.stops_unanswered, h->name, n.usable, h->name, n.overfull,
	    h->name, n.outdated, h->name, n.cpu_percent, h->name, n.gpu_percent,
	    h->name, (unsigned long long)s->starts, h->name,
	    (unsigned long long)s->displaced, h->name,
	    (unsigned long long)s->advice_requests, h->name,
	    (unsigned long long)s->crashes, h->name,
	    (unsigned long long)s->given_up, h->name,
	    (unsigned long long)s->over_limit[WP_OVER_CAPACITY], h->name,
	    (unsigned long long)s->over_limit[WP_OVER_STEP_LIMIT]);
}

/* Results of orders, by result. */
static char *
cc_order_metrics(char *text, const struct cp_host *h)
{
	int result;

	for (result = WP_ACCEPTED; result <= WP_NO_ANSWER; result++)
		text = talloc_asprintf_append(text,
		    "currant_pool_order_results_total{pool=\"%s\","
		    "result=\"%d\"} %llu\n",
		    h->name, result,
		    (unsigned long long)h->pool->stats.refused[result]);
	return text;
}

/* Cores that waiting steps need, by queue and cause. */
static char *
cc_wait_metrics(char *text, const struct cp_host *h)
{
	struct wp_queue_waits row[CC_MAX_WAIT_ROWS];
	uint32_t count =
	    wp_get_waits(h->pool, clk_now_us(), row, CC_MAX_WAIT_ROWS);
	uint32_t i;
	int wait;

	for (i = 0; i < count; i++) {
		for (wait = 0; wait < WP_WAITS; wait++)
			text = talloc_asprintf_append(text,
			    "currant_pool_waiting_mcpu{pool=\"%s\","
			    "queue=\"%s\",gangs=\"%d\",cause=\"%s\"} "
			    "%lld\n",
			    h->name, row[i].queue, row[i].gangs,
			    wp_wait_name((enum wp_wait)wait),
			    (long long)row[i].cpu_mcpu[wait]);
	}
	return text;
}

/* Metrics of the daemon, of its view of the store, and of its pools. */
static char *
cc_cell_metrics(char *text, const struct cell *c)
{
	const struct qs_config *config = c->replica->config;
	struct cp_host *h;
	struct cp_host *tmp;

	text = talloc_asprintf_append(text,
	    "currant_log_dropped_total %llu\n"
	    "currant_config_version %llu\n"
	    "currant_store_silent_ms %lld\n"
	    "currant_copy_age_ms %lld\n"
	    "currant_ready %d\n",
	    (unsigned long long)lg_dropped(),
	    config != NULL ? (unsigned long long)config->version : 0ULL,
	    (long long)((clk_now_us() - c->store_answered_us) / CLK_US_PER_MS),
	    (long long)(rp_copy_age_us(c->replica, clk_now_us()) /
		CLK_US_PER_MS),
	    cc_is_ready(c));
	HASH_ITER(hh, c->pools, h, tmp) {
		if (h->pool == NULL)
			continue;
		text = cc_pool_metrics(text, h);
		text = cc_order_metrics(text, h);
		text = cc_wait_metrics(text, h);
	}
	return text;
}

void
cc_on_metrics(struct hs_request *req, void *arg)
{
	struct cc_frontend *f = arg;
	char *text = talloc_strdup(f, "");
	uint32_t i;

	for (i = 0; i < CT_COUNT; i++)
		text = talloc_asprintf_append(text, "currant_%s %llu\n",
		    ct_name((enum ct_counter)i),
		    (unsigned long long)ct_get((enum ct_counter)i));
	text = cc_cell_metrics(text, f->c);
	hs_respond(req, 200, "text/plain", text, strlen(text), NULL, 0);
	talloc_free(text);
}
