#ifndef CURRANTTACKD_CELL_FRAMES_H
#define CURRANTTACKD_CELL_FRAMES_H

#include "curranttackd/cell.h"

/**
 * DOC: What the other daemons of the cell send, passed to the part that it is
 * for.
 */

/** cell_peer_hooks - callbacks of the links to peers; their argument: the cell */
extern const struct peer_hooks cell_peer_hooks;

#endif
