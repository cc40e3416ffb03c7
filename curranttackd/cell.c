#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/cell.h"

int64_t
cell_wall_to_steady_us(void)
{
	return clk_now_us() - clk_wall_us();
}

void
cell_begin_incarnation(struct cell *c)
{
	uint64_t wall_us = (uint64_t)clk_wall_us();

	/* The wall clock may have been set back. */
	c->incarnation =
	    wall_us > c->incarnation ? wall_us : c->incarnation + 1;
	lg_event(LG_INFO, "daemon", "incarnation", "incarnation",
	    lg_i64((int64_t)c->incarnation), NULL);
	c->member_dirty = true;
	c->member_next_us = clk_now_us();
}

void
cell_ignore_answer(const struct ks_response *a, void *arg)
{
	(void)a;
	(void)arg;
}
