#include <stdlib.h>
#include <string.h>

#include "curranttackd/api.h"
#include "curranttackd/call_handlers.h"
#include "curranttackd/members.h"
#include "curranttackd/shard_host.h"

static struct peer_link *
ch_get_link(struct daemon *d, const char *vm)
{
	return me_get_link(d->members, vm);
}

static struct shard_host *
ch_owned_shard_host(const struct daemon *d, const char *shard)
{
	uint32_t i;

	for (i = 0; i < d->shard_host_count; i++) {
		if (strcmp(ho_shard_id(d->shard_host[i]), shard) == 0 &&
		    ho_owns(d->shard_host[i], NULL))
			return d->shard_host[i];
	}
	return NULL;
}

static bool
ch_owns_shard(const struct daemon *d, const char *shard)
{
	return ch_owned_shard_host(d, shard) != NULL;
}

static void
ch_reply_burn(struct daemon *d, call_done_fn done, void *arg)
{
	json_t *list = ao_burn_json(d);
	char *text = json_dumps(list, JSON_COMPACT);
	Currant__Reply reply;

	ca_init_reply(&reply, ST_DONE, 200, NULL, 0);
	reply.has_body = 1;
	reply.body.data = (uint8_t *)text;
	reply.body.len = strlen(text);
	done(&reply, arg);
	free(text);
	json_decref(list);
}

static void
ch_handle(struct daemon *d, const Currant__Call *call, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	struct shard_host *host;

	if (call->forward != NULL) {
		rq_serve_forwarded(d, call, deadline_us, done, arg);
		return;
	}
	if (call->list != NULL && strcmp(call->list, "burn") == 0) {
		ch_reply_burn(d, done, arg);
		return;
	}
	host = ch_owned_shard_host(d, call->shard != NULL ? call->shard : "");
	if (host == NULL) {
		ca_reply_not_run(
		    done, arg, "this daemon does not own the shard");
		return;
	}
	ho_handle_call(host, call, deadline_us, done, arg);
}

const struct call_ops ch_ops = {
    .get_link = ch_get_link,
    .owns_shard = ch_owns_shard,
    .handle = ch_handle,
};
