#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "curranttackd/api.h"
#include "protocol/json_fields.h"

#define GA_TIMEOUT_US (3 * CLK_US_PER_S)
#define GA_MAX_CALLS 256

/**
 * struct gather - a request for a list that several daemons hold parts of
 * @req: request to respond to
 * @items: concatenated parts
 * @unreachable: names of the daemons or shards without a reply
 * @list: name of the list, and of its field in the response
 * @pending: replies to come, and one until all calls have been started
 */
struct gather {
	struct hs_request *req;
	json_t *items;
	json_t *unreachable;
	char list[MB_NAME_BYTES];
	uint32_t pending;
};

/** struct gather_part - the call to one daemon or owner of a shard */
struct gather_part {
	struct gather *g;
	char name[MB_NAME_BYTES];
};

static void
gather_end_part(struct gather *g)
{
	json_t *body;

	if (--g->pending > 0)
		return;
	body = json_pack(
	    "{s:o, s:o}", g->list, g->items, "unreachable", g->unreachable);
	fr_respond_json(g->req, 200, body);
	talloc_free(g);
}

static void
gather_on_reply(const Currant__Reply *reply, void *arg)
{
	struct gather_part *part = arg;
	struct gather *g = part->g;
	char error[JF_ERROR_BYTES];
	json_t *list = NULL;

	if (reply->outcome == ST_DONE && reply->has_body)
		list = jf_parse(reply->body.data, reply->body.len, error);
	if (json_is_array(list))
		json_array_extend(g->items, list);
	else
		json_array_append_new(g->unreachable, json_string(part->name));
	json_decref(list);
	talloc_free(part);
	gather_end_part(g);
}

static struct gather *
gather_create(struct hs_request *req, const char *list)
{
	struct gather *g;

	g = talloc_zero(NULL, struct gather);
	if (g == NULL)
		abort();
	g->req = req;
	g->items = json_array();
	g->unreachable = json_array();
	/* For the caller, until it has started all parts. */
	g->pending = 1;
	snprintf(g->list, sizeof(g->list), "%s", list);
	return g;
}

static void
gather_start_part(
    struct frontend *f, struct gather *g, const char *vm, const char *shard)
{
	Currant__Call call = CURRANT__CALL__INIT;
	struct call_target target = {vm, shard};
	struct gather_part *part;

	part = talloc_zero(NULL, struct gather_part);
	if (part == NULL)
		abort();
	part->g = g;
	snprintf(part->name, sizeof(part->name), "%s", vm != NULL ? vm : shard);
	g->pending++;
	call.list = g->list;
	ca_start_from_frontend(f, &call, &target, clk_now_us() + GA_TIMEOUT_US,
	    gather_on_reply, part);
}

void
gather_from_shards(struct frontend *f, struct hs_request *req, const char *list)
{
	struct gather *g = gather_create(req, list);
	char name[GA_MAX_CALLS][MB_NAME_BYTES];
	uint32_t n = 0;
	uint32_t i;

	pthread_mutex_lock(&f->d->config_lock);
	for (i = 0; i < f->d->config->shards->count && n < GA_MAX_CALLS; i++)
		strncpy(name[n++], f->d->config->shards->shard[i].id,
		    MB_NAME_BYTES);
	pthread_mutex_unlock(&f->d->config_lock);
	for (i = 0; i < n; i++)
		gather_start_part(f, g, NULL, name[i]);
	gather_end_part(g);
}

void
gather_from_daemons(
    struct frontend *f, struct hs_request *req, const char *list)
{
	struct gather *g = gather_create(req, list);
	char name[GA_MAX_CALLS][MB_NAME_BYTES];
	uint32_t n = 0;
	uint32_t i;

	pthread_mutex_lock(&f->d->members_lock);
	for (i = 0; i < f->d->view->count && n < GA_MAX_CALLS; i++) {
		const struct mb_member *m = &f->d->view->member[i];

		/* Neither in the platform's list nor alive: it has left. */
		if (m->listed == MB_UNLISTED && !mb_alive(m, clk_now_us()))
			continue;
		memcpy(name[n++], m->report.vm, MB_NAME_BYTES);
	}
	pthread_mutex_unlock(&f->d->members_lock);
	for (i = 0; i < n; i++)
		gather_start_part(f, g, name[i], NULL);
	gather_end_part(g);
}
