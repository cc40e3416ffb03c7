#ifndef COMMON_RNG_H
#define COMMON_RNG_H

#include <stdint.h>

/**
 * struct rng - seeded generator (splitmix64), passed in by the caller
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
 * rng_seed_os() - seed from the operating system
 *
 * Return: 64 random bits; for nonces, never for decisions under test.
 */
uint64_t rng_seed_os(void);

#endif
