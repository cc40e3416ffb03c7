#ifndef COMMON_TOKEN_H
#define COMMON_TOKEN_H

#include <stdbool.h>

/**
 * tk_equal() - compare a secret with what was given for it
 * @secret: the secret
 * @given: what was given
 *
 * Takes the same time wherever the first difference is.
 */
bool tk_equal(const char *secret, const char *given);

#endif
