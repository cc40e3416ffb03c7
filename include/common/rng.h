#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

/**
 * struct rng - seeded pseudo-random generator (splitmix64)
 * @state: current state; any value is a valid seed
 */
struct rng {
	uint64_t state;
};

/**
 * rng_next() - draw 64 random bits
 * @r: generator
 */
uint64_t rng_next(struct rng *r);

/**
 * rng_below() - draw an integer in [0, n)
 * @r: generator
 * @n: bound; 0 yields 0
 */
uint64_t rng_below(struct rng *r, uint64_t n);

/**
 * rng_seed_os() - draw 64 random bits from the operating system
 *
 * Return: the bits. For nonces; decisions that tests replay use a seeded rng.
 */
uint64_t rng_seed_os(void);

#endif
