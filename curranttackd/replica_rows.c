#include <string.h>

#include "curranttackd/replica_internal.h"

static const struct {
	const char *prefix;
	void (*apply)(
	    struct replica *r, const char *name, const struct ks_item *item);
} rp_prefixes[] = {
    {RP_JOB_PREFIX, rp_apply_job},
    {RP_PROGRESS_PREFIX, rp_apply_progress},
    {RP_CANCEL_PREFIX, rp_apply_cancel},
    {RP_OWNER_PREFIX, rp_apply_owner},
    {RP_TERM_PREFIX, rp_apply_term},
    {RP_WORKERS_PREFIX, rp_apply_workers},
    {RP_MEMBER_PREFIX, rp_apply_member},
    {RP_WAVE_PREFIX, rp_apply_wave_progress},
};

static void
rp_apply_item(struct replica *r, const struct ks_item *item)
{
	const char *id = NULL;
	size_t i;

	if (item->deleted)
		rp_forget_left_out(r, item);
	for (i = 0; i < sizeof(rp_prefixes) / sizeof(rp_prefixes[0]); i++) {
		size_t n = strlen(rp_prefixes[i].prefix);

		if (strncmp(item->key, rp_prefixes[i].prefix, n) != 0)
			continue;
		rp_prefixes[i].apply(r, item->key + n, item);
		return;
	}
	switch (r->fleet->entries->kind(item->key, &id)) {
	case FL_KEY_WORKER:
		rp_apply_worker(r, id, item);
		break;
	case FL_KEY_CONFIG:
		rp_apply_config(r, item);
		break;
	case FL_KEY_WAVE:
		rp_apply_wave(r, id, item);
		break;
	case FL_KEY_OTHER:
		break;
	}
}

void
rp_apply_out_of_order(struct replica *r, const struct ks_item *item)
{
	r->source = "call";
	rp_apply_item(r, item);
}

void
rp_apply_in_order(struct replica *r, const struct ks_item *item)
{
	r->applying_in_order = true;
	rp_apply_item(r, item);
	r->applying_in_order = false;
}

/* Marks an item as found by the load, if its kind can be deleted. */
void
rp_mark_found(struct replica *r, const struct ks_item *item)
{
	const char *id = NULL;
	struct rp_owner *o = NULL;
	struct rp_member *m = NULL;
	struct rp_worker *w = NULL;
	struct rp_job *job = NULL;
	size_t owner_length = strlen(RP_OWNER_PREFIX);
	size_t member_length = strlen(RP_MEMBER_PREFIX);
	size_t job_length = strlen(RP_JOB_PREFIX);
	size_t cancel_length = strlen(RP_CANCEL_PREFIX);

	if (strncmp(item->key, RP_JOB_PREFIX, job_length) == 0)
		HASH_FIND_STR(r->jobs, item->key + job_length, job);
	else if (strncmp(item->key, RP_CANCEL_PREFIX, cancel_length) == 0)
		job = rp_find_tombstone(r, item->key + cancel_length);
	else if (strncmp(item->key, RP_OWNER_PREFIX, owner_length) == 0)
		HASH_FIND_STR(r->owners, item->key + owner_length, o);
	else if (strncmp(item->key, RP_MEMBER_PREFIX, member_length) == 0)
		HASH_FIND_STR(r->members, item->key + member_length, m);
	else if (r->fleet->entries->kind(item->key, &id) == FL_KEY_WORKER)
		HASH_FIND_STR(r->workers, id, w);
	if (job != NULL)
		job->found_in_load = r->load_number;
	if (o != NULL)
		o->found_in_load = r->load_number;
	if (m != NULL)
		m->found_in_load = r->load_number;
	if (w != NULL)
		w->found_in_load = r->load_number;
}
