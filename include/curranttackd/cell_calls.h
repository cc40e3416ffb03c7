#ifndef CURRANTTACKD_CELL_CALLS_H
#define CURRANTTACKD_CELL_CALLS_H

#include "curranttackd/cell.h"

/**
 * DOC: HTTP API for callers: submit, query and cancel jobs; queue lengths.
 * Also the readiness check and the metrics page.
 */

/**
 * cc_create() - start the HTTP servers for callers, readiness and metrics
 * @c: cell; the result is freed with it
 *
 * Return: the servers, or NULL when an address can't be bound.
 */
struct cc_frontend *cc_create(struct cell *c);

/** cc_get_counts() - what the servers have open */
void cc_get_counts(const struct cc_frontend *f, struct hs_counts *counts);

/** cc_begin_drain() - ask callers to close their connections */
void cc_begin_drain(struct cc_frontend *f);
/** cc_stop_accepting() - refuse connections from now on */
void cc_stop_accepting(struct cc_frontend *f);
/** cc_run() - read and send what is possible without waiting */
void cc_run(struct cc_frontend *f);
/** cc_answer_overdue() - respond to all requests that wait for something */
void cc_answer_overdue(struct cc_frontend *f);
/** cc_stop() - close all connections */
void cc_stop(struct cc_frontend *f);

/** cc_tick() - respond to callers whose deadline is near */
void cc_tick(struct cc_frontend *f, int64_t now_us);

/** cc_pending_count() - number of callers' requests without a response */
uint32_t cc_pending_count(const struct cc_frontend *f);

#endif
