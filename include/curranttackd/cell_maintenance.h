#ifndef CURRANTTACKD_CELL_MAINTENANCE_H
#define CURRANTTACKD_CELL_MAINTENANCE_H

#include "curranttackd/cell.h"

/**
 * DOC: Carries out maintenance waves for the pools that this daemon owns.
 *
 * The progress of a wave is a single item of the key space, which owners change
 * by compare-and-swap. So owners of different pools together keep to the
 * maximum number of VMs that may be down at a time.
 */

/** cm_tick() - do everything that is due for maintenance waves */
void cm_tick(struct cell *c, int64_t now_us);

#endif
