#include "calls_daemon.h"

#include "curranttackd/calls.h"

static struct peer_link *cd_link;

static struct peer_link *
cd_get_link(struct daemon *d, const char *vm)
{
	(void)d;
	(void)vm;
	return cd_link;
}

static const struct call_ops cd_ops = {.get_link = cd_get_link};

struct call_table *
cd_create(TALLOC_CTX *ctx)
{
	struct daemon *d = talloc_zero(ctx, struct daemon);

	d->settings = talloc_zero(d, struct settings);
	d->settings->vm = talloc_strdup(d, "this");
	return ca_create(d, &cd_ops);
}

void
cd_call(struct call_table *c, struct peer_link *link, int64_t deadline_us,
    void (*done)(const Currant__Reply *reply, void *arg), void *arg)
{
	struct call_target target = {.vm = "other"};
	Currant__Call call = CURRANT__CALL__INIT;

	cd_link = link;
	ca_start(c, &call, &target, deadline_us, done, arg);
}

void
cd_on_closed(struct call_table *c, struct peer_link *link)
{
	ca_on_link_closed(c, link);
}
