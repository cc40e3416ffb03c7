#ifndef CURRANTTACKD_BURN_H
#define CURRANTTACKD_BURN_H

#include <jansson.h>
#include <talloc.h>

#include "coordination/config.h"

/**
 * DOC: Good and bad responses per service-level objective, for the report of
 * error-budget burn.
 *
 * Counts per minute, kept for three days. The counts of several daemons may
 * be added up. The caller serializes access.
 */

/* Three days; also the longest window of the report. */
#define BU_HISTORY_MINUTES 4320

struct burn_counters;

/** bu_create() - create counters without objectives; NULL without memory */
struct burn_counters *bu_create(TALLOC_CTX *ctx);

/**
 * bu_set_objectives() - take over the objectives of one service
 * @b: counters
 * @all: all configured objectives
 * @service: service name
 *
 * An objective that is known already keeps its counts, and one that is no
 * longer configured stays. Objectives beyond the limit are ignored.
 */
void bu_set_objectives(struct burn_counters *b, const struct cf_objectives *all,
    const char *service);

/**
 * bu_advance() - make the current minute the one that bu_record() counts in
 * @b: counters
 * @now_us: monotonic time
 */
void bu_advance(struct burn_counters *b, int64_t now_us);

/**
 * bu_record() - count one request in every objective of its class
 * @b: counters
 * @c: class of the request
 * @done: it was run and responded to; otherwise it counts as bad
 * @latency_us: time from its arrival to its response
 */
void bu_record(
    struct burn_counters *b, enum st_class c, bool done, int64_t latency_us);

/**
 * bu_append_json() - append one object per objective to a JSON array
 * @b: counters
 * @list: JSON array; each object has the counts over the report's windows
 */
void bu_append_json(const struct burn_counters *b, json_t *list);

#endif
