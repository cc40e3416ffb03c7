#include <string.h>

#include "common/token.h"

bool
tk_equal(const char *secret, const char *given)
{
	size_t secret_len = strlen(secret);
	size_t given_len = strlen(given);
	unsigned char diff = secret_len != given_len;
	size_t i;

	for (i = 0; i < secret_len; i++)
		diff |= (unsigned char)(secret[i] ^
		    given[given_len > 0 ? i % given_len : 0]);
	return diff == 0;
}
