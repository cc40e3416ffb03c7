#include "coordination/link_alive.h"

/* After a check this late the process was paused. */
#define LA_LATE_CHECK_US (3 * LA_CHECK_US)
/* Both sides may have been paused; then the other one sends again by then. */
#define LA_GRACE_US (CLK_US_PER_S)

void
la_start(struct la_link *l, int64_t now_us)
{
	l->heartbeat_at_us = now_us + LA_HEARTBEAT_US;
	l->silent_at_us = now_us + LA_SILENT_US;
}

void
la_on_sent(struct la_link *l, int64_t now_us)
{
	if (l->heartbeat_at_us != 0)
		l->heartbeat_at_us = now_us + LA_HEARTBEAT_US;
}

void
la_on_heard(struct la_link *l, int64_t now_us)
{
	if (l->silent_at_us != 0)
		l->silent_at_us = now_us + LA_SILENT_US;
}

bool
la_may_be_unread(struct la_pause *p, int64_t now_us)
{
	bool late =
	    p->checked_us != 0 && now_us - p->checked_us >= LA_LATE_CHECK_US;

	p->checked_us = now_us;
	if (now_us < p->grace_end_us)
		return true;
	/* The check after the time of grace decides, even if it is late too. */
	if (p->grace_end_us != 0 || !late) {
		p->grace_end_us = 0;
		return false;
	}
	p->grace_end_us = now_us + LA_GRACE_US;
	return true;
}

enum la_action
la_check(const struct la_link *l, bool may_be_unread, int64_t now_us)
{
	if (l->silent_at_us == 0)
		return LA_NONE;
	if (now_us >= l->silent_at_us && !may_be_unread)
		return LA_CLOSE;
	return now_us >= l->heartbeat_at_us ? LA_SEND_HEARTBEAT : LA_NONE;
}
