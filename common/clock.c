#include <time.h>

#include "common/clock.h"

static int64_t
clk_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * CLK_US_PER_S + ts.tv_nsec / 1000;
}

int64_t
clk_now_us(void)
{
	return clk_read_us(CLOCK_MONOTONIC);
}

int64_t
clk_wall_us(void)
{
	return clk_read_us(CLOCK_REALTIME);
}
