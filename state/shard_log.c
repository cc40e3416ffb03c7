#include <stdlib.h>
#include <utlist.h>

#include "state/shard_internal.h"

uint64_t
sh_append_record(struct sh_shard *sh, struct rc_record *r)
{
	struct sh_pending_record *p;

	p = talloc_zero(sh, struct sh_pending_record);
	if (p == NULL)
		abort();
	r->epoch = sh->epoch;
	p->record = talloc_steal(p, r);
	p->number = ++sh->last_number;
	DL_APPEND(sh->pending, p);
	sh->pending_count++;
	return p->number;
}

const struct sh_pending_record *
sh_pending_records(const struct sh_shard *sh)
{
	return sh->pending;
}

void
sh_committed(struct sh_shard *sh, uint64_t number)
{
	struct sh_pending_record *p;

	while ((p = sh->pending) != NULL && p->number <= number) {
		DL_DELETE(sh->pending, p);
		sh->pending_count--;
		talloc_free(p);
	}
	if (number > sh->committed)
		sh->committed = number;
}
