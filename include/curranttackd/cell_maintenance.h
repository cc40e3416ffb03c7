#ifndef CURRANTTACKD_CELL_MAINTENANCE_H
#define CURRANTTACKD_CELL_MAINTENANCE_H

#include "curranttackd/cell.h"

/**
 * DOC: Carries out waves of maintenance for the pools that this daemon owns.
 *
 * How far a wave is stands in one item of the key space, which owners change
 * under a condition; so owners of several pools keep its maximum together.
 */

/** cm_tick() - everything that is due for waves */
void cm_tick(struct cell *c, int64_t now_us);

#endif
