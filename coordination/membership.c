#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "coordination/membership.h"

static struct mb_member *
mb_add(struct mb_view *v, const char *vm)
{
	struct mb_member *members;
	struct mb_member *m;

	members = talloc_realloc(v, v->member, struct mb_member, v->count + 1);
	if (members == NULL)
		return NULL;
	v->member = members;
	m = &v->member[v->count++];
	memset(m, 0, sizeof(*m));
	snprintf(m->report.vm, sizeof(m->report.vm), "%s", vm);
	return m;
}

struct mb_view *
mb_create(TALLOC_CTX *ctx, const struct mb_report *self, int64_t timeout_us,
    int64_t remote_timeout_us)
{
	struct mb_view *v;
	struct mb_member *m;

	v = talloc_zero(ctx, struct mb_view);
	if (v == NULL)
		return NULL;
	v->timeout_us = timeout_us;
	v->remote_timeout_us = remote_timeout_us;
	snprintf(v->self, sizeof(v->self), "%s", self->vm);
	snprintf(v->domain, sizeof(v->domain), "%s", self->domain);
	m = mb_add(v, self->vm);
	if (m == NULL) {
		talloc_free(v);
		return NULL;
	}
	m->report = *self;
	m->dead_at_us = INT64_MAX;
	return v;
}

uint64_t
mb_report_digest(const struct mb_report *r)
{
	uint64_t d = r->incarnation;
	uint32_t i;

	d = d * 31 + r->config_revision;
	d = d * 31 + r->leaving;
	for (i = 0; i < r->owned_count; i++)
		d = d * 31 + r->owned[i].epoch +
		    XXH3_64bits(r->owned[i].shard, strlen(r->owned[i].shard));
	return d;
}

struct mb_member *
mb_find(struct mb_view *v, const char *vm)
{
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		if (strcmp(v->member[i].report.vm, vm) == 0)
			return &v->member[i];
	}
	return NULL;
}

enum mb_error
mb_on_report(struct mb_view *v, const struct mb_report *r, int64_t now_us)
{
	struct mb_member *m = mb_find(v, r->vm);
	bool same_domain = strcmp(r->domain, v->domain) == 0;
	int64_t heard_us = now_us - r->age_us;

	if (strcmp(r->vm, v->self) == 0) {
		/* Our own report is always current and has no deadline. */
		if (m->report.incarnation != r->incarnation)
			return MB_STALE;
		m->report = *r;
		return MB_OK;
	}
	if (m == NULL)
		m = mb_add(v, r->vm);
	if (m == NULL)
		return MB_STALE;
	if (r->incarnation < m->report.incarnation)
		return MB_STALE;
	if (m->report.domain[0] != '\0' &&
	    strcmp(m->report.domain, r->domain) != 0)
		return MB_WRONG_DOMAIN;
	/* A summary may be older than the heartbeat received directly. */
	if (r->incarnation == m->report.incarnation &&
	    heard_us < m->last_heard_us)
		return MB_OK;
	m->report = *r;
	m->last_heard_us = heard_us;
	m->dead_at_us =
	    heard_us + (same_domain ? v->timeout_us : v->remote_timeout_us);
	m->gone_at_us = 0;
	return MB_OK;
}

static void
mb_apply_vm_entry(struct mb_view *v, const struct mb_vm_entry *e)
{
	struct mb_member *m = mb_find(v, e->vm);

	if (m == NULL)
		m = mb_add(v, e->vm);
	if (m == NULL)
		return;
	m->listed = e->leaving ? MB_LISTED_LEAVING : MB_LISTED;
	m->gone_at_us = 0;
	if (m->report.domain[0] == '\0')
		snprintf(m->report.domain, sizeof(m->report.domain), "%s",
		    e->domain);
	snprintf(m->listed_address, sizeof(m->listed_address), "%s",
	    e->address != NULL ? e->address : "");
}

void
mb_on_vm_list(struct mb_view *v, const struct mb_vm_entry *entry,
    uint32_t count, int64_t now_us)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++)
		mb_apply_vm_entry(v, &entry[i]);
	for (i = 0; i < v->count; i++) {
		struct mb_member *m = &v->member[i];

		if (m->listed == MB_UNLISTED)
			continue;
		for (k = 0; k < count; k++) {
			if (strcmp(entry[k].vm, m->report.vm) == 0)
				break;
		}
		if (k < count)
			continue;
		m->listed = MB_UNLISTED;
		if (strcmp(m->report.vm, v->self) != 0)
			m->gone_at_us = now_us;
	}
}

void
mb_on_connection_refused(struct mb_view *v, const char *vm, int64_t now_us)
{
	struct mb_member *m = mb_find(v, vm);

	if (m != NULL && strcmp(vm, v->self) != 0 && now_us < m->dead_at_us)
		m->dead_at_us = now_us;
}

bool
mb_alive(const struct mb_member *m, int64_t now_us)
{
	return now_us < m->dead_at_us && m->gone_at_us == 0;
}

bool
mb_accepts_work(const struct mb_member *m, int64_t now_us)
{
	return mb_alive(m, now_us) && !m->report.leaving &&
	    m->listed != MB_LISTED_LEAVING;
}

uint32_t
mb_rank(const struct mb_view *v, int64_t now_us, uint32_t *count)
{
	uint32_t rank = 0;
	uint32_t others = 0;
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		const struct mb_member *m = &v->member[i];

		if (strcmp(m->report.domain, v->domain) != 0 ||
		    strcmp(m->report.vm, v->self) == 0 ||
		    !mb_accepts_work(m, now_us))
			continue;
		others++;
		if (strcmp(m->report.vm, v->self) < 0)
			rank++;
	}
	*count = others + 1;
	return rank;
}

struct mb_member *
mb_domain_leader(struct mb_view *v, const char *domain, int64_t now_us)
{
	struct mb_member *best = NULL;
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		struct mb_member *m = &v->member[i];

		if (strcmp(m->report.domain, domain) != 0 ||
		    !mb_alive(m, now_us))
			continue;
		if (best == NULL || strcmp(m->report.vm, best->report.vm) < 0)
			best = m;
	}
	return best;
}

bool
mb_is_domain_leader(const struct mb_view *v, int64_t now_us)
{
	struct mb_member *m;

	m = mb_domain_leader((struct mb_view *)v, v->domain, now_us);
	return m != NULL && strcmp(m->report.vm, v->self) == 0;
}

struct mb_member *
mb_shard_owner(
    struct mb_view *v, const char *shard, int64_t now_us, uint64_t *epoch)
{
	struct mb_member *best = NULL;
	uint64_t best_epoch = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < v->count; i++) {
		struct mb_member *m = &v->member[i];

		if (!mb_alive(m, now_us))
			continue;
		for (k = 0; k < m->report.owned_count; k++) {
			const struct mb_owned *o = &m->report.owned[k];

			if (strcmp(o->shard, shard) != 0 ||
			    o->epoch <= best_epoch)
				continue;
			best = m;
			best_epoch = o->epoch;
		}
	}
	if (epoch != NULL)
		*epoch = best_epoch;
	return best;
}

uint32_t
mb_shard_load(struct mb_view *v, const char *shard, int64_t now_us)
{
	struct mb_member *m = mb_shard_owner(v, shard, now_us, NULL);
	uint32_t i;

	for (i = 0; m != NULL && i < m->report.owned_count; i++) {
		if (strcmp(m->report.owned[i].shard, shard) == 0)
			return m->report.owned[i].load;
	}
	return UINT32_MAX;
}

bool
mb_domain_may_be_alive(
    const struct mb_view *v, const char *domain, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		const struct mb_member *m = &v->member[i];

		if (strcmp(m->report.domain, domain) != 0)
			continue;
		/* Listed but silent: perhaps partitioned, and serving. */
		if (m->listed != MB_UNLISTED || mb_alive(m, now_us))
			return true;
	}
	return false;
}

static int32_t
mb_free_slots(const struct mb_member *m, const char *service)
{
	uint32_t i;

	for (i = 0; i < m->report.service_slots_count; i++) {
		if (strcmp(m->report.service_slots[i].service, service) == 0)
			return m->report.service_slots[i].free_slots;
	}
	return 0;
}

struct mb_member *
mb_most_free_slots(struct mb_view *v, const char *service, int64_t now_us)
{
	struct mb_member *best = NULL;
	int64_t best_score = 0;
	uint32_t i;

	for (i = 0; i < v->count; i++) {
		struct mb_member *m = &v->member[i];
		int64_t score;

		if (strcmp(m->report.vm, v->self) == 0 ||
		    !mb_accepts_work(m, now_us))
			continue;
		score = mb_free_slots(m, service);
		if (score <= 0)
			continue;
		if (strcmp(m->report.domain, v->domain) == 0)
			score += INT32_MAX;
		if (score > best_score) {
			best = m;
			best_score = score;
		}
	}
	return best;
}

int64_t
mb_process_gone_at(struct mb_view *v, const char *vm, uint64_t incarnation)
{
	struct mb_member *m = mb_find(v, vm);

	if (m == NULL)
		return 0;
	if (m->report.incarnation > incarnation)
		return 1;
	return m->gone_at_us;
}
