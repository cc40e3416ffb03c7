#ifndef CURRANTTACKD_MEMBERS_H
#define CURRANTTACKD_MEMBERS_H

#include "curranttackd/daemon.h"

/** me_create() - heartbeats, summaries and the platform's VM list */
struct members *me_create(struct daemon *d);
/** me_start() - begin to send; control loop */
void me_start(struct members *me);
/** me_link() - link to a VM, opened on demand; NULL without an address */
struct peer_link *me_link(struct members *me, const char *vm);
/** me_on_summary() - heartbeats from a peer */
void me_on_summary(struct members *me, const Currant__Summary *summary);
/** me_on_closed() - a link is gone */
void me_on_closed(struct members *me, struct peer_link *link);
/** me_send_now() - send this daemon's heartbeat at once */
void me_send_now(struct members *me);
/** me_is_leaving() - whether the VM list says that a VM leaves */
bool me_is_leaving(struct daemon *d, const char *vm);

#endif
