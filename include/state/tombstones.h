#ifndef STATE_TOMBSTONES_H
#define STATE_TOMBSTONES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Lease of the tombstones that a daemon writes.
 *
 * The cancellation of a job that is not stored leaves a tombstone: while it
 * exists, no write can create the job, also one that was sent before and is
 * carried out late. Tombstones written about the same time share a lease, which
 * removes them. So each lasts for TB_KEEP_US at least and twice that at most,
 * and a daemon has at most twice TB_MAX_COUNT of them.
 */

/** TB_KEEP_US - longer than a write without a response may be outstanding */
#define TB_KEEP_US ((int64_t)120 * 1000 * 1000)
/** TB_LEASE_MS - time to live of the lease that is asked for */
#define TB_LEASE_MS ((uint32_t)(2 * TB_KEEP_US / 1000))
/** TB_MAX_COUNT - tombstones that share a lease */
#define TB_MAX_COUNT 256

/** enum tb_state - whether a tombstone may be written */
enum tb_state {
	TB_READY,
	TB_NEEDS_LEASE,
	TB_FULL, /* the lease has all that may share it */
};

/**
 * struct tb_lease - the newest lease; all 0 without one
 * @id: the lease
 * @usable_until_us: from then on, new tombstones need a new lease
 * @count: tombstones that it has been used for
 */
struct tb_lease {
	uint64_t id;
	int64_t usable_until_us;
	uint32_t count;
};

/** tb_get_state() - whether a tombstone may be written at @now_us */
enum tb_state tb_get_state(const struct tb_lease *l, int64_t now_us);

/**
 * tb_on_granted() - a lease was granted
 * @l: newest lease
 * @id: the lease that was granted
 * @asked_us: when it was asked for
 *
 * Return: whether it is in use; another one may have come first.
 */
bool tb_on_granted(struct tb_lease *l, uint64_t id, int64_t asked_us);

/** tb_use() - take the lease for a tombstone that is about to be written */
uint64_t tb_use(struct tb_lease *l);

/** tb_on_ended() - a lease has ended, and its tombstones with it */
void tb_on_ended(struct tb_lease *l, uint64_t id);

#endif
