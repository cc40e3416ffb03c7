#include <sys/random.h>

#include "common/clock.h"
#include "common/rng.h"

uint64_t
rng_next(struct rng *r)
{
	uint64_t z;

	r->state += UINT64_C(0x9e3779b97f4a7c15);
	z = r->state;
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint64_t
rng_below(struct rng *r, uint64_t n)
{
	return n == 0 ? 0 : rng_next(r) % n;
}

uint64_t
rng_seed_os(void)
{
	uint64_t seed;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = (uint64_t)clk_wall_us();
	return seed;
}
