#include "state/pool_internal.h"

/* How long leases of workers last, on this daemon's clock and in the registry. */

int64_t
wp_worker_clock_ms(const struct wp_worker *w, int64_t now_us)
{
	return w->clock_ms + (now_us - w->clock_read_us) / CLK_US_PER_MS;
}

int64_t
wp_slowest_clock_us(int64_t since_us, int64_t left_ms)
{
	return since_us +
	    left_ms * CLK_US_PER_MS * 1000 / CLK_MIN_RATE_PER_MILLE;
}

int64_t
wp_left_ms(int64_t until_us, int64_t now_us)
{
	return until_us > now_us ? (until_us - now_us) / CLK_US_PER_MS + 1 : 0;
}

int64_t
wp_inherited_lease_until_us(const struct wp_worker *w)
{
	return clk_later_us(w->earlier_owner_until_us, w->late_lease_until_us);
}

int64_t
wp_given_lease_expiry_us(const struct wp_worker *w)
{
	int64_t left_ms = w->lease_end_clock_ms - w->clock_ms;

	if (w->clock_read_us == 0)
		return w->earlier_owner_until_us;
	if (left_ms < 0)
		left_ms = 0;
	return clk_later_us(w->earlier_owner_until_us,
	    wp_slowest_clock_us(w->clock_read_us, left_ms) +
		WP_EXPIRY_MARGIN_US);
}

int64_t
wp_lease_expiry_us(const struct wp_worker *w)
{
	return clk_later_us(
	    wp_given_lease_expiry_us(w), w->late_lease_until_us);
}
