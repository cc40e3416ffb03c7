#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/burn.h"
#include "curranttackd/api.h"
#include "curranttackd/members.h"
#include "curranttackd/shard_host.h"
#include "protocol/config_json.h"
#include "protocol/json_fields.h"

#define CW_KEY_PREFIX "config/"
#define CW_WATCH_WAIT_US (20 * CLK_US_PER_S)
#define CW_WATCH_RETRY_US (200 * CLK_US_PER_MS)

static struct dm_service *
cw_create_service(struct daemon *d, const char *name)
{
	struct dm_service *s;

	/* A talloc tree of its own, as frontends allocate under its lock. */
	s = talloc_zero(NULL, struct dm_service);
	if (s == NULL)
		return NULL;
	snprintf(s->name, sizeof(s->name), "%s", name);
	pthread_mutex_init(&s->lock, NULL);
	s->routing = rt_create(s, name, dm_policy(d), d->incarnation);
	if (d->settings->power_of_two_choices)
		s->routing->choose = rt_choose_two_random;
	s->burn = bu_create(s);
	return s;
}

/* A service that is no longer configured stays, without endpoints. */
static void
cw_create_services(struct daemon *d)
{
	const struct cf_services *all = d->config->services;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < all->count; i++) {
		for (k = 0; k < d->service_count; k++) {
			if (strcmp(d->service[k]->name, all->service[i].name) ==
			    0)
				break;
		}
		if (k < d->service_count || k == DM_MAX_SERVICES)
			continue;
		d->service[d->service_count] =
		    cw_create_service(d, all->service[i].name);
		if (d->service[d->service_count] != NULL)
			d->service_count++;
	}
}

static const struct cf_service *
cw_find_service_config(const struct daemon *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->config->services->count; i++) {
		if (strcmp(d->config->services->service[i].name, name) == 0)
			return &d->config->services->service[i];
	}
	return NULL;
}

static void
cw_update_service(struct daemon *d, struct dm_service *s,
    const struct cf_service *conf, uint32_t rank, uint32_t daemons,
    uint32_t peer_room, int64_t now_us)
{
	uint32_t i;

	pthread_mutex_lock(&s->lock);
	rt_set_policy(s->routing, dm_policy(d));
	rt_begin_update(s->routing);
	for (i = 0; conf != NULL && i < conf->endpoint_count; i++) {
		const struct cf_endpoint *e = &conf->endpoint[i];

		if (strcmp(e->domain, d->settings->domain) == 0)
			rt_update_endpoint(s->routing, e->id, e->address,
			    e->slots, dm_vm_is_leaving(d, e->id));
	}
	rt_set_peer_free_slots(s->routing, peer_room);
	rt_set_share(s->routing, rank, daemons, now_us);
	rt_end_update(s->routing, now_us);
	rt_tick(s->routing, now_us);
	bu_set_objectives(s->burn, d->config->objectives, s->name);
	bu_advance(s->burn, now_us);
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}

static uint32_t
cw_peer_free_slots(struct daemon *d, const char *service, int64_t now_us)
{
	struct mb_member *m;
	uint32_t free_slots = 0;
	uint32_t i;

	pthread_mutex_lock(&d->members_lock);
	m = mb_most_free_slots(d->view, service, now_us);
	for (i = 0; m != NULL && i < m->report.service_slots_count; i++) {
		if (strcmp(m->report.service_slots[i].service, service) == 0)
			free_slots =
			    (uint32_t)m->report.service_slots[i].free_slots;
	}
	pthread_mutex_unlock(&d->members_lock);
	return free_slots;
}

void
cw_update_services(struct daemon *d, int64_t now_us)
{
	uint32_t rank;
	uint32_t daemons;
	uint32_t i;

	pthread_mutex_lock(&d->members_lock);
	rank = mb_rank(d->view, now_us, &daemons);
	pthread_mutex_unlock(&d->members_lock);
	/* Only this loop changes the configuration: no lock to read it. */
	for (i = 0; i < d->service_count; i++) {
		struct dm_service *s = d->service[i];

		cw_update_service(d, s, cw_find_service_config(d, s->name),
		    rank, daemons, cw_peer_free_slots(d, s->name, now_us),
		    now_us);
	}
}

static void
cw_create_shard_hosts(struct daemon *d)
{
	const struct cf_shards *shards = d->config->shards;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < shards->count; i++) {
		for (k = 0; k < d->shard_host_count; k++) {
			if (strcmp(ho_shard_id(d->shard_host[k]),
				shards->shard[i].id) == 0)
				break;
		}
		if (k == d->shard_host_count && k < DM_MAX_SHARDS)
			d->shard_host[d->shard_host_count++] =
			    ho_create(d, shards->shard[i].id);
	}
}

static void
cw_on_applied(struct daemon *d, enum cf_area area)
{
	uint32_t i;

	if (area == CF_SHARDS)
		cw_create_shard_hosts(d);
	for (i = 0; i < d->shard_host_count; i++)
		ho_on_config_changed(d->shard_host[i], area == CF_SHARDS);
	cw_update_services(d, clk_now_us());
}

enum cf_error
cw_apply(struct daemon *d, enum cf_area area, uint64_t revision,
    const uint8_t *body, size_t body_bytes)
{
	char error[CF_ERROR_BYTES] = "";
	enum cf_error result;
	struct mb_member *self;

	pthread_mutex_lock(&d->config_lock);
	result = cf_apply(
	    d->config, cj_parse, area, revision, body, body_bytes, error);
	if (result == CF_OK)
		cw_create_services(d);
	pthread_mutex_unlock(&d->config_lock);
	if (result == CF_INVALID)
		lg_event(LG_ERROR, "config", "document_refused", "area",
		    cf_area_name(area), "revision", lg_i64((int64_t)revision),
		    "reason", error, NULL);
	if (result != CF_OK)
		return result;
	lg_event(LG_INFO, "config", "in_force", "area", cf_area_name(area),
	    "revision", lg_i64((int64_t)revision), "preset",
	    po_preset_name(d->config->preset), NULL);
	pthread_mutex_lock(&d->members_lock);
	self = mb_find(d->view, d->settings->vm);
	self->report.config_revision = d->config->revision;
	snprintf(self->report.preset, sizeof(self->report.preset), "%s",
	    po_preset_name(d->config->preset));
	pthread_mutex_unlock(&d->members_lock);
	cw_on_applied(d, area);
	me_send_heartbeat(d->members);
	return CF_OK;
}

static void
cw_apply_change(struct daemon *d, json_t *change)
{
	const char *key = json_string_value(json_object_get(change, "key"));
	json_t *value = json_object_get(change, "value");
	uint64_t revision =
	    (uint64_t)json_integer_value(json_object_get(change, "revision"));
	enum cf_area area;

	if (key == NULL ||
	    strncmp(key, CW_KEY_PREFIX, strlen(CW_KEY_PREFIX)) != 0 ||
	    !json_is_string(value) ||
	    !cf_area_parse(key + strlen(CW_KEY_PREFIX), &area))
		return;
	cw_apply(d, area, revision, (const uint8_t *)json_string_value(value),
	    json_string_length(value));
}

static void
cw_on_watch(const struct kv_response *a, void *arg)
{
	struct daemon *d = arg;
	char error[JF_ERROR_BYTES];
	json_t *body;
	json_t *change;
	size_t i;

	d->watch_in_flight = false;
	if (a->result != KV_OK) {
		d->watch_retry_at_us = clk_now_us() + CW_WATCH_RETRY_US;
		return;
	}
	body = jf_parse(a->value, a->value_bytes, error);
	if (body == NULL) {
		d->watch_retry_at_us = clk_now_us() + CW_WATCH_RETRY_US;
		return;
	}
	json_array_foreach(json_object_get(body, "changes"), i, change)
		cw_apply_change(d, change);
	if (a->revision > d->watch_revision)
		d->watch_revision = a->revision;
	json_decref(body);
}

/* Asks the live daemon with the newest configuration for what we lack. */
static void
cw_fetch_if_outdated(struct daemon *d, int64_t now_us)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__ConfigFetch fetch = CURRANT__CONFIG_FETCH__INIT;
	char newest_vm[MB_NAME_BYTES] = "";
	uint64_t newest_revision = d->config->revision;
	struct peer_link *link;
	uint32_t i;

	pthread_mutex_lock(&d->members_lock);
	for (i = 0; i < d->view->count; i++) {
		const struct mb_member *m = &d->view->member[i];

		if (!mb_alive(m, now_us) ||
		    m->report.config_revision <= newest_revision)
			continue;
		newest_revision = m->report.config_revision;
		memcpy(newest_vm, m->report.vm, sizeof(newest_vm));
	}
	pthread_mutex_unlock(&d->members_lock);
	if (newest_vm[0] == '\0')
		return;
	link = me_get_link(d->members, newest_vm);
	if (link == NULL)
		return;
	fetch.have_revision = d->config->revision;
	frame.config_fetch = &fetch;
	peer_send(link, &frame);
}

void
cw_tick(struct daemon *d, int64_t now_us)
{
	bool is_leader;

	pthread_mutex_lock(&d->members_lock);
	is_leader = mb_is_domain_leader(d->view, now_us);
	pthread_mutex_unlock(&d->members_lock);
	/*
	 * A waiting watch counts against the store's limit of calls, so only
	 * the domain leader keeps one; others stop after the first response.
	 */
	if (!d->watch_in_flight && now_us >= d->watch_retry_at_us &&
	    (is_leader || d->watch_revision == 0)) {
		d->watch_in_flight = true;
		d->kv_ops->watch(d->kv, CW_KEY_PREFIX, d->watch_revision,
		    CW_WATCH_WAIT_US, cw_on_watch, d);
	}
	cw_fetch_if_outdated(d, now_us);
}

void
cw_on_config_fetch(
    struct daemon *d, struct peer_link *link, const Currant__ConfigFetch *fetch)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__ConfigDocs docs = CURRANT__CONFIG_DOCS__INIT;
	Currant__ConfigDoc doc[CF_AREA_COUNT];
	Currant__ConfigDoc *list[CF_AREA_COUNT];
	unsigned int i;

	docs.docs = list;
	docs.revision = d->config->revision;
	for (i = 0; i < CF_AREA_COUNT; i++) {
		const struct cf_doc *stored = &d->config->doc[i];

		if (stored->revision <= fetch->have_revision)
			continue;
		currant__config_doc__init(&doc[i]);
		doc[i].area = (char *)cf_area_name((enum cf_area)i);
		doc[i].revision = stored->revision;
		doc[i].body.data = stored->body;
		doc[i].body.len = stored->body_bytes;
		list[docs.n_docs++] = &doc[i];
	}
	frame.config_docs = &docs;
	peer_send(link, &frame);
}

void
cw_on_config_docs(struct daemon *d, const Currant__ConfigDocs *docs)
{
	enum cf_area area;
	size_t i;

	for (i = 0; i < docs->n_docs; i++) {
		const Currant__ConfigDoc *doc = docs->docs[i];

		if (cf_area_parse(doc->area, &area))
			cw_apply(d, area, doc->revision, doc->body.data,
			    doc->body.len);
	}
}
