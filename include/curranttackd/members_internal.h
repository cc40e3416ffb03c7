#ifndef CURRANTTACKD_MEMBERS_INTERNAL_H
#define CURRANTTACKD_MEMBERS_INTERNAL_H

#include "curranttackd/members.h"

/**
 * DOC: Shared by the files that implement the exchange with other daemons:
 * members (heartbeats and summaries), members_links (links to daemons),
 * members_vms (the platform's VM list).
 */

#define ME_MAX_LINKS 256

/**
 * struct me_link_slot - the link to one daemon
 * @vm: VM of the daemon
 * @link: link, or NULL
 * @retry_at_us: no attempt to connect before this time
 * @use_reported_address: connect to the address that the daemon reports
 *	rather than to the one in the platform's VM list
 */
struct me_link_slot {
	char vm[MB_NAME_BYTES];
	struct peer_link *link;
	int64_t retry_at_us;
	bool use_reported_address;
};

/**
 * struct members - exchange of heartbeats and summaries
 * @d: daemon
 * @slot: links, @slot_count long
 * @vm_list_in_flight: a read of the VM list is in flight
 * @round: number of summaries sent
 */
struct members {
	struct daemon *d;
	struct me_link_slot slot[ME_MAX_LINKS];
	uint32_t slot_count;
	bool vm_list_in_flight;
	uint32_t round;
};

/**
 * me_on_vm_list_due() - read the platform's VM list, unless a read is in flight
 * @arg: struct members
 */
void me_on_vm_list_due(void *arg);

#endif
