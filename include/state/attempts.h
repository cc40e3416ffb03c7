#ifndef STATE_ATTEMPTS_H
#define STATE_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Attempts to store an item whose outcome is open.
 *
 * A caller that sees no answer sends its request again, perhaps to the same
 * daemon. A refusal of the new attempt says that the item is not stored and
 * never will be, so it must not be sent while the write of an earlier attempt
 * is unanswered, or may still be carried out.
 */

struct at_table;

/** at_create() - create an empty table */
struct at_table *at_create(TALLOC_CTX *ctx);

/** at_begin() - the first write of an attempt is about to be sent */
void at_begin(struct at_table *t, const char *id);

/**
 * at_end() - an attempt ends
 * @t: table
 * @id: its item
 * @uncertain: a write of it had no answer
 * @now_us: steady time
 */
void at_end(struct at_table *t, const char *id, bool uncertain, int64_t now_us);

/** at_stored() - the item is known to be stored: no attempt is open any more */
void at_stored(struct at_table *t, const char *id);

/** at_is_open() - whether an attempt of the item is in flight or uncertain */
bool at_is_open(struct at_table *t, const char *id, int64_t now_us);

#endif
