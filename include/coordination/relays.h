#ifndef COORDINATION_RELAYS_H
#define COORDINATION_RELAYS_H

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/**
 * DOC: Which daemon relays an owner's orders to a worker.
 *
 * For pools with more traffic than one VM can handle: daemons in a worker's
 * failure domain exchange HTTP with it, and the owner sends its orders to
 * these daemons. Does no I/O: the caller says which daemons can be reached.
 */

/**
 * struct re_candidate - a daemon that may be chosen as a relay
 * @vm: its VM id; must outlive the table
 * @domain: its failure domain; must outlive the table
 * @cpu_mcpu: CPU that it may use, in thousandths of a core
 * @owns_pool: it is itself the owner of a pool
 * @reachable: its connection is established and it responded recently
 */
struct re_candidate {
	const char *vm;
	const char *domain;
	uint32_t cpu_mcpu;
	bool owns_pool;
	bool reachable;
};

/**
 * struct re_delay - how long the frames of a link are under way
 * @known: a frame has been seen
 * @least_us: least difference between the clocks at both ends in this interval
 * @earlier_us: the same for the interval before
 * @interval_end_us: when this interval ends
 *
 * The clocks have no common origin and may run at slightly different rates.
 */
struct re_delay {
	bool known;
	int64_t least_us;
	int64_t earlier_us;
	int64_t interval_end_us;
};

/**
 * re_delay_us() - how much longer than usual a frame was under way
 * @d: what is known of its link
 * @sent_us: time on the sender's steady clock when it was sent
 * @now_us: time on the receiver's steady clock
 *
 * Return: microseconds beyond the fastest recent frame; 0 for the first one.
 */
int64_t re_delay_us(struct re_delay *d, int64_t sent_us, int64_t now_us);

/**
 * struct re_pause - whether this process was paused just before
 * @last_tick_us: time of the last tick; 0 before the first
 * @ticks_left: further ticks of the time after a pause
 */
struct re_pause {
	int64_t last_tick_us;
	uint32_t ticks_left;
};

/**
 * re_may_be_unread() - whether responses may have arrived that are not read yet
 * @p: what is known of this process
 * @now_us: time of this tick
 *
 * Then calls without a response are not given up. A process all of whose ticks are
 * late gives them up at every fourth tick.
 */
bool re_may_be_unread(struct re_pause *p, int64_t now_us);

/** struct re_table - the chosen relays of all failure domains */
struct re_table;

/**
 * re_create() - choose the relays of each failure domain
 * @ctx: talloc parent
 * @candidates: daemons in any order, @count of them
 * @count: number of candidates
 *
 * Of the reachable daemons of a domain, those that own no pool are preferred,
 * then those that may use the most CPU. The equally best ones share the
 * domain's workers.
 *
 * Return: table; aborts when out of memory.
 */
struct re_table *re_create(
    TALLOC_CTX *ctx, const struct re_candidate *candidates, uint32_t count);

/**
 * re_pick() - choose the relay for a worker
 * @t: table
 * @domain: failure domain of the worker
 * @worker: worker id
 *
 * When a relay is added or removed, only the workers that it serves change
 * their relay.
 *
 * Return: VM id of the relay, or NULL when no daemon of the domain can be
 * reached.
 */
const char *re_pick(
    const struct re_table *t, const char *domain, const char *worker);

#endif
