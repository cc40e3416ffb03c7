#include "coordination/links.h"

bool
li_needs_link(const struct li_daemon *own, const struct li_daemon *peer,
    uint32_t largest_mcpu)
{
	if (own->owns_pool || peer->owns_pool)
		return true;
	return own->cpu_mcpu >= largest_mcpu || peer->cpu_mcpu >= largest_mcpu;
}
