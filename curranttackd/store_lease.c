#include <stdlib.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/daemon.h"
#include "curranttackd/shard_host.h"

#define SL_RETRY_DELAY_US (300 * CLK_US_PER_MS)

struct sl_renewal {
	struct daemon *d;
	uint64_t lease;
};

static void
sl_on_lost(struct daemon *d)
{
	uint32_t i;

	lg_event(LG_WARN, "store", "lease_lapsed", NULL);
	d->store_lease_id = 0;
	for (i = 0; i < d->shard_host_count; i++)
		ho_on_store_lease_lost(d->shard_host[i]);
}

static void
sl_on_granted(const struct kv_response *a, void *arg)
{
	struct daemon *d = arg;
	int64_t now_us = clk_now_us();

	d->store_lease_in_flight = false;
	if (a->result != KV_OK || a->lease == 0) {
		d->store_lease_renew_at_us = now_us + SL_RETRY_DELAY_US;
		return;
	}
	d->store_lease_id = a->lease;
	d->store_lease_renew_at_us =
	    now_us + d->settings->store_lease_ttl_us / 3;
}

static void
sl_on_renewed(const struct kv_response *a, void *arg)
{
	struct sl_renewal *renewal = arg;
	struct daemon *d = renewal->d;
	int64_t retry_at_us = clk_now_us() + SL_RETRY_DELAY_US;

	if (a->result != KV_OK && d->store_lease_renew_at_us > retry_at_us)
		d->store_lease_renew_at_us = retry_at_us;
	if (a->result == KV_ABSENT && d->store_lease_id == renewal->lease)
		sl_on_lost(d);
	talloc_free(renewal);
}

static void
sl_grant(struct daemon *d)
{
	if (d->store_lease_in_flight)
		return;
	d->store_lease_in_flight = true;
	d->kv_ops->lease_grant(
	    d->kv, d->settings->store_lease_ttl_us, sl_on_granted, d);
}

/* Also while one is unanswered: it may be on a connection that is silent. */
static void
sl_renew(struct daemon *d, int64_t now_us)
{
	struct sl_renewal *renewal = talloc_zero(d, struct sl_renewal);

	if (renewal == NULL)
		abort();
	renewal->d = d;
	renewal->lease = d->store_lease_id;
	d->store_lease_renew_at_us =
	    now_us + d->settings->store_lease_ttl_us / 3;
	d->kv_ops->lease_renew(
	    d->kv, d->store_lease_id, sl_on_renewed, renewal);
}

void
sl_tick(struct daemon *d, int64_t now_us)
{
	if (now_us < d->store_lease_renew_at_us)
		return;
	if (d->store_lease_id == 0)
		sl_grant(d);
	else
		sl_renew(d, now_us);
}
