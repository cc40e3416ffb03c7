#ifndef CURRANTTACKD_CELL_CALLS_H
#define CURRANTTACKD_CELL_CALLS_H

#include "curranttackd/cell.h"

/**
 * DOC: Callers' requests: submit, look up and cancel jobs; queue lengths.
 */

/**
 * cc_create() - serve callers and the platform's readiness checks
 * @c: cell
 *
 * Return: the front, or NULL when an address can't be bound.
 */
struct cc_frontend *cc_create(struct cell *c);

/** cc_busy() - requests that have not been answered */
uint32_t cc_busy(const struct cc_frontend *f);

#endif
