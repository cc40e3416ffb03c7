#ifndef TRANSPORT_ADDRESS_H
#define TRANSPORT_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * ad_parse() - parse "IP:PORT"
 * @text: numeric IPv4 address and port; host names are not resolved
 * @sin: result
 *
 * Return: false when the address is malformed.
 */
bool ad_parse(const char *text, struct sockaddr_in *sin);

#endif
