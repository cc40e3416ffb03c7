#include <stdlib.h>
#include <utlist.h>

#include "state/shard_internal.h"

struct rc_record *
sh_task_record(TALLOC_CTX *ctx, const struct sh_shard *sh, enum rc_kind kind,
    const struct sh_task *task)
{
	struct rc_record *r = talloc_zero(ctx, struct rc_record);

	if (r == NULL)
		abort();
	r->kind = kind;
	r->job = talloc_strdup(r, task->job->spec->id);
	r->index = task->index;
	r->attempt = task->attempt;
	r->result = task->result;
	if (task->worker != PL_NONE)
		r->worker = talloc_strdup(r, sh->worker[task->worker].id);
	return r;
}

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
