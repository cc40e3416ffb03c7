#ifndef COORDINATION_DRAIN_H
#define COORDINATION_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The steps by which a process that was asked to end stops serving.
 *
 * It serves until load balancers have seen that it isn't ready. Then it closes
 * its listening sockets, so that later callers are refused, and serves the
 * connections that it has. It ends once no request is being read or answered, or
 * at the last moment of its grace period. What still waits shortly before that
 * is answered with what is known.
 */

enum dr_step {
	DR_SERVING, /* accepts connections, and is not ready */
	DR_CLOSING, /* serves the connections that it has */
	DR_ENDED,
};

/**
 * struct dr_limits - times since the beginning of the drain
 * @unready_us: load balancers have seen by then that it isn't ready
 * @end_us: it ends by then, whatever is open
 * @flush_us: part of @end_us in which answers are sent, and none awaited
 * @fresh_us: how long a connection may be open without a request, counted from
 *	the end of accepting
 */
struct dr_limits {
	int64_t unready_us;
	int64_t end_us;
	int64_t flush_us;
	int64_t fresh_us;
};

/**
 * struct dr_drain - a drain
 * @step: current step
 * @close_us: when it stops accepting connections
 * @answer_by_us: when what still waits is answered
 * @end_by_us: when it ends at the latest
 * @fresh_us: @fresh_us of its limits
 * @fresh_until_us: connections without a request are waited for until then
 */
struct dr_drain {
	enum dr_step step;
	int64_t close_us;
	int64_t answer_by_us;
	int64_t end_by_us;
	int64_t fresh_us;
	int64_t fresh_until_us;
};

/**
 * struct dr_view - what is open
 * @requests: requests that are being read, are unanswered, or whose answers are
 *	being sent
 * @fresh: connections that have carried no request yet
 * @has_duties: it has to hand over more than requests
 */
struct dr_view {
	uint32_t requests;
	uint32_t fresh;
	bool has_duties;
};

/** dr_begin() - the process is asked to end */
void dr_begin(
    struct dr_drain *d, const struct dr_limits *limits, int64_t now_us);

/**
 * dr_next() - decide the step from what is open
 * @d: drain that has begun
 * @v: what is open
 * @now_us: steady time
 *
 * Return: the step that holds now; at most one step after the last one.
 */
enum dr_step dr_next(
    struct dr_drain *d, const struct dr_view *v, int64_t now_us);

/** dr_is_overdue() - whether what still waits has to be answered now */
bool dr_is_overdue(const struct dr_drain *d, int64_t now_us);

#endif
