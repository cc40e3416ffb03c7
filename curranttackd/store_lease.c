#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/daemon.h"
#include "curranttackd/shard_host.h"

#define SL_RETRY_DELAY_US (300 * CLK_US_PER_MS)

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
	struct daemon *d = arg;
	int64_t now_us = clk_now_us();

	d->store_lease_in_flight = false;
	d->store_lease_renew_at_us = now_us +
	    (a->result == KV_OK ? d->settings->store_lease_ttl_us / 3
				: SL_RETRY_DELAY_US);
	if (a->result == KV_ABSENT)
		sl_on_lost(d);
}

void
sl_tick(struct daemon *d, int64_t now_us)
{
	if (d->store_lease_in_flight || now_us < d->store_lease_renew_at_us)
		return;
	d->store_lease_in_flight = true;
	if (d->store_lease_id == 0)
		d->kv_ops->lease_grant(
		    d->kv, d->settings->store_lease_ttl_us, sl_on_granted, d);
	else
		d->kv_ops->lease_renew(
		    d->kv, d->store_lease_id, sl_on_renewed, d);
}
