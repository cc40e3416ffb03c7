#ifndef CURRANTTACKD_MEMBERS_H
#define CURRANTTACKD_MEMBERS_H

#include "curranttackd/daemon.h"

/**
 * DOC: Exchange of heartbeats and summaries with the other daemons.
 *
 * Each daemon sends heartbeats to those of its failure domain. The leader of
 * a domain sends a summary of it to the leaders of the other domains, and
 * passes on what it hears from these within its own. All functions run on
 * the control loop.
 */

/** me_create() - create it; NULL without memory */
struct members *me_create(struct daemon *d);
/** me_start() - begin to send, and to poll the platform's VM list */
void me_start(struct members *me);
/**
 * me_get_link() - the link to a daemon, opened on demand
 * @me: member exchange
 * @vm: VM of the daemon
 *
 * Return: link, or NULL when its address is unknown or the last attempt to
 * connect was only a moment ago.
 */
struct peer_link *me_get_link(struct members *me, const char *vm);
/** me_on_summary() - take over the heartbeats that a peer has sent */
void me_on_summary(struct members *me, const Currant__Summary *summary);
/** me_on_link_closed() - forget a link that has closed */
void me_on_link_closed(struct members *me, struct peer_link *link);
/** me_send_heartbeat() - send this daemon's heartbeat now */
void me_send_heartbeat(struct members *me);

#endif
