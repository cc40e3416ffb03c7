#include <string.h>

#include "state/tombstones.h"

enum tb_state
tb_get_state(const struct tb_lease *l, int64_t now_us)
{
	if (l->id == 0 || now_us >= l->usable_until_us)
		return TB_NEEDS_LEASE;
	return l->count < TB_MAX_COUNT ? TB_READY : TB_FULL;
}

bool
tb_on_granted(struct tb_lease *l, uint64_t id, int64_t asked_us)
{
	if (tb_get_state(l, asked_us) != TB_NEEDS_LEASE)
		return false;
	l->id = id;
	l->usable_until_us = asked_us + TB_KEEP_US;
	l->count = 0;
	return true;
}

uint64_t
tb_use(struct tb_lease *l)
{
	l->count++;
	return l->id;
}

void
tb_on_ended(struct tb_lease *l, uint64_t id)
{
	if (l->id == id)
		memset(l, 0, sizeof(*l));
}
