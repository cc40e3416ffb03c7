#include <stdatomic.h>
#include <stddef.h>

#include "common/counters.h"

static _Atomic uint64_t ct_values[CT_COUNT];

static const char *const ct_names[CT_COUNT] = {
    [CT_REQ_DONE] = "requests_done",
    [CT_REQ_NOT_RUN] = "requests_not_run",
    [CT_REQ_UNKNOWN] = "requests_unknown",
    [CT_REQ_ATTEMPTS] = "request_attempts",
    [CT_REQ_RETRIES] = "request_retries",
    [CT_REQ_FORWARDED] = "requests_forwarded",
    [CT_REQ_EJECTIONS] = "endpoint_ejections",
    [CT_JOBS_ACCEPTED] = "jobs_accepted",
    [CT_JOBS_REFUSED] = "jobs_refused",
    [CT_TASKS_STARTED] = "tasks_started",
    [CT_TASKS_ENDED] = "tasks_ended",
    [CT_TASKS_PREEMPTED] = "tasks_preempted",
    [CT_STORE_READS] = "store_reads",
    [CT_STORE_WRITES] = "store_writes",
    [CT_STORE_ERRORS] = "store_errors",
    [CT_PEER_MSGS_OUT] = "peer_messages_out",
    [CT_PEER_BYTES_OUT] = "peer_bytes_out",
    [CT_PEER_MSGS_IN] = "peer_messages_in",
    [CT_PEER_BYTES_IN] = "peer_bytes_in",
    [CT_HTTP_SENT_AGAIN] = "http_requests_sent_again",
    [CT_STORE_SENT_AGAIN] = "store_requests_sent_again",
    [CT_STORE_REJECTED] = "store_requests_rejected",
    [CT_STORE_UNANSWERED] = "store_requests_unanswered",
    [CT_WORKER_SENT_AGAIN] = "worker_requests_sent_again",
    [CT_SERVICE_SENT_AGAIN] = "service_requests_sent_again",
    [CT_WORKER_MSGS] = "worker_messages",
    [CT_WORKER_BYTES] = "worker_bytes",
    [CT_RELAYED] = "calls_relayed",
    [CT_TAKEOVERS] = "shard_takeovers",
    [CT_FENCED] = "shard_fenced",
    [CT_LEFT_OUT] = "rows_left_out",
    [CT_HTTP_READ] = "http_requests_read",
    [CT_HTTP_ANSWERED] = "http_requests_answered",
    [CT_HTTP_CUT] = "http_requests_cut",
    [CT_HTTP_AT_END] = "http_requests_answered_at_end",
    [CT_WATCHES_UNANSWERED] = "store_watches_unanswered",
    [CT_PEER_SILENT] = "peer_links_silent",
};

void
ct_add(enum ct_counter which, uint64_t n)
{
	atomic_fetch_add_explicit(&ct_values[which], n, memory_order_relaxed);
}

uint64_t
ct_get(enum ct_counter which)
{
	return atomic_load_explicit(&ct_values[which], memory_order_relaxed);
}

const char *
ct_name(enum ct_counter which)
{
	return ct_names[which];
}

static size_t
ct_hist_index(uint64_t us)
{
	unsigned int power;
	size_t index;

	if (us < CT_SUB_BUCKETS)
		return us;
	power = 63U - (unsigned int)__builtin_clzll(us);
	index = (power - 3U) * CT_SUB_BUCKETS +
	    ((us >> (power - 4U)) & (CT_SUB_BUCKETS - 1));
	return index < CT_BUCKETS ? index : CT_BUCKETS - 1;
}

static int64_t
ct_hist_upper_edge(size_t index)
{
	unsigned int power;
	uint64_t sub;

	if (index < CT_SUB_BUCKETS)
		return (int64_t)index;
	power = (unsigned int)(index / CT_SUB_BUCKETS) + 3U;
	sub = index % CT_SUB_BUCKETS;
	return (
	    int64_t)((((uint64_t)CT_SUB_BUCKETS + sub + 1) << (power - 4U)) -
	    1);
}

void
ct_hist_record(struct ct_histogram *h, int64_t us)
{
	if (us < 0)
		us = 0;
	h->bucket[ct_hist_index((uint64_t)us)]++;
	h->count++;
	h->sum_us += (uint64_t)us;
}

void
ct_hist_merge(struct ct_histogram *to, const struct ct_histogram *from)
{
	size_t i;

	for (i = 0; i < CT_BUCKETS; i++)
		to->bucket[i] += from->bucket[i];
	to->count += from->count;
	to->sum_us += from->sum_us;
}

int64_t
ct_hist_quantile(const struct ct_histogram *h, double q)
{
	uint64_t rank;
	uint64_t seen = 0;
	size_t i;

	if (h->count == 0)
		return 0;
	rank = (uint64_t)(q * (double)(h->count - 1)) + 1;
	for (i = 0; i < CT_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen >= rank)
			return ct_hist_upper_edge(i);
	}
	return ct_hist_upper_edge(CT_BUCKETS - 1);
}
