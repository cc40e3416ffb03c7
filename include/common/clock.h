#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

#define CLK_US_PER_MS INT64_C(1000)
#define CLK_US_PER_S INT64_C(1000000)
/* A VM's monotonic clock may be slow by 2%. */
#define CLK_MIN_RATE_PER_MILLE 980

/** clk_later_us() - the later of two times */
static inline int64_t
clk_later_us(int64_t a_us, int64_t b_us)
{
	return a_us > b_us ? a_us : b_us;
}

/**
 * clk_now_us() - read the monotonic clock
 *
 * Return: microseconds since an arbitrary start; never decreases.
 */
int64_t clk_now_us(void);

/**
 * clk_wall_us() - read the wall clock, for logs and stored deadlines
 *
 * Return: microseconds since the Unix epoch.
 */
int64_t clk_wall_us(void);

#endif
