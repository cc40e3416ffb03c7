#ifndef COMMON_TOKEN_H
#define COMMON_TOKEN_H

#include <stdbool.h>

/**
 * tk_equal() - compare a presented token with a secret
 * @secret: the secret
 * @given: token that the other side presented
 *
 * The time taken does not depend on the position of the first difference.
 */
bool tk_equal(const char *secret, const char *given);

#endif
