#ifndef CURRANTTACKD_CELL_MEMBER_H
#define CURRANTTACKD_CELL_MEMBER_H

#include "curranttackd/cell.h"

/**
 * DOC: This daemon's entry among the members of the cell, and the lease that
 * the entry is bound to.
 */

/** cell_member_tick() - write the entry or renew its lease when due */
void cell_member_tick(struct cell *c, int64_t now_us);
/** cell_member_on_changed() - a daemon's entry in the replica changed */
void cell_member_on_changed(struct cell *c, const struct rp_member *m);
/** cell_member_leave() - remove the entry, before this daemon stops */
void cell_member_leave(struct cell *c);

#endif
