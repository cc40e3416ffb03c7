#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/members_internal.h"
#include "curranttackd/shard_host.h"

/* An unchanged report is relayed only in every third summary. */
#define ME_UNCHANGED_RELAY_ROUNDS 3

struct members *
me_create(struct daemon *d)
{
	struct members *me;

	me = talloc_zero(d, struct members);
	if (me != NULL)
		me->d = d;
	return me;
}

/** struct me_heartbeat - a heartbeat message with the arrays it points to */
struct me_heartbeat {
	Currant__Heartbeat beat;
	Currant__OwnedShard owned[MB_MAX_OWNED];
	Currant__OwnedShard *owned_list[MB_MAX_OWNED];
	Currant__ServiceRoom room[MB_MAX_SERVICES];
	Currant__ServiceRoom *room_list[MB_MAX_SERVICES];
};

static void
me_fill_heartbeat(
    struct me_heartbeat *msg, const struct mb_member *m, int64_t age_us)
{
	const struct mb_report *r = &m->report;
	uint32_t i;

	currant__heartbeat__init(&msg->beat);
	msg->beat.vm = (char *)r->vm;
	msg->beat.domain = (char *)r->domain;
	msg->beat.address = (char *)r->address;
	msg->beat.incarnation = r->incarnation;
	msg->beat.config_revision = r->config_revision;
	msg->beat.preset = (char *)r->preset;
	msg->beat.has_leaving = r->leaving;
	msg->beat.leaving = r->leaving;
	msg->beat.has_age_ms = age_us > 0;
	msg->beat.age_ms = (uint32_t)(age_us / CLK_US_PER_MS);
	msg->beat.owned = msg->owned_list;
	msg->beat.n_owned = r->owned_count;
	for (i = 0; i < r->owned_count; i++) {
		currant__owned_shard__init(&msg->owned[i]);
		msg->owned[i].shard = (char *)r->owned[i].shard;
		msg->owned[i].epoch = r->owned[i].epoch;
		msg->owned[i].has_load = 1;
		msg->owned[i].load = r->owned[i].load;
		msg->owned_list[i] = &msg->owned[i];
	}
	msg->beat.room = msg->room_list;
	msg->beat.n_room = r->service_slots_count;
	for (i = 0; i < r->service_slots_count; i++) {
		currant__service_room__init(&msg->room[i]);
		msg->room[i].service = (char *)r->service_slots[i].service;
		msg->room[i].free_slots = r->service_slots[i].free_slots;
		msg->room_list[i] = &msg->room[i];
	}
}

/* Updates this daemon's own report in the view. */
static void
me_update_own_report(struct members *me, int64_t now_us)
{
	struct daemon *d = me->d;
	struct mb_report r;
	uint64_t epoch;
	uint32_t i;

	pthread_mutex_lock(&d->members_lock);
	r = mb_find(d->view, d->settings->vm)->report;
	pthread_mutex_unlock(&d->members_lock);
	r.leaving = atomic_load(&d->shutting_down);
	r.owned_count = 0;
	for (i = 0; i < d->shard_host_count && r.owned_count < MB_MAX_OWNED;
	     i++) {
		if (!ho_owns(d->shard_host[i], &epoch))
			continue;
		snprintf(r.owned[r.owned_count].shard, MB_NAME_BYTES, "%s",
		    ho_shard_id(d->shard_host[i]));
		r.owned[r.owned_count].load = ho_load(d->shard_host[i]);
		r.owned[r.owned_count++].epoch = epoch;
	}
	r.service_slots_count = 0;
	for (i = 0;
	     i < d->service_count && r.service_slots_count < MB_MAX_SERVICES;
	     i++) {
		struct dm_service *s = d->service[i];
		struct mb_service_slots *room =
		    &r.service_slots[r.service_slots_count++];

		memcpy(room->service, s->name, sizeof(room->service));
		pthread_mutex_lock(&s->lock);
		room->free_slots = rt_free_slots(s->routing, now_us);
		pthread_mutex_unlock(&s->lock);
	}
	pthread_mutex_lock(&d->members_lock);
	mb_on_report(d->view, &r, now_us);
	pthread_mutex_unlock(&d->members_lock);
}

/** struct me_summary - a summary message with all that it points to */
struct me_summary {
	Currant__Summary summary;
	struct me_heartbeat *message;
	Currant__Heartbeat **list;
	uint32_t count;
};

/** enum me_scope - which reports a summary has */
enum me_scope {
	ME_SELF,   /* only this daemon */
	ME_DOMAIN, /* also the live daemons of its domain */
	ME_OTHERS, /* also those of other domains, if changed or due again */
};

static bool
me_in_scope(struct members *me, struct mb_member *m, enum me_scope scope,
    int64_t now_us)
{
	struct daemon *d = me->d;
	bool same_domain = strcmp(m->report.domain, d->settings->domain) == 0;
	uint64_t digest;

	if (strcmp(m->report.vm, d->settings->vm) == 0)
		return true;
	if (scope == ME_SELF || !mb_alive(m, now_us) ||
	    m->report.incarnation == 0)
		return false;
	if (scope == ME_DOMAIN)
		return same_domain;
	digest = mb_report_digest(&m->report);
	if (same_domain ||
	    (digest == m->relayed_digest &&
		me->round % ME_UNCHANGED_RELAY_ROUNDS != 0))
		return false;
	m->relayed_digest = digest;
	return true;
}

/* Returns with members_lock held, since the summary points into the view. */
static struct me_summary *
me_build_summary(struct members *me, enum me_scope scope, int64_t now_us)
{
	struct daemon *d = me->d;
	struct me_summary *s = talloc_zero(me, struct me_summary);
	uint32_t i;

	pthread_mutex_lock(&d->members_lock);
	s->message = talloc_zero_array(s, struct me_heartbeat, d->view->count);
	s->list = talloc_zero_array(s, Currant__Heartbeat *, d->view->count);
	currant__summary__init(&s->summary);
	for (i = 0; i < d->view->count; i++) {
		struct mb_member *m = &d->view->member[i];

		if (!me_in_scope(me, m, scope, now_us))
			continue;
		me_fill_heartbeat(&s->message[s->count], m,
		    m->last_heard_us == 0 ? 0 : now_us - m->last_heard_us);
		s->list[s->count] = &s->message[s->count].beat;
		s->count++;
	}
	s->summary.members = s->list;
	s->summary.n_members = s->count;
	return s;
}

static void
me_send_summary(struct members *me, const char *vm, struct me_summary *s)
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	struct peer_link *link = me_get_link(me, vm);

	if (link == NULL)
		return;
	frame.summary = &s->summary;
	peer_send(link, &frame);
}

/** typedef me_is_receiver_fn - whether a summary is sent to a daemon */
typedef bool (*me_is_receiver_fn)(
    struct daemon *d, const struct mb_member *m, int64_t now_us);

static bool
me_is_same_domain(struct daemon *d, const struct mb_member *m, int64_t now_us)
{
	(void)now_us;
	return strcmp(m->report.domain, d->settings->domain) == 0;
}

/* Leaders of other domains; of a domain without one, all listed daemons. */
static bool
me_is_other_leader(struct daemon *d, const struct mb_member *m, int64_t now_us)
{
	struct mb_member *leader;

	if (strcmp(m->report.domain, d->settings->domain) == 0)
		return false;
	leader = mb_domain_leader(d->view, m->report.domain, now_us);
	return leader == NULL ? m->listed != MB_UNLISTED : leader == m;
}

static void
me_send_to(
    struct members *me, enum me_scope scope, me_is_receiver_fn is_receiver)
{
	struct daemon *d = me->d;
	int64_t now_us = clk_now_us();
	struct me_summary *s;
	char(*vm)[MB_NAME_BYTES];
	uint32_t n = 0;
	uint32_t i;

	s = me_build_summary(me, scope, now_us);
	vm = talloc_array_size(s, MB_NAME_BYTES, d->view->count);
	for (i = 0; i < d->view->count; i++) {
		const struct mb_member *m = &d->view->member[i];

		if (m->gone_at_us != 0 ||
		    strcmp(m->report.vm, d->settings->vm) == 0 ||
		    !is_receiver(d, m, now_us))
			continue;
		memcpy(vm[n++], m->report.vm, MB_NAME_BYTES);
	}
	/*
	 * The messages point into the view. Only this loop changes it, so
	 * they stay valid without the lock, which me_get_link() takes.
	 */
	pthread_mutex_unlock(&d->members_lock);
	for (i = 0; i < n; i++)
		me_send_summary(me, vm[i], s);
	talloc_free(s);
}

static void
me_on_heartbeat_due(void *arg)
{
	struct members *me = arg;

	me_update_own_report(me, clk_now_us());
	me_send_to(me, ME_SELF, me_is_same_domain);
}

static void
me_on_summary_due(void *arg)
{
	struct members *me = arg;
	struct daemon *d = me->d;
	bool is_leader;

	pthread_mutex_lock(&d->members_lock);
	is_leader = mb_is_domain_leader(d->view, clk_now_us());
	pthread_mutex_unlock(&d->members_lock);
	if (!is_leader)
		return;
	me_send_to(me, ME_DOMAIN, me_is_other_leader);
	me_send_to(me, ME_OTHERS, me_is_same_domain);
	me->round++;
}

void
me_send_heartbeat(struct members *me)
{
	me_on_heartbeat_due(me);
}

static void
me_apply_heartbeat(
    struct daemon *d, const Currant__Heartbeat *beat, int64_t now_us)
{
	struct mb_report r = {0};
	enum mb_error error;
	size_t i;

	snprintf(r.vm, sizeof(r.vm), "%s", beat->vm);
	snprintf(r.domain, sizeof(r.domain), "%s", beat->domain);
	snprintf(r.address, sizeof(r.address), "%s", beat->address);
	snprintf(r.preset, sizeof(r.preset), "%s",
	    beat->preset != NULL ? beat->preset : "");
	r.incarnation = beat->incarnation;
	r.config_revision = beat->config_revision;
	r.leaving = beat->leaving;
	r.age_us = (int64_t)beat->age_ms * CLK_US_PER_MS;
	for (i = 0; i < beat->n_owned && i < MB_MAX_OWNED; i++) {
		snprintf(r.owned[i].shard, MB_NAME_BYTES, "%s",
		    beat->owned[i]->shard);
		r.owned[i].epoch = beat->owned[i]->epoch;
		r.owned[i].load = beat->owned[i]->load;
		r.owned_count++;
	}
	for (i = 0; i < beat->n_room && i < MB_MAX_SERVICES; i++) {
		snprintf(r.service_slots[i].service, MB_NAME_BYTES, "%s",
		    beat->room[i]->service);
		r.service_slots[i].free_slots = beat->room[i]->free_slots;
		r.service_slots_count++;
	}
	if (strcmp(r.vm, d->settings->vm) == 0)
		return;
	pthread_mutex_lock(&d->members_lock);
	error = mb_on_report(d->view, &r, now_us);
	pthread_mutex_unlock(&d->members_lock);
	if (error == MB_WRONG_DOMAIN)
		lg_event(LG_WARN, "members", "wrong_domain", "member", r.vm,
		    "claimed", r.domain, NULL);
}

void
me_on_summary(struct members *me, const Currant__Summary *summary)
{
	int64_t now_us = clk_now_us();
	size_t i;

	for (i = 0; i < summary->n_members; i++)
		me_apply_heartbeat(me->d, summary->members[i], now_us);
}

void
me_start(struct members *me)
{
	struct settings *s = me->d->settings;

	me_on_vm_list_due(me);
	loop_every(me->d->control_loop, s->vm_list_poll_interval_us,
	    me_on_vm_list_due, me);
	loop_every(me->d->control_loop, s->heartbeat_interval_us,
	    me_on_heartbeat_due, me);
	loop_every(
	    me->d->control_loop, s->summary_interval_us, me_on_summary_due, me);
}
