#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <stdint.h>

/**
 * DOC: Counters and mergeable latency histograms.
 *
 * Buckets are log-linear: CT_SUB_BUCKETS per power of two, so a quantile is
 * off by at most 1/CT_SUB_BUCKETS. Merging adds counts and is exact.
 */
#define CT_SUB_BUCKETS 16
#define CT_POWERS 40
#define CT_BUCKETS (CT_SUB_BUCKETS * CT_POWERS)

enum ct_counter {
	CT_REQ_DONE,
	CT_REQ_NOT_RUN, /* failed, and certainly not run */
	CT_REQ_UNKNOWN, /* failed, but may have been run */
	CT_REQ_ATTEMPTS,
	CT_REQ_RETRIES,
	CT_REQ_FORWARDED,
	CT_REQ_EJECTIONS,
	CT_JOBS_ACCEPTED,
	CT_JOBS_REFUSED,
	CT_TASKS_STARTED,
	CT_TASKS_ENDED,
	CT_TASKS_PREEMPTED,
	CT_STORE_READS,
	CT_STORE_WRITES,
	CT_STORE_ERRORS,
	CT_PEER_MSGS_OUT,
	CT_PEER_BYTES_OUT,
	CT_PEER_MSGS_IN,
	CT_PEER_BYTES_IN,
	CT_HTTP_SENT_AGAIN, /* by the client library, to any side */
	CT_STORE_SENT_AGAIN,
	CT_STORE_REJECTED,
	CT_STORE_UNANSWERED,
	CT_WORKER_SENT_AGAIN,
	CT_SERVICE_SENT_AGAIN, /* to the advice and maintenance services */
	CT_WORKER_MSGS,
	CT_WORKER_BYTES,
	CT_RELAYED,
	CT_TAKEOVERS, /* shards or pools that this daemon came to own */
	CT_FENCED,    /* shards or pools that it lost to another owner */
	CT_LEFT_OUT,  /* rows of the key space that can't be used */
	CT_HTTP_READ, /* requests that were read whole */
	CT_HTTP_ANSWERED,
	CT_HTTP_CUT,	/* read whole, and the connection ended in between */
	CT_HTTP_AT_END, /* answered because the process ends */
	CT_WATCHES_UNANSWERED, /* over the key space */
	CT_PEER_SILENT,	       /* links that were closed, as nothing arrived */
	CT_COUNT,
};

/**
 * struct ct_histogram - latency histogram
 * @bucket: number of latencies in each bucket
 * @count: number of latencies
 * @sum_us: sum of the latencies
 */
struct ct_histogram {
	uint64_t bucket[CT_BUCKETS];
	uint64_t count;
	uint64_t sum_us;
};

/**
 * ct_add() - add to a process-wide counter; safe from any thread
 * @which: counter
 * @n: amount
 */
void ct_add(enum ct_counter which, uint64_t n);

/**
 * ct_get() - read a counter
 * @which: counter
 *
 * Return: its value.
 */
uint64_t ct_get(enum ct_counter which);

/**
 * ct_name() - metric name of a counter, without the product prefix
 * @which: counter
 */
const char *ct_name(enum ct_counter which);

/**
 * ct_hist_record() - record one latency
 * @h: histogram; the caller holds the lock that guards it
 * @us: latency in microseconds; negative counts as 0
 */
void ct_hist_record(struct ct_histogram *h, int64_t us);

/**
 * ct_hist_merge() - add one histogram to another
 * @to: target
 * @from: source
 */
void ct_hist_merge(struct ct_histogram *to, const struct ct_histogram *from);

/**
 * ct_hist_quantile() - estimate a quantile, as its bucket's upper edge
 * @h: histogram
 * @q: quantile in [0, 1]
 *
 * Return: microseconds; 0 for an empty histogram.
 */
int64_t ct_hist_quantile(const struct ct_histogram *h, double q);

#endif
