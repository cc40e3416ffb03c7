#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "transport/address.h"

#define AD_PORT_DIGITS 5
#define AD_MAX_PORT 65535

static bool
ad_parse_port(const char *text, in_port_t *port)
{
	unsigned long value;
	char *end;

	if (!isdigit((unsigned char)text[0]) || strlen(text) > AD_PORT_DIGITS)
		return false;
	errno = 0;
	value = strtoul(text, &end, 10);
	if (*end != '\0' || errno != 0 || value > AD_MAX_PORT)
		return false;
	*port = htons((uint16_t)value);
	return true;
}

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
	return ad_parse_port(colon + 1, &sin->sin_port) &&
	    inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}
