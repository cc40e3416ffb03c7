#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/address.h"

bool
ad_parse(const char *text, struct sockaddr_in *sin)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}
