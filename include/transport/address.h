#ifndef TRANSPORT_ADDRESS_H
#define TRANSPORT_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * ad_parse() - read "IP:PORT"
 * @text: address by IP number
 * @sin: result
 *
 * Return: false when it is no such address.
 */
bool ad_parse(const char *text, struct sockaddr_in *sin);

#endif
