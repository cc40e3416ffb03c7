#ifndef COORDINATION_LINK_ALIVE_H
#define COORDINATION_LINK_ALIVE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/**
 * DOC: Whether an open link still carries anything.
 *
 * A connection may go silent in one or both directions without a reset. Each
 * side sends a heartbeat when it has sent nothing else for a while, and closes
 * the link when nothing has arrived for several times as long. A heartbeat isn't
 * answered, since the answer would queue behind other data. Does no I/O.
 */

/* How often links are checked. */
#define LA_CHECK_US (250 * CLK_US_PER_MS)
/* A little less than three checks, so that a late one doesn't skip a check. */
#define LA_HEARTBEAT_US (700 * CLK_US_PER_MS)
/* Two heartbeats may be missing. */
#define LA_SILENT_US (2250 * CLK_US_PER_MS)

/**
 * struct la_link - deadlines of a link; all 0 before la_start()
 * @heartbeat_at_us: a heartbeat is due, unless something is sent before
 * @silent_at_us: the link is taken for silent, unless something arrives before
 */
struct la_link {
	int64_t heartbeat_at_us;
	int64_t silent_at_us;
};

/**
 * struct la_pause - whether this process was paused just before
 * @checked_us: time of the last check; 0 before the first
 * @grace_end_us: until then no link is taken for silent; 0 if there was no pause
 */
struct la_pause {
	int64_t checked_us;
	int64_t grace_end_us;
};

enum la_action {
	LA_NONE,
	LA_SEND_HEARTBEAT,
	LA_CLOSE,
};

/**
 * la_start() - both sides have said that they send heartbeats
 * @l: link; without this, it is never taken for silent
 * @now_us: time
 */
void la_start(struct la_link *l, int64_t now_us);

/** la_on_sent() - bytes were handed to the connection */
void la_on_sent(struct la_link *l, int64_t now_us);

/** la_on_heard() - bytes arrived, or wait to be read */
void la_on_heard(struct la_link *l, int64_t now_us);

/**
 * la_may_be_unread() - whether bytes may have arrived that are not read yet
 * @p: what is known of this process
 * @now_us: time of this check
 *
 * Call it once for each check of all links. A process all of whose checks are
 * late judges its links at every second check.
 */
bool la_may_be_unread(struct la_pause *p, int64_t now_us);

/**
 * la_check() - what is to be done with a link
 * @l: link
 * @may_be_unread: from la_may_be_unread()
 * @now_us: time of this check
 */
enum la_action la_check(
    const struct la_link *l, bool may_be_unread, int64_t now_us);

#endif
