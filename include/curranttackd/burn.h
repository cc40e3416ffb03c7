#ifndef CURRANTTACKD_BURN_H
#define CURRANTTACKD_BURN_H

#include <jansson.h>
#include <talloc.h>

#include "coordination/config.h"

/**
 * DOC: Good and bad answers per objective over time, for the burn report.
 *
 * Counts per minute for three days; counts of several daemons add up.
 */

#define BU_MINUTES 4320

struct burn;

/** bu_create() - no objectives yet */
struct burn *bu_create(TALLOC_CTX *ctx);

/**
 * bu_set_objectives() - follow the objectives of one service
 * @b: burn counts
 * @all: all configured objectives
 * @service: service name
 *
 * Objectives that stay keep their counts.
 */
void bu_set_objectives(
    struct burn *b, const struct cf_objectives *all, const char *service);

/** bu_tick() - move on to the current minute */
void bu_tick(struct burn *b, int64_t now_us);

/**
 * bu_record() - count one answer
 * @b: burn counts
 * @c: class of the request
 * @done: it was answered
 * @latency_us: after this time
 */
void bu_record(struct burn *b, enum st_class c, bool done, int64_t latency_us);

/** bu_show() - counts of each objective over the report's windows */
void bu_show(const struct burn *b, json_t *list);

#endif
